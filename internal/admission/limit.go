package admission

import "time"

const (
	// initialLimit is the concurrency before anything was measured.
	initialLimit = 64.0
	// minLimit is the least concurrency.
	minLimit = 4.0
	// maxLimit bounds the concurrency of one service on one node.
	maxLimit = 4096.0
	// window is the time over which latency is judged.
	window = time.Second
	// minWindowSamples is the least number of answers in a window that is judged.
	minWindowSamples = 20
	// lateShare is the part of late answers above which the limit falls.
	lateShare = 0.1
	// decrease is the factor by which the limit falls.
	decrease = 0.85
	// increaseShare is the part by which the limit grows, above one.
	increaseShare = 0.05
	// highWater is the part of the limit that must have been in use for it to grow.
	highWater = 0.8
	// sheddablePart and normalPart are the parts of the limit that the lesser classes may use.
	sheddablePart = 0.75
	normalPart    = 0.9
)

// limit is a concurrency limit that falls while too many answers miss the latency target, and grows while
// it is in use and they do not.
type limit struct {
	value  float64
	target time.Duration

	began   time.Time
	answers int
	late    int
	peak    int
}

func newLimit() *limit { return &limit{value: initialLimit} }

// allowed returns the requests that may be in flight for one more of the class to be admitted.
func (l *limit) allowed(class int) int {
	switch class {
	case 0:
		return int(l.value)
	case 1:
		return int(normalPart * l.value)
	default:
		return int(sheddablePart * l.value)
	}
}

// observe takes one answer into account.
func (l *limit) observe(now time.Time, took time.Duration, inFlight int) {
	if l.began.IsZero() {
		l.began = now
	}
	l.answers++
	l.peak = max(l.peak, inFlight)
	if l.target > 0 && took > l.target {
		l.late++
	}
	if now.Sub(l.began) < window || l.answers < minWindowSamples {
		return
	}
	switch {
	case float64(l.late) > lateShare*float64(l.answers):
		l.value = max(minLimit, decrease*l.value)
	case float64(l.peak) >= highWater*l.value:
		l.value = min(maxLimit, l.value+1+increaseShare*l.value)
	}
	l.began, l.answers, l.late, l.peak = now, 0, 0, 0
}
