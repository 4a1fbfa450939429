package admission

import "time"

const (
	// initialLimit is the concurrency limit before any latency was measured.
	initialLimit = 64.0
	// minLimit is the lower bound of the concurrency limit.
	minLimit = 4.0
	// maxLimit is the upper bound of the concurrency limit of one service on one node.
	maxLimit = 4096.0
	// windowDuration is the minimum time over which responses are collected before the limit is adjusted.
	windowDuration = time.Second
	// minWindowSamples is the minimum number of responses that are collected before the limit is adjusted.
	minWindowSamples = 20
	// maxLateFraction is the fraction of responses over the latency target above which the limit is lowered.
	maxLateFraction = 0.1
	// decreaseFactor is the factor by which the limit is lowered.
	decreaseFactor = 0.85
	// increaseFraction is the fraction of the limit that is added when it is raised, in addition to 1.
	increaseFraction = 0.05
	// minPeakFraction is the fraction of the limit that must have been in use for the limit to be raised.
	minPeakFraction = 0.8
	// sheddableFraction and normalFraction are the fractions of the limit that the classes below critical may
	// use.
	sheddableFraction = 0.75
	normalFraction    = 0.9
)

// concurrencyLimit is an adaptive limit on the requests in flight. It is lowered while too many responses
// exceed the latency target, and raised while they do not and the limit is nearly reached.
type concurrencyLimit struct {
	value         float64
	latencyTarget time.Duration

	windowStart  time.Time
	responses    int
	late         int
	peakInFlight int
}

func newConcurrencyLimit() *concurrencyLimit { return &concurrencyLimit{value: initialLimit} }

// maxInFlight returns the number of requests in flight below which a request of the class may be admitted.
// class is an index as returned by classIndex.
func (l *concurrencyLimit) maxInFlight(class int) int {
	switch class {
	case 0:
		return int(l.value)
	case 1:
		return int(normalFraction * l.value)
	default:
		return int(sheddableFraction * l.value)
	}
}

// observe records the latency of one response and the number of requests in flight when it arrived, and adjusts
// the limit at the end of a window.
func (l *concurrencyLimit) observe(now time.Time, took time.Duration, inFlight int) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.responses++
	l.peakInFlight = max(l.peakInFlight, inFlight)
	if l.latencyTarget > 0 && took > l.latencyTarget {
		l.late++
	}
	if now.Sub(l.windowStart) < windowDuration || l.responses < minWindowSamples {
		return
	}
	switch {
	case float64(l.late) > maxLateFraction*float64(l.responses):
		l.value = max(minLimit, decreaseFactor*l.value)
	case float64(l.peakInFlight) >= minPeakFraction*l.value:
		l.value = min(maxLimit, l.value+1+increaseFraction*l.value)
	}
	l.windowStart, l.responses, l.late, l.peakInFlight = now, 0, 0, 0
}
