// Package route chooses the endpoint for a request.
package route

import (
	"math/rand/v2"
	"time"

	"cactuswall.example/cactuswall/internal/endpoint"
)

// Request is what a choice depends on besides the endpoints.
type Request struct {
	Now time.Time
	// Deadline is when the whole answer must be there.
	Deadline time.Time
	// LocalWait is how long the request would wait for a slot in the node's own failure domain.
	LocalWait time.Duration
	// Tried are the endpoints that the request was sent to before.
	Tried map[*endpoint.Endpoint]bool
	// Probe permits the choice of an endpoint that has failed and has not answered well since. It is set
	// for idempotent requests.
	Probe bool
}

// Result says what a choice found.
type Result int

// The results of a choice.
const (
	// Chosen: a slot was taken at the endpoint.
	Chosen Result = iota
	// Busy: there are endpoints, but the node has no free slot at any of them.
	Busy
	// None: there is no endpoint that the request may be sent to.
	None
)

// Chooser chooses among the endpoints of a service and takes a slot at the chosen one.
type Chooser interface {
	Choose(endpoints []*endpoint.Endpoint, r Request) (*endpoint.Endpoint, Result)
}

const (
	// spillPrice is what sending a request to another failure domain counts for, beyond its latency.
	spillPrice = 8 * time.Millisecond
)

// Adaptive prefers the node's own failure domain. Within a domain it takes the endpoint with a free slot that
// is best by measured latency, failures and load. It leaves out endpoints that fail.
type Adaptive struct {
	// FailureDomain is the node's own.
	FailureDomain string
}

// candidate is an endpoint with a free slot.
type candidate struct {
	endpoint *endpoint.Endpoint
	view     endpoint.View
}

// Choose implements Chooser. It looks at other failure domains only when the own one has no free slot, and
// at endpoints that fail only when there are no others.
func (a Adaptive) Choose(endpoints []*endpoint.Endpoint, r Request) (*endpoint.Endpoint, Result) {
	local := a.gather(endpoints, r, true)
	if e := take(local.free, r.Now); e != nil {
		return e, Chosen
	}
	remote := a.gather(endpoints, r, false)
	if local.usable > 0 {
		remote.free = worthSpilling(remote.free, r)
	}
	if e := take(remote.free, r.Now); e != nil {
		return e, Chosen
	}
	if local.usable+remote.usable > 0 {
		return nil, Busy
	}
	if e := take(append(local.failing, remote.failing...), r.Now); e != nil {
		return e, Chosen
	}
	if local.failingUsable+remote.failingUsable > 0 {
		return nil, Busy
	}
	return nil, None
}

// group is the endpoints of the own failure domain or of the others.
type group struct {
	// free have a free slot, usable counts those that may be sent to once they have one.
	free   []candidate
	usable int
	// failing have a free slot but are ejected, or are probed and not fit for this request.
	failing       []candidate
	failingUsable int
}

func (a Adaptive) gather(endpoints []*endpoint.Endpoint, r Request, own bool) group {
	g := group{free: make([]candidate, 0, len(endpoints))}
	for _, e := range endpoints {
		if (e.FailureDomain == a.FailureDomain) != own || e.Leaving() || r.Tried[e] {
			continue
		}
		v := e.View(r.Now)
		switch {
		case !v.Usable:
		case v.Ejected || (v.Probing && !r.Probe):
			g.failingUsable++
			if v.Free {
				g.failing = append(g.failing, candidate{e, v})
			}
		default:
			g.usable++
			if v.Free {
				g.free = append(g.free, candidate{e, v})
			}
		}
	}
	return g
}

// worthSpilling returns the endpoints of other failure domains that make the deadline, when waiting for
// the own domain would cost more than the price or miss the deadline.
func worthSpilling(remote []candidate, r Request) []candidate {
	left := r.Deadline.Sub(r.Now)
	if r.LocalWait <= spillPrice && r.LocalWait < left {
		return nil
	}
	var worth []candidate
	for _, s := range remote {
		if s.view.Latency < left {
			worth = append(worth, s)
		}
	}
	return worth
}

// take takes a slot at the best endpoint; among equals at a random one. It tries the next when another
// request was quicker.
func take(from []candidate, now time.Time) *endpoint.Endpoint {
	for len(from) > 0 {
		best, first := 0, rand.IntN(len(from))
		for i := range from {
			if at := (first + i) % len(from); i == 0 || from[at].view.Score < from[best].view.Score {
				best = at
			}
		}
		if from[best].endpoint.TryAcquire(now) {
			return from[best].endpoint
		}
		from[best] = from[len(from)-1]
		from = from[:len(from)-1]
	}
	return nil
}
