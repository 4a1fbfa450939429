package placedelay

import (
	"math"
	"time"
)

// SlotTime returns the expected time until a task gets a slot at a place. ends are the expected times until the slots in
// use there become free, sorted. ahead is the number of tasks that wait there ahead of it, each with the expected run time
// runTime. known is false if no slot becomes free.
func SlotTime(ends []time.Duration, ahead int, runTime time.Duration) (slot time.Duration, known bool) {
	if len(ends) == 0 {
		return 0, false
	}
	// Each slot is used again by the tasks ahead, so that its further ends are a run time apart.
	return ends[ahead%len(ends)] + time.Duration(ahead/len(ends))*runTime, true
}

// minResidual is the share of its elapsed or expected run time for which a run is expected to go on at least. Run times
// scatter around what is expected, so that a run near its expected end is not about to end. With 0.1 waits ended in vain
// so often that tasks with run times that were known within a half ended up to 1.4 times as late as with a fixed wait; with
// 0.4 no scenario was more than a tenth later (trials with the simulation of the property test).
const minResidual = 0.4

// Residual returns the expected time until the end of a run.
func Residual(runTime, elapsed time.Duration) time.Duration {
	return max(runTime-elapsed, scale(max(runTime, elapsed), minResidual))
}

// loadMemory is the time constant of Load. It is longer than most tasks run, so that one long task is not taken for load,
// and shorter than a burst lasts.
const loadMemory = 10 * time.Second

// Load is the mean share of a capacity that is in use, in which older observations weigh exponentially less.
type Load struct {
	at         time.Duration
	mean, last float64
	observed   bool
}

// Observe records the share in use from now on, and returns the mean up to now. An observation that is older than the memory
// says nothing of the time since then, and is forgotten.
func (l *Load) Observe(now time.Duration, inUse float64) float64 {
	if !l.observed || now-l.at > loadMemory {
		l.observed, l.mean = true, inUse
	} else {
		l.mean += (l.last - l.mean) * (1 - math.Exp(-float64(max(0, now-l.at))/float64(loadMemory)))
	}
	l.at, l.last = now, inUse
	return l.mean
}

const (
	// runTimeWeight is the weight of a new run time in the mean.
	runTimeWeight = 0.1
	// maxKinds bounds the memory of RunTimes. The deployments have some tens of images and queues.
	maxKinds = 4096
	// maxRunTime limits expected run times. Callers can estimate any time, and the sums and products of run times must not
	// overflow; of tasks that take longer, waits need not be weighed more finely.
	maxRunTime = 24 * time.Hour
)

// Kind is a kind of tasks whose run times are alike: those of an image or, without one, of a queue, whose run times are
// multiples of the caller's estimate.
type Kind struct{ Image, Queue string }

// RunTimes are the learned mean run times by kind.
type RunTimes struct{ means map[Kind]float64 }

// Observe records that a task of a kind with an estimated run time has run for a time. Runs elsewhere than at the preferred
// place are recorded with the time that they would have taken there. A kind without an image and an estimate is not learned.
func (r *RunTimes) Observe(kind Kind, estimate, ran time.Duration) {
	unit := unitOf(kind, estimate)
	if unit <= 0 || ran <= 0 {
		return
	}
	if r.means == nil || len(r.means) >= maxKinds {
		r.means = make(map[Kind]float64)
	}
	measured := float64(ran) / float64(unit)
	if mean, known := r.means[kind]; known {
		measured = mean + runTimeWeight*(measured-mean)
	}
	r.means[kind] = measured
}

// Expected returns the expected run time of a task: what was learned for its kind or, without that, the estimate, which
// is 0 if it is unknown. It returns at most a day.
func (r *RunTimes) Expected(kind Kind, estimate time.Duration) time.Duration {
	if mean, known := r.means[kind]; known {
		if unit := unitOf(kind, estimate); unit > 0 {
			return time.Duration(min(float64(unit)*mean, float64(maxRunTime)))
		}
	}
	return min(estimate, maxRunTime)
}

// unitOf returns the unit of the run times of a kind.
func unitOf(kind Kind, estimate time.Duration) time.Duration {
	if kind.Image != "" {
		return time.Second
	}
	return estimate
}

// GangSlot returns the expected time until a place has slots for all members of a gang at once. ends are the times until
// each slot becomes free, sorted, 0 for the free ones; ahead is the number of slots that tasks use which wait there ahead
// of the gang. known is false if the place does not have so many slots.
func GangSlot(ends []time.Duration, members, ahead int) (slot time.Duration, known bool) {
	if members < 1 || len(ends) < members+ahead {
		return 0, false
	}
	return ends[members+ahead-1], true
}
