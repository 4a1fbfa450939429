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
		Convey("hedging leaves the reserve to retries", func() {
			So(count(b.SpendSpare), ShouldEqual, burst-reserve)
			So(count(b.Spend), ShouldEqual, reserve)
		})
		Convey("a spent budget earns the share of the requests", func() {
			count(b.Spend)
			for range 101 {
				b.Earn(5)
			}
			So(count(b.Spend), ShouldEqual, 5)
		})
		Convey("it never holds more than the burst", func() {
			for range 10000 {
				b.Earn(100)
			}
			So(count(b.Spend), ShouldEqual, burst)
		})
	})
}
