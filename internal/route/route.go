// Package route chooses the endpoint for a request.
package route

import (
	"math/rand/v2"

	"cactuswall.example/cactuswall/internal/endpoint"
)

// Chooser chooses among the endpoints of a service.
type Chooser interface {
	// Choose returns an endpoint that is not in tried, or nil when there is none.
	Choose(endpoints []*endpoint.Endpoint, tried map[*endpoint.Endpoint]bool) *endpoint.Endpoint
}

// Local prefers the node's own failure domain and there the endpoint with the fewest outstanding requests.
type Local struct {
	// FailureDomain is the node's own.
	FailureDomain string
}

// Choose implements Chooser.
func (l Local) Choose(endpoints []*endpoint.Endpoint, tried map[*endpoint.Endpoint]bool) *endpoint.Endpoint {
	var best *endpoint.Endpoint
	ties := 0
	for _, e := range endpoints {
		if e.Leaving() || tried[e] {
			continue
		}
		switch {
		case best == nil || l.better(e, best):
			best, ties = e, 1
		case !l.better(best, e):
			ties++
			if rand.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

func (l Local) better(a, b *endpoint.Endpoint) bool {
	aLocal := a.FailureDomain == l.FailureDomain
	bLocal := b.FailureDomain == l.FailureDomain
	if aLocal != bLocal {
		return aLocal
	}
	return a.Outstanding() < b.Outstanding()
}
