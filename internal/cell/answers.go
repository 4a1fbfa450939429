package cell

import (
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

// Started processes the answer to a start order. It reports whether a newer owner has fenced this one.
func (c *Cell) Started(order StartOrder, answer workercall.Answer, err error) (fenced bool) {
	w := c.workers[order.To.ID]
	if w == nil {
		return false
	}
	r := w.runs[order.Start.Run]
	if r == nil || r.state == runRunning {
		return verdict.ReasonOf(err) == workercall.ReasonFenced && err != nil
	}
	if err == nil {
		c.counts.Starting.Update((c.now - r.stateSince).Seconds())
		c.setRunning(r)
		w.nextHold = min(w.nextHold, c.now)
		return false
	}
	reason := verdict.ReasonOf(err)
	c.counts.countRefusedStart(string(reason))
	c.log.Info("start order failed", taskField(r.task.id), zap.Int("run", r.number), zap.String("worker", w.info.ID),
		zap.String("reason", string(reason)), zap.Stringer("verdict", verdict.Of(err)), zap.Error(err))
	switch reason {
	case workercall.ReasonFenced:
		return true
	case workercall.ReasonOtherLife:
		c.handleOtherIncarnation(w)
	case workercall.ReasonWithdrawn:
		c.startWithdrawn(r)
	case workercall.ReasonOld:
		r.state, r.stateSince, r.startRuledOut = runUncertain, c.now, true
		w.nextHold = min(w.nextHold, c.now)
	default:
		c.startRefused(r, reason, verdict.Of(err))
	}
	return false
}

// Wanted reports whether a start order should still be sent. Orders queue behind others to the same worker, and by the
// time this one is sent the task or its job may have ended.
func (c *Cell) Wanted(order StartOrder) bool {
	w := c.workers[order.To.ID]
	if w == nil {
		return false
	}
	r := w.runs[order.Start.Run]
	return r != nil && r.state == runStartSent && !r.stopRequested
}

// startWithdrawn handles a start order that was not sent because it was no longer wanted.
func (c *Cell) startWithdrawn(r *run) {
	if r.startInDoubt {
		r.state, r.stateSince = runUncertain, c.now
		return
	}
	c.removeRun(r)
	c.stopGangRun(r.task.group, r.number)
}

// startRefused handles a start order that was refused or not answered.
func (c *Cell) startRefused(r *run, reason verdict.Reason, v verdict.Verdict) {
	w := r.worker
	if v != verdict.NotRun {
		r.startInDoubt = true
		r.state, r.stateSince = runUncertain, c.now
		w.nextHold = min(w.nextHold, c.now)
		return
	}
	backoff := refusedBackoff
	if reason == workercall.ReasonUnhealthy || reason == workercall.ReasonUnreachable {
		backoff = unhealthyBackoff
	}
	w.refusingUntil = c.now + backoff
	c.scheduleRetry(w.refusingUntil)
	if r.startInDoubt {
		r.state, r.stateSince = runUncertain, c.now
		c.stopRun(r, stopRunUnknown)
		return
	}
	c.removeRun(r)
	c.stopGangRun(r.task.group, r.number)
}

// StopAnswered processes the answer to a stop order. It reports whether a newer owner has fenced this one.
func (c *Cell) StopAnswered(order StopOrder, err error) (fenced bool) {
	w := c.workers[order.To.ID]
	if w == nil {
		return false
	}
	reason := verdict.ReasonOf(err)
	if err != nil && reason == workercall.ReasonFenced {
		return true
	}
	r := w.runs[order.Run]
	if r != nil {
		r.stopInFlight = false
	}
	switch {
	case err != nil && reason == workercall.ReasonOtherLife:
		c.handleOtherIncarnation(w)
	case err != nil:
		c.log.Info("stop order failed", taskField(order.Run.Task), zap.Int("run", order.Run.Number),
			zap.String("worker", w.info.ID), zap.String("reason", string(reason)))
	case r != nil:
		r.startRuledOut = true
		if r.state != runRunning {
			r.state, r.stateSince = runUncertain, c.now
		}
		w.nextHold = min(w.nextHold, c.now)
	}
	return false
}

// PaceAnswered processes the answer to a pace order. It reports whether a newer owner has fenced this one.
func (c *Cell) PaceAnswered(order PaceOrder, err error) (fenced bool) {
	if err == nil {
		return false
	}
	reason := verdict.ReasonOf(err)
	c.log.Info("pace order failed", taskField(order.Run.Task), zap.String("worker", order.To.ID), zap.String("reason", string(reason)))
	if w := c.workers[order.To.ID]; w != nil {
		if r := w.runs[order.Run]; r != nil {
			r.pace = unknownPace
		}
	}
	return reason == workercall.ReasonFenced
}

// unknownPace is the pace of a run whose last pace order failed or was not answered.
const unknownPace = -1
