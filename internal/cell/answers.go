package cell

import (
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

// StartAnswered processes the answer to a start order, or err if the order was refused, not answered or not sent.
// fenced is true if the worker has accepted the fencing token of a newer owner, so that this owner has to end.
func (c *Cell) StartAnswered(order StartOrder, answer workercall.Reply, err error) (fenced bool) {
	c.unansweredStarts--
	w := c.workers[order.To.ID]
	if w == nil {
		return false
	}
	c.startSettled(w, err)
	r := w.runs[order.Start.Run]
	if r == nil || r.state == runRunning {
		// The run was removed meanwhile, or a report has already confirmed that it runs.
		return verdict.ReasonOf(err) == workercall.ReasonFenced && err != nil
	}
	if err == nil {
		c.metrics.StartLatency.Update((c.now - r.stateSince).Seconds())
		c.setRunning(r)
		w.renewBy(c.now)
		return false
	}
	reason := verdict.ReasonOf(err)
	c.metrics.countFailedStart(string(reason))
	c.log.Info("start order failed", taskField(r.task.id), zap.Int("run", r.number), zap.String("worker", w.info.ID),
		zap.String("reason", string(reason)), zap.Stringer("verdict", verdict.Of(err)), zap.Error(err))
	switch reason {
	case workercall.ReasonFenced:
		return true
	case workercall.ReasonWorkerRestarted:
		c.handleOtherIncarnation(w, order.To.StartedAtMS)
		if w.runs[order.Start.Run] == r {
			c.abandonRun(r, "new_life")
		}
	case workercall.ReasonWithdrawn:
		c.startWithdrawn(r)
	case workercall.ReasonStaleRun:
		r.setState(runUncertain, c.now)
		r.startRuledOut = true
		w.renewBy(c.now)
	default:
		c.startFailed(r, reason, verdict.Of(err))
	}
	return false
}

// StartStillNeeded reports whether a start order still has to be sent. Orders wait behind others to the same worker;
// meanwhile the task or its job may have ended, the worker may drain, or it may have restarted as one of another kind. The
// owner calls StartStillNeeded right before it sends an order. If the result is false, the owner drops the order and calls
// StartAnswered with workercall.ReasonWithdrawn.
func (c *Cell) StartStillNeeded(order StartOrder) bool {
	w := c.workers[order.To.ID]
	if w == nil {
		return false
	}
	r := w.runs[order.Start.Run]
	return r != nil && r.state == runStartSent && !r.stopRequested && w.takesStarts() && !r.ofFormerIncarnation() &&
		!c.withholdsStart(w, withheldSending)
}

// startWithdrawn handles a start order that was not sent because it was no longer wanted. If an earlier start order for
// the run may still take effect, the run becomes uncertain; otherwise it is removed.
func (c *Cell) startWithdrawn(r *run) {
	if r.startInDoubt {
		r.setState(runUncertain, c.now)
		return
	}
	c.removeRun(r)
	c.stopGangRun(r.task.group, r.number)
}

// startFailed handles a start order that was refused or not answered. If the order may still take effect, the run
// becomes uncertain. After a refusal no tasks are placed on the worker for a while, unless the task is at fault, and the run is
// removed. If an earlier start order for the run may still take effect, the run is not removed; a stop is requested for it.
func (c *Cell) startFailed(r *run, reason verdict.Reason, v verdict.Verdict) {
	w := r.worker
	if v != verdict.NotRun {
		r.startInDoubt = true
		r.setState(runUncertain, c.now)
		w.renewBy(c.now)
		return
	}
	c.noteRefusal(r, reason)
	if r.startInDoubt {
		r.setState(runUncertain, c.now)
		c.stopRun(r, stopRunUnknown)
		return
	}
	c.removeRun(r)
	c.stopGangRun(r.task.group, r.number)
}

// StopAnswered processes the answer to a stop order; err is nil if the order was carried out. fenced is as for
// StartAnswered.
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
	case err != nil && reason == workercall.ReasonWorkerRestarted:
		c.handleOtherIncarnation(w, order.To.StartedAtMS)
	case err != nil:
		c.log.Info("stop order failed", taskField(order.Run.Task), zap.Int("run", order.Run.Number),
			zap.String("worker", w.info.ID), zap.String("reason", string(reason)))
	case r != nil:
		// Only the first answer counts: stop orders are repeated more often than a worker without ends reports.
		if !r.startRuledOut && r.state != runRunning {
			r.setState(runUncertain, c.now)
		}
		r.startRuledOut = true
		w.renewBy(c.now)
	}
	return false
}

// PaceAnswered processes the answer to a pace order; err is nil if the order was carried out. After a failure the run's
// pace is unknown, and the next report leads to a new order. fenced is as for StartAnswered.
func (c *Cell) PaceAnswered(order PaceOrder, err error) (fenced bool) {
	if err == nil {
		return false
	}
	reason := verdict.ReasonOf(err)
	c.log.Info("pace order failed", taskField(order.Run.Task), zap.String("worker", order.To.ID), zap.String("reason", string(reason)))
	if w := c.workers[order.To.ID]; w != nil {
		if r := w.runs[order.Run]; r != nil {
			r.setPace(unknownPace)
		}
	}
	return reason == workercall.ReasonFenced
}

// unknownPace is the value of run.pace, otherwise 0 to 100 percent, after a pace order failed or was not answered, and of a run
// that a former owner may have paced. It differs from every computed pace, so that paceWorker sends a new order.
const unknownPace = -1
