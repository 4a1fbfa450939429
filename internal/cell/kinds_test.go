package cell

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobs"
)

// runningOn is the number of tasks on each worker that runs any.
func (w *world) runningOn() map[string]int {
	count := make(map[string]int)
	for id, s := range w.workers {
		if s.up && len(s.running) > 0 {
			count[id] = len(s.running)
		}
	}
	return count
}

// TestWhereTasksRun checks what a step says of the workers that may run it.
func TestWhereTasksRun(t *testing.T) {
	for _, c := range []struct {
		situation string
		tasks     int
		step      func(*jobs.Step)
		want      map[string]int
	}{
		{"a required label binds, also when other workers are empty", 3,
			func(s *jobs.Step) { s.RequiredLabel = "fast" }, map[string]int{"w2": 3}},
		{"tasks with a label that no worker has wait", 3,
			func(s *jobs.Step) { s.RequiredLabel = "none" }, map[string]int{}},
		{"at most so many tasks of a step run on a worker, the others wait", 7,
			func(s *jobs.Step) { s.MaxPerWorker = 2 }, map[string]int{"w0": 2, "w1": 2, "w2": 2}},
		{"tasks run where their data is, while there is room", 4,
			func(s *jobs.Step) { s.DataRack = "r2" }, map[string]int{"w1": 4}},
		{"data far away is better than waiting", 12,
			func(s *jobs.Step) { s.DataRack, s.MaxPerWorker = "r2", 8 }, map[string]int{"w0": 2, "w1": 8, "w2": 2}},
	} {
		Convey(c.situation, t, func() {
			w := newWorld(51, 3)
			w.workers["w1"].info.Rack, w.workers["w1"].info.Labels = "r2", []string{"a", "r2"}
			w.workers["w2"].info.Labels = []string{"fast", "r1"}
			w.claim()
			w.runTime = time.Minute
			spec := batch(c.tasks)
			c.step(&spec.Steps[0])
			w.submit("j", spec)
			w.run(2 * time.Second)
			So(w.runningOn(), ShouldResemble, c.want)
			So(w.faults, ShouldBeEmpty)
		})
	}
}

func TestGang(t *testing.T) {
	gang := func(tasks int) jobs.Spec {
		spec := batch(tasks)
		spec.Steps[0].Gang = true
		return spec
	}
	runs := func(w *world) map[int]int {
		numbers := make(map[int]int)
		for _, s := range w.workers {
			for _, r := range s.running {
				numbers[r.number]++
			}
		}
		return numbers
	}
	Convey("Given two workers with room for eight tasks each", t, func() {
		w := newWorld(52, 2)
		w.claim()
		w.runTime = time.Minute
		Convey("a gang that does not fit as a whole starts no member", func() {
			w.submit("wide", gang(17))
			w.run(2 * time.Second)
			So(w.running(), ShouldEqual, 0)
		})
		Convey("one that fits starts all members under one run number", func() {
			w.submit("fits", gang(10))
			w.run(time.Second)
			So(runs(w), ShouldResemble, map[int]int{1: 10})
			Convey("when the worker of some is gone, the others are stopped and all start again together", func() {
				w.reborn("w0")
				w.run(4 * time.Second)
				So(runs(w), ShouldResemble, map[int]int{2: 10})
				So(w.faults, ShouldBeEmpty)
			})
			Convey("a new owner adopts it without a start", func() {
				w.claim()
				w.run(4 * time.Second)
				So(runs(w), ShouldResemble, map[int]int{1: 10})
			})
		})
	})
}

func TestOccurrences(t *testing.T) {
	Convey("A scheduled job's occurrences start when they are due, in time and not before, also under a new owner", t, func() {
		w := newWorld(53, 2)
		w.claim()
		w.runTime = 200 * time.Millisecond
		spec := batch(2, 1)
		spec.Times, spec.Interval, spec.StartAt = 3, 4*time.Second, w.wall().Add(2*time.Second)
		w.submit("j", spec)
		started := func() int {
			count := 0
			for occurrence := range spec.Times {
				if w.starts[jobs.TaskID{Job: "j", Occurrence: occurrence}] > 0 {
					count++
				}
			}
			return count
		}
		w.run(1900 * time.Millisecond)
		So(started(), ShouldEqual, 0)
		w.run(600 * time.Millisecond)
		So(started(), ShouldEqual, 1)
		w.claim()
		w.run(3 * time.Second)
		So(started(), ShouldEqual, 1)
		w.run(time.Second)
		So(started(), ShouldEqual, 2)
		So(w.state("j"), ShouldEqual, jobs.Running)
		w.run(6 * time.Second)
		So(started(), ShouldEqual, 3)
		So(w.state("j"), ShouldEqual, jobs.Completed)
		for _, count := range w.starts {
			So(count, ShouldEqual, 1)
		}
		So(w.faults, ShouldBeEmpty)
	})
}
