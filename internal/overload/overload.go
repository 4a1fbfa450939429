// Package overload adapts the load that an owner puts on itself to the processor time that it gets. Its input is by how
// much the owner's process delays orders; its outputs are how many start orders may be unanswered at a time and how long
// a worker rests between a report and the next renewal order. Both shed work that can wait, so that renewals of leases,
// run ends and stop orders are still handled in time when the owner cannot keep up.
package overload

import "time"

const (
	// restDelay is the delay from which on workers rest between reports, and startsDelay the one from which on
	// fewer tasks are started. Resting comes first: it saves processor time without leaving work undone, since a later
	// report brings more run ends at once.
	restDelay   = 20 * time.Millisecond
	startsDelay = 200 * time.Millisecond
	// MaxStarts and minStarts limit the number of unanswered start orders.
	MaxStarts = 256
	minStarts = 16
	// raise is added to the number of start orders after each observation below startsDelay, if the number was reached.
	raise = 4
	// reduction is the factor by which the number of start orders falls when the owner is overloaded.
	reduction = 0.7
	// minReductionInterval is the minimum time between two reductions. It is longer if the delay is longer,
	// since the effect of a reduction shows only after that time.
	minReductionInterval = 100 * time.Millisecond
	// overloadedTime is how long after a reduction the owner counts as overloaded.
	overloadedTime = 5 * time.Second
	// smoothing is the weight of a new delay in the average.
	smoothing = 0.2
	// restFactor times the average delay above restDelay is the rest between a report and the next renewal order.
	restFactor = 8
	// MaxRest is the longest rest. With it, a worker is still ordered to renew twice within the longest lease.
	MaxRest = time.Second
)

// Controller holds the limits of one owner. It is not safe for concurrent use. Points in time are readings of one clock
// of the caller.
type Controller struct {
	starts    float64
	delay     time.Duration // moving average
	reducedAt time.Duration
	limited   bool // the number of start orders was reached since the last call of Observe
}

// NewController returns the limits of an owner that has not been delayed.
func NewController() *Controller { return &Controller{starts: MaxStarts} }

// Observe adapts the limits to the present delay of orders.
func (c *Controller) Observe(delay, now time.Duration) {
	c.delay += time.Duration(smoothing * float64(delay-c.delay))
	switch {
	case delay > startsDelay && now-c.reducedAt >= max(minReductionInterval, delay):
		c.reducedAt = now
		c.starts = max(minStarts, c.starts*reduction)
	case delay <= startsDelay && c.limited:
		c.starts = min(MaxStarts, c.starts+raise)
	}
	c.limited = false
}

// StartLimit returns how many start orders may be unanswered at a time.
func (c *Controller) StartLimit() int { return int(c.starts) }

// Overloaded reports whether the owner has recently had to reduce its starts.
func (c *Controller) Overloaded(now time.Duration) bool {
	return c.reducedAt != 0 && now-c.reducedAt < overloadedTime
}

// AllowedStarts returns how many start orders may be created while the given number is unanswered.
func (c *Controller) AllowedStarts(unanswered int) int {
	return max(0, c.StartLimit()-unanswered)
}

// Limited records that tasks were left waiting because AllowedStarts did not permit more.
func (c *Controller) Limited() { c.limited = true }

// Rest returns how long a worker rests between a report and the next renewal order.
func (c *Controller) Rest() time.Duration {
	return min(MaxRest, restFactor*max(0, c.delay-restDelay))
}
