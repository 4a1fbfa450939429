package cell

import (
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

// Started takes in the answer to a start.
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
		c.counts.Starting.Update((c.now - r.since).Seconds())
		c.nowRunning(r)
		w.nextHold = min(w.nextHold, c.now)
		return false
	}
	reason := verdict.ReasonOf(err)
	c.counts.refused(string(reason))
	c.log.Info("start not taken", taskField(r.task.id), zap.Int("run", r.number), zap.String("worker", w.info.ID),
		zap.String("reason", string(reason)), zap.Stringer("verdict", verdict.Of(err)), zap.Error(err))
	switch reason {
	case workercall.ReasonFenced:
		return true
	case workercall.ReasonOtherLife:
		c.otherLife(w)
	case workercall.ReasonWithdrawn:
		c.withdrawn(r)
	case workercall.ReasonOld:
		r.state, r.since, r.settled = runUncertain, c.now, true
		w.nextHold = min(w.nextHold, c.now)
	default:
		c.refused(r, reason, verdict.Of(err))
	}
	return false
}

// Wanted tells whether a start is still to be sent: orders wait behind others to the same worker, and a start that goes
// out late could follow the end of the task or of its job.
func (c *Cell) Wanted(order StartOrder) bool {
	w := c.workers[order.To.ID]
	if w == nil {
		return false
	}
	r := w.runs[order.Start.Run]
	return r != nil && r.state == runSent && !r.stop
}

// withdrawn deals with a start that was not sent.
func (c *Cell) withdrawn(r *run) {
	if r.doubt {
		r.state, r.since = runUncertain, c.now
		return
	}
	c.dropRun(r)
	c.breakGang(r.task.group, r.number)
}

// refused deals with a start that was not taken or had no answer.
func (c *Cell) refused(r *run, reason verdict.Reason, v verdict.Verdict) {
	w := r.worker
	if v != verdict.NotRun {
		r.doubt = true
		r.state, r.since = runUncertain, c.now
		w.nextHold = min(w.nextHold, c.now)
		return
	}
	pause := refusedPause
	if reason == workercall.ReasonUnhealthy || reason == workercall.ReasonUnreachable {
		pause = unhealthyPause
	}
	w.refusing = c.now + pause
	c.retryAt(w.refusing)
	if r.doubt {
		r.state, r.since = runUncertain, c.now
		c.stopRun(r, stopUnknown)
		return
	}
	c.dropRun(r)
	c.breakGang(r.task.group, r.number)
}

// StopAnswered takes in the answer to a stop.
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
		r.stopping = false
	}
	switch {
	case err != nil && reason == workercall.ReasonOtherLife:
		c.otherLife(w)
	case err != nil:
		c.log.Info("stop not taken", taskField(order.Run.Task), zap.Int("run", order.Run.Number),
			zap.String("worker", w.info.ID), zap.String("reason", string(reason)))
	case r != nil:
		r.settled = true
		if r.state != runRunning {
			r.state, r.since = runUncertain, c.now
		}
		w.nextHold = min(w.nextHold, c.now)
	}
	return false
}

// PaceAnswered takes in the answer to an order to pace.
func (c *Cell) PaceAnswered(order PaceOrder, err error) (fenced bool) {
	if err == nil {
		return false
	}
	reason := verdict.ReasonOf(err)
	c.log.Info("pace not taken", taskField(order.Run.Task), zap.String("worker", order.To.ID), zap.String("reason", string(reason)))
	if w := c.workers[order.To.ID]; w != nil {
		if r := w.runs[order.Run]; r != nil {
			r.pace = unknownPace
		}
	}
	return reason == workercall.ReasonFenced
}

// unknownPace marks a run whose last order to pace had no answer.
const unknownPace = -1
