package joblog

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const log = `noise
{"level":"info","ts":3000,"msg":"run ended","node":"b","task":{"job":"j1"},"how":"failed"}
{"level":"info","ts":1000,"msg":"answered","node":"a","job":"j1","method":"POST","status":200,"reason":"ok"}
{"level":"info","ts":2500,"msg":"state taken over","node":"b"}
{"level":"info","ts":99000,"msg":"state taken over","node":"c"}
{"level":"info","ts":2600,"msg":"start","node":"b","task":{"job":"j1"},"waited":1500}
{"level":"info","ts":2600,"msg":"start","node":"b","task":{"job":"other"},"waited":9999}
{"level":"info","ts":4000,"msg":"job ended","node":"b","job":"j1","state":"failed"}
{"level":"info","ts":4`

func TestRead(t *testing.T) {
	Convey("A job's lines from several logs, out of order, cut and foreign", t, func() {
		timeline, err := Read("j1", strings.NewReader(log), strings.NewReader(`{"level":"info","ts":1500,"msg":"job taken in","node":"c","job":"j1"}`))
		So(err, ShouldBeNil)
		Convey("make one timeline with what happened around it", func() {
			var messages []string
			for _, e := range timeline.Events {
				messages = append(messages, e.Message)
			}
			So(messages, ShouldResemble, []string{"answered", "job taken in", "state taken over", "start", "run ended", "job ended"})
			So(timeline.Foreign, ShouldEqual, 1)
		})
		Convey("and a sentence on the cause", func() {
			So(timeline.Cause, ShouldEqual, "The job failed: 1 runs failed; a task waited 1.5s for room; the owner changed 1 times meanwhile.")
		})
	})
	Convey("A job that no log knows has an empty timeline", t, func() {
		timeline, err := Read("none", strings.NewReader(log))
		So(err, ShouldBeNil)
		So(timeline.Events, ShouldBeEmpty)
	})
	Convey("A line too long for a log is counted and passed over", t, func() {
		long := strings.Repeat("x", 3*maxLine) + "\n" + `{"ts":1,"msg":"job ended","node":"a","job":"j1","state":"completed"}`
		timeline, err := Read("j1", strings.NewReader(long))
		So(err, ShouldBeNil)
		So(timeline.Foreign, ShouldEqual, 1)
		So(len(timeline.Events), ShouldEqual, 1)
	})
}
