package cell

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/overload"
)

// observeLog returns the lines that an owner logs from now on.
func observeLog(o *simOwner) *observer.ObservedLogs {
	core, lines := observer.New(zapcore.InfoLevel)
	o.cell.log = zap.New(core)
	return lines
}

// metricsPage returns the metrics of an owner in the Prometheus text format.
func metricsPage(o *simOwner) string {
	var page bytes.Buffer
	o.cell.metrics.set.WritePrometheus(&page)
	return page.String()
}

func TestWaitingForRoom(t *testing.T) {
	Convey("Given more tasks than the workers have room for, the line about the wait says how old the reports are", t, func() {
		sim := newSimulation(61, 2)
		o := sim.takeOver()
		sim.taskRunTime = 5 * time.Second
		sim.run(time.Second)
		lines := observeLog(o)
		o.cell.SetRoundTime(70 * time.Millisecond)
		sim.submit("j", testSpec(17))
		sim.run(4 * time.Second)
		So(lines.FilterMessage("step waiting for its turn").Len(), ShouldEqual, 0)
		waiting := lines.FilterMessage("step waiting for resources").All()
		So(waiting, ShouldHaveLength, 1)
		fields := waiting[0].ContextMap()
		So(fields["workers"], ShouldResemble, map[string]any{exclusionResources: 2})
		So(fields["round_time"], ShouldEqual, 70*time.Millisecond)
		So(fields["report_age_median"], ShouldBeBetweenOrEqual, time.Duration(0), 2*time.Second)
		So(fields["report_age_oldest"], ShouldBeGreaterThanOrEqualTo, fields["report_age_median"])
		sim.run(8 * time.Second)
		So(metricsPage(o), ShouldContainSubstring, `cactuswall_cell_waiting_reason_seconds_count{reason="room"} 1`)
		So(metricsPage(o), ShouldContainSubstring, `cactuswall_cell_waiting_reason_seconds_count{reason="none"} 16`)
	})
}

func TestWaitingForTurn(t *testing.T) {
	Convey("Given room for all tasks, but rounds that take long to store, the tasks wait for their turn", t, func() {
		sim := newSimulation(62, 40)
		o := sim.takeOver()
		sim.taskRunTime, sim.appendTime = time.Minute, 1500*time.Millisecond
		sim.run(time.Second)
		lines := observeLog(o)
		for i := range 60 {
			sim.submit(jobs.ID(fmt.Sprint("j", i)), testSpec(5))
		}
		sim.run(9 * time.Second)
		So(lines.FilterMessage("step waiting for resources").Len(), ShouldEqual, 0)
		turns := lines.FilterMessage("step waiting for its turn").All()
		So(turns, ShouldNotBeEmpty)
		So(sim.running(), ShouldEqual, 300)
		Convey("with one line for each group while its wait doubles, which has its position", func() {
			seen := make(map[any]int)
			for _, line := range turns {
				fields := line.ContextMap()
				So(fields["waited"], ShouldBeGreaterThanOrEqualTo, firstWaitLog)
				So(fields["position"], ShouldBeBetweenOrEqual, 1, fields["waiting_tasks"])
				So(fields["waiting_tasks"], ShouldBeBetweenOrEqual, 1, 300-maxStartsPerRound)
				seen[fields["task"].(map[string]any)["job"]]++
			}
			for _, count := range seen {
				So(count, ShouldBeLessThanOrEqualTo, 2)
			}
		})
		Convey("and at most maxTurnLines lines in one round", func() {
			perRound := make(map[any]int)
			for _, line := range turns {
				perRound[line.ContextMap()["waiting_tasks"]]++
			}
			most := 0
			for _, count := range perRound {
				most = max(most, count)
			}
			So(most, ShouldEqual, maxTurnLines)
		})
		Convey("which the metrics tell from room", func() {
			So(metricsPage(o), ShouldContainSubstring, `cactuswall_cell_waiting_reason_seconds_count{reason="turn"}`)
			So(metricsPage(o), ShouldNotContainSubstring, `cactuswall_cell_waiting_reason_seconds_count{reason="room"} `)
		})
	})
}

func TestWaitingForRetry(t *testing.T) {
	Convey("Given a task that may not be started again yet, its wait counts as backoff", t, func() {
		sim := newSimulation(63, 1)
		o := sim.takeOver()
		sim.run(100 * time.Millisecond)
		sim.specs["j"] = testSpec(1)
		o.cell.addJob("j", jobrecord.JobKey("j", "n", 0), jobrecord.Job{Queue: "q", Service: "s", MaxAttempts: 3, Spec: testSpec(1)})
		for _, g := range o.cell.waiting {
			g.tasks[0].notBefore = sim.now + 300*time.Millisecond
		}
		So(o.cell.Workload(), ShouldResemble, Workload{WaitingTasks: 1, Jobs: 1, Tasks: 1, Workers: 1, StartLimit: overload.MaxStarts})
		sim.run(time.Second)
		So(metricsPage(o), ShouldContainSubstring, `cactuswall_cell_waiting_reason_seconds_count{reason="backoff"} 1`)
	})
}
