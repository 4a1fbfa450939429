package cell

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
)

func TestDuplicateJobRecords(t *testing.T) {
	Convey("Given a job that is stored a second time by another node some seconds later", t, func() {
		sim := newSimulation(21, 1)
		sim.takeOver()
		sim.taskRunTime = time.Minute
		arrived := sim.wall().UnixMilli()
		sim.submitNode = "one"
		sim.submit("j", testSpec(1))
		sim.run(3 * time.Second)
		sim.submitNode = "another"
		sim.submit("j", testSpec(1))
		sim.run(time.Second)
		Convey("the next owner uses the receive time of the first record", func() {
			sim.takeOver()
			So(sim.owner.cell.jobs["j"].record.ReceivedMS, ShouldEqual, arrived)
			So(sim.owner.cell.metrics.DuplicateJobs.Get(), ShouldEqual, 1)
		})
		Convey("all records of the job are deleted", func() {
			sim.statusRetention = time.Second
			sim.takeOver()
			sim.cancel("j")
			sim.run(20 * time.Second)
			So(sim.newestJobs(), ShouldBeEmpty)
			So(sim.records, ShouldNotContainKey, jobrecord.OutcomeKey("j"))
		})
	})
}

func TestExpiredJob(t *testing.T) {
	Convey("An expired job is not run again by the next owner", t, func() {
		sim := newSimulation(22, 2)
		sim.statusRetention = 2 * time.Second
		sim.takeOver()
		sim.submit("j", testSpec(3))
		sim.run(8 * time.Second)
		So(sim.startCounts[jobs.TaskID{Job: "j"}], ShouldEqual, 1)
		_, known := sim.owner.cell.Status("j")
		So(known, ShouldBeFalse)
		sim.takeOver()
		sim.run(15 * time.Second)
		So(sim.startCounts[jobs.TaskID{Job: "j"}], ShouldEqual, 1)
		So(sim.violations, ShouldBeEmpty)
	})
	Convey("An expired job is not run again if the owner ends after deleting the job and before deleting its progress", t, func() {
		sim := newSimulation(23, 2)
		sim.statusRetention = 2 * time.Second
		first := sim.takeOver()
		sim.submit("j", testSpec(3))
		for end := sim.now + 10*time.Second; len(sim.newestJobs()) > 0 && sim.now < end; {
			sim.run(simTick)
		}
		So(sim.newestJobs(), ShouldBeEmpty)
		first.ended = true
		sim.takeOver()
		sim.run(15 * time.Second)
		So(sim.startCounts[jobs.TaskID{Job: "j"}], ShouldEqual, 1)
		So(sim.records, ShouldNotContainKey, jobrecord.OutcomeKey("j"))
	})
}

func TestUnreadableJob(t *testing.T) {
	Convey("The progress of a job whose record cannot be decoded is kept, since a newer version may be able to decode it", t, func() {
		sim := newSimulation(24, 1)
		sim.takeOver()
		sim.taskRunTime = time.Minute
		sim.submit("j", testSpec(1))
		sim.run(time.Second)
		sim.jobLog[0].Value = []byte("of a later version")
		sim.takeOver()
		sim.run(10 * time.Second)
		So(sim.records, ShouldContainKey, jobrecord.GroupKey(jobs.GroupID{Job: "j"}))
	})
}
