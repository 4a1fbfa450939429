package cell

import (
	"sort"
	"time"

	"go.uber.org/zap"
)

const (
	// relocateInterval is the time between two searches for runs to relocate.
	relocateInterval = 300 * time.Millisecond
	// slowPace is the speed, in percent, up to which a best-effort run counts as slow.
	slowPace = 50
	// minSlowTime is how long a run must have been slow before it is relocated: a single wrong measurement lowers the
	// pace for a moment only.
	minSlowTime = 700 * time.Millisecond
	// maxRelocations limits how often a task is relocated, since each relocation costs a stop and a start.
	maxRelocations = 3
	// maxLostPercent is the progress, in percent, that a task without checkpoints may lose by a relocation.
	maxLostPercent = 25
)

// relocate stops runs that another worker has room for: best-effort runs that are throttled next to a service and would
// run at full speed elsewhere, and long-running tasks on draining workers. The next plan starts their tasks again.
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

// relocatableRuns returns the worker's runs that should move to another worker, sorted by task.
func (w *worker) relocatableRuns(c *Cell) []*run {
	var runs []*run
	for _, r := range w.runs {
		if c.throttledTooLong(r) || c.onDrainingWorker(r) {
			runs = append(runs, r)
		}
	}
	sort.Slice(runs, func(i, j int) bool { return lessRun(runs[i], runs[j]) })
	return runs
}

// onDrainingWorker reports whether a run belongs to a long-running task whose worker is draining. Without a relocation
// the task would be down until the lease expires, because a worker that is gone from the store may merely have a
// delayed entry.
func (c *Cell) onDrainingWorker(r *run) bool {
	step := r.task.group.step
	return r.worker.info.Draining && step.Lasting && !step.Gang && !r.stopRequested &&
		r.state == runRunning && r.task.group.job.live()
}

// throttledTooLong reports whether a best-effort run has been slow for minSlowTime and may be relocated.
func (c *Cell) throttledTooLong(r *run) bool {
	step := r.task.group.step
	if !step.Fills || step.Gang || r.stopRequested || r.state != runRunning ||
		r.pace > slowPace || r.slowSince == 0 || c.now-r.slowSince < minSlowTime {
		return false
	}
	return r.task.relocations < maxRelocations && (step.SavesProgress || r.progressPercent <= maxLostPercent) &&
		r.task.group.job.live()
}

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
	if !t.group.step.Lasting {
		t.relocations++
	}
	c.log.Info("relocating run", taskField(t.id), zap.Int("run", r.number), zap.String("worker", r.worker.info.ID),
		zap.Int("pace", r.pace), zap.Int("percent", r.progressPercent), zap.String("to", v.workers[i].info.ID))
	reason := stopThrottled
	if r.worker.info.Draining {
		reason = stopWorkerDraining
	}
	c.stopRun(r, reason)
}
