package cell

import (
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/drain"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/placement"
	"cactuswall.example/cactuswall/internal/quarantine"
)

const (
	// assumedServiceCPUPercent is the assumed CPU use of a service task, in percent of its request.
	assumedServiceCPUPercent = 55
	// maxStartsPerRound limits the runs that one round places, so that a burst does not delay storing run ends. A round
	// that has placed this many, or as many as Cell.load allows, places no more, except for the rest of a gang.
	maxStartsPerRound = 64
	// placementRetryInterval is the time until placement is tried again after a round that reached maxStartsPerRound,
	// or while tasks wait.
	placementRetryInterval = 100 * time.Millisecond
)

// needKey identifies tasks with the same constraints: apart from resources, the same workers are eligible for all of
// them, unless limited is set.
type needKey struct {
	kind            placement.Kind
	platformService string
	image           string
	label           string
	rack            string
	limited         bool // the number of tasks on one worker is limited
	limits          placementLimits
	mayProbe        bool // may run on a worker that is being probed
}

// place chooses workers for waiting tasks, starting with the most urgent group.
func (c *Cell) place() {
	groups := c.sortWaiting()
	if len(groups) == 0 {
		return
	}
	turns := c.takeTurns(groups)
	v := c.newPlacementView()
	allowed := min(maxStartsPerRound, c.load.AllowedStarts(c.unansweredStarts-v.hangingStarts))
	v.repeatedStarts = max(1, allowed/repeatedShare)
	idle, placed := c.placeIdle(v, groups, c.idleStarts(allowed))
	unplaced := false
	var withoutRoom []*group // interrupted groups
	for i, g := range groups {
		limit := maxStartsPerRound
		if !g.rank.Interrupted() {
			limit = allowed
			// Not before: other interrupted tasks may use the room that is left on workers that are kept free.
			c.reserveWorkers(v, withoutRoom)
			withoutRoom = nil
		}
		count, all := c.placeGroup(v, g, max(0, limit-placed))
		placed += count
		unplaced = unplaced || !all
		turns.placed(v, g, count+idle[g])
		if g.waitReason == waitRoom && g.rank.Interrupted() {
			withoutRoom = append(withoutRoom, g)
		}
		if g.waitReason == waitTurn {
			c.load.Limited()
			c.waitForTurn(groups, i)
			turns.notReached(groups[i+1:])
			break
		}
	}
	turns.settle()
	if unplaced {
		c.scheduleRetry(c.now + placementRetryInterval)
	}
}

// acceptsTasks reports whether tasks may be placed on a worker now.
func (c *Cell) acceptsTasks(w *worker) bool {
	return w.takesStarts() && !c.evacuated(w) && w.reconciled && w.clockKnown && !w.cordoned && c.takesExtension(w) && w.failingSince == 0 &&
		c.now >= w.refusingUntil && w.unansweredStarts < maxUnansweredStarts && !c.hangs(w) && c.now-w.lastReport < c.maxPlacementReportAge()
}

// takesStarts reports whether start orders may be sent to a worker, as far as its entry says. That may change between the
// placement of a task and each of its start orders.
func (w *worker) takesStarts() bool {
	return w.listed && !w.entryOutdated && !w.dead && !w.info.Draining
}

// expectedCPU returns the CPU, in milli-CPU, that a run is expected to use.
func (r *run) expectedCPU() int {
	request := r.task.group.step.Request.MilliCPU
	switch {
	case r.task.group.step.TargetTailLatency > 0:
		return request * assumedServiceCPUPercent / 100
	case r.task.group.step.BestEffort && r.pace >= 0:
		return request * r.pace / 100
	}
	return request
}

// placeGroup places up to limit of a group's waiting tasks, or all members of a gang, and returns how many it placed.
// all is false if some of them were not placed.
func (c *Cell) placeGroup(v *placementView, g *group, limit int) (placed int, all bool) {
	if g.step.Gang && limit > 0 {
		return c.placeGang(v, g)
	}
	postponed, prefersRack := waitNone, c.prefersRack(g.step)
	first := g.firstConsidered
	for i := range g.tasks {
		t := g.tasks[(first+i)%len(g.tasks)]
		if !t.needsRun() {
			continue
		}
		if c.now < t.notBefore {
			postponed = waitBackoff
			continue
		}
		if placed >= limit {
			postponed = waitTurn
			break
		}
		if t.endsRepeatedly() && v.repeatedStarts <= 0 {
			postponed = waitBackoff
			c.scheduleRetry(c.now + repeatedInterval)
			continue
		}
		if prefersRack && c.keepsWaitingForRack(v, t) {
			postponed = waitRack
			continue
		}
		i := c.chooseWorker(v, t, nil)
		if i < 0 {
			if prefersRack {
				c.endRackWaits(v, g)
			}
			c.logWaiting(v, t)
			c.noteNoRoom(v, g)
			return placed, false
		}
		if prefersRack && c.waitsForRack(v, t, i) {
			postponed = waitRack
			continue
		}
		c.assign(v, t, i, t.lastRunNumber+1)
		placed++
	}
	g.waitReason = postponed
	return placed, postponed == waitNone
}

// placeGang places all tasks of a gang or none. The results are those of placeGroup.
func (c *Cell) placeGang(v *placementView, g *group) (placed int, all bool) {
	number := g.nextGangRun
	for _, t := range g.tasks {
		if !t.needsRun() || c.now < t.notBefore {
			g.waitReason = waitBackoff
			return 0, false
		}
		number = max(number, t.lastRunNumber+1)
	}
	chosen, waits := c.chooseGangWorkers(v, g)
	switch {
	case waits:
		g.waitReason = waitRack
		return 0, false
	case chosen == nil:
		c.endRackWaits(v, g)
		return 0, false
	}
	checkpoint := g.checkpoint()
	for k, t := range g.tasks {
		t.checkpoint = checkpoint
		c.assign(v, t, chosen[k], number)
	}
	g.nextGangRun, g.waitReason = number+1, waitNone
	return len(g.tasks), true
}

// checkpoint returns the checkpoint from which all members of a gang start: that of the first task that has one, or
// empty if none has.
func (g *group) checkpoint() string {
	for _, t := range g.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// chooseWorker returns the index of the best worker for a task, or -1. pending counts, by worker index, tasks of the
// group that are chosen but not assigned yet. Without a worker within the limits of best-effort tasks, it chooses the one that the
// task harms least, if Cell.limitsOf lets it.
func (c *Cell) chooseWorker(v *placementView, t *task, pending map[int]int) int {
	platformService := c.platformServiceOf(t.group.job)
	i := c.bestWorker(v, t, platformService, pending, placementLimits{})
	if i >= 0 {
		t.pastLimits = false
		return i
	}
	if !t.group.step.BestEffort {
		return -1
	}
	limits := c.limitsOf(v, t, platformService)
	if limits == (placementLimits{}) {
		return -1
	}
	t.pastLimits = true
	return c.bestWorker(v, t, platformService, pending, limits)
}

// bestWorker returns the index of the best worker for a task within limits, or -1.
func (c *Cell) bestWorker(v *placementView, t *task, platformService string, pending map[int]int, limits placementLimits) int {
	g := t.group
	need := placement.Need{
		Kind: placementKind(g.step), Requested: g.step.Requested(), ExpectedMilliCPU: expectedStepCPU(g.step), DataRack: g.step.DataRack,
		AvoidWorker: t.avoidWorker, WithoutSpareCPU: limits.withoutSpareCPU,
	}
	key := needKey{
		kind: need.Kind, platformService: platformService, image: g.step.Image, label: g.step.RequiredLabel, rack: g.step.DataRack,
		limited: g.step.MaxPerWorker > 0, mayProbe: c.mayProbe(t), limits: limits,
	}
	if unplaceable, known := v.unplaceable[key]; known && unplaceable.ExpectedMilliCPU <= need.ExpectedMilliCPU && need.Requested.Contains(unplaceable.Requested) {
		return -1
	}
	if g.step.TargetTailLatency > 0 {
		need.InterferenceMismatch = func(i int) float64 { return c.mismatch(v.workers[i], g.step.Image) }
	}
	if g.step.BestEffort {
		need.InterferenceRisk = func(i int) float64 { return c.riskAt(v, i, g.step) }
	}
	perWorker := c.runsPerWorker(g)
	v.waitsForSuspect = false
	i := placement.Best(v.candidates, need, func(i int) bool {
		return (v.onlyRack == "" || v.candidates[i].Rack == v.onlyRack) &&
			c.eligible(v, t, i, platformService, perWorker[v.workers[i]]+pending[i]) &&
			(!g.step.BestEffort || limits.besideServices || c.fitsBesideServices(v, i, g.step))
	})
	if i < 0 && !key.limited && !v.waitsForSuspect && v.onlyRack == "" {
		v.unplaceable[key] = need
	}
	return i
}

// eligible reports whether a task may run on the worker with index i, apart from the resources. sameStep is the number of
// tasks of the step that are on the worker or chosen for it.
func (c *Cell) eligible(v *placementView, t *task, i int, platformService string, sameStep int) bool {
	w := v.workers[i]
	if !meetsConstraints(w, t.group.step, platformService, sameStep) {
		return false
	}
	switch {
	case v.states[i] == quarantine.Trusted:
		return true
	case v.states[i] == quarantine.Probing && !w.hasProbeRun() && c.mayProbe(t):
		return true
	}
	if c.hasTrustedWorker(v, t, platformService) {
		return false
	}
	allowed := c.mayRunOnSuspect(w, t)
	v.waitsForSuspect = v.waitsForSuspect || !allowed
	return allowed
}

// meetsConstraints reports whether the constraints of a step permit one more task on a worker that has sameStep tasks of it.
func meetsConstraints(w *worker, step *jobs.Step, platformService string, sameStep int) bool {
	return w.info.Service == platformService && (step.RequiredLabel == "" || hasLabel(w, step.RequiredLabel)) &&
		(step.MaxPerWorker == 0 || sameStep < step.MaxPerWorker)
}

// runsPerWorker counts the group's runs on each worker. It returns nil if the step does not limit them.
func (c *Cell) runsPerWorker(g *group) map[*worker]int {
	if g.step.MaxPerWorker == 0 {
		return nil
	}
	perWorker := make(map[*worker]int)
	for _, t := range g.tasks {
		for _, r := range t.runs {
			perWorker[r.worker]++
		}
	}
	return perWorker
}

func hasLabel(w *worker, label string) bool {
	for _, l := range w.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

func placementKind(s *jobs.Step) placement.Kind {
	switch {
	case s.BestEffort:
		return placement.BestEffort
	case s.LongRunning:
		return placement.LongRunning
	}
	return placement.Ordinary
}

// expectedStepCPU returns the CPU, in milli-CPU, that a new task of a step is expected to use.
func expectedStepCPU(s *jobs.Step) int {
	if s.TargetTailLatency > 0 {
		return s.Request.MilliCPU * assumedServiceCPUPercent / 100
	}
	return s.Request.MilliCPU
}

// platformServiceOf returns the name of the platform service whose workers run the job's tasks: the one that is
// configured for the job's queue or, without that, the one that is stored with the job.
func (c *Cell) platformServiceOf(j *job) string {
	if c.config != nil {
		if q := c.config.Queue(j.record.Queue); q != nil {
			return q.Service
		}
	}
	return j.record.Service
}

// reserve subtracts the resources of one task of a group from the candidate with index i.
func (c *Cell) reserve(v *placementView, g *group, i int) {
	v.candidates[i].Free = v.candidates[i].Free.Sub(g.step.Requested())
	v.candidates[i].SpareMilliCPU -= expectedStepCPU(g.step)
	if g.step.BestEffort {
		c.reduceHeadroom(v, i, g.step)
	}
}

// assign creates a run of a task on the worker with index i. The run is started once the next round is stored.
func (c *Cell) assign(v *placementView, t *task, i, number int) {
	w := v.workers[i]
	crowded := t.pastLimits && c.notePastLimits(v, t, i)
	c.reserve(v, t.group, i)
	r := &run{
		task: t, number: number, worker: w, incarnation: w.info.StartedAtMS, state: runPlaced, stateSince: c.now,
		pace: fullPace, probe: v.candidates[i].Probing, crowded: crowded,
	}
	if t.rackWait != nil {
		c.endRackWait(v, t, rackWaitPlaced)
	}
	if t.endsRepeatedly() {
		v.repeatedStarts--
		t.group.firstConsidered = t.id.Index + 1
	}
	t.lastRunNumber = number
	w.addRun(r)
	c.pendingStarts = append(c.pendingStarts, r)
	if r.copied = len(t.runs) > 1; !r.copied {
		c.metrics.observeWait(t.group.waitReason, c.now-t.waitingSince)
	}
	c.drainMeter(t.group).Began(drain.TaskWork(t.group.step), c.now)
	c.markTaskDirty(t)
	c.log.Debug("placed", taskField(t.id), zap.Int("run", number), zap.String("worker", w.info.ID))
}
