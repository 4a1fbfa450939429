package fake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/testseed"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/verdict"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// inBubble runs check in a synctest bubble, that is, in virtual time.
func inBubble(t *testing.T, name string, check func(ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() { check(t.Context()) })
	})
}

func TestFaults(t *testing.T) {
	inBubble(t, "A call from a domain that is cut off has no effect and no reply; other calls have both", func(ctx context.Context) {
		log := NewLog()
		log.Partition("north", true)
		north, cancel := context.WithTimeout(WithFailureDomain(ctx, "north"), time.Second)
		defer cancel()
		_, err := log.Append(north, "s", []byte("lost"))
		So(verdict.Of(err), ShouldEqual, verdict.MayHaveRun)
		offset, err := log.Append(WithFailureDomain(ctx, "south"), "s", []byte("kept"))
		So(err, ShouldBeNil)
		So(offset, ShouldEqual, 1)
		log.Partition("north", false)
		page, err := log.Read(WithFailureDomain(ctx, "north"), "s", 1, 0)
		So(err, ShouldBeNil)
		So(string(page.Entries[0].Data), ShouldEqual, "kept")
	})
	inBubble(t, "A lagging log shows an entry only after the lag", func(ctx context.Context) {
		log := NewLog()
		log.SetLag(2 * time.Second)
		_, err := log.Append(ctx, "s", []byte("x"))
		So(err, ShouldBeNil)
		began := time.Now()
		page, err := log.Read(ctx, "s", 1, time.Second)
		So(err, ShouldBeNil)
		So(page.Entries, ShouldBeEmpty)
		page, err = log.Read(ctx, "s", 1, time.Minute)
		So(err, ShouldBeNil)
		So(page.Entries, ShouldHaveLength, 1)
		So(time.Since(began), ShouldEqual, 2*time.Second)
	})
	inBubble(t, "A call whose reply is dropped still takes effect", func(ctx context.Context) {
		log := NewLog()
		log.DropReplies(1)
		_, err := log.Append(ctx, "s", []byte("x"))
		So(verdict.Of(err), ShouldEqual, verdict.MayHaveRun)
		page, err := log.Read(ctx, "s", 1, 0)
		So(err, ShouldBeNil)
		So(page.Entries, ShouldHaveLength, 1)
	})
	inBubble(t, "A worker's report lags behind in progress and usage", func(ctx context.Context) {
		size := units.Resources{MilliProcessors: 1000, MemoryMiB: 1}
		w := NewWorker(WorkerOptions{
			ID: "w", Capacity: size, ReportLag: 3 * time.Second,
			BehaviorOf: func(platform.StartRequest) Behavior { return Behavior{RunTime: 10 * time.Second, Usage: size} },
		})
		defer w.Close()
		So(w.Start(ctx, platform.StartRequest{Token: 1, Run: platform.RunID{Task: "t", Attempt: 1}, Size: size, Lease: time.Minute}), ShouldBeNil)
		time.Sleep(2 * time.Second)
		report, err := w.Report(ctx)
		So(err, ShouldBeNil)
		So(report.Runs[0].Usage, ShouldResemble, units.Resources{})
		So(report.Runs[0].Progress, ShouldEqual, 0)
		time.Sleep(3 * time.Second)
		report, err = w.Report(ctx)
		So(err, ShouldBeNil)
		So(report.Runs[0].Usage, ShouldResemble, size)
		So(report.Runs[0].Progress, ShouldAlmostEqual, 0.2)
	})
}
