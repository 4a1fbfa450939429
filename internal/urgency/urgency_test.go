package urgency

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBefore(t *testing.T) {
	job := func(age, remaining, objective time.Duration) *Item {
		return &Item{Priority: 2, Age: age, Remaining: remaining, Objective: objective}
	}
	Convey("Under overload", t, func() {
		onTime := job(time.Second, 4*time.Second, 9*time.Second)
		late := job(8*time.Second, 4*time.Second, 9*time.Second)
		expired := job(40*time.Second, 4*time.Second, 9*time.Second)
		Convey("jobs that can meet their objective come first, then late ones, then expired ones", func() {
			So(Before(onTime, late), ShouldBeTrue)
			So(Before(late, expired), ShouldBeTrue)
			So(Before(expired, onTime), ShouldBeFalse)
		})
		Convey("of two jobs that can meet their objective, the one with less slack comes first", func() {
			So(Before(job(4*time.Second, 4*time.Second, 9*time.Second), onTime), ShouldBeTrue)
		})
		Convey("of two expired jobs, the one with less CPU work comes first", func() {
			small, large := *expired, *expired
			small.JobCPU, large.JobCPU = 1, 2
			So(Before(&small, &large), ShouldBeTrue)
		})
	})
	Convey("A job of higher priority comes first even when it is late", t, func() {
		urgent := &Item{Priority: 0, Age: 10 * time.Second, Remaining: time.Second, Objective: 2 * time.Second}
		So(Before(urgent, job(0, 4*time.Second, 9*time.Second)), ShouldBeTrue)
	})
	// Guards against SHORT: an owner that cannot keep up begins each job when it is about to be late, and completes all of
	// them late.
	Convey("While starts are scarce", t, func() {
		begun, older, newer := job(4*time.Second, 4*time.Second, 9*time.Second), job(3*time.Second, 4*time.Second, 9*time.Second), job(0, 4*time.Second, 9*time.Second)
		older.NewestFirst, newer.NewestFirst = true, true
		Convey("jobs that have begun come first, then the newest ones", func() {
			So(Before(begun, newer), ShouldBeTrue)
			So(Before(newer, older), ShouldBeTrue)
			So(Before(older, begun), ShouldBeFalse)
		})
		Convey("late jobs still come after those that can meet their objective, and among themselves by their slack", func() {
			late := job(8*time.Second, 4*time.Second, 9*time.Second)
			later := job(9*time.Second, 4*time.Second, 9*time.Second)
			late.NewestFirst, later.NewestFirst = true, true
			So(Before(older, late), ShouldBeTrue)
			So(Before(later, late), ShouldBeTrue)
		})
	})
	Convey("Interrupted long-running tasks come before urgent jobs of a higher priority", t, func() {
		interrupted := &Item{Priority: 2, LongRunning: true, Interrupted: true, Age: time.Minute}
		So(Before(interrupted, &Item{Priority: 0, Age: time.Second, Remaining: time.Second, Objective: 3 * time.Second}), ShouldBeTrue)
		So(Before(&Item{Priority: 0, LongRunning: true}, interrupted), ShouldBeFalse)
	})
	Convey("Long-running tasks, which hold their capacity for good, come after jobs that can be on time and before late ones", t, func() {
		longRunning := &Item{LongRunning: true, Age: time.Minute}
		So(Before(&Item{Age: time.Second, Remaining: time.Second, Objective: 3 * time.Second}, longRunning), ShouldBeTrue)
		So(Before(longRunning, &Item{Age: 3 * time.Second, Remaining: time.Second, Objective: 3 * time.Second}), ShouldBeTrue)
	})
	Convey("There is a backlog for some seconds after a job became late", t, func() {
		var b Backlog
		So(b.Present(time.Hour), ShouldBeFalse)
		b.BecameLate(time.Hour)
		So(b.Present(time.Hour+backlogTime-1), ShouldBeTrue)
		So(b.Present(time.Hour+backlogTime), ShouldBeFalse)
	})
}
