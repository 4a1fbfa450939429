package joblog

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const testLog = `noise
{"level":"info","ts":3000,"msg":"run ended","node":"b","task":{"job":"j1"},"how":"failed"}
{"level":"info","ts":1000,"msg":"answered","node":"a","job":"j1","method":"POST","status":200,"reason":"ok"}
{"level":"info","ts":2500,"msg":"state taken over","node":"b"}
{"level":"info","ts":99000,"msg":"state taken over","node":"c"}
{"level":"info","ts":2600,"msg":"start","node":"b","task":{"job":"j1"},"waited":1500}
{"level":"info","ts":2600,"msg":"start","node":"b","task":{"job":"other"},"waited":9999}
{"level":"info","ts":4000,"msg":"job ended","node":"b","job":"j1","state":"failed"}
{"level":"info","ts":4`

const cellsLog = `{"ts":900,"msg":"plan of the cells changed","node":"a","active":5}
{"ts":1000,"msg":"job added","node":"a","cell":1,"job":"j1"}
{"ts":1100,"msg":"owner late","node":"c","cell":3,"window":1000}
{"ts":2600,"msg":"task leaves the cell","node":"a","cell":1,"task":{"job":"j1"}}
{"ts":2700,"msg":"tasks handed over","node":"a","cell":1,"tasks":1}
{"ts":2800,"msg":"state taken over","node":"b","cell":2}
{"ts":2800,"msg":"state taken over","node":"c","cell":3}
{"ts":2850,"msg":"tasks belong to another cell","node":"a","cell":1,"task":{"job":"j1"},"to":2}
{"ts":2900,"msg":"tasks wait in a cell without workers","node":"b","cell":2,"waiting_tasks":1}
{"ts":2900,"msg":"tasks wait in a cell without workers","node":"c","cell":3,"waiting_tasks":1}
{"ts":3000,"msg":"start","node":"b","cell":2,"task":{"job":"j1"},"waited":1500}
`

func TestRead(t *testing.T) {
	Convey("Lines of a job from several logs, some out of order, truncated or not log lines,", t, func() {
		timeline, err := Read("j1", strings.NewReader(testLog), strings.NewReader(`{"level":"info","ts":1500,"msg":"job taken in","node":"c","job":"j1"}`))
		So(err, ShouldBeNil)
		Convey("are merged into one timeline with the context lines", func() {
			var messages []string
			for _, e := range timeline.Events {
				messages = append(messages, e.Message)
			}
			So(messages, ShouldResemble, []string{"answered", "job taken in", "state taken over", "start", "run ended", "job ended"})
			So(timeline.UnparsedLines, ShouldEqual, 1)
		})
		Convey("and summarized in one sentence", func() {
			So(timeline.Summary, ShouldEqual, "The job failed: failed runs: 1; a task waited 1.5s for free resources; changes of owner: 1.")
		})
	})
	Convey("Of a job with tasks in two cells the lines of these cells are shown, and no others", t, func() {
		timeline, err := Read("j1", strings.NewReader(cellsLog))
		So(err, ShouldBeNil)
		var messages []string
		for _, e := range timeline.Events {
			messages = append(messages, e.Message)
		}
		So(messages, ShouldResemble, []string{"plan of the cells changed", "job added", "task leaves the cell", "tasks handed over", "state taken over",
			"tasks belong to another cell", "tasks wait in a cell without workers", "start"})
		So(timeline.Summary, ShouldEqual, "The job has not ended: a task waited 1.5s for free resources; changes of owner: 1; "+
			"tasks that went to another cell for resources: 1.")
	})
	// A refused job's timeline named the status only.
	Convey("The summary names the cause of a refusal", t, func() {
		timeline, err := Read("j1", strings.NewReader(`{"ts":1000,"msg":"job refused","node":"a","job":"j1","cause":"no room for this kind within its objective: next in 4.2 s"}
{"ts":1000,"msg":"answered","node":"a","job":"j1","method":"POST","status":429,"reason":"no_capacity_in_time"}
{"ts":6000,"msg":"answered","node":"a","job":"j1","method":"POST","status":200,"reason":"ok"}
{"ts":9000,"msg":"job ended","node":"b","job":"j1","state":"completed"}`))
		So(err, ShouldBeNil)
		So(timeline.Summary, ShouldEqual, "The job completed: refusals: 1, the last for this cause: no room for this kind within its objective: next in 4.2 s.")
	})
	Convey("A job that appears in no log has an empty timeline", t, func() {
		timeline, err := Read("none", strings.NewReader(testLog))
		So(err, ShouldBeNil)
		So(timeline.Events, ShouldBeEmpty)
	})
	Convey("A line that exceeds the buffer is counted and skipped", t, func() {
		long := strings.Repeat("x", 3*maxLineBytes) + "\n" + `{"ts":1,"msg":"job ended","node":"a","job":"j1","state":"completed"}`
		timeline, err := Read("j1", strings.NewReader(long))
		So(err, ShouldBeNil)
		So(timeline.UnparsedLines, ShouldEqual, 1)
		So(len(timeline.Events), ShouldEqual, 1)
	})
}
