package joblog

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// The task of job j waits on node a from 10 s to 20 s.
const (
	waitStart     = `{"ts":20000,"msg":"start","node":"a","task":{"job":"j","occurrence":0,"step":1,"index":3},"waited":10000}`
	waitRoom      = `{"ts":15000,"msg":"step waiting for resources","node":"a","task":{"job":"j","occurrence":0,"step":1,"index":0},"waited":5000,"report_age_median":300}`
	waitEvacuated = `{"ts":15000,"msg":"step waiting for resources","node":"a","task":{"job":"j","occurrence":0,"step":1,"index":0},"waited":5000,"workers":{"evacuated":3,"room":2}}`
	waitRoomOld   = `{"ts":15000,"msg":"step waiting for resources","node":"a","task":{"job":"j","occurrence":0,"step":1,"index":0},"waited":5000,"report_age_median":1900}`
	waitTurn      = `{"ts":15000,"msg":"step waiting for its turn","node":"a","task":{"job":"j","occurrence":0,"step":1,"index":0},"waited":5000,"position":70,"waiting_tasks":900}`
	otherTurn     = `{"ts":15000,"msg":"step waiting for its turn","node":"a","task":{"job":"j","occurrence":0,"step":0,"index":0},"waited":5000,"position":70,"waiting_tasks":900}`
	lateBefore    = `{"ts":1000,"msg":"owner late","node":"a","window":1000,"event_delay":16,"round_time":283,"sched_latency":29}`
	lateDuring    = `{"ts":18000,"msg":"owner late","node":"a","window":1000,"event_delay":16,"round_time":283,"sched_latency":29}`
	onTimeBefore  = `{"ts":4000,"msg":"owner on time again","node":"a"}`
	onTimeDuring  = `{"ts":16000,"msg":"owner on time again","node":"a"}`
	nextOwner     = `{"ts":4500,"msg":"owner","node":"b"}`
	lateCause     = "for the owner a, which was late (at first its events waited 16ms, its rounds took 283ms, its goroutines waited 29ms for the processor)"
)

func TestWaitCause(t *testing.T) {
	for _, c := range []struct {
		situation string
		lines     []string
		want      string
	}{
		{"workers are full by recent reports", []string{waitRoom, waitStart}, "for free resources"},
		{"workers are in an evacuated failure domain", []string{waitEvacuated, waitStart},
			"for free resources outside the evacuated failure domains, which have 3 workers"},
		{"workers are full and the job is late", []string{strings.Replace(waitRoom, `"waited":5000`, `"waited":5000,"class":"late"`, 1), waitStart},
			"for free resources, which went to work that could still be on time"},
		{"workers are full and the result is worthless", []string{strings.Replace(waitRoom, `"waited":5000`, `"waited":5000,"class":"expired"`, 1), waitStart},
			"for free resources, which went to work whose results were still worth something"},
		{"workers are full by old reports", []string{waitRoomOld, waitStart}, "for the owner a, whose newest reports of the full workers were 1.9s old"},
		{"the owner was late all the time", []string{lateBefore, waitStart}, lateCause},
		{"the owner was late all the time and its reports were old", []string{waitRoomOld, waitStart, lateBefore}, lateCause},
		{"the owner was late, but workers were full by recent reports", []string{lateBefore, waitRoom, waitStart}, "for free resources and " + lateCause},
		{"the owner was late for the first 6 of 10 s", []string{lateBefore, onTimeDuring, waitStart}, lateCause},
		{"the owner was late for the last 3 of 10 s", []string{lateDuring, waitStart}, "for free resources"},
		{"the owner had been late before", []string{lateBefore, onTimeBefore, waitStart}, "for free resources"},
		{"a former owner was late and was killed", []string{lateBefore, nextOwner, waitStart}, "for free resources"},
		{"the rounds were full", []string{waitTurn, waitStart}, "for its turn at the owner a, which had 900 tasks to start"},
		{"the rounds were full when another step waited", []string{otherTurn, waitStart}, "for free resources"},
	} {
		Convey("The summary names what a task has waited for: "+c.situation, t, func() {
			timeline, err := Read("j", strings.NewReader(strings.Join(c.lines, "\n")))
			So(err, ShouldBeNil)
			So(timeline.Summary, ShouldStartWith, "The job has not ended: a task waited 10s "+c.want+".")
		})
	}
	Convey("The summary names the wait of a task that has not started", t, func() {
		timeline, err := Read("j", strings.NewReader(waitTurn+"\n"+lateBefore))
		So(err, ShouldBeNil)
		So(timeline.Summary, ShouldEqual, "The job has not ended: a task waited 5s "+lateCause+".")
	})
	Convey("A line of a late owner from long before the job is kept only while the owner is late", t, func() {
		read := func(lines ...string) int {
			timeline, err := Read("j", strings.NewReader(strings.Join(lines, "\n")))
			So(err, ShouldBeNil)
			return len(timeline.Events)
		}
		So(read(lateBefore, waitStart), ShouldEqual, 2)
		So(read(lateBefore, onTimeBefore, waitStart), ShouldEqual, 1)
	})
}
