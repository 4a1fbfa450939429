package straggler

import (
	"math"
	"time"
)

const (
	// binsPerDoubling is the number of bins of a distribution for each doubling of the run time. The bins are wide enough
	// to fill quickly and narrow enough to tell a normal run from one that takes twice as long.
	binsPerDoubling = 4
	// binCount bins cover the multiples from minMultiple to about 200; others count in the first or last bin.
	binCount    = 48
	minMultiple = 1.0 / 16
	// maxRuns is the number of runs at which all counts are halved, so that a distribution follows changes.
	maxRuns = 400
	// maxKinds limits the memory for kinds, whose names callers choose.
	maxKinds = 512
)

// RunTimes holds the learned distributions of run times by kind of task, in multiples of a unit that the caller chooses for
// each run, such as the estimate of its step. It is not safe for concurrent use.
type RunTimes struct {
	kinds map[string]*distribution
	turn  int64 // counts the calls of Observe
}

// distribution is a histogram of multiples with bins of equal width on a logarithmic scale.
type distribution struct {
	counts   [binCount]float32
	total    float32
	lastTurn int64
}

// NewRunTimes returns an empty set of distributions.
func NewRunTimes() *RunTimes { return &RunTimes{kinds: make(map[string]*distribution)} }

// Observe adds the run time of a task that succeeded. A unit of 0 is ignored.
func (t *RunTimes) Observe(kind string, ran, unit time.Duration) {
	if ran <= 0 || unit <= 0 {
		return
	}
	t.turn++
	d := t.kinds[kind]
	if d == nil {
		if len(t.kinds) >= maxKinds {
			t.dropOldest()
		}
		d = &distribution{}
		t.kinds[kind] = d
	}
	d.lastTurn = t.turn
	d.counts[binOf(float64(ran)/float64(unit))]++
	d.total++
	if d.total >= maxRuns {
		d.total = 0
		for i := range d.counts {
			d.counts[i] /= 2
			d.total += d.counts[i]
		}
	}
}

// dropOldest removes the kind that was not observed for longest.
func (t *RunTimes) dropOldest() {
	oldest, oldestTurn := "", int64(math.MaxInt64)
	for kind, d := range t.kinds {
		if d.lastTurn < oldestTurn {
			oldest, oldestTurn = kind, d.lastTurn
		}
	}
	delete(t.kinds, oldest)
}

// Count returns the number of run times that the distribution of a kind is based on.
func (t *RunTimes) Count(kind string) int {
	if d := t.kinds[kind]; d != nil {
		return int(d.total)
	}
	return 0
}

// Quantile returns the run time that a share q of the runs of a kind does not exceed, or 0 if nothing is known of the kind.
func (t *RunTimes) Quantile(kind string, q float64, unit time.Duration) time.Duration {
	d := t.kinds[kind]
	if d == nil || d.total == 0 {
		return 0
	}
	sum := float32(0)
	for i, count := range d.counts {
		sum += count
		if sum >= float32(q)*d.total {
			return scale(unit, centre(i))
		}
	}
	return scale(unit, centre(binCount-1))
}

// Remaining returns the mean remaining time of the runs of a kind that took longer than elapsed. known is false if there
// was none.
func (t *RunTimes) Remaining(kind string, elapsed, unit time.Duration) (remaining time.Duration, known bool) {
	d := t.kinds[kind]
	if d == nil || unit <= 0 {
		return 0, false
	}
	count, sum := 0.0, 0.0
	for i := binOf(float64(elapsed)/float64(unit)) + 1; i < binCount; i++ {
		count += float64(d.counts[i])
		sum += float64(d.counts[i]) * centre(i)
	}
	if count < 1 {
		return 0, false
	}
	return max(0, scale(unit, sum/count)-elapsed), true
}

func binOf(multiple float64) int {
	if multiple <= minMultiple {
		return 0
	}
	return min(binCount-1, int(math.Log2(multiple/minMultiple)*binsPerDoubling))
}

// centre returns the multiple in the middle of a bin.
func centre(bin int) float64 {
	return minMultiple * math.Exp2((float64(bin)+0.5)/binsPerDoubling)
}

func scale(unit time.Duration, multiple float64) time.Duration {
	return time.Duration(float64(unit) * multiple)
}
