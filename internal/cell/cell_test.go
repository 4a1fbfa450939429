package cell

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/jobs"
)

func batch(counts ...int) jobs.Spec {
	spec := jobs.Spec{Payload: "p"}
	for i, count := range counts {
		step := jobs.Step{Count: count, Request: jobs.Resources{MilliCPU: 500, MemoryMB: 500}, Estimate: 800 * time.Millisecond}
		if i > 0 {
			step.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

func (w *world) state(id jobs.ID) jobs.State {
	state, _ := w.owner.cell.Status(id)
	return state
}

func TestOwner(t *testing.T) {
	Convey("On a calm day", t, func() {
		w := newWorld(1, 4)
		w.claim()
		Convey("a job of two steps is completed, each task started once", func() {
			w.submit("j", batch(3, 5))
			w.run(5 * time.Second)
			So(w.state("j"), ShouldEqual, jobs.Completed)
			So(w.faults, ShouldBeEmpty)
			for _, starts := range w.starts {
				So(starts, ShouldEqual, 1)
			}
		})
		Convey("a second copy of a finished job starts nothing", func() {
			w.submit("j", batch(2))
			w.run(3 * time.Second)
			w.submit("j", batch(2))
			w.run(3 * time.Second)
			So(w.state("j"), ShouldEqual, jobs.Completed)
			So(w.starts[jobs.TaskID{Job: "j"}], ShouldEqual, 1)
		})
		Convey("a cancelled job is stopped and stays cancelled under the next owner", func() {
			w.runTime = time.Minute
			w.submit("j", batch(4))
			w.run(time.Second)
			w.cancel("j")
			w.run(time.Second)
			So(w.running(), ShouldEqual, 0)
			w.claim()
			w.run(2 * time.Second)
			So(w.state("j"), ShouldEqual, jobs.Cancelled)
			So(w.running(), ShouldEqual, 0)
		})
		Convey("a job whose task always fails is shown as failed after its attempts", func() {
			w.failRate = 1
			w.submit("j", batch(1))
			w.run(10 * time.Second)
			So(w.state("j"), ShouldEqual, jobs.Failed)
			So(w.starts[jobs.TaskID{Job: "j"}], ShouldEqual, 3)
		})
		Convey("nothing is started on a worker that leaves", func() {
			for _, s := range w.workers {
				s.info.Draining = s.info.ID != "w0"
			}
			w.run(time.Second)
			w.submit("j", batch(4))
			w.run(500 * time.Millisecond)
			for _, s := range w.workers {
				So(len(s.running) == 0 || s.info.ID == "w0", ShouldBeTrue)
			}
		})
	})
	Convey("Lasting tasks are started again when their worker is gone", t, func() {
		w := newWorld(2, 3)
		w.claim()
		spec := batch(3)
		spec.Steps[0].Lasting = true
		w.submit("j", spec)
		w.run(time.Second)
		So(w.running(), ShouldEqual, 3)
		for _, s := range w.sortedWorkers() {
			if len(s.running) > 0 {
				w.reborn(s.info.ID)
				break
			}
		}
		w.run(3 * time.Second)
		So(w.running(), ShouldEqual, 3)
		So(w.faults, ShouldBeEmpty)
	})
}

func TestLeavingWorker(t *testing.T) {
	Convey("Lasting tasks move away from a worker that leaves, before it is gone", t, func() {
		w := newWorld(7, 3)
		w.claim()
		spec := batch(6)
		spec.Steps[0].Lasting = true
		w.submit("j", spec)
		w.run(time.Second)
		for _, s := range w.sortedWorkers() {
			if len(s.running) > 0 {
				s.info.Draining = true
				w.run(2 * time.Second)
				So(s.running, ShouldBeEmpty)
				break
			}
		}
		So(w.running(), ShouldEqual, 6)
		So(w.faults, ShouldBeEmpty)
	})
	Convey("They stay while there is no room elsewhere", t, func() {
		w := newWorld(8, 2)
		w.claim()
		spec := batch(16)
		spec.Steps[0].Lasting = true
		w.submit("j", spec)
		w.run(2 * time.Second)
		w.workers["w0"].info.Draining = true
		w.run(2 * time.Second)
		So(len(w.workers["w0"].running), ShouldEqual, 8)
	})
}

func (w *world) running() int {
	running := 0
	for _, s := range w.workers {
		if s.up {
			running += len(s.running)
		}
	}
	return running
}

func TestTakeOver(t *testing.T) {
	Convey("A new owner adopts what runs, also where the worker lists ends that are not stored", t, func() {
		w := newWorld(3, 2)
		w.claim()
		w.runTime = 20 * time.Second
		w.submit("long", batch(4))
		w.run(time.Second)
		w.runTime = 100 * time.Millisecond
		w.submit("short", batch(4))
		w.run(90 * time.Millisecond)
		w.owner.gone = true
		w.run(time.Second) // the short tasks end unseen
		w.claim()
		w.run(4 * time.Second)
		So(w.faults, ShouldBeEmpty)
		So(w.state("short"), ShouldEqual, jobs.Completed)
		for i := range 4 {
			So(w.starts[jobs.TaskID{Job: "long", Index: i}], ShouldEqual, 1)
		}
	})
	Convey("While the store is slow, a lease that former owners extended counts in full", t, func() {
		w := newWorld(5, 1)
		w.claim()
		w.runTime = 20 * time.Second
		w.submit("long", batch(2))
		w.run(time.Second)
		w.runTime = 100 * time.Millisecond
		w.submit("short", batch(2))
		w.run(90 * time.Millisecond)
		w.owner.gone = true
		w.run(time.Second)
		w.storeTime = 3 * time.Second
		w.claim()
		w.run(15 * time.Second)
		So(w.faults, ShouldBeEmpty)
		So(w.starts[jobs.TaskID{Job: "long"}], ShouldEqual, 1)
	})
	Convey("A new life of a worker shows in its report before its entry changes", t, func() {
		w := newWorld(6, 1)
		w.listLag = 30 * time.Second
		w.claim()
		w.submit("before", batch(4))
		w.run(5 * time.Second)
		w.reborn("w0")
		w.submit("after", batch(2))
		w.run(5 * time.Second)
		So(w.state("after"), ShouldEqual, jobs.Completed) // its ends are numbered from 1 again
		So(w.faults, ShouldBeEmpty)
	})
	Convey("A worker that the new owner cannot reach keeps its tasks until its lease must have lapsed", t, func() {
		w := newWorld(4, 2)
		first := w.claim()
		w.runTime = time.Minute
		w.submit("j", batch(8))
		w.run(time.Second)
		first.gone = true
		second := w.claim()
		w.workers["w0"].cut[second] = true
		w.run(20 * time.Second)
		So(w.faults, ShouldBeEmpty)
		So(w.running(), ShouldEqual, 8)
		So(len(w.workers["w0"].running), ShouldEqual, 0)
	})
}

// TestFaults lets random faults come over owners and workers, and the oracle watch. Each seed is a case of its own.
func TestFaults(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runFaults(t, seed) })
	}
}

func runFaults(t *testing.T, seed uint64) {
	w := newWorld(seed, 5)
	w.failRate, w.lossRate, w.lateRate = 0.05, 0.02, 0.02
	w.claim()
	for i := range 40 {
		switch w.random.IntN(8) {
		case 0, 1, 2:
			spec := batch(1+w.random.IntN(4), 1+w.random.IntN(4))
			spec.Steps[1].Lasting = w.random.IntN(5) == 0
			w.submit(jobs.ID(fmt.Sprintf("j%02d", i)), spec)
		case 3:
			w.cancel(jobs.ID(fmt.Sprintf("j%02d", w.random.IntN(i+1))))
		case 4:
			w.reborn(fmt.Sprintf("w%d", w.random.IntN(5)))
		case 5:
			w.cutFor(fmt.Sprintf("w%d", w.random.IntN(5)), time.Duration(w.random.IntN(9000))*time.Millisecond)
		case 6:
			w.changeOwner()
		}
		w.run(time.Duration(w.random.IntN(800)) * time.Millisecond)
	}
	w.failRate, w.lossRate, w.lateRate = 0, 0, 0
	w.run(40 * time.Second)
	for _, fault := range w.faults {
		t.Error(fault)
	}
	w.checkEnded(t)
}

// checkEnded checks that all jobs that end by themselves have ended, and that completed ones are so.
func (w *world) checkEnded(t *testing.T) {
	for id, spec := range w.specs {
		state := w.state(id)
		if !state.Ended() && !spec.Lasting() {
			t.Errorf("%s is %v at the end", id, state)
		}
		for step := range spec.Steps {
			for i := range spec.Steps[step].Count {
				if task := (jobs.TaskID{Job: id, Step: step, Index: i}); state == jobs.Completed && !w.done[task] {
					t.Errorf("%s is completed, and %v is not done", id, task)
				}
			}
		}
	}
}

func (w *world) cutFor(id string, d time.Duration) {
	s, o := w.workers[id], w.owner
	s.cut[o] = true
	w.after(d, func() { delete(s.cut, o) })
}

// changeOwner takes the cell from its owner in one of the ways in which that happens.
func (w *world) changeOwner() {
	o := w.owner
	switch w.random.IntN(3) {
	case 0: // killed
		o.gone = true
	case 1: // cut off from the store: it goes on renewing leases for a while
		o.lease, o.hold = w.now, w.now+claim.HoldWithoutStore-claim.Lease
	case 2: // frozen, and wakes after its lease
		o.frozen, o.lease, o.hold = true, w.now, w.now+claim.HoldWithoutStore-claim.Lease
		w.after(time.Duration(w.random.IntN(12000))*time.Millisecond, func() { o.frozen = false })
	}
	w.run(time.Duration(w.random.IntN(1000)) * time.Millisecond)
	w.claim()
}
