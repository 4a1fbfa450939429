package pacing

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func known(service, filler string) (mean, deviation float64) {
	if filler == "loud" {
		return 0.9, 0.05
	}
	return 0, 0.05
}

func TestPaces(t *testing.T) {
	loud := Filler{Image: "loud", AtFull: 0.2, Pace: Full}
	quiet := Filler{Image: "quiet", AtFull: 0.2, Pace: Full}
	Convey("Beside a service in need", t, func() {
		s := []Service{{Image: "s", Utilization: 0.88, Own: 0.7, Limit: 0.83}}
		paces := Paces(s, []Filler{loud, quiet}, known)
		Convey("the image that presses is slowed down and the quiet one is not", func() {
			So(paces[0], ShouldBeLessThan, 70)
			So(paces[1], ShouldEqual, Full)
		})
	})
	Convey("Beside a service with room everything runs at full speed", t, func() {
		s := []Service{{Image: "s", Utilization: 0.45, Own: 0.45, Limit: 0.83}}
		So(Paces(s, []Filler{loud, quiet}, known), ShouldResemble, []int{Full, Full})
	})
	Convey("A service over its limit by its own load stops what presses on it", t, func() {
		s := []Service{{Image: "s", Utilization: 0.99, Own: 0.98, Limit: 0.83}}
		So(Paces(s, []Filler{{Image: "loud", AtFull: 0.2, Pace: 5}}, known), ShouldResemble, []int{0})
	})
	Convey("A service that stays over its target against the model", t, func() {
		s := []Service{{Image: "s", Utilization: 0.9, Own: 0.3, Limit: 0.83}}
		expect := func(share float64, paces ...int) {
			s[0].OverFor = share
			So(Paces(s, []Filler{loud, quiet}, known), ShouldResemble, paces)
		}
		Convey("first stops what presses on it and then all that fills", func() {
			expect(0.05, Full, Full)
			expect(0.35, 0, Full)
			expect(0.5, 0, 0)
		})
	})
	Convey("A pace rises in steps", t, func() {
		s := []Service{{Image: "s", Utilization: 0.3, Own: 0.3, Limit: 0.83}}
		So(Paces(s, []Filler{{Image: "quiet", AtFull: 0.2, Pace: 10}}, known), ShouldResemble, []int{10 + raise})
	})
	Convey("Unknown images are slowed down while nothing known explains the need", t, func() {
		s := []Service{{Image: "s", Utilization: 0.82, Own: 0.5, Limit: 0.83}}
		unknown := func(_, _ string) (float64, float64) { return 0, 0.3 }
		So(Paces(s, []Filler{{Image: "new", AtFull: 0.01, Pace: Full}}, unknown)[0], ShouldEqual, Full/2)
	})
}
