package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/guarantee"
)

// drainPollInterval is the interval at which a planned stop checks whether it can continue.
const drainPollInterval = 20 * time.Millisecond

// awaitStop waits until ctx is done and then runs the planned stop: it releases the node's shards, waits
// Stop.BalancerDelay for the load balancer to notice, drains requests in flight and waits until the queued
// records are written.
func (n *Node) awaitStop(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-n.ctx.Done():
		return nil
	}
	n.options.Logger.Info("planned stop started")
	n.engine.runAndWait(n.ctx, n.engine.beginStop)
	n.sleep(n.settings.Stop.BalancerDelay.Std())
	n.caller.Stop()
	drained := n.waitUntil(n.settings.Stop.DrainTimeout.Std(), func() bool { return n.caller.InFlight()+n.caller.Listeners() == 0 })
	if !drained {
		n.engine.guarantees.RecordViolation(guarantee.GracefulStop, n.settings.Node, time.Now())
		n.options.Logger.Warn("drain timed out with requests still in flight", zap.Int64("requests", n.caller.InFlight()))
	}
	n.waitUntil(n.settings.Scheduling.ClaimLease.Std(), func() bool { return n.engine.domainWriter.UnappendedCount() == 0 })
	return nil
}

// beginStop makes the readiness check fail, notifies all peers at once and releases the node's shards.
func (e *engine) beginStop(now time.Time) {
	e.stopping = true
	e.members.Self().Leaving = true
	e.requestPush()
	successors := e.members.LiveIn(e.settings.FailureDomain, now)
	e.domainWriter.Enqueue(e.owner.Release(successors, now)...)
	e.publishViews(now)
}

func (n *Node) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-n.ctx.Done():
	}
}

// waitUntil polls done until it returns true, and reports false if the timeout passes or the node ends first.
func (n *Node) waitUntil(timeout time.Duration, done func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(deadline) || n.ctx.Err() != nil {
			return false
		}
		n.sleep(drainPollInterval)
	}
	return true
}
