package cellnode

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

// minOwnership is the minimum time between claiming the cell and handing it over on request. It limits how often the
// owner changes when nodes of increasing capacity join one after the other.
const minOwnership = 6 * time.Second

// restartTime is the time that an owner needs to restart the tasks of workers whose leases have expired.
const restartTime = time.Second

// requestCell asks the owner to hand over the cell to this node. end is the end of the claim topic up to which this node
// has read.
func (m *membership) requestCell(ctx context.Context, r claim.Request, owner string, end store.Offset) {
	appended, result := m.appendToClaims(ctx, []claimEntry{{claim.RequestKey, &r}}, r.Epoch, end)
	if result != verdict.Ran {
		return
	}
	m.log.Info("hand-over requested", zap.Int64("epoch", r.Epoch), zap.String("owner", owner), zap.Int64("capacity", r.Capacity))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.RequestAccepted(r, appended, boottime.Now())
}

// answerRequest hands over the cell to the node that requests it, unless there is a reason not to.
func (m *membership) answerRequest(ctx context.Context, r claim.Request) {
	o := m.owner.Load()
	log := m.log.With(zap.Int64("epoch", r.Epoch), zap.String("successor", r.Node), zap.Int64("successor_capacity", r.Capacity),
		zap.Int64("capacity", m.capacity()))
	if reason := m.refusalReason(o, r); reason != "" {
		log.Info("hand-over refused", zap.String("reason", reason))
		return
	}
	m.mu.Lock()
	begun := m.handingOver == nil
	if begun {
		m.handingOver = o
	}
	m.mu.Unlock()
	if !begun {
		log.Info("hand-over refused", zap.String("reason", "being handed over"))
		return
	}
	log.Info("hand-over accepted")
	m.handOver(ctx, o, r.Node)
	m.endHandOver(o)
}

// refusalReason returns why the owner does not hand over the cell on the given request, or an empty string if it does.
// o is nil if the owner's run has ended.
func (m *membership) refusalReason(o *owner, r claim.Request) string {
	switch {
	case m.node.stopping.Load():
		return "stopping"
	case !claim.ClearlyLarger(r.Capacity, m.capacity()):
		return "not clearly larger"
	case o == nil || o.epoch != r.Epoch:
		return "not the owner"
	case boottime.Now()-o.claimedAt < minOwnership:
		return "owner for a short time"
	case boottime.Now() < o.formerLeasesEnd+restartTime:
		// The successor would wait anew before it restarts what ran on workers that nobody reaches.
		return "waiting for leases of former owners"
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
func (m *membership) endHandOver(o *owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handingOver = nil
	select {
	case <-o.done:
		m.view.Abandon(o.epoch)
	default:
	}
}

// ownerStopped abandons the claim of an owner whose run has ended, unless the claim is being released.
func (m *membership) ownerStopped(o *owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.node.stopping.Load() && m.handingOver != o { // a stopping node releases the claim
		m.view.Abandon(o.epoch)
	}
}
