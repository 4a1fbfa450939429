package gossipsim

import (
	"flag"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var printFigures = flag.Bool("figures", false, "print measurements of the exchange between nodes for several numbers of nodes")

func TestExchangeWithNineNodes(t *testing.T) {
	Convey("Nine nodes detect a stopped and a leaving node in time, within the traffic limit and without false alarms", t, func() {
		res := measure(9, fixedTimeouts(), func() periodPolicy { return fixedPolicy{} })
		So(res.falseDead, ShouldEqual, 0)
		So(res.deathKnown, ShouldBeLessThan, 12*time.Second)
		So(res.leavingKnown, ShouldBeLessThan, 6*time.Second)
		So(res.bytesPerSecond, ShouldBeLessThan, 4096)
	})
}

func TestPeriodFigures(t *testing.T) {
	if !*printFigures {
		t.Skip("prints measurements; run with -figures")
	}
	for _, count := range []int{9, 33, 100} {
		print := func(name string, res result) {
			t.Logf("%3d nodes, %-9s: %5.0f B/s, death known %6s (own domain %6s), leaving known %6s, stale pairs %6.1f, false suspects %5.1f, false dead %5.1f",
				count, name, res.bytesPerSecond, res.deathKnown, res.domainKnown, res.leavingKnown, res.stalePairs, res.falseSuspects, res.falseDead)
		}
		print("fixed", measure(count, fixedTimeouts(), func() periodPolicy { return fixedPolicy{} }))
		print("adaptive", measure(count, adaptiveTimeouts(), func() periodPolicy { return &adaptivePolicy{current: fixedPeriod} }))
	}
}
