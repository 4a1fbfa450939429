package pacing

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// knownCoefficient returns coefficients with a small standard deviation: only the image "interfering" affects services.
func knownCoefficient(service, image string) (mean, deviation float64) {
	if image == "interfering" {
		return 0.9, 0.05
	}
	return 0, 0.05
}

func TestPaces(t *testing.T) {
	interfering := Filler{Image: "interfering", AtFull: 0.2, Pace: Full}
	harmless := Filler{Image: "harmless", AtFull: 0.2, Pace: Full}
	Convey("Beside a service over its limit", t, func() {
		s := []Service{{Image: "s", Utilization: 0.88, Own: 0.7, Limit: 0.83}}
		paces := Paces(s, []Filler{interfering, harmless}, knownCoefficient)
		Convey("the interfering image is slowed down and the harmless one is not", func() {
			So(paces[0], ShouldBeLessThan, 70)
			So(paces[1], ShouldEqual, Full)
		})
	})
	Convey("Beside a service well under its limit, all tasks run at full speed", t, func() {
		s := []Service{{Image: "s", Utilization: 0.45, Own: 0.45, Limit: 0.83}}
		So(Paces(s, []Filler{interfering, harmless}, knownCoefficient), ShouldResemble, []int{Full, Full})
	})
	Convey("Interfering tasks stop when a service is over its limit because of its own load", t, func() {
		s := []Service{{Image: "s", Utilization: 0.99, Own: 0.98, Limit: 0.83}}
		So(Paces(s, []Filler{{Image: "interfering", AtFull: 0.2, Pace: 5}}, knownCoefficient), ShouldResemble, []int{0})
	})
	Convey("While a service stays over its target although the model predicts otherwise", t, func() {
		s := []Service{{Image: "s", Utilization: 0.9, Own: 0.3, Limit: 0.83}}
		expect := func(share float64, paces ...int) {
			s[0].OverFor = share
			So(Paces(s, []Filler{interfering, harmless}, knownCoefficient), ShouldResemble, paces)
		}
		Convey("interfering tasks stop first, and later all best-effort tasks", func() {
			expect(0.05, Full, Full)
			expect(0.35, 0, Full)
			expect(0.5, 0, 0)
		})
	})
	Convey("A pace rises by at most maxRaise in one step", t, func() {
		s := []Service{{Image: "s", Utilization: 0.3, Own: 0.3, Limit: 0.83}}
		So(Paces(s, []Filler{{Image: "harmless", AtFull: 0.2, Pace: 10}}, knownCoefficient), ShouldResemble, []int{10 + maxRaise})
	})
	Convey("Images with unknown coefficients are slowed down when the known ones do not explain the utilization", t, func() {
		s := []Service{{Image: "s", Utilization: 0.82, Own: 0.5, Limit: 0.83}}
		unknown := func(_, _ string) (float64, float64) { return 0, 0.3 }
		So(Paces(s, []Filler{{Image: "new", AtFull: 0.01, Pace: Full}}, unknown)[0], ShouldEqual, Full/2)
	})
}
