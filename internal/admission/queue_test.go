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
	all      sync.WaitGroup
	mu       sync.Mutex
	ends     []string
}

func newFixture(slots, length int) *fixture {
	f := &fixture{queue: NewQueue(), endpoint: endpoint.New(endpoint.Info{ID: "e"})}
	f.endpoint.SetShare(slots, slots)
	f.queue.Configure(length, time.Second)
	return f
}

// run sends a request of a class and notes how it ended.
func (f *fixture) run(ctx context.Context, class manifest.RequestClass, patience time.Duration) {
	f.all.Go(func() {
		e, refusal := f.queue.Acquire(ctx, Request{
			Class:    class,
			Deadline: time.Now().Add(patience),
			Choose: func(now time.Time, _ time.Duration) (*endpoint.Endpoint, route.Result) {
				if !f.endpoint.TryAcquire(now) {
					return nil, route.Busy
				}
				return f.endpoint, route.Chosen
			},
		})
		if refusal != nil {
			f.note(class, refusal.Reason)
			return
		}
		time.Sleep(serviceTime)
		e.Release(time.Now(), endpoint.Good, serviceTime)
		f.queue.Release(serviceTime)
		f.note(class, "ran")
	})
	synctest.Wait()
}

func (f *fixture) note(class manifest.RequestClass, end verdict.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends = append(f.ends, fmt.Sprint(class, " ", end))
}

// last returns how the request that ended last did so.
func (f *fixture) last() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ends[len(f.ends)-1]
}

func TestQueue(t *testing.T) {
	in := func(name string, check func(ctx context.Context)) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() { check(t.Context()) })
		})
	}
	in("A full queue sheds its least important request for a more important one", func(ctx context.Context) {
		f := newFixture(1, 2)
		f.run(ctx, manifest.Normal, time.Minute)
		f.run(ctx, manifest.Sheddable, time.Minute)
		f.run(ctx, manifest.Normal, time.Minute)
		f.run(ctx, manifest.Critical, time.Minute)
		f.run(ctx, manifest.Sheddable, time.Minute)
		f.all.Wait()
		So(f.ends, ShouldResemble, []string{"sheddable shed_by_class", "sheddable queue_full", "normal ran", "critical ran", "normal ran"})
	})
	in("A request that cannot make its deadline is refused at once", func(ctx context.Context) {
		f := newFixture(1, 100)
		for range 40 {
			f.run(ctx, manifest.Normal, time.Minute)
		}
		time.Sleep(3 * time.Second)
		began := time.Now()
		f.run(ctx, manifest.Normal, serviceTime)
		So(f.last(), ShouldEqual, "normal deadline_cannot_be_met")
		So(time.Since(began), ShouldEqual, 0)
		f.all.Wait()
	})
	in("A request whose caller goes leaves the queue", func(ctx context.Context) {
		f := newFixture(1, 100)
		f.run(ctx, manifest.Normal, time.Minute)
		ctx, cancel := context.WithCancel(ctx)
		f.run(ctx, manifest.Normal, time.Minute)
		cancel()
		f.all.Wait()
		So(f.ends, ShouldResemble, []string{"normal caller_gone_in_queue", "normal ran"})
		So(f.queue.State().Waiting, ShouldEqual, 0)
	})
	in("Requests wait for a slot that comes free without an answer", func(ctx context.Context) {
		f := newFixture(0, 100)
		f.run(ctx, manifest.Normal, time.Minute)
		f.endpoint.SetShare(1, 1)
		f.all.Wait()
		So(f.ends, ShouldResemble, []string{"normal ran"})
	})
}

func TestLimitFollowsLatency(t *testing.T) {
	Convey("The limit falls while answers are late and grows again while it is in use", t, func() {
		l, now := newLimit(), time.Unix(1000, 0)
		l.target = serviceTime
		answers := func(took time.Duration, seconds int) {
			for range seconds * minWindowSamples {
				now = now.Add(time.Second / minWindowSamples)
				l.observe(now, took, int(l.value))
			}
		}
		answers(2*serviceTime, 30)
		low := l.value
		So(low, ShouldBeLessThan, initialLimit/4)
		So(l.allowed(2), ShouldBeLessThan, l.allowed(0))
		answers(serviceTime/2, 30)
		So(l.value, ShouldBeGreaterThan, 2*low)
	})
}

func TestCallersShareOverNodes(t *testing.T) {
	Convey("Each of four nodes lets a quarter of a caller's rate and burst pass", t, func() {
		c, now, limit := NewCallers(2), time.Unix(1000, 0), Rate{PerSecond: 40, Burst: 20}
		passed := func() (n int) {
			for range 100 {
				if c.Allow("a", "s", limit, 4, now) {
					n++
				}
			}
			return n
		}
		So(passed(), ShouldEqual, 5)
		now = now.Add(time.Second / 2)
		So(passed(), ShouldEqual, 5)
		So(c.Allow("b", "s", limit, 4, now), ShouldBeTrue)
		So(c.Allow("c", "s", limit, 4, now), ShouldBeTrue)
		So(c.order.Len(), ShouldEqual, 2)
	})
}
