package cell

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
)

func TestCopiesOfARequest(t *testing.T) {
	Convey("Given a job of which another node stores a copy seconds later", t, func() {
		w := newWorld(21, 1)
		w.claim()
		w.runTime = time.Minute
		arrived := w.wall().UnixMilli()
		w.writer = "one"
		w.submit("j", batch(1))
		w.run(3 * time.Second)
		w.writer = "another"
		w.submit("j", batch(1))
		w.run(time.Second)
		Convey("the next owner still knows when it arrived first", func() {
			w.claim()
			So(w.owner.cell.jobs["j"].record.ReceivedMS, ShouldEqual, arrived)
			So(w.owner.cell.counts.DuplicateJobs.Get(), ShouldEqual, 1)
		})
		Convey("all copies are deleted with it", func() {
			w.keepStatus = time.Second
			w.claim()
			w.cancel("j")
			w.run(20 * time.Second)
			So(w.newestJobs(), ShouldBeEmpty)
			So(w.records, ShouldNotContainKey, jobrecord.OutcomeKey("j"))
		})
	})
}

func TestForgottenJob(t *testing.T) {
	Convey("A job that ended long ago is not run again by the next owner", t, func() {
		w := newWorld(22, 2)
		w.keepStatus = 2 * time.Second
		w.claim()
		w.submit("j", batch(3))
		w.run(8 * time.Second)
		So(w.starts[jobs.TaskID{Job: "j"}], ShouldEqual, 1)
		_, known := w.owner.cell.Status("j")
		So(known, ShouldBeFalse)
		w.claim()
		w.run(15 * time.Second)
		So(w.starts[jobs.TaskID{Job: "j"}], ShouldEqual, 1)
		So(w.faults, ShouldBeEmpty)
	})
	Convey("It is not run again either when the owner is gone between the two deletions", t, func() {
		w := newWorld(23, 2)
		w.keepStatus = 2 * time.Second
		first := w.claim()
		w.submit("j", batch(3))
		for end := w.now + 10*time.Second; len(w.newestJobs()) > 0 && w.now < end; {
			w.run(worldTick)
		}
		So(w.newestJobs(), ShouldBeEmpty)
		first.gone = true
		w.claim()
		w.run(15 * time.Second)
		So(w.starts[jobs.TaskID{Job: "j"}], ShouldEqual, 1)
		So(w.records, ShouldNotContainKey, jobrecord.OutcomeKey("j"))
	})
}

func TestUnreadableJob(t *testing.T) {
	Convey("The progress of a job that this version cannot read is kept for one that can", t, func() {
		w := newWorld(24, 1)
		w.claim()
		w.runTime = time.Minute
		w.submit("j", batch(1))
		w.run(time.Second)
		w.jobLog[0].Value = []byte("of a later version")
		w.claim()
		w.run(10 * time.Second)
		So(w.records, ShouldContainKey, jobrecord.GroupKey(jobs.GroupID{Job: "j"}))
	})
}
