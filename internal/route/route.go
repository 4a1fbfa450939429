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

// candidate is an endpoint with a free slot.
type candidate struct {
	endpoint *endpoint.Endpoint
	view     endpoint.View
}

// Choose implements Chooser. It looks at other failure domains only when the own one has no free slot.
func (a Adaptive) Choose(endpoints []*endpoint.Endpoint, r Request) (*endpoint.Endpoint, Result) {
	local, localUsable := a.gather(endpoints, r, true)
	if e := take(local, r.Now); e != nil {
		return e, Chosen
	}
	remote, remoteUsable := a.gather(endpoints, r, false)
	if localUsable+remoteUsable == 0 {
		return nil, None
	}
	if localUsable > 0 {
		remote = worthSpilling(remote, r)
	}
	if e := take(remote, r.Now); e != nil {
		return e, Chosen
	}
	return nil, Busy
}

// gather returns the endpoints with a free slot in the own failure domain or in the others, and the number
// of those that may be sent to once they have one.
func (a Adaptive) gather(endpoints []*endpoint.Endpoint, r Request, own bool) (free []candidate, usable int) {
	out := 0
	all := make([]candidate, 0, len(endpoints))
	for _, e := range endpoints {
		if (e.FailureDomain == a.FailureDomain) != own || e.Leaving() || r.Tried[e] {
			continue
		}
		v := e.View(r.Now)
		all = append(all, candidate{e, v})
		if v.Ejected || v.Probing {
			out++
		}
	}
	useEjected := float64(out) > maxEjectedPart*float64(len(all))
	free = all[:0]
	for _, c := range all {
		leftOut := c.view.Ejected || (c.view.Probing && !r.Probe)
		if !c.view.Usable || (leftOut && !useEjected) {
			continue
		}
		usable++
		if c.view.Free {
			free = append(free, c)
		}
	}
	return free, usable
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
