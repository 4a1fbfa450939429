package cell

import (
	"slices"
	"time"

	"cactuswall.example/cactuswall/internal/placement"
)

// placementLimits says which of the limits of best-effort tasks do not apply to a placement. The zero value is for tasks that
// have not waited for long.
type placementLimits struct {
	besideServices  bool // it may run beside services that it brings near their targets; pacing alone keeps it from harming them
	withoutSpareCPU bool // it may run where too little CPU is unused; see run.crowded
}

// serviceRoom says whether most of the room of a platform service is free; see placementView.mostlyFree.
type serviceRoom struct {
	platformService string
	at              time.Duration
	mostlyFree      bool
}

// serviceRoomAge is for how long a serviceRoom is used: computing it in each round costs a large cell some percent of the round.
const serviceRoomAge = 100 * time.Millisecond

// arrivalsEndAfter is how long after the latest new job no more are expected.
const arrivalsEndAfter = 5 * time.Second

// limitsOf returns the limits for a best-effort task for which no worker was found within all of them. They are lifted only while
// most of the room is free, so that an accepted job does not wait for as long as images that press on all services, or other
// best-effort tasks, run. Only one task of a job, or one gang, is started without regard to unused CPU. While new jobs arrive and
// others become late, it must be of a worthless job: it takes little, and the order of urgency says which useful jobs are begun.
func (c *Cell) limitsOf(v *placementView, t *task, platformService string) placementLimits {
	if len(t.runs) > 0 || !v.mostlyFree(platformService, c.now) {
		return placementLimits{}
	}
	idle := c.idleTime(t) >= idleJobOverdueAfter
	if !idle && c.now-max(t.waitingSince, t.group.readyAt) < overdueAfter {
		return placementLimits{}
	}
	inOrder := c.scarce() && c.now-c.newestJobAt < arrivalsEndAfter && !t.group.rank.Worthless()
	return placementLimits{besideServices: true, withoutSpareCPU: idle && !inOrder}
}

// idleTime returns how long the job of a task has had nothing running although it was the task's turn, or 0. For a long-running
// task, the other tasks of the job do not count.
func (c *Cell) idleTime(t *task) time.Duration {
	g := t.group
	switch {
	case g.step.LongRunning:
		return c.now - max(t.waitingSince, g.readyAt)
	case g.job.runs > 0:
		return 0
	}
	return c.now - max(g.job.idleSince, g.readyAt)
}

const (
	// idleTurnAfter is how long a job with nothing running waits for its turn before it gets a start all the same.
	idleTurnAfter = time.Second
	// idleTurnShare is the share of a round's starts, one in so many, that such jobs get.
	idleTurnShare = 4
)

// placeIdle places one task of each group, up to limit, that has been waiting for its turn while nothing of its job runs and most of the
// room is free: a job with thousands of tasks, or many interrupted ones, would have the others wait until all of them are started. While
// room is scarce, only the order of urgency counts. It returns the numbers of placed tasks by group, and in all.
func (c *Cell) placeIdle(v *placementView, groups []*group, limit int) (byGroup map[*group]int, placed int) {
	for _, g := range groups {
		if placed >= limit {
			break
		}
		if g.waitReason != waitTurn || g.job.runs > 0 && !g.step.LongRunning {
			continue
		}
		if t := g.firstToStart(c.now); t == nil || c.idleTime(t) < idleTurnAfter || !v.mostlyFree(c.platformServiceOf(g.job), c.now) {
			continue
		}
		if count, _ := c.placeGroup(v, g, 1); count > 0 {
			if byGroup == nil {
				byGroup = make(map[*group]int)
			}
			byGroup[g] = count
			placed += count
		}
	}
	return byGroup, placed
}

// mostlyFree reports whether tasks request less than half of the processor capacity of the workers of a platform service that
// accept tasks. The result may be up to serviceRoomAge old.
func (v *placementView) mostlyFree(platformService string, now time.Duration) bool {
	k := slices.IndexFunc(v.serviceRoom, func(r serviceRoom) bool { return r.platformService == platformService })
	switch {
	case k < 0:
		k = len(v.serviceRoom)
		v.serviceRoom = append(v.serviceRoom, serviceRoom{platformService: platformService})
	case now-v.serviceRoom[k].at < serviceRoomAge:
		return v.serviceRoom[k].mostlyFree
	}
	capacity, requested := 0, 0
	for _, w := range v.workers {
		if w.info.Service == platformService {
			capacity += w.info.Capacity.MilliCPU
			requested += w.reserved.MilliCPU
		}
	}
	v.serviceRoom[k].at, v.serviceRoom[k].mostlyFree = now, 2*requested < capacity
	return v.serviceRoom[k].mostlyFree
}

// notePastLimits counts a start that the limits of best-effort tasks do not allow on the worker with index i, before the task is
// assigned to it. It reports whether too little CPU is unused there.
func (c *Cell) notePastLimits(v *placementView, t *task, i int) (crowded bool) {
	step := t.group.step
	need := placement.Need{Kind: placement.BestEffort, Requested: step.Requested(), ExpectedMilliCPU: expectedStepCPU(step)}
	if crowded = !v.candidates[i].HasRoom(&need); crowded {
		c.metrics.countPastLimits("processors")
	}
	if !c.fitsBesideServices(v, i, step) {
		c.metrics.countPastLimits("services")
	}
	return crowded
}

// crowdedRunPace returns the pace of a crowded run, in percent, which may have the given one beside the services. The run is
// crowded no more once it finds as much unused CPU as a new task must; if its result is worthless, more urgent tasks that wait get
// that first.
func (c *Cell) crowdedRunPace(r *run, pace int) int {
	without := placement.Worker{SpareMilliCPU: r.worker.spareCPU() + r.expectedCPU()}
	need := placement.Need{Kind: placement.BestEffort, ExpectedMilliCPU: expectedStepCPU(r.task.group.step)}
	if r.crowded = !without.HasRoom(&need) || c.scarce() && r.task.group.rank.Worthless(); r.crowded {
		return min(pace, crowdedPace)
	}
	return pace
}

// idleStarts returns how many starts of a round go to jobs with nothing running, of those that the load of the owner allows. Others may
// use up all of these, so that one remains unless the owner is overloaded.
func (c *Cell) idleStarts(allowed int) int {
	if allowed < idleTurnShare && !c.load.Overloaded(c.now) {
		return 1
	}
	return allowed / idleTurnShare
}
