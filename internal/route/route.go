// Package route selects the endpoint for a request from the endpoints of a service, by failure domain,
// measured latency, failures and free slots.
package route

import (
	"math/rand/v2"
	"time"

	"cactuswall.example/cactuswall/internal/endpoint"
)

// Request holds the properties of a request that the selection depends on.
type Request struct {
	Now time.Time
	// Deadline is the time by which the response must be complete.
	Deadline time.Time
	// LocalWait is the expected wait for a slot in the node's own failure domain.
	LocalWait time.Duration
	// Tried holds the endpoints that the request has already been sent to.
	Tried map[*endpoint.Endpoint]bool
	// Probe allows an endpoint that has failed and has not succeeded since. It is set for idempotent
	// requests.
	Probe bool
}

// Result is the result of a selection.
type Result int

// The results of a selection.
const (
	// Chosen means that an endpoint was selected and one of its slots was acquired.
	Chosen Result = iota
	// Busy means that there are suitable endpoints, but the node has no free slot at any of them.
	Busy
	// None means that there is no endpoint that the request may be sent to.
	None
)

// Chooser selects one of the endpoints of a service and acquires a slot at it.
type Chooser interface {
	Choose(endpoints []*endpoint.Endpoint, r Request) (*endpoint.Endpoint, Result)
}

const (
	// crossDomainPenalty is the cost of sending a request to another failure domain. A request stays local
	// while its expected wait does not exceed it.
	crossDomainPenalty = 8 * time.Millisecond
)

// Adaptive is a Chooser that prefers the node's own failure domain. Among the endpoints with a free slot it
// selects the one with the lowest score, computed from measured latency, failures and load. It avoids endpoints
// that fail.
type Adaptive struct {
	// FailureDomain is the failure domain of the node.
	FailureDomain string
}

// candidate is an endpoint with a free slot.
type candidate struct {
	endpoint *endpoint.Endpoint
	view     endpoint.Snapshot
}

// Choose implements Chooser. It considers other failure domains only if the local one has no free slot, and
// failing endpoints only if there are no others.
func (a Adaptive) Choose(endpoints []*endpoint.Endpoint, r Request) (*endpoint.Endpoint, Result) {
	local := a.classify(endpoints, r, true)
	if e := acquireBest(local.free, r.Now); e != nil {
		return e, Chosen
	}
	remote := a.classify(endpoints, r, false)
	if local.usable > 0 {
		remote.free = crossDomainCandidates(remote.free, r)
	}
	if e := acquireBest(remote.free, r.Now); e != nil {
		return e, Chosen
	}
	if local.usable+remote.usable > 0 {
		return nil, Busy
	}
	if e := acquireBest(append(local.failing, remote.failing...), r.Now); e != nil {
		return e, Chosen
	}
	if local.failingUsable+remote.failingUsable > 0 {
		return nil, Busy
	}
	return nil, None
}

// candidateSet holds the endpoints of the local failure domain, or of all others.
type candidateSet struct {
	// free holds the healthy endpoints with a free slot; usable counts the healthy ones with or without one.
	free   []candidate
	usable int
	// failing holds the endpoints with a free slot that are ejected, or that are being probed while the
	// request must not be a probe. failingUsable counts those with or without a free slot.
	failing       []candidate
	failingUsable int
}

// classify returns the endpoints of the local failure domain if sameDomain is true, and those of all others if it
// is false. It leaves out endpoints that are leaving, are not usable or were already tried.
func (a Adaptive) classify(endpoints []*endpoint.Endpoint, r Request, sameDomain bool) candidateSet {
	set := candidateSet{free: make([]candidate, 0, len(endpoints))}
	for _, e := range endpoints {
		if (e.FailureDomain == a.FailureDomain) != sameDomain || e.Leaving() || r.Tried[e] {
			continue
		}
		v := e.Snapshot(r.Now)
		switch {
		case !v.Usable:
		case v.Ejected || (v.Probing && !r.Probe):
			set.failingUsable++
			if v.Free {
				set.failing = append(set.failing, candidate{e, v})
			}
		default:
			set.usable++
			if v.Free {
				set.free = append(set.free, candidate{e, v})
			}
		}
	}
	return set
}

// crossDomainCandidates returns the endpoints of other failure domains that are expected to meet the deadline.
// It returns none if the wait for a local slot meets the deadline and does not exceed crossDomainPenalty.
func crossDomainCandidates(remote []candidate, r Request) []candidate {
	remaining := r.Deadline.Sub(r.Now)
	if r.LocalWait <= crossDomainPenalty && r.LocalWait < remaining {
		return nil
	}
	var inTime []candidate
	for _, c := range remote {
		if c.view.Latency < remaining {
			inTime = append(inTime, c)
		}
	}
	return inTime
}

// acquireBest acquires a slot at the endpoint with the lowest score, with ties broken at random. If another
// request has taken the last slot in the meantime, it tries the next best. It returns nil if none is left.
func acquireBest(candidates []candidate, now time.Time) *endpoint.Endpoint {
	for len(candidates) > 0 {
		best, first := 0, rand.IntN(len(candidates))
		for i := range candidates {
			if j := (first + i) % len(candidates); i == 0 || candidates[j].view.Score < candidates[best].view.Score {
				best = j
			}
		}
		if candidates[best].endpoint.TryAcquire(now) {
			return candidates[best].endpoint
		}
		candidates[best] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
	}
	return nil
}
