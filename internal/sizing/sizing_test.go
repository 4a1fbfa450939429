package sizing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/units"
)

func size(processors, memory int64) units.Resources {
	return units.Resources{MilliProcessors: processors, MemoryMiB: memory}
}

// finishRun reports the usage of one run of kind "k" and then its completion.
func finishRun(l *Learner, index int, usage units.Resources, runTime time.Duration) {
	id := platform.RunID{Task: fmt.Sprintf("k@1/%d", index), Attempt: 1}
	for range minReportsFinished {
		l.Observe(id, "k", usage)
	}
	l.EndRun(id, "k", true, runTime)
}

func TestLearner(t *testing.T) {
	Convey("Given a learner", t, func() {
		l := NewLearner()
		declared := size(4000, 4000)
		Convey("the declared values are used until enough runs are known", func() {
			for i := range minSamples - 1 {
				finishRun(l, i, size(1000, 1000), time.Minute)
			}
			So(l.Size("k", declared), ShouldResemble, declared)
			So(l.RunTime("k", time.Hour), ShouldEqual, time.Hour)
		})
		Convey("after that the size is the highest peak plus a margin and the run time is the longest one", func() {
			for i := range spreadMarginPeaks {
				finishRun(l, i, size(1000+int64(i), 2000), time.Duration(i+1)*time.Minute)
			}
			learned := l.Size("k", declared)
			So(size(1000+spreadMarginPeaks-1, 2000).Fits(learned), ShouldBeTrue)
			So(learned.Fits(size(1200, 2200)), ShouldBeTrue)
			So(l.RunTime("k", time.Hour), ShouldEqual, spreadMarginPeaks*time.Minute)
		})
		Convey("the estimate is limited to a range around the declared size", func() {
			for i := range minSamples {
				finishRun(l, i, size(1, 1000000), 0)
			}
			So(l.Size("k", declared), ShouldResemble, size(1000, 16000))
		})
		Convey("a reservation is reduced only after enough reports, and never below the peak of the run", func() {
			for i := range spreadMarginPeaks {
				finishRun(l, i, size(1000, 1000), 0)
			}
			id := platform.RunID{Task: "k@1/99", Attempt: 1}
			for range minReportsRunning - 1 {
				l.Observe(id, "k", size(3000, 500))
			}
			_, any := l.ReducedSize(id, "k", declared)
			So(any, ShouldBeFalse)
			l.Observe(id, "k", size(3000, 500))
			smaller, any := l.ReducedSize(id, "k", declared)
			So(any, ShouldBeTrue)
			So(size(3000, 1000).Fits(smaller), ShouldBeTrue)
			So(smaller.Fits(declared), ShouldBeTrue)
		})
	})
}

func TestDecideResize(t *testing.T) {
	Convey("A run that outgrows its reservation", t, func() {
		reserved := size(1000, 1000)
		So(DecideResize(size(900, 900), reserved, size(0, 0), false).Action, ShouldEqual, KeepReservation)
		Convey("gets a larger reservation when the worker has capacity left", func() {
			So(DecideResize(size(1500, 1000), reserved, size(5000, 5000), false).Action, ShouldEqual, Grow)
		})
		Convey("is throttled once when it exceeds its processors and the worker has none left", func() {
			So(DecideResize(size(1500, 900), reserved, size(0, 0), false).Action, ShouldEqual, Throttle)
			So(DecideResize(size(1500, 900), reserved, size(0, 0), true).Action, ShouldEqual, KeepReservation)
		})
		Convey("is moved when it exceeds its memory and the worker has none left", func() {
			So(DecideResize(size(900, 1500), reserved, size(0, 0), false).Action, ShouldEqual, Move)
		})
	})
}
