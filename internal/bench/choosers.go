package bench

import (
	"math/rand/v2"
	"sync/atomic"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/route"
)

// usable returns the endpoints of the own failure domain that are not leaving and were not tried.
func usable(endpoints []*endpoint.Endpoint, domain string, r route.Request) []*endpoint.Endpoint {
	var list []*endpoint.Endpoint
	for _, e := range endpoints {
		if e.FailureDomain == domain && !e.Leaving() && !r.Tried[e] {
			list = append(list, e)
		}
	}
	return list
}

func acquire(e *endpoint.Endpoint, r route.Request) (*endpoint.Endpoint, route.Result) {
	if !e.TryAcquire(r.Now) {
		return nil, route.Busy
	}
	return e, route.Chosen
}

// random chooses any endpoint of the own failure domain.
type random struct{ domain string }

func (c random) Choose(endpoints []*endpoint.Endpoint, r route.Request) (*endpoint.Endpoint, route.Result) {
	list := usable(endpoints, c.domain, r)
	if len(list) == 0 {
		return nil, route.None
	}
	return acquire(list[rand.IntN(len(list))], r)
}

// roundRobin chooses the endpoints of the own failure domain in turn.
type roundRobin struct {
	domain string
	next   *atomic.Int64
}

func (c roundRobin) Choose(endpoints []*endpoint.Endpoint, r route.Request) (*endpoint.Endpoint, route.Result) {
	list := usable(endpoints, c.domain, r)
	if len(list) == 0 {
		return nil, route.None
	}
	return acquire(list[int(c.next.Add(1))%len(list)], r)
}

// least chooses the endpoint of the own failure domain with the fewest requests of this node.
type least struct{ domain string }

func (c least) Choose(endpoints []*endpoint.Endpoint, r route.Request) (*endpoint.Endpoint, route.Result) {
	list := usable(endpoints, c.domain, r)
	if len(list) == 0 {
		return nil, route.None
	}
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	best := list[0]
	for _, e := range list {
		if e.Outstanding() < best.Outstanding() {
			best = e
		}
	}
	return acquire(best, r)
}

// knowing chooses the endpoint with the earliest expected answer, and knows the true queues of all.
type knowing struct{ wire wire }

func (c knowing) Choose(endpoints []*endpoint.Endpoint, r route.Request) (*endpoint.Endpoint, route.Result) {
	var best *endpoint.Endpoint
	var bestTime float64
	for _, e := range endpoints {
		b := c.wire.backends[e.Address]
		expected := b.expected(c.wire.delay(b))
		if r.Tried[e] || c.unreachable(b) {
			continue
		}
		if best == nil || expected < bestTime {
			best, bestTime = e, expected
		}
	}
	if best == nil {
		return nil, route.None
	}
	return acquire(best, r)
}

func (c knowing) unreachable(b *backend) bool {
	cut := c.wire.cut()
	return cut != "" && b.info.FailureDomain != c.wire.domain && (cut == b.info.FailureDomain || cut == c.wire.domain)
}
