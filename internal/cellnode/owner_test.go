package cellnode

import (
	"context"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/claim"
)

// A request to stop that arrived right after the claim found an owner without a function to stop it.
func TestOwnerCanBeStoppedAsSoonAsItIsPublished(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	n := d.nodes[0].node
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	// The claim is in force, so that the owner does not end by itself before it is looked at.
	n.membership(0).startOwner(ctx, sentClaim{record: claim.Record{Epoch: n.membership(0).owner.Load().epoch}})
	o := n.membership(0).owner.Load()
	if o == nil || o.stop == nil {
		t.Fatal("a published owner cannot be stopped")
	}
	o.stopAndWait(ctx)
	if ctx.Err() != nil {
		t.Error("the owner did not stop")
	}
}

// Guards against a cost that grows with jobs times queries: each query for the pending jobs of a queue counted all jobs.
func TestCountsOfPendingJobsAreReusedForAShortTime(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	o := d.nodes[0].node.membership(0).owner.Load()
	for deadline := time.Now().Add(5 * time.Second); !o.isLoaded(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the owner has not loaded its state")
		}
	}
	if count, ok := o.pending("q"); !ok || count != 0 {
		t.Fatalf("%d pending jobs (ok %v), want 0", count, ok)
	}
	o.mu.Lock()
	o.pendingJobs, o.pendingAt = map[string]int{"q": 7}, boottime.Now()
	o.mu.Unlock()
	if count, _ := o.pending("q"); count != 7 {
		t.Errorf("%d pending jobs right after they were counted, want the 7 of that count", count)
	}
	time.Sleep(maxPendingAge + 50*time.Millisecond)
	if count, _ := o.pending("q"); count != 0 {
		t.Errorf("%d pending jobs later, want a new count of 0", count)
	}
}
