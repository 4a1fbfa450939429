package endpoint

import (
	"math"
	"sync"
	"time"
)

const (
	// initialLatency is the estimate for an endpoint that has not answered yet.
	initialLatency = 5 * time.Millisecond
	// latencyMemory is the time constant of the latency estimate.
	latencyMemory = time.Second
	// minLatencyWeight is the least weight of a new sample in the latency estimate.
	minLatencyWeight = 0.1
	// forgetAfter is the silence after which the latency estimate halves, again and again.
	forgetAfter = time.Second
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.1
	// ejectConsecutive is the number of failures in a row that ejects an endpoint.
	ejectConsecutive = 5
	// ejectRate is the failure rate that ejects an endpoint.
	ejectRate = 0.5
	// firstEjection is how long an endpoint is ejected the first time. Each further time doubles it.
	firstEjection = 2 * time.Second
	// maxEjection bounds an ejection.
	maxEjection = 30 * time.Second
	// slowStart is the time over which a fresh endpoint grows to its full weight.
	slowStart = 5 * time.Second
	// minStartWeight is the weight of an endpoint at the beginning of its slow start.
	minStartWeight = 0.1
	// loadWeight is what taking all of the node's slots at an endpoint adds to its score, as a part of it.
	loadWeight = 0.1
	// failurePenalty scales the score by the failure rate.
	failurePenalty = 20.0
	// maxFullWait bounds the pause after a refusal for want of a slot.
	maxFullWait = 50 * time.Millisecond
)

// Outcome is how an exchange ended, as far as it tells of the endpoint's health.
type Outcome int

// The outcomes.
const (
	// Good: a whole answer that is no server error.
	Good Outcome = iota
	// Failed: not reached, broke off, late, or a server error.
	Failed
	// Full: refused for want of a slot.
	Full
	// Neutral: says nothing about the endpoint.
	Neutral
)

// health is what a node has measured of an endpoint.
type health struct {
	mu          sync.Mutex
	outstanding int
	slots       int
	latency     time.Duration
	sampledAt   time.Time
	failureRate float64
	consecutive int
	ejections   int
	// ejectedUntil is the end of the ejection; probing follows until one outcome is good.
	ejectedUntil time.Time
	probing      bool
	// startedAt is the beginning of the slow start, or zero.
	startedAt time.Time
	// fullUntil is the end of the pause after a refusal for want of a slot.
	fullUntil time.Time
	// goodAt is the time of the last good answer.
	goodAt time.Time
}

// TryAcquire takes one of the node's slots at the endpoint. It fails when none is free.
func (e *Endpoint) TryAcquire(now time.Time) bool {
	h := &e.health
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.free(now) {
		return false
	}
	h.outstanding++
	return true
}

// free reports whether another request may be sent, ejection apart.
func (h *health) free(now time.Time) bool {
	limit := h.slots
	if h.probing {
		limit = min(limit, 1)
	}
	return h.outstanding < limit && !now.Before(h.fullUntil)
}

// Release gives a slot back and takes the outcome into account. took is the time from sending to the
// whole answer.
func (e *Endpoint) Release(now time.Time, outcome Outcome, took time.Duration) {
	h := &e.health
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outstanding--
	switch outcome {
	case Good:
		h.good(now, took)
	case Failed:
		h.fail(now)
	case Full:
		h.fullUntil = now.Add(min(h.latency, maxFullWait))
	}
}

func (h *health) good(now time.Time, took time.Duration) {
	h.sample(now, took)
	h.goodAt = now
	h.consecutive = 0
	h.failureRate *= 1 - failureWeight
	if h.probing {
		h.probing = false
		h.failureRate = 0
		h.startedAt = now
	}
	if now.Sub(h.ejectedUntil) > maxEjection {
		h.ejections = 0
	}
}

func (h *health) sample(now time.Time, took time.Duration) {
	if h.sampledAt.IsZero() {
		h.latency = took
	} else {
		weight := max(minLatencyWeight, 1-math.Exp(-float64(now.Sub(h.sampledAt))/float64(latencyMemory)))
		h.latency += time.Duration(weight * float64(took-h.latency))
	}
	h.sampledAt = now
}

func (h *health) fail(now time.Time) {
	h.consecutive++
	h.failureRate += failureWeight * (1 - h.failureRate)
	ejected := now.Before(h.ejectedUntil)
	if ejected || (!h.probing && h.consecutive < ejectConsecutive && h.failureRate < ejectRate) {
		return
	}
	h.ejectedUntil = now.Add(min(maxEjection, firstEjection<<min(h.ejections, 4)))
	h.ejections++
	h.probing = true
	h.consecutive = 0
}

// View is what a choice needs to know of an endpoint.
type View struct {
	// Score rates the endpoint for one more request, in seconds: the lower the better.
	Score float64
	// Latency is the latency to expect.
	Latency time.Duration
	// Free is set when the node has a free slot there.
	Free bool
	// Usable is set when the node has any slot there.
	Usable bool
	// Ejected is set while the endpoint is left out because it fails.
	Ejected bool
	// Probing is set from an ejection until a good answer.
	Probing bool
}

// View returns what a choice needs to know of the endpoint.
func (e *Endpoint) View(now time.Time) View {
	h := &e.health
	h.mu.Lock()
	defer h.mu.Unlock()
	v := View{
		Latency: h.estimate(now),
		Free:    h.free(now),
		Usable:  h.slots > 0,
		Ejected: now.Before(h.ejectedUntil),
		Probing: h.probing,
	}
	v.Score = v.Latency.Seconds() * (1 + loadWeight*float64(h.outstanding)/float64(max(1, h.slots)))
	v.Score *= 1 + failurePenalty*h.failureRate
	v.Score /= h.startWeight(now)
	return v
}

// startWeight is the part of its full load that an endpoint gets during its slow start.
func (h *health) startWeight(now time.Time) float64 {
	if h.startedAt.IsZero() {
		return 1
	}
	return min(1, max(minStartWeight, float64(now.Sub(h.startedAt))/float64(slowStart)))
}

// estimate returns the latency to expect. It halves with each forgetAfter without a sample, so that an
// endpoint that was slow is tried again.
func (h *health) estimate(now time.Time) time.Duration {
	if h.sampledAt.IsZero() {
		return initialLatency
	}
	silence := now.Sub(h.sampledAt)
	if silence < forgetAfter {
		return h.latency
	}
	return time.Duration(float64(h.latency) * math.Exp2(-float64(silence)/float64(forgetAfter)))
}

// AnsweredAt returns the time of the last good answer, or zero.
func (e *Endpoint) AnsweredAt() time.Time {
	e.health.mu.Lock()
	defer e.health.mu.Unlock()
	return e.health.goodAt
}

// Outstanding returns the requests of this node in flight at the endpoint.
func (e *Endpoint) Outstanding() int {
	e.health.mu.Lock()
	defer e.health.mu.Unlock()
	return e.health.outstanding
}

// Slots returns the requests that this node may have in flight at the endpoint.
func (e *Endpoint) Slots() int {
	e.health.mu.Lock()
	defer e.health.mu.Unlock()
	return e.health.slots
}
