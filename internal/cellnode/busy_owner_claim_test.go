package cellnode

import (
	"testing"
	"time"
)

// Guards against a change of owner while the owner is busy for longer than claim.LeaseDuration, for example loading a large state: its
// claim is renewed meanwhile.
func TestClaimIsRenewedWhileOwnerIsBusy(t *testing.T) {
	t.Parallel()
	d := newTestCluster(t, 2)
	m := d.nodes[d.waitForOwner()].node.membership(0)
	o := m.owner.Load()
	o.locked(func() { time.Sleep(4 * time.Second) })
	time.Sleep(time.Second) // until the node has read the claim
	m.mu.Lock()
	latest, _ := m.view.Latest()
	m.mu.Unlock()
	if latest.Epoch != o.epoch {
		t.Errorf("the cell is owned under epoch %d, want %d", latest.Epoch, o.epoch)
	}
}
