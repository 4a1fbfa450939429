package interference

import (
	"time"

	"cactuswall.example/cactuswall/internal/platform"
)

const (
	// MinStepInterval is the minimum time between two rounds of steps on the same worker. It exceeds the lag of
	// the measurements, so that the effect of one round is visible before the next.
	MinStepInterval = 3 * time.Second
	// relaxThreshold is the latency ratio (latency as a multiple of its target) up to which throttles are
	// relaxed. The gap to 1 provides hysteresis.
	relaxThreshold = 0.75
	// relaxDelay is the initial time for which the latency ratio must stay low before a throttle is relaxed.
	relaxDelay = 15 * time.Second
	// maxRelaxDelay is the upper limit of the relax delay, which doubles after each relaxation that raises the
	// ratio above 1 again.
	maxRelaxDelay = 4 * time.Minute
	// throttleFactor divides a run's Throttle (the fraction of its reservation that it may use) at each
	// throttling step and multiplies it at each relaxation; minThrottle is the lowest Throttle.
	throttleFactor = 2.0
	minThrottle    = 0.25
	// jointThrottleFraction is the fraction of the highest impact from which a run is throttled together with
	// the most harmful one.
	jointThrottleFraction = 0.5
	// smoothingWeight is the weight of a new measurement in the exponential moving average of the latency
	// ratio.
	smoothingWeight = 0.5
)

// Aggressor is a batch run that shares a worker with services.
type Aggressor struct {
	Run  platform.RunID
	Kind string
	// Impact is the predicted impact of the run on the services when it is not throttled. It has no fixed unit:
	// callers pass slowdown times milli-processors, and only the ratios between runs matter.
	Impact float64
	// Throttle is the fraction of its reservation that the run may use, 1 for no limit.
	Throttle float64
	// Movable reports whether the run may be stopped and placed on another worker.
	Movable bool
}

// currentImpact returns the predicted impact at the run's current throttle, in the unit of Impact.
func (a *Aggressor) currentImpact() float64 { return a.Impact * a.Throttle }

// Step is one action on a batch run: a change of its throttle, or a move to another worker.
type Step struct {
	Run platform.RunID
	// Throttle is the new fraction of its reservation that the run may use. It is valid only if Move is not set.
	Throttle float64
	Move     bool
}

// workerState is the control state of one worker.
type workerState struct {
	// smoothedRatio is the exponential moving average of the latency ratio.
	smoothedRatio float64
	// lastStepAt is the time of the last steps on the worker, zero if there were none.
	lastStepAt time.Time
	// lowSince is the time since which the latency ratio has been at most relaxThreshold, or the time of the
	// last relaxation if that is later. It is zero while the latency ratio is higher.
	lowSince time.Time
	// relaxDelay is the time for which the latency ratio must stay low before the next relaxation.
	relaxDelay time.Duration
	// relaxedAt is the time of the last relaxation, zero if there was none or if it has already doubled
	// relaxDelay.
	relaxedAt time.Time
}

// Controller decides for each worker which batch runs to throttle, relax or move. Its methods are not safe
// for concurrent use.
type Controller struct {
	workers map[string]*workerState
}

// NewController returns a Controller without any history.
func NewController() *Controller { return &Controller{workers: make(map[string]*workerState)} }

// Forget removes the state of a worker.
func (c *Controller) Forget(worker string) { delete(c.workers, worker) }

// Update takes the highest latency among the services on a worker, each as a multiple of its target, and
// returns the next steps, or nil if none is due or possible. It returns nil within MinStepInterval of the
// last steps on the worker. Runs are throttled first and moved only when no run can be throttled further. If
// the smoothed latency exceeds the target within the relax delay after a relaxation, that delay doubles, up
// to maxRelaxDelay.
func (c *Controller) Update(worker string, measured float64, aggressors []Aggressor, now time.Time) []Step {
	w := c.workers[worker]
	if w == nil {
		w = &workerState{smoothedRatio: measured, relaxDelay: relaxDelay}
		c.workers[worker] = w
	}
	w.smoothedRatio += smoothingWeight * (measured - w.smoothedRatio)
	if now.Sub(w.lastStepAt) < MinStepInterval {
		return nil
	}
	if w.smoothedRatio > 1 {
		w.lowSince = time.Time{}
		return w.throttleOrMove(aggressors, now)
	}
	if w.smoothedRatio > relaxThreshold {
		w.lowSince = time.Time{}
		return nil
	}
	if w.lowSince.IsZero() {
		w.lowSince = now
	}
	if now.Sub(w.lowSince) < w.relaxDelay {
		return nil
	}
	return w.relax(aggressors, now)
}

// throttleOrMove throttles the most harmful runs that are above minThrottle. If there are none, it moves the
// most harmful movable run.
func (w *workerState) throttleOrMove(aggressors []Aggressor, now time.Time) []Step {
	if !w.relaxedAt.IsZero() && now.Sub(w.relaxedAt) < w.relaxDelay {
		w.relaxDelay = min(2*w.relaxDelay, maxRelaxDelay)
		w.relaxedAt = time.Time{}
	}
	throttleable := func(a Aggressor) bool { return a.Throttle > minThrottle }
	if worst := mostHarmful(aggressors, throttleable); worst != nil {
		w.lastStepAt = now
		var steps []Step
		for _, a := range aggressors {
			if throttleable(a) && a.currentImpact() >= worst.currentImpact()*jointThrottleFraction {
				steps = append(steps, Step{Run: a.Run, Throttle: max(a.Throttle/throttleFactor, minThrottle)})
			}
		}
		return steps
	}
	worst := mostHarmful(aggressors, func(a Aggressor) bool { return a.Movable })
	if worst == nil {
		return nil
	}
	w.lastStepAt = now
	return []Step{{Run: worst.Run, Move: true}}
}

// relax multiplies the Throttle of the least harmful throttled run by throttleFactor, up to 1. It does nothing if
// no run is throttled.
func (w *workerState) relax(aggressors []Aggressor, now time.Time) []Step {
	var leastHarmful *Aggressor
	for i := range aggressors {
		a := &aggressors[i]
		if a.Throttle < 1 && (leastHarmful == nil || a.Impact < leastHarmful.Impact) {
			leastHarmful = a
		}
	}
	if leastHarmful == nil {
		return nil
	}
	w.lastStepAt, w.relaxedAt, w.lowSince = now, now, now
	return []Step{{Run: leastHarmful.Run, Throttle: min(leastHarmful.Throttle*throttleFactor, 1)}}
}

// mostHarmful returns the matching run with the highest impact at its current throttle, or nil.
func mostHarmful(aggressors []Aggressor, match func(Aggressor) bool) *Aggressor {
	var worst *Aggressor
	for i := range aggressors {
		a := &aggressors[i]
		if match(*a) && (worst == nil || a.currentImpact() > worst.currentImpact()) {
			worst = a
		}
	}
	return worst
}
