package fake

import (
	"context"
	"sort"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
)

// VMList is a fake of the platform's VM list. Readers see each change only after lag has passed.
type VMList struct {
	Faults

	mu      sync.Mutex
	lag     time.Duration
	vms     map[string]platform.VM
	history []snapshot
}

// snapshot is the whole list as it was from a point in time on.
type snapshot struct {
	at  time.Time
	vms []platform.VM
}

// NewVMList returns an empty list that shows changes after the given lag.
func NewVMList(lag time.Duration) *VMList {
	return &VMList{lag: lag, vms: make(map[string]platform.VM)}
}

var _ platform.VMList = (*VMList)(nil)

// Put adds a VM or replaces the VM with the same ID.
func (l *VMList) Put(vm platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms[vm.ID] = vm
	l.recordSnapshot()
}

// Remove removes a VM. Its ID must not be reused.
func (l *VMList) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.vms, id)
	l.recordSnapshot()
}

// SetState sets the state of a VM. It does nothing if the VM is unknown.
func (l *VMList) SetState(id string, state platform.VMState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if vm, ok := l.vms[id]; ok {
		vm.State = state
		l.vms[id] = vm
		l.recordSnapshot()
	}
}

// recordSnapshot appends the current list to the history. The caller must hold l.mu.
func (l *VMList) recordSnapshot() {
	vms := make([]platform.VM, 0, len(l.vms))
	for _, vm := range l.vms {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(a, b int) bool { return vms[a].ID < vms[b].ID })
	l.history = append(l.history, snapshot{at: time.Now(), vms: vms})
}

// List implements platform.VMList.
func (l *VMList) List(ctx context.Context) ([]platform.VM, error) {
	if err := l.beforeEffect(ctx); err != nil {
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
		return nil, l.afterEffect()
	}
	return l.history[0].vms, l.afterEffect()
}
