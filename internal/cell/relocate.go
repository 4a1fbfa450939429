package cell

import (
	"time"

	"go.uber.org/zap"
)

const (
	// relocateInterval is the time between two searches for runs to relocate.
	relocateInterval = 300 * time.Millisecond
	// slowPace is the speed, in percent, up to which a best-effort run counts as slow.
	slowPace = 50
	// minSlowTime is how long a run must have been slow before it is relocated. It is longer than the time for which a
	// single wrong measurement lowers the pace.
	minSlowTime = 700 * time.Millisecond
	// maxRelocations is how often a task may be relocated because it is slow. Each relocation costs a stop and a start. A long-running
	// task may be relocated so often at once, and then once in moveInterval.
	maxRelocations = 3
	// moveInterval is the average time between two moves of a long-running task that could stay where it is.
	moveInterval = 20 * time.Second
	// maxLostPercent is the progress, in percent, that a task without checkpoints may lose by a relocation.
	maxLostPercent = 25
)

// relocate has runs stopped for which another worker has room: best-effort runs that are slow next to a service and
// would run at minPlacementSpeed or faster elsewhere, and runs of long-running tasks on draining or vacating workers. Once a run
// has ended, its task is placed again.
func (c *Cell) relocate() {
	if c.now-c.relocationCheckedAt < relocateInterval {
		return
	}
	c.relocationCheckedAt = c.now
	var v *placementView
	for _, w := range c.sortedWorkers() {
		for _, r := range w.relocatableRuns(c) {
			if v == nil {
				v = c.newPlacementView()
			}
			c.relocateRun(v, r)
		}
	}
}

// relocatableRuns returns the worker's runs that are relocated if another worker has room, sorted by task.
func (w *worker) relocatableRuns(c *Cell) []*run {
	candidates := w.bestEffort // the only ones that can be throttled
	if w.info.Draining || w.vacating {
		candidates = w.sortedRuns()
	}
	var runs []*run
	for _, r := range candidates {
		if c.throttledTooLong(r) || c.onDrainingWorker(r) {
			runs = append(runs, r)
		}
	}
	return runs
}

// onDrainingWorker reports whether a run belongs to a long-running task whose worker is draining or vacating. Without a relocation
// the task would not run from the end of the worker until its lease has expired: that the worker has no entry in the
// store does not prove that it has ended, since the entry may only be delayed.
func (c *Cell) onDrainingWorker(r *run) bool {
	if !r.worker.info.Draining && !r.worker.vacating || r.stopRequested || r.state != runRunning {
		return false
	}
	step := r.task.group.step
	return step.LongRunning && !step.Gang && r.task.group.job.live()
}

// throttledTooLong reports whether a best-effort run has been slow for minSlowTime and may be relocated: it is running,
// no stop is requested, it is not part of a gang, its job is live, its task was relocated less often than maxRelocations
// permits, and the task has checkpoints or its progress is at most maxLostPercent.
func (c *Cell) throttledTooLong(r *run) bool {
	if r.slowSince == 0 || r.pace > slowPace || c.now-r.slowSince < minSlowTime || r.stopRequested || r.state != runRunning {
		return false
	}
	step := r.task.group.step
	if !step.BestEffort || step.Gang {
		return false
	}
	t := r.task
	if t.relocations >= maxRelocations || t.movesCountUntil > c.now+(maxRelocations-1)*moveInterval {
		return false
	}
	return (step.Checkpoints || r.progressPercent <= maxLostPercent) && t.group.job.live()
}

// relocateRun has a run stopped if another worker has room for its task, and makes the task avoid the present worker.
func (c *Cell) relocateRun(v *placementView, r *run) {
	t := r.task
	previous := t.avoidWorker
	t.avoidWorker = r.worker.info.ID
	i := c.chooseWorker(v, t, nil)
	if i < 0 || v.workers[i] == r.worker {
		t.avoidWorker = previous
		return
	}
	c.reserve(v, t.group, i)
	switch {
	case !t.group.step.LongRunning:
		t.relocations++
	case !r.worker.info.Draining:
		t.movesCountUntil = max(t.movesCountUntil, c.now) + moveInterval
	}
	c.log.Info("relocating run", taskField(t.id), zap.Int("run", r.number), zap.String("worker", r.worker.info.ID),
		zap.Int("pace", r.pace), zap.Int("percent", r.progressPercent), zap.String("to", v.workers[i].info.ID))
	reason := stopThrottled
	if r.worker.info.Draining || r.worker.vacating {
		reason = stopWorkerDraining
	}
	c.stopRun(r, reason)
}
