package cell

import (
	"slices"
	"time"
)

// nextStepKind says what has a task looked at again.
type nextStepKind int

const (
	nextNone      nextStepKind = iota // nothing has; for a task of a job that may still run, that is a fault
	nextRun                           // a run may exist; its end is learned from a report or by the end of the worker's lease
	nextStart                         // a start order is to be sent once its round is stored, or is not answered yet
	nextPlacement                     // the task waits for a worker
	nextElsewhere                     // the task belongs to another cell, or its hand-over is being stored
	nextTurn                          // a step that it depends on is not done, and has a next step itself
	nextDone                          // the task is done
	nextJobEnded                      // the job has ended or was cancelled
)

// nextStep is what a task waits for.
type nextStep struct {
	kind nextStepKind
	// until is when the task is looked at again at the latest unless something happens earlier, as a reading of the clock of
	// Cell.SetTime; 0 if that is not known in this cell.
	until time.Duration
	// reason is why the last placement did not place the task. It is only set for nextPlacement.
	reason waitReason
}

// nextStep returns what a task waits for. It changes nothing. Each task has exactly one next step; nextNone means that an
// event was missed.
func (c *Cell) nextStep(t *task) nextStep {
	g := t.group
	switch {
	case !g.job.live():
		return nextStep{kind: nextJobEnded}
	case t.done && g.step.LongRunning:
		return nextStep{} // it runs until its job is cancelled
	case t.done:
		return nextStep{kind: nextDone}
	case t.elsewhere:
		if !c.belongsElsewhere(t) {
			return nextStep{}
		}
		return nextStep{kind: nextElsewhere}
	case len(t.runs) > 0:
		return c.nextStepOfRuns(t)
	case !g.ready:
		return c.nextStepOfTurn(g)
	}
	if !g.mayStart() || !c.isWaiting(g) || !c.placementDue() || t.notBefore > c.now+maxRetryDelay {
		return nextStep{}
	}
	next := nextStep{kind: nextPlacement, reason: g.waitReason, until: c.now}
	if !c.needsPlacement {
		next.until = c.nextRetry
	}
	return next
}

// belongsElsewhere reports whether a task belongs to another cell, as the assignments say that SetTasks was last called with,
// or its hand-over is being stored.
func (c *Cell) belongsElsewhere(t *task) bool {
	if t.leaving {
		return true
	}
	assignment, assigned := c.tasksElsewhere[t.id.Key()]
	if t.group.job.guest {
		return !assigned || assignment.Cell != c.number
	}
	return assigned && assignment.Cell != c.number
}

// nextStepOfTurn returns the next step of the tasks of a group that is not ready: they wait for an unfinished task of a step
// that theirs depends on.
func (c *Cell) nextStepOfTurn(g *group) nextStep {
	for _, dep := range g.step.DependsOn {
		id := g.id
		id.Step = dep
		depGroup := g.job.groups[id]
		if depGroup == nil {
			return nextStep{}
		}
		for _, t := range depGroup.tasks {
			if t.done {
				continue
			}
			if next := c.nextStep(t); next.kind != nextNone {
				return nextStep{kind: nextTurn, until: next.until}
			}
			return nextStep{}
		}
	}
	return nextStep{}
}

// nextStepOfRuns returns the next step of a task with runs, which one run with a next step is enough for.
func (c *Cell) nextStepOfRuns(t *task) nextStep {
	for _, r := range t.runs {
		w := r.worker
		if c.workers[w.info.ID] != w || w.runs[r.key()] != r {
			continue // reports about the run are not found
		}
		if next := c.nextStepOfRun(r); next.kind != nextNone {
			return next
		}
	}
	return nextStep{}
}

// nextStepOfRun returns the next step of a run.
func (c *Cell) nextStepOfRun(r *run) nextStep {
	w := r.worker
	switch {
	case r.state == runPlaced:
		if !c.startPending(r) {
			return nextStep{}
		}
		return nextStep{kind: nextStart}
	case !w.due.touched && w.due.leasesAt == 0:
		return nextStep{} // the end of the lease would be missed
	case r.state == runStartSent:
		return nextStep{kind: nextStart, until: w.leaseExpiresBy}
	case r.unresolved() && !w.mayHaveUnresolved:
		return nextStep{} // its orders are not repeated
	}
	return nextStep{kind: nextRun, until: w.leaseExpiresBy}
}

// startPending reports whether a run without a start order gets one once a round is stored.
func (c *Cell) startPending(r *run) bool {
	return slices.Contains(c.pendingStarts, r) || c.storing != nil && slices.Contains(c.storing.starts, r)
}

// isWaiting reports whether a group is in Cell.waiting.
func (c *Cell) isWaiting(g *group) bool {
	return g.waiting && (g.waitingAt < len(c.waiting) && c.waiting[g.waitingAt] == g || slices.Contains(c.waiting, g))
}

// maxRetryDelay is the longest time until placement is tried again while tasks wait, and for which a task is not placed.
const maxRetryDelay = max(unhealthyBackoff, refusedBackoff, restartDelay, maxRestartDelay, placementRetryInterval)

// placementDue reports whether the next Plan looks for workers, or a later one after at most maxRetryDelay.
func (c *Cell) placementDue() bool {
	return c.needsPlacement || c.nextRetry != 0 && c.nextRetry <= c.now+maxRetryDelay
}
