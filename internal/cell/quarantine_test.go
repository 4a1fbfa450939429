package cell

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobs"
)

func TestTransientWorkerFault(t *testing.T) {
	Convey("Given a quarantined worker that failed all its tasks for some seconds", t, func() {
		sim := newSimulation(11, 4)
		sim.takeOver()
		onEachWorker := testSpec(4)
		onEachWorker.Steps[0].LongRunning, onEachWorker.Steps[0].MaxPerWorker = true, 1
		sim.submit("lasting", onEachWorker)
		sim.submit("before", testSpec(8))
		sim.run(2 * time.Second)
		sim.workers["w0"].failsTasks = true
		for i := range 3 {
			sim.submit(jobs.ID(rune('a'+i)), testSpec(30))
			sim.run(1200 * time.Millisecond)
		}
		So(sim.owner.cell.health.Quarantined(), ShouldEqual, 1)
		sim.workers["w0"].failsTasks = false
		Convey("once it has recovered, a long-running task that fits nowhere else runs there within seconds", func() {
			for _, id := range []jobs.ID{"a", "b", "c"} {
				sim.cancel(id)
			}
			sim.run(300 * time.Millisecond)
			sim.taskRunTime = time.Minute
			full := testSpec(3)
			full.Steps[0].Request.MilliCPU = 3500
			sim.submit("full", full)
			sim.run(500 * time.Millisecond)
			service := testSpec(1)
			service.Steps[0].LongRunning = true
			sim.submit("service", service)
			sim.run(6 * time.Second)
			So(len(sim.workers["w0"].running), ShouldEqual, 2)
			So(sim.owner.cell.health.Quarantined(), ShouldEqual, 0)
		})
		Convey("while it still fails, no job fails because of probes and no task of the job is started more than three times", func() {
			sim.workers["w0"].failsTasks = true
			starts := sim.startCounts
			sim.taskRunTime = time.Minute
			sim.submit("wide", testSpec(30))
			sim.run(10 * time.Second)
			So(sim.state("wide"), ShouldEqual, jobs.Running)
			for task, count := range starts {
				So(task.Job == "wide" && count > 3, ShouldBeFalse)
			}
		})
	})
}
