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
	"cactuswall.example/cactuswall/internal/urgency"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	// stragglerInterval is the time between two searches for stragglers.
	stragglerInterval = 250 * time.Millisecond
	// maxCopiesPercent limits the copies that are in progress, in percent of all runs of the cell. A cell may always have
	// minCellCopies.
	maxCopiesPercent = 5
	minCellCopies    = 4
	// maxTaskCopies and maxTaskRestarts limit how often one task is copied and restarted. A task that is slow again is
	// probably slow everywhere.
	maxTaskCopies   = 2
	maxTaskRestarts = 1
	// maxRestarts is the maximum number of runs that one search has stopped in order to restart their tasks.
	maxRestarts = 2
	// maxRestartLoss is the progress, in percent, up to which a run without checkpoints has only just begun.
	maxRestartLoss = 15
	// maxJobCopies is the maximum number of copies of one job that are in progress.
	maxJobCopies = 4
	// maxRest is the longest rest between reports with which the owner has processor time to spare. The rest begins at delays
	// that orders of a busy owner have all the time.
	maxRest = 160 * time.Millisecond
	// minLearnedRuns is the number of run times of a kind that say what a normal run time is. The first ones that are known are
	// those of the shortest runs. minTailRuns is the number that say how long the runs take that are not normal.
	minLearnedRuns = 20
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

	restartStarted = "started"
	restartWon     = "won"  // the task was done before the stopped run was expected to be
	restartLost    = "lost" // it was not
)

// stragglers is what the cell knows about runs that may take much longer than normal.
type stragglers struct {
	runTimes *straggler.RunTimes
	// copies and restarts are the results of these actions.
	copies, restarts straggler.Results
	// toJudge contains the runs that reports listed since the last search.
	toJudge []*run
	// copied contains the tasks with several runs. It may contain others, which the next search removes.
	copied    []*task
	checkedAt time.Duration   // when the last search was
	siblings  []time.Duration // memory of normalRunTime
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

// nearData reports whether a worker is on the rack of a step's data, if the step names one. On any other, tasks take longer.
func nearData(w *worker, s *jobs.Step) bool { return s.DataRack == "" || w.info.Rack == s.DataRack }

// setCold sets until when a worker is slow because it has just started.
func (w *worker) setCold(until time.Duration) {
	w.coldUntil = until
	w.slowUntil = max(until, w.speed.SlowUntil())
}

// forgetSpeed forgets what was learned about the speed of a worker, whose next incarnation may run elsewhere.
func (w *worker) forgetSpeed() {
	w.speed = straggler.Speed{}
	w.slowUntil = w.coldUntil
}

// observeCold takes in how much longer a worker is slow after its start. Each entry counts once, since it is read again
// until the next one.
func (c *Cell) observeCold(w *worker, info *workercall.Worker) {
	if info.StartedAtMS != w.info.StartedAtMS || info.Sequence != w.info.Sequence {
		w.setCold(c.now + info.ColdLeft)
	}
}

// observeProgress takes in the progress of a run that a report lists, and has the run judged in the next search unless it is
// normal.
func (c *Cell) observeProgress(r *run) {
	if !r.ownResources {
		return
	}
	if !r.observed {
		r.observed, r.normalUpTo = true, straggler.LongestNormal(c.learnedNormal(r.task.group))
		if r.attempts > 0 && !r.fromCheckpoint {
			r.progress.Observe(0, r.runningSince)
		}
	}
	r.progress.Observe(r.progressPercent, c.now)
	elapsed := c.now - r.runningSince
	if r.toJudge || elapsed < straggler.MinElapsed {
		return
	}
	remaining, known := r.progress.Remaining(c.now)
	switch {
	case !known && (r.progressPercent > 0 || elapsed <= r.normalUpTo):
		return // nothing is known of the run, or it takes no longer than others
	case known && elapsed+remaining <= r.normalUpTo && !r.worker.speed.Suspect():
		return
	}
	r.toJudge = true
	c.stragglers.toJudge = append(c.stragglers.toJudge, r)
}

// adoptCheckpoint records a checkpoint that a run reported. While a task has several runs, the checkpoint of the run that
// has got furthest is kept.
func (c *Cell) adoptCheckpoint(r *run, checkpoint string) {
	t := r.task
	if checkpoint == "" || checkpoint == t.checkpoint {
		return
	}
	if len(checkpoint) > c.maxCheckpointBytes() {
		c.metrics.LargeCheckpoints.Inc()
		return
	}
	percent := int8(max(0, min(servingPercent, r.progressPercent)))
	if (len(t.runs) > 1 || r.copied) && percent <= t.checkpointPercent {
		return
	}
	t.checkpoint, t.checkpointPercent = checkpoint, percent
}

// learnRunTime records the run time of a run that succeeded.
func (c *Cell) learnRunTime(r *run, ran time.Duration) {
	g := r.task.group
	c.countRestartResult(r)
	if ran <= 0 || r.attempts == 0 || r.fromCheckpoint || !hasOwnResources(g.step) || !nearData(r.worker, g.step) {
		return
	}
	c.observePace(r, ran, c.learnedNormal(g))
	if kind, unit := runKind(g); unit > 0 {
		c.stragglers.runTimes.Observe(kind, ran, unit)
	}
	if len(g.tasks) < 2 {
		return
	}
	if known := g.knownRunTimes(); len(known.ended) < maxSiblings {
		known.ended = append(known.ended, ran)
	}
}

// observePace records how fast a run is or was for the speed of its worker, and returns it. Where all tasks of a step take
// longer than others of their kind, that says nothing about their workers.
func (c *Cell) observePace(r *run, runTime, normal time.Duration) straggler.Pace {
	g := r.task.group
	pace := straggler.PaceOf(runTime, normal, func() time.Duration {
		kind, unit := runKind(g)
		return c.stragglers.runTimes.Quantile(kind, straggler.UsualShare, unit)
	})
	if pace == straggler.SlowPace {
		normal, _ = c.normalRunTime(g)
		if straggler.IsNormal(runTime, normal) {
			return straggler.UnknownPace
		}
	}
	first := pace == straggler.SlowPace && !r.slow
	r.slow = r.slow || first
	w := r.worker
	becameSlow := w.speed.Observe(pace, first, c.now)
	w.slowUntil = max(w.coldUntil, w.speed.SlowUntil())
	if becameSlow {
		c.metrics.SlowWorkers.Inc()
		c.log.Info("worker slow", zap.String("worker", w.info.ID), taskField(r.task.id), zap.Duration("run_time", runTime),
			zap.Duration("normal", normal))
	}
	return pace
}

// restartForecast is what was expected of a run when it was stopped in order to restart its task.
type restartForecast struct {
	run   int           // number of the run
	endBy time.Duration // when it would have ended
}

// countRestartResult counts the result of a restart when a later run has succeeded.
func (c *Cell) countRestartResult(r *run) {
	t := r.task
	if t.restart == nil || r.number <= t.restart.run {
		return
	}
	result := restartLost
	if c.now < t.restart.endBy {
		result = restartWon
	}
	t.restart = nil
	c.stragglers.restarts.Observe(result == restartWon)
	c.metrics.countRestart(result)
}

// heldEnd is an end whose acknowledgement waits until no further start of the task can take effect. Otherwise a start order
// that is late could start the task after its success was acknowledged.
type heldEnd struct {
	sequence int64
	task     *task
}

// holdEnd holds back the acknowledgement of an end while a start order of another run of the task may still take effect.
func (w *worker) holdEnd(sequence int64, t *task) {
	if t.mayStillStart() {
		w.heldEnds = append(w.heldEnds, heldEnd{sequence: sequence, task: t})
	}
}

// mayStillStart reports whether a start order of the task may still take effect.
func (t *task) mayStillStart() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool {
		return r.state == runStartSent || r.state == runUncertain && !r.startRuledOut
	})
}

// lastStorableEnd returns the sequence number of the last run end that may be acknowledged once its effect is stored.
func (w *worker) lastStorableEnd() int64 {
	last := w.lastEndSeen
	w.heldEnds = slices.DeleteFunc(w.heldEnds, func(e heldEnd) bool { return !e.task.mayStillStart() })
	for _, e := range w.heldEnds {
		last = min(last, e.sequence-1)
	}
	return last
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
	c.stragglers.copies.Observe(r.copied)
	c.metrics.countCopy(result)
	for _, other := range r.task.runs {
		c.learnStoppedRun(other)
	}
	c.log.Info("copy decided", taskField(r.task.id), zap.Int("run", r.number), zap.String("result", result))
}

// learnStoppedRun records the time that a run would have taken which is stopped because another has succeeded. Otherwise only
// short run times would be learned where copies are made.
func (c *Cell) learnStoppedRun(r *run) {
	remaining, known := r.progress.Remaining(c.now)
	if kind, unit := runKind(r.task.group); known && unit > 0 && r.attempts > 0 && !r.fromCheckpoint && r.runningSince > 0 {
		c.stragglers.runTimes.Observe(kind, r.runTime(c.now)+remaining, unit)
	}
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
	if t.group.step.Gang || t.group.step.LongRunning {
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

// remedy is an action that would gain something.
type remedy struct {
	run      *run
	decision straggler.Decision
	forecast straggler.Case
}

// treatStragglers judges the runs that reports have listed since the last search. Where one takes much longer than normal, it
// starts a copy of the task or has the run stopped, so that the task starts again, if capacity is free that no waiting work
// could use. An owner that is short of processor time does neither.
func (c *Cell) treatStragglers() {
	s := &c.stragglers
	if c.now-s.checkedAt < stragglerInterval {
		return
	}
	s.checkedAt = c.now
	s.copied = slices.DeleteFunc(s.copied, func(t *task) bool { return len(t.runs) < 2 })
	busy := c.load.Rest() > maxRest || c.load.Overloaded(c.now)
	var remedies []remedy
	for _, r := range s.toJudge {
		r.toJudge = false
		if busy || !slices.Contains(r.task.runs, r) {
			continue
		}
		forecast := c.forecast(r)
		if decision := straggler.Decide(forecast); decision.Action != straggler.Wait {
			remedies = append(remedies, remedy{run: r, decision: decision, forecast: forecast})
		}
	}
	clear(s.toJudge)
	s.toJudge = s.toJudge[:0]
	if len(remedies) > 0 {
		c.applyRemedies(remedies)
	}
}

// forecast returns what is expected of a run and of a new run of its task. The result permits no action if too little is
// known or the run is not slow.
func (c *Cell) forecast(r *run) straggler.Case {
	t, g := r.task, r.task.group
	elapsed := r.runTime(c.now)
	if elapsed < straggler.MinElapsed || r.state != runRunning || r.stopRequested || t.done {
		return straggler.Case{}
	}
	remaining, known := c.remaining(r)
	if !known {
		return straggler.Case{}
	}
	evident := !r.fromCheckpoint && r.attempts > 0 && nearData(r.worker, g.step)
	learned := c.learnedNormal(g)
	if evident && c.observePace(r, elapsed+remaining, learned) == straggler.NormalPace || !c.treatable(r) {
		return straggler.Case{}
	}
	normal, rerun := c.normalRunTime(g)
	if t.checkpoint != "" {
		rerun = rerun * time.Duration(servingPercent-t.checkpointPercent) / servingPercent
	}
	j := g.job
	forecast := straggler.Case{
		Elapsed: elapsed, Remaining: remaining, Normal: normal, Rerun: rerun, After: j.criticalPath[g.id.Step] - g.step.Estimate,
		Age: c.age(g), Objective: j.objective, Success: c.stragglers.copies.Success(), MayCopy: mayCopy(g.step) && t.copies < maxTaskCopies,
	}
	if !g.step.Speculative {
		forecast.Success = c.stragglers.restarts.Success()
		forecast.MayRestart = t.restarts < maxTaskRestarts && (g.step.Checkpoints && t.checkpoint != "" ||
			r.progressPercent > 0 && r.progressPercent <= maxRestartLoss)
	}
	return forecast
}

// treatable reports whether another run of the run's task may be started. The task must have an attempt left in case that
// the run fails while the start order of the other is under way.
func (c *Cell) treatable(r *run) bool {
	t := r.task
	return len(t.runs) == 1 && t.group.job.live() && t.failures+1 < c.maxAttempts(t.group.job)
}

// groupRunTimes is what is known of the run times of a group's tasks.
type groupRunTimes struct {
	ended []time.Duration // of tasks that succeeded, at most maxSiblings
	// normal and rerun are the last results of normalRunTime, as of the search at that time.
	normal, rerun, search time.Duration
}

func (g *group) knownRunTimes() *groupRunTimes {
	if g.runTimes == nil {
		g.runTimes = &groupRunTimes{}
	}
	return g.runTimes
}

// learnedNormal returns the normal run time of a group's tasks as learned from others of their kind; 0 if too few are known.
func (c *Cell) learnedNormal(g *group) time.Duration {
	kind, unit := runKind(g)
	if unit == 0 || c.stragglers.runTimes.Count(kind) < minLearnedRuns {
		return 0
	}
	return c.stragglers.runTimes.Quantile(kind, 0.5, unit)
}

// normalRunTime returns the normal run time of a group's tasks, and that of a new run with a margin; 0 if too little is known.
// Estimates are rough, so where the other tasks of the step take longer than others of their kind, that is normal.
func (c *Cell) normalRunTime(g *group) (normal, rerun time.Duration) {
	known := g.knownRunTimes()
	if known.search == c.stragglers.checkedAt && known.search > 0 {
		return known.normal, known.rerun
	}
	if normal = c.learnedNormal(g); normal > 0 {
		kind, unit := runKind(g)
		rerun = c.stragglers.runTimes.Quantile(kind, 0.75, unit)
	}
	// The lower median, since the run that is judged is one of them.
	if siblings := c.siblingRunTimes(g); len(siblings) > 1 {
		if median := siblings[(len(siblings)-1)/2]; median > normal {
			normal, rerun = median, time.Duration(unlearnedSpread*float64(median))
		}
	}
	known.search, known.normal, known.rerun = c.stragglers.checkedAt, normal, rerun
	return normal, rerun
}

// siblingRunTimes returns the known run times of a group's tasks and those that its runs are expected to take, sorted. The
// next call uses the slice again.
func (c *Cell) siblingRunTimes(g *group) []time.Duration {
	siblings := append(c.stragglers.siblings[:0], g.knownRunTimes().ended...)
	for _, t := range g.tasks {
		if len(siblings) >= maxSiblings {
			break
		}
		for _, r := range t.runs {
			if remaining, known := r.progress.Remaining(c.now); known && !r.fromCheckpoint {
				siblings = append(siblings, r.runTime(c.now)+remaining)
			}
		}
	}
	slices.Sort(siblings)
	c.stragglers.siblings = siblings
	return siblings
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

// applyRemedies starts copies and stops runs whose tasks are restarted, those first that gain most, as far as the limits and
// free capacity permit.
func (c *Cell) applyRemedies(remedies []remedy) {
	slices.SortFunc(remedies, func(a, b remedy) int {
		if order := cmp.Compare(b.decision.Gain, a.decision.Gain); order != 0 {
			return order
		}
		if lessRun(a.run, b.run) {
			return -1
		}
		return 1
	})
	ofJob := make(map[*job]int)
	for _, t := range c.stragglers.copied {
		ofJob[t.group.job]++
	}
	most, restarts := c.maxCopies(), 0
	v, waiting := c.newPlacementView(), c.waitingNeeds()
	for i := range remedies {
		x := &remedies[i]
		t := x.run.task
		copying := x.decision.Action == straggler.Copy
		switch {
		case copying && (len(c.stragglers.copied) >= most || ofJob[t.group.job] >= maxJobCopies),
			!copying && restarts >= maxRestarts:
			continue
		case c.load.AllowedStarts(c.unansweredStarts+len(c.pendingStarts)) == 0:
			return
		}
		to := c.chooseOtherWorker(v, x.run, waiting)
		switch {
		case to < 0:
		case copying:
			ofJob[t.group.job]++
			c.startCopy(v, x, to)
		default:
			restarts++
			c.restart(v, x, to)
		}
	}
}

// maxCopies returns the maximum number of copies in progress.
func (c *Cell) maxCopies() int {
	runs := 0
	for _, w := range c.workers {
		runs += len(w.runs)
	}
	return max(minCellCopies, runs*maxCopiesPercent/100)
}

// startCopy places a second run of a task on the worker with index to.
func (c *Cell) startCopy(v *placementView, x *remedy, to int) {
	t := x.run.task
	t.copies++
	c.stragglers.copied = append(c.stragglers.copied, t)
	c.metrics.countCopy(copyStarted)
	c.log.Info("starting a copy", x.fields(v, to)...)
	c.assign(v, t, to, t.lastRunNumber+1)
}

// restart has a run stopped. Once its end is confirmed, the task is placed again, not on the same worker.
func (c *Cell) restart(v *placementView, x *remedy, to int) {
	t := x.run.task
	t.restarts++
	t.restart = &restartForecast{run: x.run.number, endBy: c.now + x.forecast.Remaining}
	t.avoidWorker = x.run.worker.info.ID
	c.reserve(v, t.group, to)
	c.metrics.countRestart(restartStarted)
	c.log.Info("restarting a straggler", x.fields(v, to)...)
	c.stopRun(x.run, stopStraggler)
}

func (x *remedy) fields(v *placementView, to int) []zap.Field {
	return []zap.Field{
		taskField(x.run.task.id), zap.Int("run", x.run.number), zap.String("worker", x.run.worker.info.ID),
		zap.String("to", v.workers[to].info.ID), zap.Int("percent", x.run.progressPercent), zap.Duration("elapsed", x.forecast.Elapsed),
		zap.Duration("remaining", x.forecast.Remaining), zap.Duration("rerun", x.forecast.Rerun), zap.Float64("gain", x.decision.Gain),
	}
}

// chooseOtherWorker returns the index of the best worker for a new run of a run's task, or -1. It must be another worker than
// that of the run, trusted, not slow and near the task's data, with processor capacity that neither best-effort tasks nor waiting
// work could use.
func (c *Cell) chooseOtherWorker(v *placementView, r *run, waiting map[waitingKey]waitingNeed) int {
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
			nearData(w, step) && c.now >= w.slowUntil &&
			!wanted(w, v.candidates[i].SpareMilliCPU-need.ExpectedMilliCPU, waiting)
	})
}

// waitingKey identifies waiting tasks that could use the same workers, apart from resources.
type waitingKey struct {
	platformService, label string
	bestEffort             bool
}

// waitingNeed is what the least demanding of such tasks requests or, for best-effort tasks, the processor capacity that the
// most demanding one expects to use.
type waitingNeed struct {
	requested jobs.Resources
	milliCPU  int
}

// waitingNeeds returns the needs of the waiting work whose results are still worth something.
func (c *Cell) waitingNeeds() map[waitingKey]waitingNeed {
	needs := make(map[waitingKey]waitingNeed)
	for _, g := range c.waiting {
		if !g.mayStart() || g.rank.Class() == urgency.Expired {
			continue
		}
		key := waitingKey{platformService: c.platformServiceOf(g.job), label: g.step.RequiredLabel, bestEffort: g.step.BestEffort}
		need, known := needs[key]
		request := g.step.Requested()
		if !known {
			need.requested = request
		}
		need.requested = jobs.Resources{
			MilliCPU: min(need.requested.MilliCPU, request.MilliCPU), MemoryMB: min(need.requested.MemoryMB, request.MemoryMB),
			GPU: min(need.requested.GPU, request.GPU),
		}
		need.milliCPU = max(need.milliCPU, expectedStepCPU(g.step))
		needs[key] = need
	}
	return needs
}

// wanted reports whether waiting work could use a worker, now or once more of it is free. spare is the processor capacity
// that would be left there. As long as that is enough for a waiting best-effort task, the task waits for another reason, such
// as services on the worker.
func wanted(w *worker, spare int, waiting map[waitingKey]waitingNeed) bool {
	for key, need := range waiting {
		if w.info.Service != key.platformService || key.label != "" && !hasLabel(w, key.label) || !w.info.Capacity.Contains(need.requested) {
			continue
		}
		if !key.bestEffort || spare < need.milliCPU {
			return true
		}
	}
	return false
}
