package cell

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobs"
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
