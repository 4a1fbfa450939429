package bench

import (
	"math/rand/v2"
	"sync/atomic"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/route"
)

// candidates returns the endpoints of a failure domain that are not leaving and have not been tried for the request.
func candidates(endpoints []*endpoint.Endpoint, domain string, r route.Request) []*endpoint.Endpoint {
	var list []*endpoint.Endpoint
	for _, e := range endpoints {
		if e.FailureDomain == domain && !e.Leaving() && !r.Tried[e] {
			list = append(list, e)
		}
	}
	return list
}

// acquire takes a slot of the endpoint. It returns route.Busy if there is none.
func acquire(e *endpoint.Endpoint, r route.Request) (*endpoint.Endpoint, route.Result) {
	if !e.TryAcquire(r.Now) {
		return nil, route.Busy
	}
	return e, route.Chosen
}

// random chooses a random endpoint of the local failure domain.
type random struct{ domain string }

func (c random) Choose(endpoints []*endpoint.Endpoint, r route.Request) (*endpoint.Endpoint, route.Result) {
	list := candidates(endpoints, c.domain, r)
	if len(list) == 0 {
		return nil, route.None
	}
	return acquire(list[rand.IntN(len(list))], r)
}

// roundRobin cycles through the endpoints of the local failure domain.
type roundRobin struct {
	domain string
	next   *atomic.Int64
}

func (c roundRobin) Choose(endpoints []*endpoint.Endpoint, r route.Request) (*endpoint.Endpoint, route.Result) {
	list := candidates(endpoints, c.domain, r)
	if len(list) == 0 {
		return nil, route.None
	}
	return acquire(list[int(c.next.Add(1))%len(list)], r)
}

// leastOutstanding chooses the endpoint of the local failure domain with the fewest outstanding requests from this
// node.
type leastOutstanding struct{ domain string }

func (c leastOutstanding) Choose(endpoints []*endpoint.Endpoint, r route.Request) (*endpoint.Endpoint, route.Result) {
	list := candidates(endpoints, c.domain, r)
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

// omniscient implements the policy "knowing": it chooses the endpoint with the lowest expected latency. It sees the
// actual queue of every endpoint, which no real policy can.
type omniscient struct{ network network }

func (c omniscient) Choose(endpoints []*endpoint.Endpoint, r route.Request) (*endpoint.Endpoint, route.Result) {
	var best *endpoint.Endpoint
	var lowest float64
	for _, e := range endpoints {
		b := c.network.backends[e.Address]
		expected := b.expectedLatency(c.network.delay(b))
		if r.Tried[e] || c.unreachable(b) {
			continue
		}
		if best == nil || expected < lowest {
			best, lowest = e, expected
		}
	}
	if best == nil {
		return nil, route.None
	}
	return acquire(best, r)
}

// unreachable reports whether a network partition separates the node from an endpoint.
func (c omniscient) unreachable(b *backend) bool {
	cut := c.network.cut()
	return cut != "" && b.info.FailureDomain != c.network.domain && (cut == b.info.FailureDomain || cut == c.network.domain)
}
