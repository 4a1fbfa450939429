package cell

import (
	"math/bits"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

// A task ends repeatedly if one start after the other comes to nothing: a worker refuses it, or the run of a long-running task ends by
// itself, as failed or done, after less than lastingRun. So do all tasks of a group or job whose starts are refused one after the other. The
// starts of such tasks are delayed longer and longer, and only a share of the starts of a round goes to them, so that no job keeps the starts
// of others waiting.
const (
	// lastingRun is how long a run must have been running so that its end is not one of a series.
	lastingRun = 5 * time.Second
	// promptStarts is the number of starts that come to nothing before the delay grows from restartDelay on; it doubles with each
	// further one, up to maxRestartDelay. Tasks with more are those that end repeatedly.
	promptStarts    = 3
	maxRestartDelay = 3 * time.Second
	// repeatedShare is the share of a round's starts, one in so many, that goes to tasks that end repeatedly.
	repeatedShare = 4
	// repeatedInterval is the time until placement is tried again after a round in which the share was used up.
	repeatedInterval = 25 * time.Millisecond
)

// Reasons why a start came to nothing, apart from those for which workers refuse start orders. The values are log and metric labels.
const (
	vainFailed = "failed"
	vainDone   = "done"
)

// endsRepeatedly reports whether the starts of a task come to nothing again and again.
func (t *task) endsRepeatedly() bool {
	return t.vainStarts > promptStarts || t.group.refusedRepeatedly()
}

// refusedRepeatedly reports whether workers refuse one start after the other of the group or of its job.
func (g *group) refusedRepeatedly() bool {
	return g.refusals > promptStarts || g.job.refusals > promptStarts
}

// noteRefusal handles the refusal of a start order, or one that did not reach the worker. No tasks are placed on the worker for a while,
// unless the order is malformed or starts of the same group are refused again and again: then others may be accepted there.
func (c *Cell) noteRefusal(r *run, reason verdict.Reason) {
	w, g := r.worker, r.task.group
	ofWorker := reason == workercall.ReasonUnreachable
	if !ofWorker {
		g.refusals, g.job.refusals = min(maxVainStarts, g.refusals+1), min(maxVainStarts, g.job.refusals+1)
		ofWorker = reason != workercall.ReasonMalformedOrder && !g.refusedRepeatedly()
	}
	if ofWorker {
		backoff := refusedBackoff
		if reason == workercall.ReasonUnhealthy || reason == workercall.ReasonUnreachable {
			backoff = unhealthyBackoff
		}
		w.refusingUntil = c.now + backoff
		c.scheduleRetry(w.refusingUntil)
	} else {
		r.task.avoidWorker = w.info.ID
	}
	c.noteVainStart(r.task, string(reason))
}

// startAccepted notes that a worker has accepted a start of the group.
func (g *group) startAccepted() { g.refusals, g.job.refusals = 0, 0 }

// noteVainStart delays the next start of a task whose last one came to nothing.
func (c *Cell) noteVainStart(t *task, reason string) {
	if t.vainStarts < maxVainStarts {
		t.vainStarts++
	}
	if !t.endsRepeatedly() {
		return
	}
	delay := min(maxRestartDelay, restartDelay<<min(max(t.vainStarts, promptStarts)-promptStarts, maxDoublings))
	delay -= delay / 4 * time.Duration(t.jitter()) / maxJitter
	t.notBefore = max(t.notBefore, c.now+delay)
	c.scheduleRetry(t.notBefore)
	c.metrics.countDelayedRestart(reason)
	if bits.OnesCount8(t.vainStarts) == 1 {
		c.log.Info("starts of a task come to nothing", taskField(t.id), zap.Uint8("starts", t.vainStarts), zap.String("reason", reason),
			zap.Duration("delay", delay))
	}
}

// maxJitter is the number of values of jitter.
const maxJitter = 64

// jitter returns a number below maxJitter that differs between tasks and between starts, so that tasks that ended together do not start
// together again and again.
func (t *task) jitter() int { return (37*t.id.Index + 11*t.lastRunNumber) % maxJitter }

// maxVainStarts is the highest number that is counted, and maxDoublings how often the delay doubles at most, which is enough for
// maxRestartDelay.
const (
	maxVainStarts = 63
	maxDoublings  = 5
)

// resumeSeries has a new owner take the last starts of a long-running task that was started often for ones that came to nothing, which
// are not stored: its next start is prompt, and only one that lasts makes the following ones prompt again.
func (t *task) resumeSeries() {
	if t.group.step.LongRunning && t.lastRunNumber > 2*promptStarts {
		t.vainStarts = promptStarts
	}
}

// noteServiceEnd notes that a run of a long-running task has ended by itself.
func (c *Cell) noteServiceEnd(t *task, ran time.Duration, reason string) {
	if ran >= lastingRun {
		t.vainStarts = 0
	}
	c.noteVainStart(t, reason)
}
