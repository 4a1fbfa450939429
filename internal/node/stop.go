package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/promise"
)

// drainPoll is how often the planned stop looks whether it may go on.
const drainPoll = 20 * time.Millisecond

// awaitStop waits for ctx and then carries out the planned stop.
func (n *Node) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-n.ctx.Done():
		return nil
	}
	n.options.Logger.Info("planned stop begins")
	n.engine.ask(n.ctx, n.engine.beginStop)
	n.pause(n.settings.Stop.BalancerDelay.Std())
	n.caller.Stop()
	drained := n.waitUntil(n.settings.Stop.DrainTimeout.Std(), func() bool { return n.caller.InFlight()+n.caller.Listeners() == 0 })
	if !drained {
		n.engine.promises.Break(promise.GracefulStop, n.settings.Node, time.Now())
		n.options.Logger.Warn("requests were still in flight at the end of the drain", zap.Int64("requests", n.caller.InFlight()))
	}
	n.waitUntil(n.settings.Scheduling.ClaimLease.Std(), func() bool { return n.engine.domainWriter.Queued() == 0 })
	return nil
}

// beginStop fails readiness, tells all peers at once, and gives the shards up.
func (e *engine) beginStop(now time.Time) {
	e.stopping = true
	e.members.Self().Leaving = true
	e.requestPush()
	heirs := e.members.LiveIn(e.settings.FailureDomain, now)
	e.domainWriter.Enqueue(e.owner.Release(heirs, now)...)
	e.publishViews(now)
}

func (n *Node) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-n.ctx.Done():
	}
}

// waitUntil polls done until it holds or the timeout has passed.
func (n *Node) waitUntil(timeout time.Duration, done func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(deadline) || n.ctx.Err() != nil {
			return false
		}
		n.pause(drainPoll)
	}
	return true
}
