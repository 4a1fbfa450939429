package cell

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/workercall"
)

// wideSpec returns a job with one step of tasks that each need most of a worker.
func wideSpec(count int) jobs.Spec {
	spec := testSpec(count)
	spec.Steps[0].Request = jobs.Resources{MilliCPU: 3500, MemoryMB: 500}
	return spec
}

// Pattern: workers are full of small tasks, and an interrupted long-running task needs more than any of them has free at a
// time. As small tasks kept coming, each bit of room that became free was taken by the next small one.
func TestInterruptedLargeTaskStartsInCellFullOfSmallTasks(t *testing.T) {
	Convey("Given a large long-running task and workers that are full of small tasks, with more of them waiting", t, func() {
		sim := newSimulation(3, 10)
		sim.takeOver()
		spec := wideSpec(1)
		spec.Steps[0].LongRunning = true
		sim.submit("lasting", spec)
		sim.run(time.Second)
		task := jobs.TaskID{Job: "lasting"}
		So(sim.startCounts[task], ShouldEqual, 1)
		sim.submitPriority = 2
		for i := range 60 {
			sim.submit(jobs.ID(fmt.Sprintf("small%02d", i)), testSpec(20))
		}
		sim.run(2 * time.Second)
		Convey("when the task fails, it runs again within three run times of a small one", func() {
			sim.interrupt(task)
			sim.run(2500 * time.Millisecond)
			So(sim.startCounts[task], ShouldEqual, 2)
			So(sim.state("small59").Final(), ShouldBeFalse)
		})
		Convey("for a task that never ran no worker is kept free", func() {
			sim.submit("new", wideSpec(1))
			sim.run(300 * time.Millisecond)
			So(sim.owner.cell.view.reserved, ShouldBeEmpty)
		})
	})
	Convey("A task that fits on no worker, even an empty one, keeps none free", t, func() {
		sim := newSimulation(3, 10)
		sim.takeOver()
		spec := wideSpec(1)
		spec.Steps[0].LongRunning = true
		sim.submit("huge", spec)
		sim.run(time.Second)
		for _, w := range sim.workers {
			w.info.Capacity.MilliCPU = 3000
		}
		sim.interrupt(jobs.TaskID{Job: "huge"})
		sim.run(time.Second)
		So(sim.owner.cell.view.reserved, ShouldBeEmpty)
	})
}

// interrupt makes the run of a task fail.
func (sim *simulation) interrupt(task jobs.TaskID) {
	for _, w := range sim.sortedWorkers() {
		if w.running[task] != nil {
			w.end(task, workercall.Failed)
		}
	}
}
