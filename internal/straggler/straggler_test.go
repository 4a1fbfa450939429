package straggler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStands(t *testing.T) {
	const second = time.Second
	Convey("Given a run that is estimated at two seconds", t, func() {
		var track Track
		So(track.Stands(9*second, 2*second, 100), ShouldBeFalse) // never listed
		for i := range 4 {
			track.Observe(10*i, time.Duration(i)*200*time.Millisecond)
		}
		last := 600 * time.Millisecond
		Convey("it does not stand between two reports", func() {
			So(track.Stands(last+second, 2*second, 100), ShouldBeFalse)
		})
		Convey("it stands when its progress has not changed for two reports", func() {
			track.Observe(30, last+second)
			So(track.Stands(last+2*second, 2*second, 100), ShouldBeTrue)
		})
		Convey("it does not stand when it is paced down to nothing", func() {
			So(track.Stands(last+9*second, 2*second, 0), ShouldBeFalse)
		})
		Convey("slow pace and long estimates give it more time", func() {
			So(track.Stands(last+2*second, 2*second, 5), ShouldBeFalse)
			So(track.Stands(last+2*second, 60*second, 100), ShouldBeFalse)
		})
	})
}

func TestSlow(t *testing.T) {
	Convey("The speed of a run counts from its checkpoint and at its pace", t, func() {
		var track Track
		track.Observe(50, 0)
		_, ok := track.Speed(500*time.Millisecond, 2*time.Second, 100)
		So(ok, ShouldBeFalse)
		track.Observe(75, time.Second)
		speed, ok := track.Speed(time.Second, 2*time.Second, 50)
		So(ok, ShouldBeTrue)
		So(speed, ShouldAlmostEqual, 1, 0.01)
	})
	Convey("A worker is slow beside the others, not by its estimates", t, func() {
		slow := Slow(map[string]float64{"a": 0.5, "b": 0.6, "c": 0.55, "d": 0.1, "e": 0.5})
		So(slow, ShouldHaveLength, 1)
		So(slow["d"], ShouldAlmostEqual, 0.8, 0.01)
	})
	Convey("A worker with one run has no speed, since estimates are rough", t, func() {
		_, ok := Mean([]float64{0.1})
		So(ok, ShouldBeFalse)
		mean, ok := Mean([]float64{0.1, 0.3})
		So(ok, ShouldBeTrue)
		So(mean, ShouldAlmostEqual, 0.2, 0.001)
	})
	Convey("Of few workers none is called slow", t, func() {
		So(Slow(map[string]float64{"a": 1, "b": 0.1}), ShouldBeEmpty)
	})
}
