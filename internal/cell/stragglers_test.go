package cell

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobs"
)

// speculativeSpec is testSpec with steps that permit copies.
func speculativeSpec(counts ...int) jobs.Spec {
	spec := testSpec(counts...)
	for i := range spec.Steps {
		spec.Steps[i].Speculative = true
	}
	return spec
}

// newStragglerSimulation returns a simulation whose owner has learned the run times of tasks.
func newStragglerSimulation(seed uint64, workers int) *simulation {
	sim := newSimulation(seed, workers)
	sim.takeOver()
	sim.run(500 * time.Millisecond)
	for i := range 3 {
		sim.submit(jobs.ID(fmt.Sprint("learn", i)), speculativeSpec(16))
	}
	sim.run(4 * time.Second)
	return sim
}

// startSlow submits a job with one task that takes slowFactor times as long as normal.
func (sim *simulation) startSlow(id jobs.ID, spec jobs.Spec) jobs.TaskID {
	sim.slowRate = 1
	sim.submit(id, spec)
	sim.run(200 * time.Millisecond)
	sim.slowRate = 0
	return jobs.TaskID{Job: id}
}

// workersRunning returns the workers on which a task runs.
func (sim *simulation) workersRunning(task jobs.TaskID) []*simWorker {
	var on []*simWorker
	for _, s := range sim.sortedWorkers() {
		if s.running[task] != nil {
			on = append(on, s)
		}
	}
	return on
}

func TestCopies(t *testing.T) {
	Convey("Given a task that takes seven times as long as normal", t, func() {
		sim := newStragglerSimulation(51, 4)
		Convey("a copy of it is started on another worker, succeeds first, and the first run is stopped", func() {
			task := sim.startSlow("j", speculativeSpec(1))
			sim.run(1500 * time.Millisecond)
			So(sim.startCounts[task], ShouldEqual, 2)
			sim.run(time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.workersRunning(task), ShouldBeEmpty)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("it runs once if its step permits no copies", func() {
			task := sim.startSlow("j", testSpec(1))
			sim.run(8 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.startCounts[task], ShouldEqual, 1)
		})
		Convey("it runs once while other work waits for the same workers", func() {
			sim.taskRunTime = time.Minute
			sim.submit("full", testSpec(40))
			sim.run(100 * time.Millisecond)
			sim.taskRunTime = 800 * time.Millisecond
			sim.workers["w0"].info.Capacity.MilliCPU += 1000
			sim.workers["w1"].info.Capacity.MilliCPU += 1000
			task := sim.startSlow("j", speculativeSpec(1))
			sim.run(4 * time.Second)
			So(sim.startCounts[task], ShouldBeLessThanOrEqualTo, 1)
		})
	})
	Convey("Tasks that take as long as normal are not copied", t, func() {
		sim := newStragglerSimulation(52, 4)
		for i := range 10 {
			sim.submit(jobs.ID(fmt.Sprint("j", i)), speculativeSpec(6, 6))
			sim.run(2 * time.Second)
		}
		sim.run(2 * time.Second)
		for task, starts := range sim.startCounts {
			So(fmt.Sprint(task.Key(), " ", starts), ShouldEqual, fmt.Sprint(task.Key(), " ", 1))
		}
	})
}
