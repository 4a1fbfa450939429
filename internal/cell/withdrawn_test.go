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
