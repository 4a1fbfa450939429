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
		hopeless := job(40*time.Second, 4*time.Second, 9*time.Second)
		Convey("jobs that can be on time come before late ones, and hopeless ones last", func() {
			So(Before(onTime, late), ShouldBeTrue)
			So(Before(late, hopeless), ShouldBeTrue)
			So(Before(hopeless, onTime), ShouldBeFalse)
		})
		Convey("of two that can be on time the one with less slack comes first", func() {
			So(Before(job(4*time.Second, 4*time.Second, 9*time.Second), onTime), ShouldBeTrue)
		})
		Convey("of two hopeless ones the smaller comes first", func() {
			small, large := *hopeless, *hopeless
			small.Work, large.Work = 1, 2
			So(Before(&small, &large), ShouldBeTrue)
		})
	})
	Convey("A higher priority comes first even when it is late", t, func() {
		urgent := &Item{Priority: 0, Age: 10 * time.Second, Remaining: time.Second, Objective: 2 * time.Second}
		So(Before(urgent, job(0, 4*time.Second, 9*time.Second)), ShouldBeTrue)
	})
	Convey("Lasting tasks come before all others of their priority", t, func() {
		lasting := &Item{Lasting: true, Age: time.Minute}
		So(Before(lasting, &Item{Age: time.Second, Remaining: time.Second, Objective: 3 * time.Second}), ShouldBeTrue)
	})
}
