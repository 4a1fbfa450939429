package cell

import "time"

// LeaseWaits counts the runs that may go on out of touch. Their tasks start elsewhere once the leases have ended.
type LeaseWaits struct {
	// Runs is the number of runs with a start order on workers that do not answer this owner, and OfFormerOwners how many of them
	// are on workers that have never answered it.
	Runs, OfFormerOwners int
	// Longest is the time until the last of the leases has ended.
	Longest time.Duration
}

// leaseWaits returns what waits for the leases on workers out of touch.
func (c *Cell) leaseWaits() LeaseWaits {
	var waits LeaseWaits
	for _, w := range c.workers {
		if w.tokenAccepted && w.failingSince == 0 {
			continue
		}
		runs := 0
		for _, r := range w.runs {
			if r.state != runPlaced && r.task.needsRunAfterLoss() {
				runs++
			}
		}
		if runs == 0 {
			continue
		}
		waits.Runs += runs
		if !w.tokenAccepted {
			waits.OfFormerOwners += runs
		}
		waits.Longest = max(waits.Longest, w.leaseExpiresBy-c.now)
	}
	return waits
}

// needsRunAfterLoss reports whether the task has to run elsewhere if the workers of its runs are lost.
func (t *task) needsRunAfterLoss() bool { return !t.done && t.group.job.live() }
