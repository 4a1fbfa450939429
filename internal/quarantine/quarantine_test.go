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

func TestQuarantine(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Given a table with 20 workers", t, func() {
		table := NewTable(DefaultProbeBackoff)
		table.SetWorkerCount(20)
		Convey("a worker on which several kinds fail in a row is quarantined, and trusted again after a successful probe", func() {
			table.RecordFailure("w", "a/0", "a", now)
			table.RecordFailure("w", "b/0", "b", now)
			So(table.State("w", now), ShouldEqual, Trusted)
			So(table.RecordFailure("w", "a/1", "a", now), ShouldBeTrue)
			So(table.State("w", now), ShouldEqual, Quarantined)
			later := now.Add(DefaultProbeBackoff.First)
			So(table.State("w", later), ShouldEqual, Probing)
			table.RecordFailure("w", "c/0", "c", later)
			So(table.State("w", later.Add(DefaultProbeBackoff.First)), ShouldEqual, Quarantined)
			So(table.FailuresInQuarantine("c/0"), ShouldEqual, 1)
			table.RecordSuccess("w", "a")
			So(table.State("w", later), ShouldEqual, Trusted)
			So(table.Quarantined(), ShouldEqual, 0)
		})
		Convey("failures of tasks that were already running when the worker was quarantined do not delay the first probe", func() {
			for i, kind := range []string{"a", "b", "a", "b", "a", "c", "b"} {
				table.RecordFailure("w", fmt.Sprintf("%s/%d", kind, i), kind, now)
			}
			So(table.State("w", now.Add(DefaultProbeBackoff.First)), ShouldEqual, Probing)
		})
		Convey("kinds that fail on every worker are faulty, and no worker is quarantined for them", func() {
			for i := range 24 {
				kind := fmt.Sprintf("bad%d", i/4%2)
				table.RecordFailure(fmt.Sprintf("w%d", i%4), kind+"/0", kind, now)
			}
			So(table.KindFaulty("bad0"), ShouldBeTrue)
			So(table.KindFaulty("bad1"), ShouldBeTrue)
			So(table.Quarantined(), ShouldEqual, 0)
		})
		Convey("a success resets a worker's consecutive failures", func() {
			table.RecordFailure("w", "a/0", "a", now)
			table.RecordFailure("w", "b/0", "b", now)
			table.RecordSuccess("w", "a")
			So(table.RecordFailure("w", "b/1", "b", now), ShouldBeFalse)
		})
	})
}

// TestQuarantineLimit checks after random outcomes that no more workers are quarantined than allowed, and that
// Quarantined counts them.
func TestQuarantineLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(DefaultProbeBackoff)
		workerCount := rapid.IntRange(1, 40).Draw(t, "fleet")
		table.SetWorkerCount(workerCount)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 200).Draw(t, "outcomes") {
			w := fmt.Sprintf("w%d", rapid.IntRange(0, workerCount-1).Draw(t, "worker"))
			kind := fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "kind"))
			if rapid.IntRange(0, 9).Draw(t, "outcome") == 0 {
				table.RecordSuccess(w, kind)
			} else {
				table.RecordFailure(w, kind+"/0", kind, now)
			}
			untrusted := 0
			for i := range workerCount {
				if table.State(fmt.Sprintf("w%d", i), now) != Trusted {
					untrusted++
				}
			}
			if untrusted != table.Quarantined() || untrusted > max(1, workerCount/maxQuarantinedDivisor) {
				t.Fatalf("%d of %d workers are quarantined or probing, Quarantined returned %d", untrusted, workerCount, table.Quarantined())
			}
			now = now.Add(time.Second)
		}
	})
}
