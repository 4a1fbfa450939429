package cell

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	// restartDelay is the minimum time from a task's failure to its next placement, so that a transient fault of the
	// worker can pass.
	restartDelay = 100 * time.Millisecond
)

// taskField returns the log field that identifies a task.
func taskField(t jobs.TaskID) zap.Field {
	return zap.Object("task", zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
		e.AddString("job", string(t.Job))
		e.AddInt("occurrence", t.Occurrence)
		e.AddInt("step", t.Step)
		e.AddInt("index", t.Index)
		return nil
	}))
}

// handleEnd processes the end of a run as reported by its worker.
func (c *Cell) handleEnd(w *worker, e *workercall.EndedRun) {
	c.metrics.countEndedRun(e.Reason.String())
	r := w.runs[e.Run]
	if r == nil {
		c.handleEndOfUnknownRun(w, e)
		return
	}
	t, g := r.task, r.task.group
	g.job.begun = true
	ran := r.runTime(c.now)
	c.log.Info("run ended", taskField(t.id), zap.Int("run", e.Number), zap.String("worker", w.info.ID),
		zap.Stringer("how", e.Reason), zap.Duration("ran", ran), zap.Int64("end", e.Sequence))
	c.adoptCheckpoint(r, e.Checkpoint)
	c.removeRun(r)
	switch e.Reason {
	case workercall.Done:
		c.taskSucceeded(r, ran)
		w.holdEnd(e.Sequence, t)
	case workercall.Failed:
		c.taskFailed(w, r)
	default: // stopped, or ended because the lease had expired
		c.stopGangRun(g, r.number)
	}
}

// runTime returns how long the owner has known the run to be running, or 0 if it never saw it running.
func (r *run) runTime(now time.Duration) time.Duration {
	if r.runningSince == 0 {
		return 0
	}
	return now - r.runningSince
}

// handleEndOfUnknownRun processes the end of a run that this owner does not know, for instance because it was
// abandoned. If the task succeeded in it, the task, or all tasks of a gang, are marked as done and new runs stopped, unless the task
// is long-running. The end is acknowledged in any case, so it would be lost if the new run were.
func (c *Cell) handleEndOfUnknownRun(w *worker, e *workercall.EndedRun) {
	j := c.jobs[e.Task.Job]
	if j == nil || !j.live() {
		return
	}
	t := j.task(e.Task)
	if t == nil {
		return
	}
	g := t.group
	j.begun = true
	c.log.Info("end of an unknown run", taskField(e.Task), zap.Int("run", e.Number),
		zap.String("worker", w.info.ID), zap.Stringer("how", e.Reason), zap.Int("runs", len(t.runs)))
	if e.Reason == workercall.Done && g.step.Gang {
		c.unknownGangRunSucceeded(w, t, e)
		return
	}
	if e.Reason == workercall.Done && c.unknownRunSucceeded(t, e.Number) {
		w.holdEnd(e.Sequence, t)
		return
	}
	if e.Reason == workercall.Done && t.needsRun() && e.Number <= t.lastRunNumber && !g.step.LongRunning {
		c.markDone(t)
		c.advanceStep(g)
	}
}

// unknownGangRunSucceeded marks the tasks of a gang as done of which an abandoned run has succeeded. The members of a run succeed
// together, so that the end of one of them stands for all.
func (c *Cell) unknownGangRunSucceeded(w *worker, t *task, e *workercall.EndedRun) {
	if t.done || t.group.step.LongRunning || e.Number > t.lastRunNumber {
		return
	}
	for _, member := range t.group.tasks {
		c.markDone(member)
		c.stopRedundantRuns(member)
		w.holdEnd(e.Sequence, member)
	}
	c.advanceStep(t.group)
}

// taskSucceeded marks the task of a run as done. For a gang, the success of one member completes all tasks. A
// long-running task is not marked as done, but waits for its next start.
func (c *Cell) taskSucceeded(r *run, ran time.Duration) {
	g := r.task.group
	c.recordSuccess(r)
	c.logRunTime(g, r, ran)
	c.noteEnd(g, ran)
	c.learnRunTime(r, ran)
	c.learnRackRunTime(r, ran)
	if g.step.LongRunning {
		r.task.waitingSince = c.now
		c.noteServiceEnd(r.task, ran, vainDone)
		return // the next call of Plan tries to place the task again
	}
	if g.step.Gang {
		for _, t := range g.tasks {
			c.markDone(t)
		}
	} else {
		c.countCopyResult(r)
		c.markDone(r.task)
		c.stopRedundantRuns(r.task)
	}
	c.advanceStep(g)
}

// recordSuccess records the success of a run for the quarantine of its worker.
func (c *Cell) recordSuccess(r *run) {
	id := r.worker.info.ID
	c.health.RecordSuccess(id, failureKind(r.task.group))
	r.worker.failureRate = c.health.FailureRate(id)
}

func (c *Cell) markDone(t *task) {
	if t.done {
		return
	}
	if t.needsRun() {
		t.group.toStart--
	}
	t.done = true
	t.group.unfinished--
	c.markTaskDirty(t)
}

// advanceStep does nothing while tasks of the group are unfinished. After that it marks the steps that depend on the
// group's step as ready, and ends the job if all its tasks are done.
func (c *Cell) advanceStep(g *group) {
	if g.unfinished > 0 {
		return
	}
	g.finishedAt = c.now
	c.markReady(g.job, g.id.Occurrence)
	c.noteOccurrenceEnd(g.job, g.id.Occurrence)
	c.completeJobIfDone(g.job)
}

// completeJobIfDone ends a job as completed if all tasks of all its occurrences are done.
func (c *Cell) completeJobIfDone(j *job) {
	if !j.live() || j.nextToOpen < j.record.Spec.Occurrences() {
		return
	}
	for _, g := range j.groups {
		if g.unfinished > 0 {
			return
		}
	}
	c.endJob(j, jobs.Completed)
}

// taskFailed counts a failed run and delays the next attempt. A gang's failure is counted once per run number, for its
// first task.
func (c *Cell) taskFailed(w *worker, r *run) {
	t, g := r.task, r.task.group
	quarantined := c.health.RecordFailure(w.info.ID, t.id.Key(), failureKind(g), c.wall)
	w.failureRate, w.lastFailure = c.health.FailureRate(w.info.ID), c.now
	if quarantined {
		c.log.Warn("worker quarantined", zap.String("worker", w.info.ID), zap.String("kind", failureKind(g)))
	}
	c.stopGangRun(g, r.number)
	if t.done {
		return
	}
	counted := t
	if g.step.Gang {
		counted = g.tasks[0]
		if g.lastFailedGangRun == r.number {
			return
		}
		g.lastFailedGangRun = r.number
	}
	counted.failures++
	t.avoidWorker = w.info.ID
	t.notBefore = c.now + restartDelay
	c.scheduleRetry(t.notBefore)
	if g.step.LongRunning {
		c.noteServiceEnd(t, r.runTime(c.now), vainFailed)
	}
	c.markTaskDirty(counted)
	c.markTaskDirty(t)
	c.failJobIfExhausted(g)
}

// failJobIfExhausted ends a job if one of its tasks has used all its attempts.
func (c *Cell) failJobIfExhausted(g *group) {
	if g.step.LongRunning || !g.job.live() {
		return
	}
	for _, t := range g.tasks {
		if !t.done && t.failures >= c.maxAttempts(g.job) {
			c.endJob(g.job, jobs.Failed)
			c.stopJobRuns(g.job, stopJobFailed)
			return
		}
	}
}

// maxAttempts returns the maximum number of attempts per task that was stored with the job when it was accepted.
func (c *Cell) maxAttempts(j *job) int { return max(1, j.record.MaxAttempts) }

// scheduleRetry has placement tried again at the given time, unless a retry is due earlier.
func (c *Cell) scheduleRetry(at time.Duration) {
	if c.nextRetry == 0 || at < c.nextRetry {
		c.nextRetry = at
	}
}

// failureKind returns the key by which failures are grouped for the quarantine: the image or, without one, the queue.
func failureKind(g *group) string {
	if g.step.Image != "" {
		return g.step.Image
	}
	return g.job.record.Queue
}

// logRunTime logs the run time of a task that succeeded together with its estimate, for comparison.
func (c *Cell) logRunTime(g *group, r *run, ran time.Duration) {
	if g.step.Estimate > 0 && r.runningSince > 0 {
		c.log.Debug("run time", zap.String("kind", failureKind(g)), zap.Duration("ran", ran), zap.Duration("estimate", g.step.Estimate))
	}
}
