package interference

import (
	"time"

	"cactuswall.example/cactuswall/internal/platform"
)

const (
	// ReactionTime is the time between two steps against the same worker. It exceeds the lag of the
	// measurements, so that each step sees the effect of the one before.
	ReactionTime = 3 * time.Second
	// calmPressure is the pressure below which throttles are eased. The gap to 1 is the hysteresis.
	calmPressure = 0.75
	// calmTime is how long the pressure must be low before a throttle is eased.
	calmTime = 15 * time.Second
	// maxCalmTime bounds the doubling of calmTime.
	maxCalmTime = 4 * time.Minute
	// throttleStep divides the share at each step, minThrottle is the last one.
	throttleStep = 2.0
	minThrottle  = 0.25
	// sharedBlame is the part of the worst harm from which a run is throttled together with the worst.
	sharedBlame = 0.5
	// smoothing is the weight of a new measurement.
	smoothing = 0.5
)

// Aggressor is a batch run beside services.
type Aggressor struct {
	Run  platform.RunID
	Kind string
	// Harm is the predicted slowdown that the run causes at full speed.
	Harm float64
	// Throttle is the share that it is held to, 1 for none.
	Throttle float64
	// Movable runs may be stopped and placed elsewhere.
	Movable bool
}

// harmNow is the predicted slowdown at the present throttle.
func (a *Aggressor) harmNow() float64 { return a.Harm * a.Throttle }

// Step is one measure against interference on a worker.
type Step struct {
	Run platform.RunID
	// Throttle is the new share, when Move is not set.
	Throttle float64
	Move     bool
}

// pressure is the state of one worker.
type pressure struct {
	smoothed  float64
	changedAt time.Time
	calmSince time.Time
	calmTime  time.Duration
	easedAt   time.Time
}

// Controller decides on measures, worker by worker. Its methods are not safe for concurrent use.
type Controller struct {
	workers map[string]*pressure
}

// NewController returns a controller without any history.
func NewController() *Controller { return &Controller{workers: make(map[string]*pressure)} }

// Forget drops the history of a worker.
func (c *Controller) Forget(worker string) { delete(c.workers, worker) }

// React takes the measured latency of the services on a worker as a multiple of their target, and returns
// the next measures. Throttling comes first, moving second; easing takes a longer calm each time it had to
// be taken back.
func (c *Controller) React(worker string, measured float64, aggressors []Aggressor, now time.Time) []Step {
	p := c.workers[worker]
	if p == nil {
		p = &pressure{smoothed: measured, calmTime: calmTime}
		c.workers[worker] = p
	}
	p.smoothed += smoothing * (measured - p.smoothed)
	if now.Sub(p.changedAt) < ReactionTime {
		return nil
	}
	if p.smoothed > 1 {
		p.calmSince = time.Time{}
		return p.tighten(aggressors, now)
	}
	if p.smoothed > calmPressure {
		p.calmSince = time.Time{}
		return nil
	}
	if p.calmSince.IsZero() {
		p.calmSince = now
	}
	if now.Sub(p.calmSince) < p.calmTime {
		return nil
	}
	return p.ease(aggressors, now)
}

// tighten throttles the runs that do most harm and are not yet throttled all the way, or moves the most
// harmful one.
func (p *pressure) tighten(aggressors []Aggressor, now time.Time) []Step {
	if !p.easedAt.IsZero() && now.Sub(p.easedAt) < p.calmTime {
		p.calmTime = min(2*p.calmTime, maxCalmTime)
		p.easedAt = time.Time{}
	}
	throttleable := func(a Aggressor) bool { return a.Throttle > minThrottle }
	if worst := pick(aggressors, throttleable); worst != nil {
		p.changedAt = now
		var steps []Step
		for _, a := range aggressors {
			if throttleable(a) && a.harmNow() >= worst.harmNow()*sharedBlame {
				steps = append(steps, Step{Run: a.Run, Throttle: max(a.Throttle/throttleStep, minThrottle)})
			}
		}
		return steps
	}
	worst := pick(aggressors, func(a Aggressor) bool { return a.Movable })
	if worst == nil {
		return nil
	}
	p.changedAt = now
	return []Step{{Run: worst.Run, Move: true}}
}

// ease gives the least harmful throttled run one step back.
func (p *pressure) ease(aggressors []Aggressor, now time.Time) []Step {
	var mildest *Aggressor
	for i := range aggressors {
		a := &aggressors[i]
		if a.Throttle < 1 && (mildest == nil || a.Harm < mildest.Harm) {
			mildest = a
		}
	}
	if mildest == nil {
		return nil
	}
	p.changedAt, p.easedAt, p.calmSince = now, now, now
	return []Step{{Run: mildest.Run, Throttle: min(mildest.Throttle*throttleStep, 1)}}
}

// pick returns the wanted run that does most harm at its present throttle, or nil.
func pick(aggressors []Aggressor, wanted func(Aggressor) bool) *Aggressor {
	var worst *Aggressor
	for i := range aggressors {
		a := &aggressors[i]
		if wanted(*a) && (worst == nil || a.harmNow() > worst.harmNow()) {
			worst = a
		}
	}
	return worst
}
