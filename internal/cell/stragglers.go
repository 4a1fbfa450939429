package cell

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/placement"
	"cactuswall.example/cactuswall/internal/quarantine"
	"cactuswall.example/cactuswall/internal/straggler"
)

const (
	// stragglerInterval is the time between two searches for stragglers.
	stragglerInterval = 250 * time.Millisecond
	// maxCopiesPercent limits the copies that are in progress, in percent of all runs of the cell. A cell may always have
	// minCellCopies.
	maxCopiesPercent = 5
	minCellCopies    = 4
	// maxJobCopies is the maximum number of copies of one job that are in progress.
	maxJobCopies = 4
	// maxWaitingForCopies is the number of waiting groups above which no copies are made. With fewer, it is checked which
	// workers the groups could use.
	maxWaitingForCopies = 16
	// minLearnedRuns is the number of run times of a kind that say what a normal run time is, minTailRuns the number that
	// say how long the runs take that are not normal.
	minLearnedRuns = 8
	minTailRuns    = 30
	// maxSiblings is the maximum number of run times that are kept of one group.
	maxSiblings = 32
	// unlearnedSpread is how many times the normal run time a new run is expected to take while too few are known.
	unlearnedSpread = 1.25
)

// Results of copies, for metrics and the log.
const (
	copyStarted = "started"
	copyWon     = "won"  // the copy succeeded first
	copyLost    = "lost" // the run that it was started for succeeded first
)

// stragglers is what the cell knows about runs that may take much longer than normal.
type stragglers struct {
	runTimes *straggler.RunTimes
	results  straggler.Results
	// watched contains the running runs that may be copied. It may contain ended ones, which the next search removes.
	watched []*run
	// copied contains the tasks with several runs. It may contain others, which the next search removes.
	copied    []*task
	checkedAt time.Duration // when the last search was
}

func newStragglers() stragglers { return stragglers{runTimes: straggler.NewRunTimes()} }

// runKind returns the kind under which the run times of a group's tasks are learned, and the unit in which they are
// measured, which is 0 if they are not. Tasks of one image may be of different sizes, so where there is an estimate, run
// times are multiples of it.
func runKind(g *group) (kind string, unit time.Duration) {
	switch {
	case g.step.Estimate > 0:
		return failureKind(g), g.step.Estimate
	case g.step.Image != "":
		return g.step.Image + " without estimate", time.Second
	}
	return "", 0
}

// hasOwnResources reports whether the tasks of a step end by themselves and run on resources of their own, so that their
// run times depend on nothing that the owner controls.
func hasOwnResources(s *jobs.Step) bool { return !s.LongRunning && !s.BestEffort && !s.Gang }

// mayCopy reports whether a step permits copies.
func mayCopy(s *jobs.Step) bool { return s.Speculative && hasOwnResources(s) }

// watch has a running run judged in the searches that follow.
func (c *Cell) watch(r *run) {
	if r.watched || !mayCopy(r.task.group.step) {
		return
	}
	r.watched = true
	if r.attempts > 0 && !r.fromCheckpoint {
		r.progress.Observe(0, r.runningSince)
	}
	c.stragglers.watched = append(c.stragglers.watched, r)
}

// adoptCheckpoint records a checkpoint that a run reported. While a task has several runs, the checkpoint of the run that
// has got furthest is kept.
func (r *run) adoptCheckpoint(checkpoint string) {
	t := r.task
	if checkpoint == "" || checkpoint == t.checkpoint {
		return
	}
	if (len(t.runs) > 1 || r.copied) && r.progressPercent <= t.checkpointPercent {
		return
	}
	t.checkpoint, t.checkpointPercent = checkpoint, r.progressPercent
}

// learnRunTime records the run time of a run that succeeded.
func (c *Cell) learnRunTime(r *run, ran time.Duration) {
	g := r.task.group
	if ran <= 0 || r.attempts == 0 || r.fromCheckpoint || !hasOwnResources(g.step) {
		return
	}
	if kind, unit := runKind(g); unit > 0 {
		c.stragglers.runTimes.Observe(kind, ran, unit)
	}
	if mayCopy(g.step) && len(g.runTimes) < maxSiblings {
		g.runTimes = append(g.runTimes, ran)
	}
}

// countCopyResult counts the result of a copy when a run of its task has succeeded. The run is removed already, the other
// one is not.
func (c *Cell) countCopyResult(r *run) {
	if r.task.done || len(r.task.runs) == 0 {
		return
	}
	result := copyLost
	if r.copied {
		result = copyWon
	}
	c.stragglers.results.Observe(r.copied)
	c.metrics.countCopy(result)
	c.log.Info("copy decided", taskField(r.task.id), zap.Int("run", r.number), zap.String("result", result))
}

// unknownRunSucceeded marks a task that has new runs as done after a run succeeded that the owner had abandoned, and has the
// new ones stopped. Otherwise the task could start again, although its success is acknowledged. It reports whether it did so.
func (c *Cell) unknownRunSucceeded(t *task, number int) bool {
	if t.done || len(t.runs) == 0 || number > t.lastRunNumber || t.group.step.Gang || t.group.step.LongRunning {
		return false
	}
	c.markDone(t)
	c.stopRedundantRuns(t)
	c.advanceStep(t.group)
	return true
}

// stopRedundantRuns has the remaining runs of a task stopped that is done.
func (c *Cell) stopRedundantRuns(t *task) {
	for _, r := range append([]*run(nil), t.runs...) {
		c.stopRun(r, stopRedundantRun)
	}
}

// copyLoaded handles a run that was loaded from the store. A former owner may have stored that the task is done before the
// other run of the task had ended.
func (c *Cell) copyLoaded(r *run) {
	t := r.task
	if !mayCopy(t.group.step) {
		return
	}
	if len(t.runs) > 1 {
		r.copied = true // runs are stored in the order of their placement
		c.stragglers.copied = append(c.stragglers.copied, t)
	}
	if t.done {
		c.stopRun(r, stopRedundantRun)
	}
}

// copyCandidate is a run for which a copy would gain something.
type copyCandidate struct {
	run      *run
	decision straggler.Decision
	forecast straggler.Case
}

// treatStragglers starts copies of tasks whose run takes much longer than normal, where capacity is free that no waiting
// work could use. An owner that is short of processor time starts none.
func (c *Cell) treatStragglers() {
	s := &c.stragglers
	if c.now-s.checkedAt < stragglerInterval {
		return
	}
	s.checkedAt = c.now
	s.watched = slices.DeleteFunc(s.watched, func(r *run) bool { return !slices.Contains(r.task.runs, r) })
	s.copied = slices.DeleteFunc(s.copied, func(t *task) bool { return len(t.runs) < 2 })
	if len(s.watched) == 0 || c.load.Rest() > 0 || c.load.Overloaded(c.now) || len(c.waiting) > maxWaitingForCopies {
		return
	}
	var candidates []copyCandidate
	for _, r := range s.watched {
		if !c.copyable(r) {
			continue
		}
		forecast := c.forecast(r)
		if decision := straggler.Decide(forecast); decision.Action == straggler.Copy {
			candidates = append(candidates, copyCandidate{run: r, decision: decision, forecast: forecast})
		}
	}
	if len(candidates) > 0 {
		c.startCopies(candidates)
	}
}

// copyable reports whether a copy of the run's task may be started. The task must have an attempt left in case that the run
// fails while the start order of the copy is under way.
func (c *Cell) copyable(r *run) bool {
	t := r.task
	return r.state == runRunning && !r.stopRequested && len(t.runs) == 1 && !t.done && t.group.job.live() &&
		t.failures+1 < c.maxAttempts(t.group.job) && mayCopy(t.group.step)
}

// forecast returns what is expected of a run and of a copy of its task.
func (c *Cell) forecast(r *run) straggler.Case {
	g := r.task.group
	j := g.job
	normal, rerun := c.normalRunTime(r)
	remaining, known := c.remaining(r)
	if !known {
		return straggler.Case{}
	}
	if r.task.checkpoint != "" {
		rerun = rerun * time.Duration(100-min(100, r.task.checkpointPercent)) / 100
	}
	return straggler.Case{
		Elapsed: r.runTime(c.now), Remaining: remaining, Normal: normal, Rerun: rerun,
		After: j.criticalPath[g.id.Step] - g.step.Estimate, Age: c.age(g), Objective: j.objective,
		Success: c.stragglers.results.Success(), MayCopy: true,
	}
}

// normalRunTime returns the normal run time of a run's task, and that of a new run with a margin; 0 if too little is known.
// The other tasks of the step count as well, since estimates are rough.
func (c *Cell) normalRunTime(r *run) (normal, rerun time.Duration) {
	g := r.task.group
	siblings := append([]time.Duration(nil), g.runTimes...)
	for _, t := range g.tasks {
		if len(siblings) >= maxSiblings {
			break
		}
		for _, other := range t.runs {
			if remaining, known := other.progress.Remaining(c.now); known && t != r.task && !other.fromCheckpoint {
				siblings = append(siblings, other.runTime(c.now)+remaining)
			}
		}
	}
	slices.Sort(siblings)
	kind, unit := runKind(g)
	if unit > 0 && c.stragglers.runTimes.Count(kind) >= minLearnedRuns {
		normal = c.stragglers.runTimes.Quantile(kind, 0.5, unit)
		rerun = c.stragglers.runTimes.Quantile(kind, 0.75, unit)
	}
	if n := len(siblings); n > 1 || n == 1 && normal > 0 {
		if median := siblings[(n-1)/2]; median > normal {
			normal, rerun = median, time.Duration(unlearnedSpread*float64(median))
		}
	}
	return normal, rerun
}

// remaining returns the expected remaining time of a run: by the progress that its worker reports or, without that, by the
// run times of its kind.
func (c *Cell) remaining(r *run) (remaining time.Duration, known bool) {
	if remaining, known := r.progress.Remaining(c.now); known {
		return remaining, true
	}
	kind, unit := runKind(r.task.group)
	if r.progressPercent > 0 || r.attempts == 0 || r.fromCheckpoint || unit == 0 || c.stragglers.runTimes.Count(kind) < minTailRuns {
		return 0, false
	}
	elapsed := r.runTime(c.now)
	if remaining, known := c.stragglers.runTimes.Remaining(kind, elapsed, unit); known {
		return remaining, true
	}
	return elapsed, true // longer than all that are known
}

// startCopies starts copies, those first that gain most, as far as the limits and free capacity permit.
func (c *Cell) startCopies(candidates []copyCandidate) {
	slices.SortFunc(candidates, func(a, b copyCandidate) int {
		if order := cmp.Compare(b.decision.Gain, a.decision.Gain); order != 0 {
			return order
		}
		if lessRun(a.run, b.run) {
			return -1
		}
		return 1
	})
	runs := 0
	for _, w := range c.workers {
		runs += len(w.runs)
	}
	most := max(minCellCopies, runs*maxCopiesPercent/100)
	ofJob := make(map[*job]int)
	for _, t := range c.stragglers.copied {
		ofJob[t.group.job]++
	}
	v := c.newPlacementView()
	for _, candidate := range candidates {
		t := candidate.run.task
		if len(c.stragglers.copied) >= most || c.load.AllowedStarts(c.unansweredStarts+len(c.pendingStarts)) == 0 {
			return
		}
		if ofJob[t.group.job] >= maxJobCopies {
			continue
		}
		i := c.chooseCopyWorker(v, candidate.run)
		if i < 0 {
			continue
		}
		ofJob[t.group.job]++
		c.stragglers.copied = append(c.stragglers.copied, t)
		c.metrics.countCopy(copyStarted)
		c.log.Info("starting a copy", taskField(t.id), zap.Int("run", candidate.run.number), zap.String("worker", candidate.run.worker.info.ID),
			zap.String("to", v.workers[i].info.ID), zap.Duration("elapsed", candidate.forecast.Elapsed),
			zap.Duration("remaining", candidate.forecast.Remaining), zap.Duration("rerun", candidate.forecast.Rerun),
			zap.Float64("gain", candidate.decision.Gain))
		c.assign(v, t, i, t.lastRunNumber+1)
	}
}

// chooseCopyWorker returns the index of the best worker for a copy of a run's task, or -1. It must be another worker than
// that of the run and a trusted one, as near to the task's data, with processor capacity that neither best-effort tasks nor
// waiting work use.
func (c *Cell) chooseCopyWorker(v *placementView, r *run) int {
	t := r.task
	step := t.group.step
	platformService, perWorker := c.platformServiceOf(t.group.job), c.runsPerWorker(t.group)
	need := placement.Need{
		Kind: placementKind(step), Requested: step.Requested(), ExpectedMilliCPU: expectedStepCPU(step), DataRack: step.DataRack,
		AvoidWorker: r.worker.info.ID,
	}
	return placement.Best(v.candidates, need, func(i int) bool {
		w := v.workers[i]
		return w != r.worker && v.states[i] == quarantine.Trusted && meetsConstraints(w, step, platformService, perWorker[w]) &&
			v.candidates[i].SpareMilliCPU >= need.ExpectedMilliCPU &&
			(step.DataRack == "" || w.info.Rack == step.DataRack) && !c.wantedByWaiting(w)
	})
}

// wantedByWaiting reports whether waiting work could use a worker, now or once more of the worker is free.
func (c *Cell) wantedByWaiting(w *worker) bool {
	for _, g := range c.waiting {
		if g.mayStart() && w.info.Capacity.Contains(g.step.Requested()) && meetsConstraints(w, g.step, c.platformServiceOf(g.job), 0) {
			return true
		}
	}
	return false
}
