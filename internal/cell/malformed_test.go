package cell

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

// A stored job that no node can have accepted ended the process of its owner, and of each one that took the cell over.
func TestMalformedRecordsAndReportsEndNoOwner(t *testing.T) {
	Convey("Given an owner with a job", t, func() {
		sim := newSimulation(1, 1)
		sim.submit("good", testSpec(1, 1))
		o := sim.takeOver()
		sim.run(500 * time.Millisecond)
		for name, spec := range map[string]jobs.Spec{
			"a dependency that does not exist": {Steps: []jobs.Step{{Count: 1, DependsOn: []int{9}}}},
			"a dependency on itself":           {Steps: []jobs.Step{{Count: 1, DependsOn: []int{0}}}},
			"a negative number of tasks":       {Steps: []jobs.Step{{Count: -1}}},
			"no steps":                         {},
		} {
			Convey("a job with "+name+" is skipped, also at a take-over, and the others go on", func() {
				value, err := recordcodec.Encode(&jobrecord.Job{Queue: "q", Service: "s", Spec: spec})
				So(err, ShouldBeNil)
				sim.append(store.Record{Key: jobrecord.JobKey("bad", "n", 0), Value: value, Offset: store.Offset(len(sim.jobLog))})
				sim.run(time.Second)
				So(o.cell.metrics.UnreadableRecords.Get(), ShouldBeGreaterThan, 0)
				sim.takeOver()
				sim.run(5 * time.Second)
				So(sim.state("good"), ShouldEqual, jobs.Completed)
			})
		}
		Convey("a report with tasks, steps and runs that do not exist is survived", func() {
			strange := []jobs.TaskID{{Job: "good", Index: 99}, {Job: "good", Index: -1}, {Job: "good", Step: 9}, {Job: "good", Step: -1},
				{Job: "good", Occurrence: -5}, {Job: ""}, {Job: "unknown"}}
			report := workercall.Report{Clock: sim.workers["w0"].clock(), StartedAtMS: sim.workers["w0"].info.StartedAtMS}
			for i, task := range strange {
				run := workercall.Run{Task: task, Number: -i}
				report.Running = append(report.Running, workercall.RunStatus{Run: run, Percent: 1 << 40, TailLatency: -1, MilliCPU: -1})
				report.Ended = append(report.Ended, workercall.EndedRun{Sequence: int64(1000 + i), Run: run, Reason: workercall.EndReason(i*7 - 9)})
			}
			o.cell.RenewAnswered("w0", report, sim.now)
			sim.run(time.Second)
			sim.restartWorker("w0") // its ends are numbered from 1 again
			sim.run(5 * time.Second)
			So(sim.state("good").Final(), ShouldBeTrue)
		})
	})
}
