package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func TestBlame(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Given a fleet of 20 workers", t, func() {
		q := NewTable(SlowProbes)
		q.SetFleet(20)
		Convey("a worker that fails several kinds in a row is quarantined, probed and trusted again", func() {
			q.Failed("w", "a/0", "a", now)
			q.Failed("w", "b/0", "b", now)
			So(q.State("w", now), ShouldEqual, Trusted)
			So(q.Failed("w", "a/1", "a", now), ShouldBeTrue)
			So(q.State("w", now), ShouldEqual, Quarantined)
			later := now.Add(SlowProbes.First)
			So(q.State("w", later), ShouldEqual, Probing)
			q.Failed("w", "c/0", "c", later)
			So(q.State("w", later.Add(SlowProbes.First)), ShouldEqual, Quarantined)
			So(q.Excused("c/0"), ShouldEqual, 1)
			q.Succeeded("w", "a")
			So(q.State("w", later), ShouldEqual, Trusted)
			So(q.Quarantined(), ShouldEqual, 0)
		})
		Convey("tasks that were there already and fail too do not put off the first probe", func() {
			for i, kind := range []string{"a", "b", "a", "b", "a", "c", "b"} {
				q.Failed("w", fmt.Sprintf("%s/%d", kind, i), kind, now)
			}
			So(q.State("w", now.Add(SlowProbes.First)), ShouldEqual, Probing)
		})
		Convey("kinds that fail everywhere are at fault, and no worker is quarantined for them", func() {
			for i := range 24 {
				kind := fmt.Sprintf("bad%d", i/4%2)
				q.Failed(fmt.Sprintf("w%d", i%4), kind+"/0", kind, now)
			}
			So(q.Faulty("bad0"), ShouldBeTrue)
			So(q.Faulty("bad1"), ShouldBeTrue)
			So(q.Quarantined(), ShouldEqual, 0)
		})
		Convey("one success clears what was held against a worker", func() {
			q.Failed("w", "a/0", "a", now)
			q.Failed("w", "b/0", "b", now)
			q.Succeeded("w", "a")
			So(q.Failed("w", "b/1", "b", now), ShouldBeFalse)
		})
	})
}

// TestBoundedShare checks that never more than the stated part of the fleet is quarantined.
func TestBoundedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewTable(SlowProbes)
		fleet := rapid.IntRange(1, 40).Draw(t, "fleet")
		q.SetFleet(fleet)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 200).Draw(t, "outcomes") {
			w := fmt.Sprintf("w%d", rapid.IntRange(0, fleet-1).Draw(t, "worker"))
			kind := fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "kind"))
			if rapid.IntRange(0, 9).Draw(t, "outcome") == 0 {
				q.Succeeded(w, kind)
			} else {
				q.Failed(w, kind+"/0", kind, now)
			}
			out := 0
			for i := range fleet {
				if q.State(fmt.Sprintf("w%d", i), now) != Trusted {
					out++
				}
			}
			if out != q.Quarantined() || out > max(1, fleet/maxPart) {
				t.Fatalf("%d of %d workers are out, counted %d", out, fleet, q.Quarantined())
			}
			now = now.Add(time.Second)
		}
	})
}
