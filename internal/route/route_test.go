package route

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/endpoint"
)

var now = time.Unix(1000, 0)

// newTestEndpoint returns an endpoint with two slots in a failure domain.
func newTestEndpoint(domain string) *endpoint.Endpoint {
	e := endpoint.New(endpoint.Info{ID: domain, FailureDomain: domain})
	e.SetShare(2, 2)
	return e
}

// failUntilEjected records failed requests at an endpoint until it is ejected.
func failUntilEjected(e *endpoint.Endpoint) {
	for !e.Snapshot(now).Ejected {
		e.TryAcquire(now)
		e.Release(now, endpoint.OutcomeFailed, 0)
	}
}

func TestAdaptive(t *testing.T) {
	Convey("Given two endpoints in the local failure domain and one in another", t, func() {
		slow, fast, remote := newTestEndpoint("a"), newTestEndpoint("a"), newTestEndpoint("b")
		for range 20 {
			slow.TryAcquire(now)
			slow.Release(now, endpoint.OutcomeGood, 50*time.Millisecond)
		}
		all := []*endpoint.Endpoint{slow, fast, remote}
		chooser := Adaptive{FailureDomain: "a"}
		choose := func(r Request) (*endpoint.Endpoint, Result) {
			r.Now = now
			r.Deadline = now.Add(time.Second)
			return chooser.Choose(all, r)
		}
		takeAllSlots := func(list ...*endpoint.Endpoint) {
			for _, e := range list {
				for e.TryAcquire(now) {
					continue
				}
			}
		}
		Convey("the local endpoint with the lower latency is selected", func() {
			e, _ := choose(Request{})
			So(e, ShouldEqual, fast)
		})
		Convey("an endpoint is not selected twice for one request", func() {
			e, _ := choose(Request{Tried: map[*endpoint.Endpoint]bool{fast: true}})
			So(e, ShouldEqual, slow)
		})
		Convey("an endpoint that is leaving is not selected", func() {
			fast.MarkLeaving()
			e, _ := choose(Request{})
			So(e, ShouldEqual, slow)
		})
		Convey("a request waits for a local slot when the wait is below the cross-domain penalty", func() {
			takeAllSlots(slow, fast)
			_, result := choose(Request{LocalWait: time.Millisecond})
			So(result, ShouldEqual, Busy)
		})
		Convey("a request goes to the other domain when the wait exceeds the cross-domain penalty", func() {
			takeAllSlots(slow, fast)
			e, _ := choose(Request{LocalWait: time.Second / 2})
			So(e, ShouldEqual, remote)
		})
		Convey("an ejected endpoint is not selected", func() {
			failUntilEjected(fast)
			e, _ := choose(Request{})
			So(e, ShouldEqual, slow)
		})
		Convey("the other domain is used when all local endpoints fail", func() {
			failUntilEjected(fast)
			failUntilEjected(slow)
			e, _ := choose(Request{})
			So(e, ShouldEqual, remote)
		})
		Convey("failing endpoints are used when there are no others", func() {
			failUntilEjected(fast)
			failUntilEjected(slow)
			failUntilEjected(remote)
			_, result := choose(Request{})
			So(result, ShouldEqual, Chosen)
		})
		Convey("no endpoint is selected when all are leaving", func() {
			for _, e := range all {
				e.MarkLeaving()
			}
			_, result := choose(Request{})
			So(result, ShouldEqual, None)
		})
	})
}
