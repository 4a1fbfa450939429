package cellnode

import (
	"bytes"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cactuswall.example/cactuswall/internal/cell"
)

func TestLateness(t *testing.T) {
	Convey("Given the lateness of an owner", t, func() {
		core, lines := observer.New(zapcore.InfoLevel)
		sched := time.Duration(0)
		now := time.Now()
		l := lateness{metrics: newOwnerMetrics(metrics.NewSet(), func() []*owner { return nil }), log: zap.New(core),
			sched: func() time.Duration { return sched }}
		l.begin(now)
		window := func() time.Duration {
			now = now.Add(latenessWindow)
			return l.endWindow(now, cell.Workload{WaitingTasks: 7, Runs: 5, Workers: 3})
		}
		messages := func() []string {
			var found []string
			for _, line := range lines.All() {
				found = append(found, line.Message)
			}
			return found
		}
		Convey("windows without delays cause no line", func() {
			for range 5 {
				window()
			}
			So(messages(), ShouldBeEmpty)
		})
		Convey("a long time in which events wait causes one line at its beginning and one at its end", func() {
			for range 5 {
				l.eventRuns(time.Now().Add(-lateDelay))
				window()
			}
			So(messages(), ShouldResemble, []string{"owner late"})
			fields := lines.All()[0].ContextMap()
			So(fields["event_delay"], ShouldBeGreaterThanOrEqualTo, lateDelay)
			So(fields["waiting_tasks"], ShouldEqual, 7)
			So(fields["runs"], ShouldEqual, 5)
			So(fields["workers"], ShouldEqual, 3)
			window()
			window()
			So(messages(), ShouldResemble, []string{"owner late", "owner on time again"})
			So(lines.All()[1].ContextMap()["late_for"], ShouldEqual, 5*latenessWindow)
		})
		Convey("late flushes cause a line, and flushes that are less late do not end the period", func() {
			l.flushed(now, now.Add(lateDelay), now.Add(lateDelay+time.Millisecond))
			window()
			l.flushed(now, now.Add(onTimeDelay), now.Add(onTimeDelay))
			window()
			So(messages(), ShouldResemble, []string{"owner late"})
			l.flushed(now, now.Add(onTimeDelay-1), now.Add(onTimeDelay))
			window()
			So(messages(), ShouldResemble, []string{"owner late", "owner on time again"})
		})
		Convey("goroutines that wait for the processor cause a line, a slow store does not", func() {
			l.roundBegan = time.Now().Add(-time.Second)
			l.roundStored()
			So(window(), ShouldBeGreaterThanOrEqualTo, time.Second)
			So(messages(), ShouldBeEmpty)
			sched = lateSchedLatency
			window()
			So(messages(), ShouldResemble, []string{"owner late"})
		})
		Convey("a round that is not stored yet counts with the time that it has taken", func() {
			l.roundBegan = now
			window()
			So(window(), ShouldEqual, 2*latenessWindow)
		})
	})
}

func TestSchedLatency(t *testing.T) {
	Convey("Given one thread for Go code, the scheduling latency is high while many goroutines are busy", t, func() {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		s := newSchedLatency()
		s.next()
		var busy sync.WaitGroup
		for range 200 {
			busy.Go(func() {
				for start := time.Now(); time.Since(start) < time.Millisecond; {
				}
			})
		}
		busy.Wait()
		So(s.next(), ShouldBeGreaterThan, 5*time.Millisecond)
	})
}

func TestOwnerMetrics(t *testing.T) {
	Convey("After a job, the owner's metrics show its flushes, events and rounds, and no start in flight", t, func() {
		d := newTestCluster(t, 1)
		n := d.nodes[d.waitForOwner()].node
		id := testIDPrefix + "77"
		d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+id, "spec", http.StatusOK, "")
		d.requestUntil(5*time.Second, 0, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
		var page bytes.Buffer
		n.metrics.WritePrometheus(&page)
		So(n.membership(0).owner.Load().startsInFlight.Load(), ShouldEqual, 0)
		for _, line := range []string{"cactuswall_owner_flush_seconds_count ", "cactuswall_owner_event_delay_seconds_count ",
			"cactuswall_owner_loop_delay_seconds_count ", "cactuswall_owner_round_seconds_count ",
			"cactuswall_owner_starts_in_flight 0\n", "cactuswall_owner_waiting_tasks 0\n"} {
			So(page.String(), ShouldContainSubstring, line)
		}
	})
}
