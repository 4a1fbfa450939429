package units

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestParseResources guards against capacities in reports that are read with another unit than they were written with.
func TestParseResources(t *testing.T) {
	Convey("What String returns is parsed to the same amount, within its three digits", t, func() {
		for _, r := range []Resources{{}, {MilliProcessors: 1500, MemoryMiB: 512, Accelerators: 8}, {MilliProcessors: 64000, MemoryMiB: 1 << 40}, {MilliProcessors: 5}} {
			parsed, err := ParseResources(r.String())
			So(err, ShouldBeNil)
			So(parsed, ShouldResemble, r)
		}
		parsed, err := ParseResources(Resources{MilliProcessors: 12_345_678}.String())
		So(err, ShouldBeNil)
		So(parsed.MilliProcessors, ShouldEqual, 12_300_000)
	})
	Convey("Other texts are errors", t, func() {
		for _, text := range []string{"", "64", "x processors, 1 MiB, 0 accelerators"} {
			_, err := ParseResources(text)
			So(err, ShouldNotBeNil)
		}
	})
}
