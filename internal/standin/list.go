package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
)

// List stands in for the platform's list of VMs. It shows the truth as it was a lag ago.
type List struct {
	Faults

	mu      sync.Mutex
	lag     time.Duration
	vms     map[string]platform.VM
	history []version
}

// version is the whole list as of a time.
type version struct {
	at  time.Time
	vms []platform.VM
}

// NewList returns an empty list that lags behind by lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag, vms: make(map[string]platform.VM)}
}

var _ platform.VMList = (*List)(nil)

// Put adds a VM or changes it.
func (l *List) Put(vm platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms[vm.ID] = vm
	l.remember()
}

// Remove drops a VM. Its ID must not be used again.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.vms, id)
	l.remember()
}

// SetState changes the state of a VM.
func (l *List) SetState(id string, state platform.VMState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if vm, ok := l.vms[id]; ok {
		vm.State = state
		l.vms[id] = vm
		l.remember()
	}
}

// remember keeps the list as it is now. The caller holds the lock.
func (l *List) remember() {
	vms := make([]platform.VM, 0, len(l.vms))
	for _, vm := range l.vms {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(a, b int) bool { return vms[a].ID < vms[b].ID })
	l.history = append(l.history, version{at: time.Now(), vms: vms})
}

// List implements platform.VMList.
func (l *List) List(ctx context.Context) ([]platform.VM, error) {
	if err := l.before(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := time.Now().Add(-l.lag)
	current := 0
	for current+1 < len(l.history) && !l.history[current+1].at.After(visible) {
		current++
	}
	l.history = l.history[min(current, len(l.history)):]
	if len(l.history) == 0 || l.history[0].at.After(visible) {
		return nil, l.after()
	}
	return l.history[0].vms, l.after()
}
