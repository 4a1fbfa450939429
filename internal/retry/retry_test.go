package retry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBudget(t *testing.T) {
	Convey("Given a full budget", t, func() {
		b := NewBudget()
		count := func(spend func() bool) (n int) {
			for spend() {
				n++
			}
			return n
		}
		Convey("hedged requests leave the reserve for retries", func() {
			So(count(b.SpendHedge), ShouldEqual, burst-reserve)
			So(count(b.Spend), ShouldEqual, reserve)
		})
		Convey("an empty budget is refilled in proportion to the requests", func() {
			count(b.Spend)
			for range 101 {
				b.Deposit(5)
			}
			So(count(b.Spend), ShouldEqual, 5)
		})
		Convey("its size never exceeds the burst", func() {
			for range 10000 {
				b.Deposit(100)
			}
			So(count(b.Spend), ShouldEqual, burst)
		})
	})
}
