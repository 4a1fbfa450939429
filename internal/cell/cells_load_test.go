package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/jobs"
)

// The users' deployment of 1,100 workers and 2,440 starts a second at a tenth of the size, with owners that use 0.4 of a core,
// half of a node: an order or an answer takes them ten times as long as the 0.11 ms of a whole core that were measured.
const (
	largeWorkers    = 110
	largeStartRate  = 240 // a second
	largeOrderCost  = 2800 * time.Microsecond
	largeTaskTime   = 1600 * time.Millisecond
	tasksPerJob     = 8
	largeLoadPeriod = 8 * time.Second
)

// firstStarts loads a deployment with a number of cells for largeLoadPeriod and returns the times from handing a job in to
// the first start of one of its tasks, sorted. A job that has not started by the end counts with the time until then.
func firstStarts(cells int) []time.Duration {
	sim := newCellsSimulation(1, cells, largeWorkers)
	sim.taskRunTime = largeTaskTime
	sim.run(2 * time.Second)
	sim.processorCost = largeOrderCost
	submitted := make(map[jobs.ID]time.Duration)
	waits := make(map[jobs.ID]time.Duration)
	for end := sim.now + largeLoadPeriod; sim.now < end; sim.run(time.Second * tasksPerJob / largeStartRate) {
		id := jobs.ID(fmt.Sprintf("j%04d", len(submitted)))
		submitted[id] = sim.now
		sim.submitTo(len(submitted)%cells, id, testSpec(tasksPerJob))
		for id, at := range submitted {
			if _, started := waits[id]; !started && sim.startCounts[jobs.TaskID{Job: id}] > 0 {
				waits[id] = sim.now - at
			}
		}
	}
	var sorted []time.Duration
	for id, at := range submitted {
		wait, started := waits[id]
		if !started {
			wait = sim.now - at
		}
		sorted = append(sorted, wait)
	}
	slices.Sort(sorted)
	return sorted
}

// Pattern: more starts a second than the processor time of one owner is enough for, on workers with room.
func TestStartsOfLargeDeploymentAreInTimeWithSeveralCells(t *testing.T) {
	one, five := firstStarts(1), firstStarts(5)
	percentile := func(waits []time.Duration, percent int) time.Duration { return waits[len(waits)*percent/100] }
	if p95 := percentile(five, 95); p95 > 1500*time.Millisecond {
		t.Errorf("five cells: 95%% of the jobs start within %v, want 1.5s", p95)
	}
	if p50 := percentile(five, 50); p50 > 150*time.Millisecond {
		t.Errorf("five cells: half of the jobs start within %v, want 150ms", p50)
	}
	if p95 := percentile(one, 95); p95 < 1500*time.Millisecond {
		t.Errorf("one cell: 95%% of the jobs start within %v; the load is not one that needs several cells", p95)
	}
}

// burst submits jobs that are all received in the failure domain of cell 0 of three, each to the cell that choose names, and
// returns how many of them are completed after a time in which cell 0 alone cannot run half of them.
func burst(spec jobs.Spec, choose func(sim *simulation, loads map[int]cellmap.Load) int) (completed int) {
	sim := newCellsSimulation(5, 3, 12)
	plan := cellmap.Plan{Cells: []cellmap.PlannedCell{{FailureDomain: "a", Active: true}, {FailureDomain: "b", Active: true}, {FailureDomain: "c", Active: true}}}
	sim.storeInTable(cellmap.PlanKey, &plan)
	sim.run(time.Second)
	loads := make(map[int]cellmap.Load)
	const count = 60
	for i := range count {
		if i%20 == 0 { // once a second
			for _, home := range sim.cells {
				l := home.owner.cell.CurrentLoad()
				loads[home.number] = cellmap.Load{Cell: home.number, CapacityMilliCPU: l.Capacity, UsedMilliCPU: l.Used, WaitingMilliCPU: l.Waiting,
					BestEffort: l.BestEffort}
			}
		}
		to := choose(sim, loads)
		assumed := loads[to]
		if spec.Steps[0].BestEffort {
			assumed.BestEffort.WaitingMilliCPU += 10 * 500
		} else {
			assumed.WaitingMilliCPU += 10 * 500
		}
		loads[to] = assumed
		sim.submitTo(to, jobs.ID(fmt.Sprintf("j%02d", i)), spec)
		sim.run(50 * time.Millisecond)
	}
	sim.run(4 * time.Second)
	for i := range count {
		if state, _ := sim.stateOf(jobs.ID(fmt.Sprintf("j%02d", i))); state == jobs.Completed {
			completed++
		}
	}
	return completed
}

// Pattern: callers of one failure domain submit far more than its cell has room for, while the other cells have room.
func TestBurstInOneCellUsesRoomOfOthers(t *testing.T) {
	Convey("A burst in one failure domain is served by all cells", t, func() {
		atHome := burst(testSpec(10), func(*simulation, map[int]cellmap.Load) int { return 0 })
		spread := burst(testSpec(10), func(sim *simulation, loads map[int]cellmap.Load) int {
			return sim.table.Choose(cellmap.Need{}, "a", loads, sim.random.Float64)
		})
		So(atHome, ShouldBeLessThan, 30)
		So(spread, ShouldBeGreaterThan, 50)
	})
}

// Pattern: callers of one failure domain submit more best-effort work than its cell has unused capacity for. Such jobs were
// spread by the capacity that other tasks request, which they do not need.
func TestBurstOfBestEffortJobsUsesUnusedCapacityOfOtherCells(t *testing.T) {
	spec := testSpec(10)
	spec.Steps[0].BestEffort = true
	choose := func(bestEffort bool) func(sim *simulation, loads map[int]cellmap.Load) int {
		return func(sim *simulation, loads map[int]cellmap.Load) int {
			return sim.table.Choose(cellmap.Need{BestEffort: bestEffort, MilliCPU: 10 * 500}, "a", loads, sim.random.Float64)
		}
	}
	if completed := burst(spec, choose(false)); completed > 40 {
		t.Errorf("%d of 60 jobs are completed by the capacity that tasks request; the load is not one that needs the other cells", completed)
	}
	if completed := burst(spec, choose(true)); completed <= 50 {
		t.Errorf("%d of 60 jobs are completed, want more than 50", completed)
	}
}
