package cell

import (
	"time"

	"cactuswall.example/cactuswall/internal/quarantine"
)

// lastAttemptDelay is how long a task that must not fail again waits, and a quarantined worker must not have failed any task,
// before the task runs there for want of any other worker. Most worker faults have passed by then.
const lastAttemptDelay = 8 * time.Second

// hasProbeRun reports whether a run on the worker is already probing it.
func (w *worker) hasProbeRun() bool {
	for _, r := range w.runs {
		if r.probe {
			return true
		}
	}
	return false
}

// mayProbe reports whether a task may run on a worker that is being probed: a gang's never, a long-running one always,
// and any other if it has more than one attempt left.
func (c *Cell) mayProbe(t *task) bool {
	return !t.group.step.Gang && (t.group.step.LongRunning || t.failures+1 < c.maxAttempts(t.group.job))
}

// mayRunOnSuspect reports whether a task that can run on no trusted worker may run on a worker that is quarantined or being
// probed. The backoff of the quarantine does not apply to it, since it keeps tasks away from a worker for the sake of others.
// A long-running task, which may fail any number of times, waits for probeBackoff.First; any other one that may probe does
// so one at a time. The last attempt of a task and gangs wait for lastAttemptDelay, and no task waits longer than
// probeBackoff.Max.
func (c *Cell) mayRunOnSuspect(w *worker, t *task) bool {
	waited, withoutFailure := c.now-t.waitingSince, c.now-w.lastFailure
	switch {
	case waited >= probeBackoff.Max:
		return true
	case t.group.step.LongRunning && !t.group.step.Gang:
		return waited >= probeBackoff.First
	case c.mayProbe(t) && !w.hasProbeRun() && withoutFailure >= probeBackoff.First:
		return true
	}
	return min(waited, withoutFailure) >= lastAttemptDelay
}

// hasTrustedWorker reports whether a trusted worker that accepts tasks can run a task: now if the task is long-running, since
// others like it may hold the resources for good, and for any other now or once resources are free.
func (c *Cell) hasTrustedWorker(v *placementView, t *task, platformService string) bool {
	step, perWorker := t.group.step, c.runsPerWorker(t.group)
	for i, w := range v.workers {
		room := w.info.Capacity
		if step.LongRunning {
			room = v.candidates[i].Free
		}
		if v.states[i] == quarantine.Trusted && room.Contains(step.Requested()) && meetsConstraints(w, step, platformService, perWorker[w]) {
			return true
		}
	}
	return false
}
