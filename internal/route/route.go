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
	// maxEjectedPart is the part of the endpoints that may be left out because they fail. When more fail,
	// the fault is taken to lie elsewhere and all are used.
	maxEjectedPart = 0.5
)

// Adaptive prefers the node's own failure domain. Within a domain it takes the endpoint with a free slot that
// is best by measured latency, failures and load. It leaves out endpoints that fail.
type Adaptive struct {
	// FailureDomain is the node's own.
	FailureDomain string
}

// candidates are the endpoints that a request may be sent to, split by failure domain.
type candidates struct {
	local, remote []scored
	// usable counts endpoints that may be sent to once they have a free slot.
	usable int
}

type scored struct {
	endpoint *endpoint.Endpoint
	score    float64
}

// Choose implements Chooser.
func (a Adaptive) Choose(endpoints []*endpoint.Endpoint, r Request) (*endpoint.Endpoint, Result) {
	c := a.gather(endpoints, r)
	if c.usable == 0 {
		return nil, None
	}
	if e := take(c.local, r.Now); e != nil {
		return e, Chosen
	}
	if e := take(worthSpilling(c.remote, r), r.Now); e != nil {
		return e, Chosen
	}
	return nil, Busy
}

func (a Adaptive) gather(endpoints []*endpoint.Endpoint, r Request) candidates {
	useEjected := tooManyEjected(endpoints, r.Now)
	var c candidates
	for _, e := range endpoints {
		if e.Leaving() || r.Tried[e] {
			continue
		}
		if !useEjected && (e.Ejected(r.Now) || (e.Probing() && !r.Probe)) {
			continue
		}
		if e.Slots() > 0 {
			c.usable++
		}
		score, free := e.Score(r.Now)
		switch {
		case !free:
		case e.FailureDomain == a.FailureDomain:
			c.local = append(c.local, scored{e, score})
		default:
			c.remote = append(c.remote, scored{e, score})
		}
	}
	return c
}

func tooManyEjected(endpoints []*endpoint.Endpoint, now time.Time) bool {
	out := 0
	for _, e := range endpoints {
		if e.Ejected(now) || e.Probing() {
			out++
		}
	}
	return float64(out) > maxEjectedPart*float64(len(endpoints))
}

// worthSpilling returns the endpoints of other failure domains that make the deadline, when waiting for
// the own domain would cost more than the price or miss the deadline.
func worthSpilling(remote []scored, r Request) []scored {
	left := r.Deadline.Sub(r.Now)
	if r.LocalWait <= spillPrice && r.LocalWait < left {
		return nil
	}
	var worth []scored
	for _, s := range remote {
		if s.endpoint.Latency(r.Now) < left {
			worth = append(worth, s)
		}
	}
	return worth
}

// take takes a slot at the best endpoint; among equals at a random one. It tries the next when another
// request was quicker.
func take(from []scored, now time.Time) *endpoint.Endpoint {
	for len(from) > 0 {
		best, first := 0, rand.IntN(len(from))
		for i := range from {
			if at := (first + i) % len(from); i == 0 || from[at].score < from[best].score {
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
