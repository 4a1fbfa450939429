package cellnode

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/store"
)

// minOwnership is the minimum time between claiming the cell and handing it over on request. It limits how often the
// owner changes when nodes of increasing capacity join one after the other.
const minOwnership = 6 * time.Second

// requestCell asks the owner to hand over the cell to this node. end is the end of the claim topic up to which this node
// has read.
func (n *Node) requestCell(ctx context.Context, r claim.Request, owner string, end store.Offset) {
	appended, ok := n.appendToClaims(ctx, []claimEntry{{claim.RequestKey, &r}}, r.Epoch, end)
	if !ok {
		return
	}
	n.log.Info("hand-over requested", zap.Int64("epoch", r.Epoch), zap.String("owner", owner), zap.Int64("capacity", r.Capacity))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.RequestAccepted(r, appended, boottime.Now())
}

// answerRequest hands over the cell to the node that requests it, unless there is a reason not to.
func (n *Node) answerRequest(ctx context.Context, r claim.Request) {
	o := n.owner.Load()
	log := n.log.With(zap.Int64("epoch", r.Epoch), zap.String("successor", r.Node), zap.Int64("successor_capacity", r.Capacity),
		zap.Int64("capacity", n.settings.Capacity))
	if reason := n.refusalReason(o, r); reason != "" {
		log.Info("hand-over refused", zap.String("reason", reason))
		return
	}
	n.mu.Lock()
	begun := n.handingOver == nil
	if begun {
		n.handingOver = o
	}
	n.mu.Unlock()
	if !begun {
		log.Info("hand-over refused", zap.String("reason", "being handed over"))
		return
	}
	log.Info("hand-over accepted")
	n.handOver(ctx, o, r.Node)
	n.endHandOver(o)
}

// refusalReason returns why the owner does not hand over the cell on the given request, or an empty string if it does.
// o is nil if the owner's run has ended.
func (n *Node) refusalReason(o *owner, r claim.Request) string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case !claim.ClearlyLarger(r.Capacity, n.settings.Capacity):
		return "not clearly larger"
	case o == nil || o.epoch != r.Epoch:
		return "not the owner"
	case boottime.Now()-o.claimedAt < minOwnership:
		return "owner for a short time"
	}
	if !o.isLoaded() {
		return "state not loaded"
	}
	return ""
}

// isLoaded reports whether the owner has loaded the state of the cell.
func (o *owner) isLoaded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loaded
}

// endHandOver ends a hand-over on request. If the claim was not released and the owner has stopped, the claim is
// abandoned; if the owner has not stopped yet, ownerStopped abandons it later.
func (n *Node) endHandOver(o *owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handingOver = nil
	select {
	case <-o.done:
		n.view.Abandon(o.epoch)
	default:
	}
}

// ownerStopped abandons the claim of an owner whose run has ended, unless the claim is being released.
func (n *Node) ownerStopped(o *owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.stopping.Load() && n.handingOver != o { // a stopping node releases the claim
		n.view.Abandon(o.epoch)
	}
}
