package route

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/endpoint"
)

var now = time.Unix(1000, 0)

// one returns an endpoint of a failure domain with two slots.
func one(domain string) *endpoint.Endpoint {
	e := endpoint.New(endpoint.Info{ID: domain, FailureDomain: domain})
	e.SetShare(2, 2)
	return e
}

// fails makes an endpoint fail until it is ejected.
func fails(e *endpoint.Endpoint) {
	for !e.View(now).Ejected {
		e.TryAcquire(now)
		e.Release(now, endpoint.Failed, 0)
	}
}

func TestAdaptive(t *testing.T) {
	Convey("Given endpoints in the own and in another failure domain", t, func() {
		slow, fast, remote := one("a"), one("a"), one("b")
		for range 20 {
			slow.TryAcquire(now)
			slow.Release(now, endpoint.Good, 50*time.Millisecond)
		}
		all := []*endpoint.Endpoint{slow, fast, remote}
		chooser := Adaptive{FailureDomain: "a"}
		choose := func(r Request) (*endpoint.Endpoint, Result) {
			r.Now = now
			r.Deadline = now.Add(time.Second)
			return chooser.Choose(all, r)
		}
		fill := func(list ...*endpoint.Endpoint) {
			for _, e := range list {
				for e.TryAcquire(now) {
					continue
				}
			}
		}
		Convey("the one with the lower latency is taken", func() {
			e, _ := choose(Request{})
			So(e, ShouldEqual, fast)
		})
		Convey("an endpoint is not taken twice for one request", func() {
			e, _ := choose(Request{Tried: map[*endpoint.Endpoint]bool{fast: true}})
			So(e, ShouldEqual, slow)
		})
		Convey("an endpoint that is leaving is not taken", func() {
			fast.MarkLeaving()
			e, _ := choose(Request{})
			So(e, ShouldEqual, slow)
		})
		Convey("a request waits for a local slot rather than pay the price", func() {
			fill(slow, fast)
			_, result := choose(Request{LocalWait: time.Millisecond})
			So(result, ShouldEqual, Busy)
		})
		Convey("it goes to the other domain when the wait costs more than the price", func() {
			fill(slow, fast)
			e, _ := choose(Request{LocalWait: time.Second / 2})
			So(e, ShouldEqual, remote)
		})
		Convey("an endpoint that fails fast is left out", func() {
			fails(fast)
			e, _ := choose(Request{})
			So(e, ShouldEqual, slow)
		})
		Convey("the other domain serves when all of the own one fail", func() {
			fails(fast)
			fails(slow)
			e, _ := choose(Request{})
			So(e, ShouldEqual, remote)
		})
		Convey("endpoints that fail are used when there are no others", func() {
			fails(fast)
			fails(slow)
			fails(remote)
			_, result := choose(Request{})
			So(result, ShouldEqual, Chosen)
		})
		Convey("there is none when all are leaving", func() {
			for _, e := range all {
				e.MarkLeaving()
			}
			_, result := choose(Request{})
			So(result, ShouldEqual, None)
		})
	})
}
