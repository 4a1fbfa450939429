package cell

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobs"
)

// runningOn returns the number of running tasks of each worker that has any.
func (sim *simulation) runningOn() map[string]int {
	count := make(map[string]int)
	for id, s := range sim.workers {
		if s.up && len(s.running) > 0 {
			count[id] = len(s.running)
		}
	}
	return count
}

// TestPlacementConstraints checks which workers run the tasks of a step with constraints or preferences.
func TestPlacementConstraints(t *testing.T) {
	for _, c := range []struct {
		situation string
		tasks     int
		step      func(*jobs.Step)
		want      map[string]int
	}{
		{"tasks with a required label run only on workers that have it, even if others are empty", 3,
			func(s *jobs.Step) { s.RequiredLabel = "fast" }, map[string]int{"w2": 3}},
		{"tasks with a label that no worker has wait", 3,
			func(s *jobs.Step) { s.RequiredLabel = "none" }, map[string]int{}},
		{"tasks above the limit per worker wait", 7,
			func(s *jobs.Step) { s.MaxPerWorker = 2 }, map[string]int{"w0": 2, "w1": 2, "w2": 2}},
		{"tasks run in the rack of their data while it has room", 4,
			func(s *jobs.Step) { s.DataRack = "r2" }, map[string]int{"w1": 4}},
		{"tasks run in another rack rather than wait", 12,
			func(s *jobs.Step) { s.DataRack, s.MaxPerWorker = "r2", 8 }, map[string]int{"w0": 2, "w1": 8, "w2": 2}},
	} {
		Convey(c.situation, t, func() {
			sim := newSimulation(51, 3)
			sim.workers["w1"].info.Rack, sim.workers["w1"].info.Labels = "r2", []string{"a", "r2"}
			sim.workers["w2"].info.Labels = []string{"fast", "r1"}
			sim.takeOver()
			sim.taskRunTime = time.Minute
			spec := testSpec(c.tasks)
			c.step(&spec.Steps[0])
			sim.submit("j", spec)
			sim.run(2 * time.Second)
			So(sim.runningOn(), ShouldResemble, c.want)
			So(sim.violations, ShouldBeEmpty)
		})
	}
}

func TestGang(t *testing.T) {
	gang := func(tasks int) jobs.Spec {
		spec := testSpec(tasks)
		spec.Steps[0].Gang = true
		return spec
	}
	// runs returns the number of running tasks by run number.
	runs := func(sim *simulation) map[int]int {
		numbers := make(map[int]int)
		for _, s := range sim.workers {
			for _, r := range s.running {
				numbers[r.number]++
			}
		}
		return numbers
	}
	Convey("Given two workers with room for eight tasks each", t, func() {
		sim := newSimulation(52, 2)
		sim.takeOver()
		sim.taskRunTime = time.Minute
		Convey("a gang that does not fit completely starts no task", func() {
			sim.submit("wide", gang(17))
			sim.run(2 * time.Second)
			So(sim.running(), ShouldEqual, 0)
		})
		Convey("a gang that fits starts all tasks with the same run number", func() {
			sim.submit("fits", gang(10))
			sim.run(time.Second)
			So(runs(sim), ShouldResemble, map[int]int{1: 10})
			Convey("after the restart of one worker the remaining tasks are stopped and all start again together", func() {
				sim.restartWorker("w0")
				sim.run(4 * time.Second)
				So(runs(sim), ShouldResemble, map[int]int{2: 10})
				So(sim.violations, ShouldBeEmpty)
			})
			Convey("a new owner adopts the gang without starting it again", func() {
				sim.takeOver()
				sim.run(4 * time.Second)
				So(runs(sim), ShouldResemble, map[int]int{1: 10})
			})
		})
	})
}

func TestOccurrences(t *testing.T) {
	Convey("The occurrences of a scheduled job start when they are due and not earlier, also after a change of owner", t, func() {
		sim := newSimulation(53, 2)
		sim.takeOver()
		sim.taskRunTime = 200 * time.Millisecond
		spec := testSpec(2, 1)
		spec.OccurrenceCount, spec.Interval, spec.StartAt = 3, 4*time.Second, sim.wall().Add(2*time.Second)
		sim.submit("j", spec)
		started := func() int {
			count := 0
			for occurrence := range spec.OccurrenceCount {
				if sim.startCounts[jobs.TaskID{Job: "j", Occurrence: occurrence}] > 0 {
					count++
				}
			}
			return count
		}
		sim.run(1900 * time.Millisecond)
		So(started(), ShouldEqual, 0)
		sim.run(600 * time.Millisecond)
		So(started(), ShouldEqual, 1)
		sim.takeOver()
		sim.run(3 * time.Second)
		So(started(), ShouldEqual, 1)
		sim.run(time.Second)
		So(started(), ShouldEqual, 2)
		So(sim.state("j"), ShouldEqual, jobs.Running)
		sim.run(6 * time.Second)
		So(started(), ShouldEqual, 3)
		So(sim.state("j"), ShouldEqual, jobs.Completed)
		for _, count := range sim.startCounts {
			So(count, ShouldEqual, 1)
		}
		So(sim.violations, ShouldBeEmpty)
	})
}
