package cellnode

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

// leavingWorkers are workers of which one may have left without a sign.
type leavingWorkers struct {
	workerSet
	left atomic.Pointer[string]
}

func (s *leavingWorkers) gone(to workercall.Target) error {
	if left := s.left.Load(); left != nil && *left == to.ID {
		return verdict.New(verdict.MayHaveRun, workercall.ReasonNoAnswer, nil)
	}
	return nil
}

func (s *leavingWorkers) Start(ctx context.Context, to workercall.Target, order workercall.Start) (workercall.Reply, error) {
	if err := s.gone(to); err != nil {
		return workercall.Reply{}, err
	}
	return s.workerSet.Start(ctx, to, order)
}

func (s *leavingWorkers) Renew(ctx context.Context, to workercall.Target, r workercall.RenewRequest) (workercall.Report, error) {
	report, err := s.workerSet.Renew(ctx, to, r)
	if gone := s.gone(to); gone != nil {
		return workercall.Report{}, gone
	}
	return report, err
}

// leaveWithTask has the worker on which a task was started leave, and its entry removed from the store.
func (s *leavingWorkers) leaveWithTask(d *testCluster) {
	for s.left.Load() == nil && d.t.Context().Err() == nil {
		for id, w := range s.workerSet {
			w.mu.Lock()
			if len(w.starts) > 0 {
				s.left.Store(&id)
			}
			w.mu.Unlock()
		}
	}
	_, err := d.store.Append(d.t.Context(), store.AppendRequest{Partition: store.Partition{Topic: "workers"}, Records: []store.Record{{Key: *s.left.Load()}}})
	if err != nil {
		d.t.Error(err)
	}
}

// Guards against LOST: each owner of a rolling restart waits anew for the lease on a worker that left before it.
func TestTaskOfWorkerThatLeftRunsInTimeDuringRollingRestart(t *testing.T) {
	workers := &leavingWorkers{workerSet: workerSet{"a1": newMemoryWorker(), "a2": newMemoryWorker()}}
	d := newTestCluster(t, 0)
	d.store.topics["workers"] = []store.Record{{Key: "a1", Value: []byte("a1")}, {Key: "a2", Value: []byte("a2")}}
	d.workers = workers
	for _, name := range []string{"x", "y", "z"} {
		d.startProcess(testProcess{name: name, capacity: largeCapacity})
	}
	d.waitForOwner()
	time.Sleep(500 * time.Millisecond) // the owner has reached both workers
	d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+testIDPrefix+"30", "half", http.StatusOK, "")
	workers.leaveWithTask(d)
	left := boottime.Now()
	for range 2 {
		time.Sleep(1500 * time.Millisecond)
		d.nodes[d.waitForOwner()].cancel()
	}
	for total := 0; total < 2; time.Sleep(5 * time.Millisecond) {
		if boottime.Now() > left+15*time.Second {
			t.Fatal("the task was not started again")
		}
		total = 0
		for _, count := range workers.starts() {
			total += count
		}
	}
	if away := boottime.Now() - left; away < 5500*time.Millisecond || away > 7500*time.Millisecond {
		t.Errorf("the task was started again after %v, want the lease of 6 s and its margins", away)
	}
}

// Guards against LOST: the owner crashes right after a worker was lost, and its successor takes the lease there to last for as long as
// the owner might have extended it without the store.
func TestTaskOfLostWorkerRunsInTimeAfterOwnerCrash(t *testing.T) {
	t.Parallel()
	const maxAway = 9 * time.Second // a long-running task counts as lost then
	workers := &leavingWorkers{workerSet: workerSet{"a1": newMemoryWorker(), "a2": newMemoryWorker()}}
	d := newTestCluster(t, 0)
	d.store.topics["workers"] = []store.Record{{Key: "a1", Value: []byte("a1")}, {Key: "a2", Value: []byte("a2")}}
	d.workers = workers
	for _, name := range []string{"x", "y", "z"} {
		d.startProcess(testProcess{name: name, capacity: largeCapacity})
	}
	d.waitForOwner()
	time.Sleep(2500 * time.Millisecond) // the owner has reached both workers, and the other nodes follow the claim
	d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+testIDPrefix+"31", "half", http.StatusOK, "")
	workers.leaveWithTask(d)
	left := boottime.Now()
	time.Sleep(300 * time.Millisecond)
	crashed := d.nodes[d.waitForOwner()]
	crashed.node.membership(0).owner.Load().panicked.Store(true) // what it knows of leases is lost with it
	crashed.link.killed.Store(true)
	crashed.cancel()
	for total := 0; total < 2; time.Sleep(5 * time.Millisecond) {
		if boottime.Now() > left+15*time.Second {
			t.Fatal("the task was not started again")
		}
		total = 0
		for _, count := range workers.starts() {
			total += count
		}
	}
	if away := boottime.Now() - left; away < 5500*time.Millisecond || away > maxAway {
		t.Errorf("the task was started again after %v, want at least the lease and at most %v", away, maxAway)
	}
}

// Guards against TWICE by an answer about leases that a former owner may still extend or knows nothing of, and against an owner
// that trusts an answer that makes no sense.
func TestLeasesOfFormerOwnerAreAnsweredOnlyIfKnown(t *testing.T) {
	d := newTestCluster(t, 1)
	n := d.nodes[d.waitForOwner()].node
	m := n.membership(0)
	present := m.owner.Load().epoch
	ended := newOwner(m, present+5, waitUntil(boottime.Now()+time.Minute), 1)
	m.keepLeases(ended)
	for _, c := range []struct {
		request  *cellrpc.LeasesRequest
		refusal  string
		askAgain bool
	}{
		{&cellrpc.LeasesRequest{Holder: n.holder, Epoch: present}, refusalStillOwner, true},
		{&cellrpc.LeasesRequest{Holder: n.holder, Epoch: present - 1}, refusalUnknownEpoch, false},
		{&cellrpc.LeasesRequest{Holder: "earlier process", Epoch: present + 5}, refusalOtherProcess, false},
		{&cellrpc.LeasesRequest{Holder: n.holder, Epoch: present + 5, Cell: 3}, refusalOtherProcess, false},
		{&cellrpc.LeasesRequest{Holder: n.holder, Epoch: present + 5}, "", false},
	} {
		reply, err := n.peers.formerOwnerClient(n.settings.PeerAddress).Leases(t.Context(), c.request)
		if err != nil || reply.Refusal != c.refusal || reply.AskAgain != c.askAgain || (reply.OthersMs > 0) != (c.refusal == "") {
			t.Errorf("%v: answered %v, %v; want the refusal %q", c.request, reply, err, c.refusal)
		}
	}
	for _, reply := range []*cellrpc.LeasesReply{
		{OthersMs: -1}, {OthersMs: maxReportedLease + 1}, {Workers: []*cellrpc.WorkerLease{{Worker: "w", RemainingMs: -5}}},
	} {
		if _, ok := decodeLeases(reply); ok {
			t.Errorf("the answer %v was accepted", reply)
		}
	}
}

// Guards against an owner that goes on asking, or fails, where the former owner's program does not know the call.
func TestOwnerWaitsWhereFormerOwnerDoesNotKnowTheCall(t *testing.T) {
	d := newTestCluster(t, 1)
	n := d.nodes[d.waitForOwner()].node
	old := &http.Server{Handler: cellrpc.NewCellServer(cellServer{n}), ReadHeaderTimeout: time.Second}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = old.Serve(listener) }()
	defer func() { _ = old.Close() }()
	o := newOwner(n.membership(0), 9, waitUntil(boottime.Now()+time.Minute), 1)
	o.former = claim.Record{Holder: "old", Address: listener.Addr().String(), Epoch: 8}
	leases, result, _, again := o.askFormerOwner(t.Context())
	if result != formerLeasesUnknown || again || len(leases.Workers) > 0 || leases.Others != 0 {
		t.Errorf("result %q with %+v, again: %v; want %q once", result, leases, again, formerLeasesUnknown)
	}
	o.learnFormerLeases(t.Context())
	if ends := o.cell.LeaseEnds(); ends.Others != o.formerLeasesEnd {
		t.Errorf("the owner waits until %v, want %v", ends.Others, o.formerLeasesEnd)
	}
}

// waitUntil returns a wait for all leases until a time.
func waitUntil(end time.Duration) claim.LeaseWait { return claim.LeaseWait{End: end, Others: end} }
