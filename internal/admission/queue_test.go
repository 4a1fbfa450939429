package admission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/verdict"
)

const serviceTime = 100 * time.Millisecond

// fixture is a queue in front of one endpoint.
type fixture struct {
	queue    *Queue
	endpoint *endpoint.Endpoint
	requests sync.WaitGroup
	mu       sync.Mutex
	outcomes []string
}

func newFixture(slots, maxWaiting int) *fixture {
	f := &fixture{queue: NewQueue(), endpoint: endpoint.New(endpoint.Info{ID: "e"})}
	f.endpoint.SetShare(slots, slots)
	f.queue.Configure(maxWaiting, time.Second)
	return f
}

// run starts a request of a class and records how it ended.
func (f *fixture) run(ctx context.Context, class manifest.RequestClass, timeout time.Duration) {
	f.requests.Go(func() {
		e, refusal := f.queue.Acquire(ctx, Request{
			Class:    class,
			Deadline: time.Now().Add(timeout),
			Choose: func(now time.Time, _ time.Duration) (*endpoint.Endpoint, route.Result) {
				if !f.endpoint.TryAcquire(now) {
					return nil, route.Busy
				}
				return f.endpoint, route.Chosen
			},
		})
		if refusal != nil {
			f.record(class, refusal.Reason)
			return
		}
		time.Sleep(serviceTime)
		e.Release(time.Now(), endpoint.OutcomeGood, serviceTime)
		f.queue.Release(serviceTime)
		f.record(class, "ran")
	})
	synctest.Wait()
}

func (f *fixture) record(class manifest.RequestClass, outcome verdict.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, fmt.Sprint(class, " ", outcome))
}

// recorded returns how the requests that have ended so far ended, in that order.
func (f *fixture) recorded() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.outcomes...)
}

func TestQueue(t *testing.T) {
	runCase := func(name string, check func(ctx context.Context)) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() { check(t.Context()) })
		})
	}
	runCase("A full queue sheds its least important request for a more important one", func(ctx context.Context) {
		f := newFixture(1, 2)
		f.run(ctx, manifest.Normal, time.Minute)
		f.run(ctx, manifest.Sheddable, time.Minute)
		f.run(ctx, manifest.Normal, time.Minute)
		f.run(ctx, manifest.Critical, time.Minute)
		f.run(ctx, manifest.Sheddable, time.Minute)
		f.requests.Wait()
		So(f.recorded(), ShouldResemble, []string{"sheddable shed_by_class", "sheddable queue_full", "normal ran", "critical ran", "normal ran"})
	})
	runCase("A request that cannot meet its deadline is refused immediately", func(ctx context.Context) {
		f := newFixture(1, 100)
		for range 40 {
			f.run(ctx, manifest.Normal, time.Minute)
		}
		// Sleep until halfway between the ends of two requests, so that no other request ends at the same time.
		time.Sleep(30*serviceTime + serviceTime/2)
		start := time.Now()
		f.run(ctx, manifest.Normal, serviceTime)
		So(f.recorded()[len(f.recorded())-1], ShouldEqual, "normal deadline_cannot_be_met")
		So(time.Since(start), ShouldEqual, 0)
		f.requests.Wait()
	})
	runCase("A request is removed from the queue when its caller disconnects", func(ctx context.Context) {
		f := newFixture(1, 100)
		f.run(ctx, manifest.Normal, time.Minute)
		ctx, cancel := context.WithCancel(ctx)
		f.run(ctx, manifest.Normal, time.Minute)
		cancel()
		f.requests.Wait()
		So(f.recorded(), ShouldResemble, []string{"normal caller_gone_in_queue", "normal ran"})
		So(f.queue.State().Waiting, ShouldEqual, 0)
	})
	runCase("Waiting requests are dispatched when a slot becomes free without a response", func(ctx context.Context) {
		f := newFixture(0, 100)
		f.run(ctx, manifest.Normal, time.Minute)
		f.endpoint.SetShare(1, 1)
		f.requests.Wait()
		So(f.recorded(), ShouldResemble, []string{"normal ran"})
	})
}

func TestLimitFollowsLatency(t *testing.T) {
	Convey("The limit is lowered while responses are late and raised again while it is reached", t, func() {
		l, now := newConcurrencyLimit(), time.Unix(1000, 0)
		l.latencyTarget = serviceTime
		observeFor := func(took time.Duration, seconds int) {
			for range seconds * minWindowSamples {
				now = now.Add(time.Second / minWindowSamples)
				l.observe(now, took, int(l.value))
			}
		}
		observeFor(2*serviceTime, 30)
		low := l.value
		So(low, ShouldBeLessThan, initialLimit/4)
		So(l.maxInFlight(2), ShouldBeLessThan, l.maxInFlight(0))
		observeFor(serviceTime/2, 30)
		So(l.value, ShouldBeGreaterThan, 2*low)
	})
}

func TestCallerRateIsDividedAmongNodes(t *testing.T) {
	Convey("Each of four nodes admits a quarter of a caller's rate and burst", t, func() {
		c, now, limit := NewRateLimiter(2), time.Unix(1000, 0), RateLimit{PerSecond: 40, Burst: 20}
		countAllowed := func() (n int) {
			for range 100 {
				if c.Allow("a", "s", limit, 4, now) {
					n++
				}
			}
			return n
		}
		So(countAllowed(), ShouldEqual, 5)
		now = now.Add(time.Second / 2)
		So(countAllowed(), ShouldEqual, 5)
		So(c.Allow("b", "s", limit, 4, now), ShouldBeTrue)
		So(c.Allow("c", "s", limit, 4, now), ShouldBeTrue)
		So(c.lru.Len(), ShouldEqual, 2)
	})
}
