package cellnode

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

// readOnlyStore refuses appends while refused is set, and serves reads.
type readOnlyStore struct {
	Store
	refused *atomic.Bool
}

func (s readOnlyStore) Append(ctx context.Context, a store.AppendRequest) (store.AppendResult, error) {
	if s.refused.Load() {
		return store.AppendResult{}, verdict.New(verdict.NotRun, store.ReasonBusy, nil)
	}
	return s.Store.Append(ctx, a)
}

// Guards against running tasks that are lost while the store refuses appends from all nodes and serves reads: no node can follow the
// owner then, and each candidate refuses its consent because it can read the store.
func TestLeasesWhileStoreRefusesAppends(t *testing.T) {
	t.Parallel()
	worker := newMemoryWorker()
	worker.lasting = true
	d := newTestCluster(t, 0)
	var refused atomic.Bool
	d.wrapStore = func(s Store) Store { return readOnlyStore{s, &refused} }
	d.store.topics["workers"] = []store.Record{{Key: "a1", Value: []byte("a1")}}
	d.workers = workerSet{"a1": worker}
	for _, name := range []string{"x", "y", "z"} {
		d.startProcess(testProcess{name: name, capacity: largeCapacity})
	}
	owner := d.nodes[d.waitForOwner()].node.membership(0)
	d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+testIDPrefix+"33", "half", http.StatusOK, "")
	o := owner.owner.Load()
	d.waitForCandidates(o, 2)
	refused.Store(true)
	down := boottime.Now()
	for owner.ended.Load() == nil { // until the owner gives the cell up
		time.Sleep(10 * time.Millisecond)
	}
	if end := owner.ended.Load().leases.Workers["a1"].End - down; end < 9500*time.Millisecond {
		t.Errorf("the lease on the worker ends %v after the outage began, want at least 9.5s", end)
	}
}
