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
			s := capacity.Line("tick", "ms", "task", []capacity.Sample{{Size: 10, Value: 25}, {Size: 20, Value: 45}, {Size: 40, Value: 85}})
			So(s.PerUnit, ShouldAlmostEqual, 2)
			So(s.Intercept, ShouldAlmostEqual, 5)
			So(s.Fit, ShouldAlmostEqual, 1)
			So(s.At(100), ShouldAlmostEqual, 205)
		})
		Convey("reports a low fit when the samples are far from the line", func() {
			s := capacity.Line("tick", "ms", "task", []capacity.Sample{{Size: 1, Value: 1}, {Size: 2, Value: 5}, {Size: 3, Value: 2}})
			So(s.Fit, ShouldBeLessThan, 0.5)
		})
		Convey("returns the mean when all sizes are equal", func() {
			s := capacity.Line("tick", "ms", "task", []capacity.Sample{{Size: 1, Value: 1}, {Size: 1, Value: 3}})
			So(s.At(7), ShouldEqual, 2)
		})
		Convey("prints one row per slope", func() {
			var out bytes.Buffer
			s := capacity.Line("tick", "ms", "task", []capacity.Sample{{Size: 10, Value: 25}, {Size: 20, Value: 45}})
			So(capacity.WriteTable(&out, []capacity.Slope{s}), ShouldBeNil)
			So(out.String(), ShouldContainSubstring, "2 per task")
			So(out.String(), ShouldContainSubstring, "10, 20")
		})
	})
}
