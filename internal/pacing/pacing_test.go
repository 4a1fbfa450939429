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
	interfering := BestEffortTask{Image: "interfering", FullSpeedCPUShare: 0.2, Pace: FullSpeed}
	harmless := BestEffortTask{Image: "harmless", FullSpeedCPUShare: 0.2, Pace: FullSpeed}
	Convey("Beside a service over its limit", t, func() {
		s := []Service{{Image: "s", Utilization: 0.88, OwnLoad: 0.7, MaxUtilization: 0.83}}
		paces := Paces(s, []BestEffortTask{interfering, harmless}, knownCoefficient)
		Convey("the interfering image is slowed down and the harmless one is not", func() {
			So(paces[0], ShouldBeLessThan, 70)
			So(paces[1], ShouldEqual, FullSpeed)
		})
	})
	Convey("Beside a service well under its limit, all tasks run at full speed", t, func() {
		s := []Service{{Image: "s", Utilization: 0.45, OwnLoad: 0.45, MaxUtilization: 0.83}}
		So(Paces(s, []BestEffortTask{interfering, harmless}, knownCoefficient), ShouldResemble, []int{FullSpeed, FullSpeed})
	})
	Convey("Interfering tasks stop when a service is over its limit because of its own load", t, func() {
		s := []Service{{Image: "s", Utilization: 0.99, OwnLoad: 0.98, MaxUtilization: 0.83}}
		So(Paces(s, []BestEffortTask{{Image: "interfering", FullSpeedCPUShare: 0.2, Pace: 5}}, knownCoefficient), ShouldResemble, []int{0})
	})
	Convey("While a service stays over its target although the model predicts otherwise", t, func() {
		s := []Service{{Image: "s", Utilization: 0.9, OwnLoad: 0.3, MaxUtilization: 0.83}}
		expect := func(share float64, paces ...int) {
			s[0].OverTargetShare = share
			So(Paces(s, []BestEffortTask{interfering, harmless}, knownCoefficient), ShouldResemble, paces)
		}
		Convey("interfering tasks stop first, and later all best-effort tasks", func() {
			expect(0.05, FullSpeed, FullSpeed)
			expect(0.35, 0, FullSpeed)
			expect(0.5, 0, 0)
		})
	})
	Convey("A pace rises by at most maxRaise in one step", t, func() {
		s := []Service{{Image: "s", Utilization: 0.3, OwnLoad: 0.3, MaxUtilization: 0.83}}
		So(Paces(s, []BestEffortTask{{Image: "harmless", FullSpeedCPUShare: 0.2, Pace: 10}}, knownCoefficient), ShouldResemble, []int{10 + maxRaise})
	})
	Convey("Images with unknown coefficients are slowed down when the known ones do not explain the utilization", t, func() {
		s := []Service{{Image: "s", Utilization: 0.82, OwnLoad: 0.5, MaxUtilization: 0.83}}
		unknown := func(_, _ string) (float64, float64) { return 0, 0.3 }
		So(Paces(s, []BestEffortTask{{Image: "new", FullSpeedCPUShare: 0.01, Pace: FullSpeed}}, unknown)[0], ShouldEqual, FullSpeed/2)
	})
}
