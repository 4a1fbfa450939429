package cell

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

func TestStragglers(t *testing.T) {
	for _, c := range []struct {
		situation   string
		speculative bool
		trouble     func(*world)
		starts      int
		within      time.Duration
	}{
		{"a task whose worker stands still is started elsewhere", false, func(w *world) { w.workers["w0"].stands = true }, 2, 6 * time.Second},
		{"so is a copy of a speculative one", true, func(w *world) { w.workers["w0"].stands = true }, 2, 6 * time.Second},
		{"a copy of a speculative task is started when its worker is silent", true, func(w *world) { w.workers["w0"].cut[w.owner] = true }, 2, 4 * time.Second},
		{"a task that may not run twice waits for the lease of its silent worker", false, func(w *world) { w.workers["w0"].cut[w.owner] = true }, 1, 4 * time.Second},
		{"without trouble nothing is started twice", true, func(*world) {}, 1, 4 * time.Second},
	} {
		Convey(c.situation, t, func() {
			w := newWorld(31, 1)
			w.claim()
			w.run(100 * time.Millisecond)
			w.runTime = 2 * time.Second
			spec := batch(1)
			spec.Steps[0].Speculative, spec.Steps[0].Estimate = c.speculative, 2*time.Second
			w.submit("j", spec)
			w.run(300 * time.Millisecond)
			So(len(w.workers["w0"].running), ShouldEqual, 1)
			w.addWorker("w1")
			c.trouble(w)
			w.run(c.within)
			So(w.starts[jobs.TaskID{Job: "j"}], ShouldEqual, c.starts)
			if c.starts == 2 {
				So(w.state("j"), ShouldEqual, jobs.Completed)
			}
			if !c.speculative {
				So(w.faults, ShouldBeEmpty)
			}
		})
	}
}

func TestWithdrawnStart(t *testing.T) {
	Convey("Given a start that waits behind other orders to its worker", t, func() {
		w := newWorld(32, 1)
		o := w.claim()
		w.run(100 * time.Millisecond)
		o.cell.AddJob("j", jobrecord.JobKey("j", "n"), jobrecord.Job{Queue: "q", Service: "s", MaxAttempts: 3, Spec: batch(1)})
		o.cell.At(w.now, w.wall())
		starts := o.cell.Stored(o.cell.Plan())
		So(starts, ShouldHaveLength, 1)
		So(o.cell.Wanted(starts[0]), ShouldBeTrue)
		Convey("it is not sent once the job is cancelled, and the room is free again", func() {
			o.cell.Cancel("j")
			So(o.cell.Wanted(starts[0]), ShouldBeFalse)
			o.cell.Started(starts[0], workercall.Answer{}, verdict.New(verdict.NotRun, workercall.ReasonWithdrawn, nil))
			So(o.cell.workers["w0"].runs, ShouldBeEmpty)
			So(o.cell.workers["w0"].used, ShouldResemble, jobs.Resources{})
			So(o.cell.usable(o.cell.workers["w0"]), ShouldBeTrue)
		})
	})
}
