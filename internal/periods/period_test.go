package periods

import (
	"flag"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var figures = flag.Bool("figures", false, "print figures of the exchange between nodes at several sizes")

func TestExchangeAtTodaysSize(t *testing.T) {
	Convey("Nine nodes know of a death and of a leaving in time, within their bytes, without false alarm", t, func() {
		res := measure(9, fixedPeriods(), func() period { return fixed{} })
		So(res.falseDead, ShouldEqual, 0)
		So(res.deathKnown, ShouldBeLessThan, 12*time.Second)
		So(res.leavingKnown, ShouldBeLessThan, 6*time.Second)
		So(res.bytesPerSecond, ShouldBeLessThan, 4096)
	})
}

func TestPeriodFigures(t *testing.T) {
	if !*figures {
		t.Skip("prints figures; run with -figures")
	}
	for _, count := range []int{9, 33, 100} {
		print := func(name string, res result) {
			t.Logf("%3d nodes, %-9s: %5.0f B/s, death known %6s (siblings %6s), leaving known %6s, stale pairs %6.1f, false suspects %5.1f, false dead %5.1f",
				count, name, res.bytesPerSecond, res.deathKnown, res.siblingsKnow, res.leavingKnown, res.stale, res.falseSuspects, res.falseDead)
		}
		print("fixed", measure(count, fixedPeriods(), func() period { return fixed{} }))
		print("following", measure(count, followingPeriods(), func() period { return &following{current: fixedPeriod} }))
	}
}
