package cell

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

// Guards against a service whose tasks crash after each start, and whose restarts take all starts of each round.
func TestTasksThatEndRepeatedlyLeaveStartsToOthers(t *testing.T) {
	Convey("Given a service of many tasks that end soon after each start", t, func() {
		sim := newSimulation(5, 8)
		sim.serviceEnds = []workercall.EndReason{workercall.Done} // failures would have the workers quarantined
		sim.takeOver()
		sim.serviceEndRate = 0.5
		sim.submit("service", manyTasks(1500, true))
		sim.run(4 * time.Second)
		Convey("jobs that are handed in later are done at once", func() {
			for _, id := range []jobs.ID{"a", "b", "c"} {
				sim.submit(id, manyTasks(6, false))
				sim.run(1800 * time.Millisecond)
				So(sim.state(id), ShouldEqual, jobs.Completed)
			}
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("each task starts again within the time after which it counts as lost", func() {
			before := make(map[jobs.TaskID]int)
			for task, starts := range sim.startCounts {
				before[task] = starts
			}
			sim.run(8 * time.Second)
			So(len(before), ShouldEqual, 1500)
			for task, starts := range before {
				So(sim.startCounts[task], ShouldBeGreaterThan, starts)
			}
		})
		Convey("new owners start each task once at once, and then with the same delays", func() {
			sim.run(8 * time.Second)
			started := func() (starts int) {
				for _, n := range sim.startCounts {
					starts += n
				}
				return starts
			}
			before := started()
			for range 3 {
				sim.takeOver()
				sim.run(time.Second)
			}
			So(started()-before, ShouldBeBetween, 1500, 3*1500*3/2)
		})
		Convey("all tasks run soon after they have become sound", func() {
			sim.serviceEndRate = 0
			sim.run(4 * time.Second)
			So(sim.running(), ShouldEqual, 1500)
			So(sim.owner.cell.auditor.found, ShouldEqual, 0)
		})
	})
	Convey("A task that ended once starts again as fast as before", t, func() {
		sim := newSimulation(6, 2)
		sim.takeOver()
		sim.submit("service", manyTasks(2, true))
		sim.run(7 * time.Second)
		for range 5 { // each after a run that lasted
			sim.serviceEndRate = 1
			sim.run(simTick)
			sim.serviceEndRate = 0
			sim.run(600 * time.Millisecond)
			So(sim.running(), ShouldEqual, 2)
			sim.run(lastingRun)
		}
	})
}

// Guards against a job whose starts workers refuse, which kept all other jobs from these workers.
func TestRefusedStartsLeaveWorkersToOthers(t *testing.T) {
	for _, reason := range []verdict.Reason{workercall.ReasonMalformedOrder, workercall.ReasonNoCapacity, workercall.ReasonUnhealthy} {
		Convey(fmt.Sprintf("Given services that workers refuse: %s", reason), t, func() {
			sim := newSimulation(7, 8)
			sim.takeOver()
			sim.startRefusals = make(map[jobs.ID]verdict.Reason)
			for i := range 10 {
				id := jobs.ID(fmt.Sprint("service", i))
				sim.startRefusals[id] = reason
				sim.submit(id, manyTasks(300, true))
			}
			Convey("other jobs are done at once, and the services run soon after they are accepted", func() {
				for _, id := range []jobs.ID{"a", "b", "c"} {
					sim.submit(id, manyTasks(6, false))
					sim.run(1800 * time.Millisecond)
					So(sim.state(id), ShouldEqual, jobs.Completed)
				}
				So(sim.startsRefused, ShouldBeLessThan, 3000*10)
				clear(sim.startRefusals)
				sim.run(4 * time.Second)
				So(sim.running(), ShouldEqual, 3000)
				So(sim.violations, ShouldBeEmpty)
			})
		})
	}
	Convey("Given a worker that refuses all starts, jobs run on the others", t, func() {
		sim := newSimulation(8, 4)
		sim.takeOver()
		sim.sortedWorkers()[0].refuses = workercall.ReasonUnhealthy
		for _, id := range []jobs.ID{"a", "b", "c"} {
			sim.submit(id, manyTasks(20, false))
			sim.run(1800 * time.Millisecond)
			So(sim.state(id), ShouldEqual, jobs.Completed)
		}
		So(sim.startsRefused, ShouldBeBetween, 0, 80)
	})
}
