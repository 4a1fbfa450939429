package cell

import (
	"fmt"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
)

// overloadSlack makes the objective of testSpec's jobs 2.6 s and the last limit 7.8 s.
const overloadSlack = time.Second

// overloaded runs a cell to which twice as many jobs are submitted as there is room for, for the given time.
func overloaded(sim *simulation, prefix string, d time.Duration) {
	const perSecond = 2 * overloadCapacity / 15
	for n := 0; n < int(d/overloadInterval); n++ {
		if n*perSecond*int(overloadInterval/time.Millisecond)/1000 > (n-1)*perSecond*int(overloadInterval/time.Millisecond)/1000 {
			sim.submit(jobs.ID(fmt.Sprintf("%s%04d", prefix, n)), testSpec(overloadTasks))
		}
		sim.run(overloadInterval)
	}
}

func newOverloadedSimulation() *simulation {
	sim := newSimulation(1, overloadWorkers)
	sim.takeOver()
	sim.submitSlack, sim.submitPriority = overloadSlack, 1
	sim.run(2 * time.Second)
	return sim
}

// Pattern: twice as much work as there is room for. Jobs that could be on time took all capacity, so that none that had missed its
// objective was begun before its result was worthless.
func TestLateJobsGetTheirShareWhileNewOnesArrive(t *testing.T) {
	sim := newOverloadedSimulation()
	overloaded(sim, "a", 5*time.Second) // jobs are late by then
	metrics, begunJobs := sim.owner.cell.metrics, func() int {
		begun := 0
		for _, j := range sim.owner.cell.jobs {
			if j.started {
				begun++
			}
		}
		return begun
	}
	late, begun := int(metrics.LateStarts.Get()), begunJobs()
	overloaded(sim, "b", 15*time.Second)
	late, begun = int(metrics.LateStarts.Get())-late, begunJobs()-begun
	// Rounds of one job: at most one is missing, or too much.
	if (late+1)*16 < begun || (late-1)*16 > begun {
		t.Errorf("%d of %d jobs that were begun were late, want a sixteenth", late, begun)
	}
}

// Guards against jobs with objectives that are begun when they are about to be late, like TestNewestJobsAreServedOnTimeWhileRoomIsShort.
func TestNewestJobsWithObjectivesAreServedOnTime(t *testing.T) {
	sim := newOverloadedSimulation()
	onTime := completedOnTime(sim, 2*overloadCapacity/15, func(int) {})
	if onTime*10 < overloadCapacity*6 {
		t.Errorf("%d jobs were on time, want at least 60%% of the %d that there is room for", onTime, overloadCapacity)
	}
}

// Pattern: small jobs keep coming, and a large one needs most of a worker. Each bit of room that became free was taken by the next
// small task.
func TestLargeJobIsDoneWhileSmallOnesKeepComing(t *testing.T) {
	for _, gang := range []bool{false, true} {
		sim := newOverloadedSimulation()
		overloaded(sim, "a", 3*time.Second)
		sim.submitSlack = 4 * time.Second // of the large job: its last limit is 16.8 s
		spec := wideSpec(1)
		spec.Steps[0].Gang = gang
		sim.submit("large", spec)
		sim.submitSlack = overloadSlack
		overloaded(sim, "b", 15*time.Second)
		if state := sim.state("large"); state != jobs.Completed {
			t.Errorf("gang %v: the large job is %v after 15 s", gang, state)
		}
		if kept := sim.owner.cell.metrics.KeptFree.Get(); kept == 0 {
			t.Error("no worker was kept free")
		}
	}
}

// Pattern: urgent jobs whose results were worthless kept the capacity from jobs of a lower priority that could be on time.
func TestWorthlessUrgentJobsTakeNoCapacityFromUsefulOnes(t *testing.T) {
	sim := newOverloadedSimulation()
	sim.submitPriority = 0
	for i := range 30 * overloadCapacity / 10 { // for 45 s
		sim.submit(jobs.ID(fmt.Sprintf("urgent%04d", i)), testSpec(overloadTasks))
	}
	sim.run(8 * time.Second)
	if sim.state(jobs.ID(fmt.Sprintf("urgent%04d", 30*overloadCapacity/10-1))).Final() {
		t.Fatal("the urgent jobs are done")
	}
	sim.submitPriority = 2
	for i := range 5 {
		sim.submit(jobs.ID(fmt.Sprint("useful", i)), testSpec(overloadTasks))
	}
	sim.run(2600 * time.Millisecond)
	for i := range 5 {
		if state := sim.state(jobs.ID(fmt.Sprint("useful", i))); state != jobs.Completed {
			t.Errorf("useful job %d is %v after its objective", i, state)
		}
	}
}
