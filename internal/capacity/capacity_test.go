package capacity_test

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/capacity"
)

func TestLine(t *testing.T) {
	Convey("Line", t, func() {
		Convey("finds the line through samples that lie on one", func() {
			s := capacity.FitLine("tick", "ms", "task", []capacity.Sample{{Size: 10, Value: 25}, {Size: 20, Value: 45}, {Size: 40, Value: 85}})
			So(s.Slope, ShouldAlmostEqual, 2)
			So(s.Intercept, ShouldAlmostEqual, 5)
			So(s.RSquared, ShouldAlmostEqual, 1)
			So(s.Estimate(100), ShouldAlmostEqual, 205)
		})
		Convey("reports a low fit when the samples are far from the line", func() {
			s := capacity.FitLine("tick", "ms", "task", []capacity.Sample{{Size: 1, Value: 1}, {Size: 2, Value: 5}, {Size: 3, Value: 2}})
			So(s.RSquared, ShouldBeLessThan, 0.5)
		})
		Convey("returns the mean when all sizes are equal", func() {
			s := capacity.FitLine("tick", "ms", "task", []capacity.Sample{{Size: 1, Value: 1}, {Size: 1, Value: 3}})
			So(s.Estimate(7), ShouldEqual, 2)
		})
		Convey("prints one row per slope", func() {
			var out bytes.Buffer
			s := capacity.FitLine("tick", "ms", "task", []capacity.Sample{{Size: 10, Value: 25}, {Size: 20, Value: 45}})
			So(capacity.WriteTable(&out, []capacity.LinearFit{s}), ShouldBeNil)
			So(out.String(), ShouldContainSubstring, "2 per task")
			So(out.String(), ShouldContainSubstring, "10, 20")
		})
	})
}
