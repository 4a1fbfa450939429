package endpoint

import (
	"math"
	"sync"
	"time"
)

const (
	// initialLatency is the estimate for an endpoint from which no response was received yet.
	initialLatency = 5 * time.Millisecond
	// latencyTimeConstant is the time between two samples of the latency after which the moving average of the
	// earlier samples counts only 1/e (37 %).
	latencyTimeConstant = time.Second
	// minLatencyWeight is the minimum weight of a new sample in the moving average of the latency.
	minLatencyWeight = 0.1
	// latencyHalfLife is the time without samples in which the latency estimate halves.
	latencyHalfLife = time.Second
	// failureWeight is the weight of a new outcome in the moving average of the failure rate.
	failureWeight = 0.1
	// ejectConsecutive is the number of consecutive failures after which an endpoint is ejected.
	ejectConsecutive = 5
	// ejectFailureRate is the failure rate at which an endpoint is ejected.
	ejectFailureRate = 0.5
	// baseEjectionTime is the duration of the first ejection of an endpoint. It doubles with each further
	// ejection, up to maxEjectionTime. The count of ejections begins again at the first good outcome more than
	// maxEjectionTime after the end of the latest ejection.
	baseEjectionTime = 2 * time.Second
	// maxEjectionTime is the maximum duration of an ejection.
	maxEjectionTime = 30 * time.Second
	// slowStartPeriod is the time in which the weight of an endpoint rises to 1 after it was added or after its
	// first good outcome since an ejection. The score is divided by the weight.
	slowStartPeriod = 5 * time.Second
	// minSlowStartWeight is the weight of an endpoint at the beginning of its slow start.
	minSlowStartWeight = 0.1
	// loadWeight is the fraction by which the score of an endpoint increases when all of the node's slots there
	// are in use.
	loadWeight = 0.1
	// failurePenalty is the multiple of the score that a failure rate of 1 adds to it.
	failurePenalty = 20.0
	// maxFullPause is the maximum pause after an endpoint refused a request because it had no free slot.
	maxFullPause = 50 * time.Millisecond
)

// Outcome is the result of an exchange as far as it concerns the health of the endpoint.
type Outcome int

// The outcomes.
const (
	// OutcomeGood is a complete response that is not a server error.
	OutcomeGood Outcome = iota
	// OutcomeFailed means that the endpoint was not reached, broke off the exchange on a new connection, truncated
	// its response, exceeded the deadline, violated the protocol, or returned a server error.
	OutcomeFailed
	// OutcomeFull means that no slot or connection was free.
	OutcomeFull
	// OutcomeNeutral means that the result does not concern the health of the endpoint.
	OutcomeNeutral
)

// health holds this node's requests in flight at an endpoint and its measurements of the endpoint.
type health struct {
	mu                  sync.Mutex
	outstanding         int
	slots               int
	latency             time.Duration
	sampledAt           time.Time
	failureRate         float64
	consecutiveFailures int
	ejections           int
	// ejectedUntil is the end of the latest ejection. Afterwards the endpoint is probed with one request at a time
	// until an outcome is OutcomeGood.
	ejectedUntil time.Time
	probing      bool
	// slowStartAt is the beginning of the slow start, or zero.
	slowStartAt time.Time
	// pausedUntil is the end of the pause after a request was refused because no slot was free.
	pausedUntil time.Time
	// lastGood is the time of the last good outcome.
	lastGood time.Time
}

// TryAcquire takes one of the node's slots at the endpoint. It returns false if none is free. It doesn't check
// whether the endpoint is ejected.
func (e *Endpoint) TryAcquire(now time.Time) bool {
	h := &e.health
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hasFreeSlot(now) {
		return false
	}
	h.outstanding++
	return true
}

// hasFreeSlot reports whether another request may be sent, regardless of an ejection.
func (h *health) hasFreeSlot(now time.Time) bool {
	limit := h.slots
	if h.probing {
		limit = min(limit, 1)
	}
	return h.outstanding < limit && !now.Before(h.pausedUntil)
}

// Release releases a slot and records the outcome of its request. took is the time from sending the request to
// the complete response; it is used for OutcomeGood only.
func (e *Endpoint) Release(now time.Time, outcome Outcome, took time.Duration) {
	h := &e.health
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outstanding--
	switch outcome {
	case OutcomeGood:
		h.recordGood(now, took)
	case OutcomeFailed:
		h.recordFailure(now)
	case OutcomeFull:
		h.pausedUntil = now.Add(min(h.latency, maxFullPause))
	}
}

func (h *health) recordGood(now time.Time, took time.Duration) {
	h.recordLatency(now, took)
	h.lastGood = now
	h.consecutiveFailures = 0
	h.failureRate *= 1 - failureWeight
	if h.probing {
		h.probing = false
		h.failureRate = 0
		h.slowStartAt = now
	}
	if now.Sub(h.ejectedUntil) > maxEjectionTime {
		h.ejections = 0
	}
}

func (h *health) recordLatency(now time.Time, took time.Duration) {
	if h.sampledAt.IsZero() {
		h.latency = took
	} else {
		weight := max(minLatencyWeight, 1-math.Exp(-float64(now.Sub(h.sampledAt))/float64(latencyTimeConstant)))
		h.latency += time.Duration(weight * float64(took-h.latency))
	}
	h.sampledAt = now
}

// recordFailure records a failure and ejects the endpoint if it fails too often.
func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	h.failureRate += failureWeight * (1 - h.failureRate)
	ejected := now.Before(h.ejectedUntil)
	if ejected || (!h.probing && h.consecutiveFailures < ejectConsecutive && h.failureRate < ejectFailureRate) {
		return
	}
	h.ejectedUntil = now.Add(min(maxEjectionTime, baseEjectionTime<<min(h.ejections, 4)))
	h.ejections++
	h.probing = true
	h.consecutiveFailures = 0
}

// Snapshot is a snapshot of an endpoint for choosing one.
type Snapshot struct {
	// Score is the weighted latency of the endpoint in seconds; lower is better.
	Score float64
	// Latency is the expected latency.
	Latency time.Duration
	// Free is set if the node has a free slot at the endpoint.
	Free bool
	// Usable is set if the node has any slots at the endpoint, free or in use.
	Usable bool
	// Ejected is set while the endpoint is ejected because of failures.
	Ejected bool
	// Probing is set from the beginning of an ejection until the next good outcome.
	Probing bool
}

// Snapshot returns a snapshot of the endpoint at the given time.
func (e *Endpoint) Snapshot(now time.Time) Snapshot {
	h := &e.health
	h.mu.Lock()
	defer h.mu.Unlock()
	v := Snapshot{
		Latency: h.expectedLatency(now),
		Free:    h.hasFreeSlot(now),
		Usable:  h.slots > 0,
		Ejected: now.Before(h.ejectedUntil),
		Probing: h.probing,
	}
	v.Score = v.Latency.Seconds() * (1 + loadWeight*float64(h.outstanding)/float64(max(1, h.slots)))
	v.Score *= 1 + failurePenalty*h.failureRate
	v.Score /= h.slowStartWeight(now)
	return v
}

// slowStartWeight returns the weight of the endpoint during its slow start, as a fraction of its full weight.
func (h *health) slowStartWeight(now time.Time) float64 {
	if h.slowStartAt.IsZero() {
		return 1
	}
	return min(1, max(minSlowStartWeight, float64(now.Sub(h.slowStartAt))/float64(slowStartPeriod)))
}

// expectedLatency returns the moving average of the latency, halved for each latencyHalfLife without a sample,
// so that an endpoint that was slow is tried again.
func (h *health) expectedLatency(now time.Time) time.Duration {
	if h.sampledAt.IsZero() {
		return initialLatency
	}
	idle := now.Sub(h.sampledAt)
	if idle < latencyHalfLife {
		return h.latency
	}
	return time.Duration(float64(h.latency) * math.Exp2(-float64(idle)/float64(latencyHalfLife)))
}

// LastGoodResponse returns the time of the last good outcome, or zero.
func (e *Endpoint) LastGoodResponse() time.Time {
	e.health.mu.Lock()
	defer e.health.mu.Unlock()
	return e.health.lastGood
}

// Outstanding returns the number of this node's requests in flight at the endpoint.
func (e *Endpoint) Outstanding() int {
	e.health.mu.Lock()
	defer e.health.mu.Unlock()
	return e.health.outstanding
}

// Slots returns the maximum number of this node's requests in flight at the endpoint.
func (e *Endpoint) Slots() int {
	e.health.mu.Lock()
	defer e.health.mu.Unlock()
	return e.health.slots
}
