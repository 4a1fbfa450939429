package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one disturbance of the schedule. Target is a number that is taken modulo the number of possible targets.
type Fault struct {
	At       time.Duration `json:"at"`
	Kind     string        `json:"kind"`
	Target   int           `json:"target"`
	Duration time.Duration `json:"duration"`
	// Offset is how long after the loss of a worker its owner is killed; it may be negative.
	Offset time.Duration `json:"offset,omitempty"`
}

const (
	// quietStart and quietEnd are the times without new faults at the beginning and at the end of the traffic.
	quietStart = 3 * time.Second
	quietEnd   = 3 * time.Second
	// faultInterval is the mean time between two faults.
	faultInterval = 1200 * time.Millisecond
	// seriesLength is the number of faults of one kind when they come as a series, seriesInterval the time between them.
	seriesLength   = 4
	seriesInterval = 2500 * time.Millisecond
	seriesShare    = 0.12
	// maxFaultDuration is the longest time for which a fault lasts: longer than leases.
	maxFaultDuration = 9 * time.Second
	maxTarget        = 1 << 20
	// firstLoss and lossInterval leave time for the deployment to settle before each loss of a worker and its owner.
	firstLoss    = 12 * time.Second
	lossInterval = 26 * time.Second
	// maxLossOffset is the longest time between the loss of a worker and the end of its owner.
	maxLossOffset = 2 * time.Second
)

// storeAway are the times for which the store may be down when a worker and its owner are lost.
var storeAway = []time.Duration{0, 3 * time.Second, 6 * time.Second}

// NewSchedule returns the faults of a seed, in the order of their times. They overlap, and some come as a series. Losses of a worker and its
// owner do not change the other faults.
func NewSchedule(seed uint64, duration time.Duration, kinds []string) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var faults []Fault
	if i := slices.Index(kinds, lossKind); i >= 0 {
		faults = lossSchedule(seed, duration)
		kinds = slices.Delete(slices.Clone(kinds), i, i+1)
	}
	at := quietStart
	for len(kinds) > 0 {
		at += time.Duration(random.ExpFloat64() * float64(faultInterval))
		if at >= duration-quietEnd {
			break
		}
		f := Fault{At: at, Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(maxTarget), Duration: drawDuration(random)}
		faults = append(faults, f)
		if random.Float64() >= seriesShare {
			continue
		}
		for i := 1; i < seriesLength; i++ {
			next := f
			next.At, next.Target = f.At+time.Duration(i)*seriesInterval, random.IntN(maxTarget)
			next.Duration = min(drawDuration(random), seriesInterval)
			if next.At < duration-quietEnd {
				faults = append(faults, next)
			}
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// lossSchedule returns the losses of a worker and its owner.
func lossSchedule(seed uint64, duration time.Duration) (faults []Fault) {
	random := rand.New(rand.NewPCG(seed, 5))
	for at := firstLoss; at+maxLossOffset+lossLimit < duration-quietEnd; at += lossInterval {
		faults = append(faults, Fault{At: at, Kind: lossKind, Target: random.IntN(maxTarget), Duration: storeAway[random.IntN(len(storeAway))],
			Offset: time.Duration(random.Int64N(int64(2*maxLossOffset))) - maxLossOffset})
	}
	return faults
}

// drawDuration returns a duration of which most are short and some are longer than leases.
func drawDuration(random *rand.Rand) time.Duration {
	return min(maxFaultDuration, 200*time.Millisecond+time.Duration(random.ExpFloat64()*float64(2*time.Second)))
}
