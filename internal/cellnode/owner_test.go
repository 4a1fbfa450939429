package cellnode

import (
	"context"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/claim"
)

// A request to stop that arrived right after the claim found an owner without a function to stop it.
func TestOwnerCanBeStoppedAsSoonAsItIsPublished(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	n := d.nodes[0].node
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	n.startOwner(ctx, claim.Record{Epoch: 7}, 0)
	o := n.owner.Load()
	if o.stop == nil {
		t.Fatal("a published owner cannot be stopped")
	}
	o.stopAndWait(ctx)
	if ctx.Err() != nil {
		t.Error("the owner did not stop")
	}
}
