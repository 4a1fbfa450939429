package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/placedelay"
	"cactuswall.example/cactuswall/internal/placement"
	"cactuswall.example/cactuswall/internal/quarantine"
	"cactuswall.example/cactuswall/internal/urgency"
)

const (
	// maxRackEnds limits the expected ends that are considered for one rack and kind of need. A task with more ahead of it
	// rarely gains by a wait.
	maxRackEnds = 512
	// maxFreeSlots limits how many free slots of a rack are counted. With so many, a start there delays no other task.
	maxFreeSlots = 32
	// rackRecheckInterval is the time between two decisions for a task that waits for its rack, so that many such tasks do
	// not make rounds long.
	rackRecheckInterval = 500 * time.Millisecond
	// stopResidual is the expected time until a run ends that has been requested to stop.
	stopResidual = 500 * time.Millisecond
	// maxIdleRackWait is how long a task of a job of which nothing runs waits for its rack while most of the room is free.
	maxIdleRackWait = 2 * time.Second
	// maxRackWaitLogs is the maximum number of lines about ended waits per round.
	maxRackWaitLogs = 4
)

// Further ends of a wait for a rack, beside the reasons of package placedelay.
const (
	rackWaitPlaced  = "rack"             // the task was placed on the rack
	rackWaitNoRoom  = "no_room"          // there is no room on other racks either
	rackWaitIdle    = "idle"             // nothing of the job runs, and most of the room is free
	rackUnknownTime = "unknown_run_time" // neither learned nor estimated, so nothing can be compared
)

// rackDelay is what the decisions about waits for a rack need to know of former rounds.
type rackDelay struct {
	runTimes placedelay.RunTimes
	loads    map[string]*rackLoad // by rack
}

// rackLoad is the share of a rack's CPU capacity that tasks request, and the share that they are expected to use.
type rackLoad struct {
	requested, expected placedelay.Load
	// requestedMean and expectedMean are the means as of the newest round that needed them.
	requestedMean, expectedMean float64
}

// rackWait is a task's wait for its rack; that of a gang is kept with its first task.
type rackWait struct {
	placedelay.Wait
	checkAt time.Duration // when the decision is due again
}

// rackView is what the decisions of one round have in common.
type rackView struct {
	observed bool
	ahead    map[string]int // slots for which tasks wait that were considered before, by rack
	// ends are the expected times until a slot becomes free, sorted, by rack and need; 0 for a free one.
	ends map[rackNeed][]time.Duration
	// full holds whether no worker of a rack has room for a need. Tasks that are placed only take room, so that a full rack
	// stays so in the round.
	full map[rackRoom]bool
	logs int // lines about ended waits
}

// rackNeed identifies tasks for which the same slots of a rack are suitable.
type rackNeed struct {
	rack            string
	request         jobs.Resources
	platformService string
	label           string
	bestEffort      bool
	limited         *group // set if the number of tasks on one worker is limited
}

// rackRoom identifies tasks that need the same room on a rack.
type rackRoom struct {
	rack      string
	kind      placement.Kind
	requested jobs.Resources
	milliCPU  int
}

func (v *rackView) reset() {
	if v.full == nil {
		v.ahead, v.ends, v.full = make(map[string]int), make(map[rackNeed][]time.Duration), make(map[rackRoom]bool)
	}
	if v.observed || v.logs > 0 || len(v.full) > 0 {
		clear(v.ahead)
		clear(v.ends)
		clear(v.full)
		v.observed, v.logs = false, 0
	}
}

// prefersRack reports whether the tasks of a step run faster on one rack than elsewhere.
func (c *Cell) prefersRack(step *jobs.Step) bool {
	return c.settings.RemoteRackFactor > 1 && (step.DataRack != "" || step.Gang && step.RackSensitive)
}

// mayWaitForRack reports whether a task may wait for its rack. Long-running tasks don't, because their users are without
// service meanwhile, and neither do tasks that ran before, because their jobs are late already. How long a task has waited
// is not stored, so that tasks that were ready when this owner took over don't wait either: they may have waited before.
func (c *Cell) mayWaitForRack(t *task) bool {
	g := t.group
	return !g.step.LongRunning && t.lastRunNumber == 0 && g.readyAt > c.loadedAt
}

// waitsForRack reports whether a task of a step that prefers a rack waits for a slot there, although it could be placed on the
// worker with index i now.
func (c *Cell) waitsForRack(v *placementView, t *task, i int) bool {
	step := t.group.step
	if v.candidates[i].Rack == step.DataRack || !c.mayWaitForRack(t) {
		return false
	}
	c.observeRackLoads(v)
	runTime := c.expectedRunTime(t.group)
	slot, known := placedelay.SlotTime(c.rackEnds(v, t, step.DataRack, false), v.racks.ahead[step.DataRack], runTime)
	return c.decideRackWait(v, t, i, step.DataRack, 1, &placedelay.Choice{RunTime: runTime, Slot: slot, HasSlot: known})
}

// keepsWaitingForRack reports whether a task waits for its rack, the decision is not due again, and the rack has no room. Such
// a task needs no further look.
func (c *Cell) keepsWaitingForRack(v *placementView, t *task) bool {
	if t.rackWait == nil || !t.rackWait.Waiting() || c.now >= t.rackWait.checkAt {
		return false
	}
	step := t.group.step
	if step.DataRack == "" || c.idleTooLong(v, t) || !v.rackFull(step) {
		return false
	}
	v.racks.ahead[step.DataRack]++
	return true
}

// idleTooLong reports whether the job of a task has had nothing running for so long, although most of the room is free, that the task no
// longer waits for its rack.
func (c *Cell) idleTooLong(v *placementView, t *task) bool {
	return c.idleTime(t) >= maxIdleRackWait && v.mostlyFree(c.platformServiceOf(t.group.job), c.now)
}

// rackFull reports whether no worker on the rack of a step's data has room for a task of the step.
func (v *placementView) rackFull(step *jobs.Step) bool {
	need := placement.Need{Kind: placementKind(step), Requested: step.Requested(), ExpectedMilliCPU: expectedStepCPU(step)}
	key := rackRoom{rack: step.DataRack, kind: need.Kind, requested: need.Requested, milliCPU: need.ExpectedMilliCPU}
	if v.racks.full[key] {
		return true
	}
	for i := range v.candidates {
		if v.candidates[i].Rack == step.DataRack && v.candidates[i].HasRoom(&need) {
			return false
		}
	}
	v.racks.full[key] = true
	return true
}

// decideRackWait decides whether a task, or a gang with the given number of members, waits for a rack. choice has the
// expected times; i is the index of the worker where it would start otherwise.
func (c *Cell) decideRackWait(v *placementView, t *task, i int, rack string, members int, choice *placedelay.Choice) bool {
	if t.rackWait == nil {
		t.rackWait = &rackWait{}
	}
	w := t.rackWait
	if c.idleTooLong(v, t) {
		c.endRackWait(v, t, rackWaitIdle)
		return false
	}
	if choice.RunTime <= 0 {
		c.endRackWait(v, t, rackUnknownTime)
		c.metrics.countRackDecision(rackUnknownTime)
		return false
	}
	choice.Factor = c.settings.RemoteRackFactor
	choice.Elsewhere = c.slotsBeside(v, t, i, members)
	choice.Limit, choice.HasLimit = c.stepLimit(t.group)
	waited, total := w.Waiting(), w.Total(c.now)
	reason := w.Decide(c.now, choice)
	if reason != placedelay.Waits {
		if waited {
			c.noteRackWait(v, t, string(reason), total)
		} else {
			c.metrics.countRackDecision(string(reason))
		}
		return false
	}
	if !waited {
		c.metrics.countRackDecision("wait")
		c.log.Debug("waits for its rack", taskField(t.id), zap.String("rack", rack), zap.Duration("expected", w.Estimate()),
			zap.Duration("run_time", choice.RunTime))
	}
	w.checkAt = min(c.now+rackRecheckInterval, w.Deadline())
	v.racks.ahead[rack] += members
	return true
}

// stepLimit returns the time within which a task of a group should end, so that its job can meet its objective; known is
// false if the job has none or will miss it.
func (c *Cell) stepLimit(g *group) (limit time.Duration, known bool) {
	if g.job.objective <= 0 || g.rank.Class() != urgency.OnTime {
		return 0, false
	}
	later := g.job.criticalPath[g.id.Step] - g.step.Estimate
	return g.job.objective - c.age(g) - later, true
}

// endRackWait ends a task's wait for its rack, if there is one.
func (c *Cell) endRackWait(v *placementView, t *task, reason string) {
	if t.rackWait != nil && t.rackWait.Waiting() {
		total := t.rackWait.Total(c.now)
		t.rackWait.End(c.now)
		c.noteRackWait(v, t, reason, total)
	}
}

// endRackWaits ends the waits of a group's tasks because there is no room on other racks either.
func (c *Cell) endRackWaits(v *placementView, g *group) {
	for _, t := range g.tasks {
		c.endRackWait(v, t, rackWaitNoRoom)
	}
}

// noteRackWait counts and logs the end of a wait. total is how long the task has waited for its rack in all.
func (c *Cell) noteRackWait(v *placementView, t *task, reason string, total time.Duration) {
	c.metrics.observeRackWait(reason, total)
	if v.racks.logs >= maxRackWaitLogs {
		return
	}
	v.racks.logs++
	c.log.Info("waited for its rack", taskField(t.id), zap.Duration("waited", total), zap.Duration("expected", t.rackWait.Estimate()),
		zap.String("end", reason), zap.String("data_rack", t.group.step.DataRack))
}

// observeRackLoads updates the loads of the racks, once in each round that needs them.
func (c *Cell) observeRackLoads(v *placementView) {
	if v.racks.observed {
		return
	}
	v.racks.observed = true
	type sums struct{ capacity, requested, expected int }
	racks := make(map[string]sums)
	for i := range v.candidates {
		w := &v.candidates[i]
		s := racks[w.Rack]
		s.capacity += w.MilliCPU
		s.requested += w.MilliCPU - w.Free.MilliCPU
		s.expected += w.MilliCPU - w.SpareMilliCPU
		racks[w.Rack] = s
	}
	loads := make(map[string]*rackLoad, len(racks))
	for rack, s := range racks {
		load := c.rackDelay.loads[rack]
		if load == nil {
			load = &rackLoad{}
		}
		capacity := float64(max(1, s.capacity))
		load.requestedMean = load.requested.Observe(c.now, float64(s.requested)/capacity)
		load.expectedMean = load.expected.Observe(c.now, float64(s.expected)/capacity)
		loads[rack] = load
	}
	c.rackDelay.loads = loads
}

// slotsBeside describes the slots on the rack of the worker with index i, in units of the given number of members.
func (c *Cell) slotsBeside(v *placementView, t *task, i, members int) placedelay.Group {
	step, rack := t.group.step, v.candidates[i].Rack
	request, platformService := slotRequest(step), c.platformServiceOf(t.group.job)
	free := 0
	for k := range v.candidates {
		if v.candidates[k].Rack == rack && meetsConstraints(v.workers[k], step, platformService, 0) {
			free += fittingTasks(v.slotResources(k, step), request)
		}
		if free >= maxFreeSlots*members {
			break
		}
	}
	group := placedelay.Group{Free: free / max(1, members)}
	if load := c.rackDelay.loads[rack]; load != nil {
		group.Load = load.requestedMean
		if step.BestEffort {
			group.Load = load.expectedMean
		}
	}
	return group
}

// slotRequest returns what a slot for a task of a step needs. For a best-effort task its CPU is taken from what other tasks
// are expected to leave unused; see slotResources.
func slotRequest(step *jobs.Step) jobs.Resources {
	request := step.Requested()
	request.MilliCPU = max(1, expectedStepCPU(step))
	if !step.BestEffort {
		request.MilliCPU = max(1, step.Request.MilliCPU)
	}
	return request
}

// slotResources returns the resources of the candidate with index i from which the slots for a step are taken.
func (v *placementView) slotResources(i int, step *jobs.Step) jobs.Resources {
	free := v.candidates[i].Free
	if step.BestEffort {
		free.MilliCPU = v.candidates[i].SpareMilliCPU
	}
	return free
}

// rackEnds returns the expected times until slots for a task become free on a rack, sorted. With withFree set there is a 0 for
// each slot that is free.
func (c *Cell) rackEnds(v *placementView, t *task, rack string, withFree bool) []time.Duration {
	step := t.group.step
	key := rackNeed{rack: rack, request: slotRequest(step), platformService: c.platformServiceOf(t.group.job), label: step.RequiredLabel,
		bestEffort: step.BestEffort}
	if step.MaxPerWorker > 0 {
		key.limited = t.group
	}
	if ends, known := v.racks.ends[key]; known && !withFree {
		return ends
	}
	perWorker := c.runsPerWorker(t.group)
	var ends []time.Duration
	for i, w := range v.workers {
		if w.info.Rack == rack && v.states[i] == quarantine.Trusted && meetsConstraints(w, step, key.platformService, perWorker[w]) {
			ends = c.appendEnds(ends, v, i, step, key.request, withFree)
		}
		if len(ends) >= maxRackEnds {
			break
		}
	}
	slices.Sort(ends)
	if !withFree {
		v.racks.ends[key] = ends
	}
	return ends
}

// appendEnds appends the expected times until slots become free on the worker with index i, those of free slots only with
// withFree.
func (c *Cell) appendEnds(ends []time.Duration, v *placementView, i int, step *jobs.Step, request jobs.Resources, withFree bool) []time.Duration {
	type end struct {
		after time.Duration
		frees jobs.Resources
	}
	var space [32]end
	runs := space[:0]
	for _, r := range v.workers[i].runs {
		if after, known := c.residual(r); known {
			frees := r.task.group.step.Requested()
			if step.BestEffort {
				frees.MilliCPU = r.expectedCPU()
			}
			runs = append(runs, end{after, frees})
		}
	}
	slices.SortFunc(runs, func(a, b end) int { return cmp.Compare(a.after, b.after) })
	free := v.slotResources(i, step)
	slots := fittingTasks(free, request)
	for range slots {
		if withFree {
			ends = append(ends, 0)
		}
	}
	limit := maxRackEnds
	if step.MaxPerWorker > 0 {
		limit = step.MaxPerWorker
	}
	for _, r := range runs {
		free = free.Add(r.frees)
		for now := min(limit, fittingTasks(free, request)); slots < now; slots++ {
			ends = append(ends, r.after)
		}
	}
	return ends
}

// residual returns the expected time until a run ends; known is false for a run that does not end by itself or whose run
// time is unknown.
func (c *Cell) residual(r *run) (after time.Duration, known bool) {
	if r.stopRequested {
		return stopResidual, true
	}
	g := r.task.group
	expected := time.Duration(float64(c.expectedRunTime(g)) * c.runFactor(r))
	if g.step.LongRunning || expected <= 0 || r.pace <= 0 {
		return 0, false
	}
	return placedelay.Residual(expected*fullPace/time.Duration(r.pace), r.runTime(c.now)), true
}

// runKind returns the kind under which run times of a group's tasks are learned.
func (g *group) runKind() placedelay.Kind {
	if g.step.Image != "" {
		return placedelay.Kind{Image: g.step.Image}
	}
	return placedelay.Kind{Queue: g.job.record.Queue}
}

// expectedRunTime returns the expected run time of a group's tasks on their rack; 0 if it is unknown.
func (c *Cell) expectedRunTime(g *group) time.Duration {
	return c.rackDelay.runTimes.Expected(g.runKind(), g.step.Estimate)
}

// runFactor returns how many times as long a run takes as one on the preferred rack.
func (c *Cell) runFactor(r *run) float64 {
	g := r.task.group
	if !c.prefersRack(g.step) {
		return 1
	}
	if g.step.DataRack != "" && r.worker.info.Rack != g.step.DataRack {
		return c.settings.RemoteRackFactor
	}
	if g.step.Gang && g.step.RackSensitive {
		for _, t := range g.tasks {
			for _, other := range t.runs {
				if other.number == r.number && other.worker.info.Rack != r.worker.info.Rack {
					return c.settings.RemoteRackFactor
				}
			}
		}
	}
	return 1
}

// learnRackRunTime learns from the run time of a task that succeeded. Only first runs that this owner has seen from their start,
// at full speed, are used.
func (c *Cell) learnRackRunTime(r *run, ran time.Duration) {
	g := r.task.group
	if c.settings.RemoteRackFactor > 1 && !g.step.LongRunning && r.number == 1 && r.pace == fullPace && g.readyAt > c.loadedAt {
		c.rackDelay.runTimes.Observe(g.runKind(), g.step.Estimate, time.Duration(float64(ran)/c.runFactor(r)))
	}
}

// chooseGangWorkers returns the indexes of the workers for the members of a gang that prefers a rack, or nil if there is no
// room or, with waits set, the gang waits for a rack. All members are placed on one rack, that of their data if there is
// one; or, if it does not pay to wait for such a rack, of a gang that is sensitive to racks all on another rack, and in the
// last place wherever there is room.
func (c *Cell) chooseGangWorkers(v *placementView, g *group) (chosen []int, waits bool) {
	step, first := g.step, g.tasks[0]
	if !c.prefersRack(step) {
		return c.chooseMembers(v, g), false
	}
	preferred := []string{step.DataRack}
	if step.DataRack == "" {
		preferred = v.rackNames()
	}
	if chosen = c.chooseOnRacks(v, g, preferred); chosen != nil {
		return chosen, false
	}
	if step.DataRack != "" && step.RackSensitive {
		chosen = c.chooseOnRacks(v, g, v.rackNames())
	}
	if chosen == nil {
		chosen = c.chooseMembers(v, g)
	}
	if chosen == nil || !c.gangMayWait(g) {
		return chosen, false
	}
	c.observeRackLoads(v)
	choice, rack := placedelay.Choice{RunTime: c.expectedRunTime(g)}, step.DataRack
	for _, name := range preferred {
		slot, known := placedelay.GangSlot(c.rackEnds(v, first, name, true), len(g.tasks), v.racks.ahead[name])
		if known && (!choice.HasSlot || slot < choice.Slot) {
			choice.Slot, choice.HasSlot, rack = slot, true, name
		}
	}
	if c.decideRackWait(v, first, chosen[0], rack, len(g.tasks), &choice) {
		return nil, true
	}
	return chosen, false
}

func (c *Cell) gangMayWait(g *group) bool {
	for _, t := range g.tasks {
		if !c.mayWaitForRack(t) {
			return false
		}
	}
	return true
}

// chooseOnRacks returns the workers for all members of a gang on the first of the racks that has room for them, or nil.
func (c *Cell) chooseOnRacks(v *placementView, g *group, racks []string) []int {
	defer func() { v.onlyRack = "" }()
	request := slotRequest(g.step)
	for _, v.onlyRack = range racks {
		if !v.freeOnRack(v.onlyRack, g.step).Contains(times(request, len(g.tasks))) {
			continue
		}
		if chosen := c.chooseMembers(v, g); chosen != nil {
			return chosen
		}
	}
	return nil
}

// chooseMembers returns the workers for all members of a gang, or nil, in which case it logs why unless it was to choose on
// one rack only. It leaves the candidates as they were.
func (c *Cell) chooseMembers(v *placementView, g *group) []int {
	saved := append([]placement.Worker(nil), v.candidates...)
	defer func() { copy(v.candidates, saved) }()
	pending := make(map[int]int)
	var chosen []int
	for _, t := range g.tasks {
		i := c.chooseWorker(v, t, pending)
		if i < 0 {
			if v.onlyRack == "" {
				c.logWaiting(v, t)
				c.noteNoRoom(v, g)
			}
			return nil
		}
		pending[i]++
		c.reserve(v, g, i)
		chosen = append(chosen, i)
	}
	return chosen
}

// freeOnRack returns the resources from which slots for a step are taken on all workers of a rack together.
func (v *placementView) freeOnRack(rack string, step *jobs.Step) jobs.Resources {
	var free jobs.Resources
	for i := range v.candidates {
		if v.candidates[i].Rack == rack {
			free = free.Add(v.slotResources(i, step))
		}
	}
	return free
}

func times(r jobs.Resources, n int) jobs.Resources {
	return jobs.Resources{MilliCPU: r.MilliCPU * n, MemoryMB: r.MemoryMB * n, GPU: r.GPU * n}
}

// rackNames returns the names of the racks, the one with the least free CPU capacity first, so that room for larger gangs is
// left on the others.
func (v *placementView) rackNames() []string {
	free := make(map[string]int)
	for i := range v.candidates {
		if rack := v.candidates[i].Rack; rack != "" {
			free[rack] += v.candidates[i].Free.MilliCPU
		}
	}
	return slices.SortedFunc(maps.Keys(free), func(a, b string) int {
		return cmp.Or(cmp.Compare(free[a], free[b]), cmp.Compare(a, b))
	})
}
