package cellnode

import (
	"net/http"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/store"
)

// Guards against running tasks that are lost in an outage of the store alone, and against leases beyond what is stated in the store
// although a node that may be the next owner has not consented.
func TestLeasesDuringOutageOfStore(t *testing.T) {
	for _, c := range []struct {
		name        string
		unreachable bool // one of the candidates
		from, to    time.Duration
	}{
		{"all candidates consent", false, 9500 * time.Millisecond, 11800 * time.Millisecond},
		{"one candidate does not answer", true, 5 * time.Second, 7 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			worker := newMemoryWorker()
			worker.lasting = true
			d := newTestCluster(t, 0)
			d.store.topics["workers"] = []store.Record{{Key: "a1", Value: []byte("a1")}}
			d.workers = workerSet{"a1": worker}
			for _, name := range []string{"x", "y", "z"} {
				d.startProcess(testProcess{name: name, capacity: largeCapacity})
			}
			owner := d.nodes[d.waitForOwner()].node.membership(0)
			d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+testIDPrefix+"32", "half", http.StatusOK, "")
			o := owner.owner.Load()
			d.waitForCandidates(o, 2)
			if c.unreachable {
				o.grantsMu.Lock()
				o.grants.Register("silent", "127.0.0.1:9")
				o.grantsMu.Unlock()
			}
			for extended := false; !extended; time.Sleep(20 * time.Millisecond) {
				owner.mu.Lock()
				s, _ := owner.view.Statement()
				owner.mu.Unlock()
				extended = s.Extended > s.Others
			}
			d.store.setDown(true)
			down := boottime.Now()
			for owner.ended.Load() == nil { // until WorkerRenewalGrace is over
				time.Sleep(10 * time.Millisecond)
			}
			end := owner.ended.Load().leases.Workers["a1"].End - down
			if end < c.from || end > c.to {
				t.Errorf("the lease on the worker ends %v after the outage began, want %v to %v", end, c.from, c.to)
			}
		})
	}
}

// waitForCandidates waits until an owner has a number of registered candidates.
func (d *testCluster) waitForCandidates(o *owner, count int) {
	d.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		o.grantsMu.Lock()
		registered := o.grants.Candidates()
		o.grantsMu.Unlock()
		if registered == count {
			return
		}
	}
	d.t.Fatalf("the owner does not have %d candidates", count)
}

// Guards against a registration or a consent that holds for another process, owner or statement, and against a candidate that
// consents while it may follow the owner.
func TestCallsBetweenOwnerAndCandidates(t *testing.T) {
	d := newTestCluster(t, 2)
	owner := d.waitForOwner()
	o := d.nodes[owner].node.membership(0).owner.Load()
	d.waitForCandidates(o, 1)
	calls := d.nodes[owner].node.peers.candidatesClient(d.nodes[owner].node.settings.PeerAddress)
	for _, r := range []*cellrpc.RegisterRequest{
		{Epoch: o.epoch + 1, Candidate: "c", Address: "c:1"}, {Epoch: o.epoch, Cell: 3, Candidate: "c", Address: "c:1"},
		{Epoch: o.epoch, Address: "c:1"}, {Epoch: o.epoch, Candidate: "c"},
	} {
		if reply, err := calls.Register(t.Context(), r); err != nil || reply.Round != 0 {
			t.Errorf("%v: answered %v, %v; want no round", r, reply, err)
		}
	}
	candidate := d.nodes[1-owner].node
	calls = candidate.peers.candidatesClient(candidate.settings.PeerAddress)
	for _, c := range []struct {
		request *cellrpc.ConsentRequest
		refusal string
	}{
		{&cellrpc.ConsentRequest{Epoch: o.epoch, Serial: 9, Candidate: "earlier process"}, "other process"},
		{&cellrpc.ConsentRequest{Epoch: o.epoch, Serial: 9, Candidate: candidate.holder}, "store reachable"},
		{&cellrpc.ConsentRequest{Epoch: o.epoch, Candidate: candidate.holder}, "unknown cell or statement"},
		{&cellrpc.ConsentRequest{Epoch: o.epoch, Cell: 3, Serial: 9, Candidate: candidate.holder}, "unknown cell or statement"},
	} {
		reply, err := calls.Consent(t.Context(), c.request)
		if err != nil || reply.Consent || reply.Refusal != c.refusal {
			t.Errorf("%v: answered %v, %v; want the refusal %q", c.request, reply, err, c.refusal)
		}
	}
}

// Guards against a cell whose tasks stand still after an outage of the store: its owner gave the cell up after 5 s, and the next one
// loaded the state and waited for leases, although nobody else had claimed the cell.
func TestOwnerOutlivesOutageOfStore(t *testing.T) {
	t.Parallel()
	d := newTestCluster(t, 3)
	before := d.nodes[d.waitForOwner()].node.membership(0).owner.Load()
	d.store.setDown(true)
	time.Sleep(8 * time.Second)
	d.store.setDown(false)
	if after := d.nodes[d.waitForOwner()].node.membership(0).owner.Load(); after != before {
		t.Errorf("the cell was claimed under epoch %d, want the owner under epoch %d", after.epoch, before.epoch)
	}
	d.requestUntil(3*time.Second, 0, http.MethodPost, "/q/"+testIDPrefix+"33", "spec", http.StatusOK, "")
	d.requestUntil(5*time.Second, 0, http.MethodGet, "/q/"+testIDPrefix+"33", "", http.StatusOK, "completed")
}
