package cellnode

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

// countClaimRecords returns the number of stored records of the claim topic with the given key.
func (d *testCluster) countClaimRecords(key string) int {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	count := 0
	for _, r := range d.store.topics[jobrecord.ClaimsTopic] {
		if r.Key == key {
			count++
		}
	}
	return count
}

// successors returns the successors named in the stored releases, in the order of the releases.
func (d *testCluster) successors() []string {
	d.t.Helper()
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	var names []string
	for _, r := range d.store.topics[jobrecord.ClaimsTopic] {
		if r.Key != claim.DetailsKey {
			continue
		}
		var details claim.Details
		if err := recordcodec.Decode(r.Value, &details); err != nil {
			d.t.Fatal(err)
		}
		if details.Successor != "" {
			names = append(names, details.Successor)
		}
	}
	return names
}

// waitForOwnerNode waits until the process with the given index owns the cell.
func (d *testCluster) waitForOwnerNode(index int, timeout time.Duration) {
	d.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if o := d.nodes[index].node.membership(0).owner.Load(); o != nil && d.nodes[index].node.membership(0).mayDecide(o.epoch) {
			return
		}
	}
	d.t.Fatalf("process %d does not own the cell after %v", index, timeout)
}

// sendRequest appends a request for the cell by a node that does not run.
func (d *testCluster) sendRequest(r claim.Request) {
	d.t.Helper()
	value, err := recordcodec.Encode(&r)
	if err != nil {
		d.t.Fatal(err)
	}
	_, err = d.store.Append(context.Background(), store.AppendRequest{
		Partition: store.Partition{Topic: jobrecord.ClaimsTopic}, Records: []store.Record{{Key: claim.RequestKey, Value: value}}})
	if err != nil {
		d.t.Fatal(err)
	}
}

// A small node that owned the cell kept it although a large one had joined, and tasks waited for seconds.
func TestSmallOwnerHandsCellOverOnceToLargeNodeThatJoins(t *testing.T) {
	d := newTestCluster(t, 0)
	d.startProcess(testProcess{name: "small", rank: 0, capacity: smallCapacity})
	d.waitForOwnerNode(0, 3*time.Second)
	d.startProcess(testProcess{name: "large-1", rank: 1, capacity: largeCapacity})
	var submitted []string
	submit := func() {
		id := fmt.Sprintf("%s%02x", testIDPrefix, len(submitted))
		d.requestUntil(3*time.Second, 0, http.MethodPost, "/q/"+id, "spec", http.StatusOK, "")
		submitted = append(submitted, id)
	}
	for deadline := time.Now().Add(14 * time.Second); d.nodes[1].node.membership(0).owner.Load() == nil; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the cell was not handed over to the large node")
		}
		submit()
	}
	submit()
	d.startProcess(testProcess{name: "large-2", rank: 0, capacity: largeCapacity})
	for _, id := range submitted {
		d.requestUntil(8*time.Second, 0, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
	}
	requests := d.countClaimRecords(claim.RequestKey)
	time.Sleep(minOwnership + 4*time.Second)
	if d.countClaimRecords(claim.RequestKey) != requests {
		t.Error("the cell of a large owner was requested")
	}
	if o := d.nodes[1].node.membership(0).owner.Load(); o == nil || o.epoch != 2 {
		t.Errorf("owner of the large node: %v, want one under epoch 2, which follows a single hand-over", o)
	}
	if latest := d.nodes[0].node.membership(0).latestClaim(); latest.Node != "large-1" || latest.Epoch != 2 {
		t.Errorf("latest claim is %+v, want that of large-1 under epoch 2", latest)
	}
	if names := d.successors(); !slices.Equal(names, []string{"large-1"}) {
		t.Errorf("the releases name the successors %v, want large-1 once", names)
	}
	d.worker.mu.Lock()
	defer d.worker.mu.Unlock()
	if want := 3 * len(submitted); len(d.worker.starts) != want {
		t.Errorf("%d tasks were started, want %d", len(d.worker.starts), want)
	}
	for task, starts := range d.worker.starts {
		if starts != 1 {
			t.Errorf("%v was started %d times", task, starts)
		}
	}
}

// An owner that has just claimed must refuse, and a cell whose successor is gone must get an owner again.
func TestCellGetsOwnerAgainWhenSuccessorIsGone(t *testing.T) {
	d := newTestCluster(t, 0)
	d.startProcess(testProcess{name: "small", rank: 0, capacity: smallCapacity})
	d.waitForOwnerNode(0, 3*time.Second)
	first := d.nodes[0].node.membership(0).owner.Load()
	request := claim.Request{Epoch: first.epoch, Node: "gone", Capacity: largeCapacity}
	d.sendRequest(request)
	time.Sleep(500 * time.Millisecond)
	if d.nodes[0].node.membership(0).owner.Load() != first {
		t.Fatal("an owner handed over the cell right after claiming it")
	}
	time.Sleep(minOwnership - (boottime.Now() - first.claimedAt))
	d.sendRequest(request)
	select {
	case <-first.done:
	case <-time.After(2 * time.Second):
		t.Fatal("the owner did not hand over the cell")
	}
	start := time.Now()
	d.waitForOwnerNode(0, 4*time.Second)
	if took := time.Since(start); took < time.Second || took > 2500*time.Millisecond {
		t.Errorf("the former owner claimed after %v, want it to wait for larger nodes, but not for long", took)
	}
	id := testIDPrefix + "01"
	d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+id, "spec", http.StatusOK, "")
	d.requestUntil(5*time.Second, 0, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
}

// A hand-over that the store refuses must not leave a cell whose owner has stopped and whose claim is renewed.
func TestCellGetsOwnerAgainAfterFailedHandOver(t *testing.T) {
	d := newTestCluster(t, 0)
	d.startProcess(testProcess{name: "small", rank: 0, capacity: smallCapacity})
	d.waitForOwnerNode(0, 3*time.Second)
	n := d.nodes[0].node
	first := n.membership(0).owner.Load()
	for deadline := time.Now().Add(3 * time.Second); !first.isLoaded(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the owner did not load its state")
		}
	}
	time.Sleep(minOwnership - (boottime.Now() - first.claimedAt)) // an owner hands over only after that time
	d.store.setDown(true)
	n.membership(0).answerRequest(context.Background(), claim.Request{Epoch: first.epoch, Node: "large", Capacity: largeCapacity})
	d.store.setDown(false)
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if o := n.membership(0).owner.Load(); o != nil && o != first {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the cell has no owner after a failed hand-over")
		}
	}
}

// Hand-overs for a small gain, or while another change is under way, cost a take-over each.
func TestOwnerRefusesRequests(t *testing.T) {
	d := newTestCluster(t, 0)
	d.startProcess(testProcess{name: "small", rank: 0, capacity: smallCapacity})
	n := d.nodes[0].node
	d.waitForOwnerNode(0, 3*time.Second)
	old := func(loaded bool) *owner {
		o := newOwner(n.membership(0), 1, waitUntil(0), 1)
		o.claimedAt, o.loaded = boottime.Now()-minOwnership, loaded
		return o
	}
	waiting := func(until time.Duration) *owner {
		o := old(true)
		o.formerLeasesEnd = until
		return o
	}
	large := claim.Request{Epoch: 1, Node: "l", Capacity: largeCapacity}
	for _, c := range []struct {
		owner   *owner
		request claim.Request
		reason  string
	}{
		{old(true), large, ""},
		{old(true), claim.Request{Epoch: 1, Node: "e", Capacity: smallCapacity}, "not clearly larger"},
		{nil, large, "not the owner"},
		{old(true), claim.Request{Epoch: 2, Node: "l", Capacity: largeCapacity}, "not the owner"},
		{newOwner(n.membership(0), 1, waitUntil(0), 1), large, "owner for a short time"},
		{old(false), large, "state not loaded"},
		// The successor waited anew for workers that were gone, and long-running tasks did not run meanwhile.
		{waiting(boottime.Now() + 3*time.Second), large, "waiting for leases of former owners"},
		{waiting(boottime.Now() - restartTime), large, ""},
	} {
		if reason := n.membership(0).refusalReason(c.owner, c.request); reason != c.reason {
			t.Errorf("%+v: refused for %q, want %q", c.request, reason, c.reason)
		}
	}
	n.stopping.Store(true)
	if reason := n.membership(0).refusalReason(old(true), large); reason != "stopping" {
		t.Errorf("a stopping node refused for %q, want %q", reason, "stopping")
	}
	n.stopping.Store(false)
}
