package cell

import (
	"maps"
	"time"

	"cactuswall.example/cactuswall/internal/claim"
)

// LeaseEnds says by when the leases have ended that a run of owners, up to one of them, has extended. Points in time are on
// the local clock.
type LeaseEnds struct {
	// Others is when the leases on all workers that are not in Workers have ended.
	Others  time.Duration
	Workers map[string]WorkerLease // by worker ID
}

// WorkerLease is when the lease on an incarnation of a worker has ended. StartedAtMS is 0 if the incarnation is not known.
type WorkerLease struct {
	StartedAtMS int64
	End         time.Duration
}

// Remaining returns the leases with the times from now until they have ended, 0 for those that have. It leaves out workers
// for which Others says the same.
func (l LeaseEnds) Remaining(now time.Duration) LeaseEnds {
	remaining := LeaseEnds{Others: max(0, l.Others-now), Workers: make(map[string]WorkerLease)}
	for id, lease := range l.Workers {
		lease.End = max(0, lease.End-now)
		if lease.End != remaining.Others {
			remaining.Workers[id] = lease
		}
	}
	return remaining
}

// Received returns the ends of leases whose remaining times, as Remaining of another process returned them, were received at a
// local time. It allows for the error of both clocks; the time for which they were in transit makes the ends later.
func (l LeaseEnds) Received(at time.Duration) LeaseEnds {
	end := func(remaining time.Duration) time.Duration {
		return at + remaining + remaining*claim.WorkerClockErrorPercent/100
	}
	received := LeaseEnds{Others: end(l.Others), Workers: make(map[string]WorkerLease, len(l.Workers))}
	for id, lease := range l.Workers {
		received.Workers[id] = WorkerLease{StartedAtMS: lease.StartedAtMS, End: end(lease.End)}
	}
	return received
}

// formerLeaseEnd returns by when the lease on an incarnation of a worker has ended if no owner after the former ones has extended
// it. What is known of one incarnation says nothing of another one, which former owners' orders may have reached.
func (c *Cell) formerLeaseEnd(id string, startedAtMS int64) time.Duration {
	lease, known := c.formerLeases.Workers[id]
	switch {
	case !known:
		return min(c.formerLeasesEnd, c.formerLeases.Others)
	case lease.StartedAtMS != startedAtMS && startedAtMS != 0:
		return max(c.formerLeasesEnd, lease.End)
	}
	return lease.End
}

// SetFormerLeases applies what the former owner, whose run must have ended, knows of the leases that it and the owners before
// it have extended. The wait for workers that have not accepted this owner's token is shortened accordingly, and never prolonged.
func (c *Cell) SetFormerLeases(ends LeaseEnds) {
	before := make(map[string]time.Duration, len(c.workers))
	for id, w := range c.workers {
		before[id] = c.formerLeaseEnd(id, w.info.StartedAtMS)
	}
	c.formerLeases.Others = min(c.formerLeases.Others, ends.Others)
	for id, lease := range ends.Workers {
		if _, known := c.formerLeases.Workers[id]; !known { // otherwise this owner may have extended the lease itself
			lease.End = min(lease.End, c.formerLeasesEnd)
			c.formerLeases.Workers[id] = lease
		}
	}
	for id, w := range c.workers {
		if end := c.formerLeaseEnd(id, w.info.StartedAtMS); !w.tokenAccepted && !w.restarted && w.leaseExpiresBy == before[id] {
			w.leaseExpiresBy, w.formerLeaseEnd = end, end
			w.touch()
		}
	}
}

// LeaseEnds returns by when the leases have ended that this owner and those before it have extended. It is final once this owner
// creates no more orders.
func (c *Cell) LeaseEnds() LeaseEnds {
	ends := LeaseEnds{Others: min(c.formerLeasesEnd, c.formerLeases.Others), Workers: maps.Clone(c.formerLeases.Workers)}
	for id, w := range c.workers {
		ends.Workers[id] = WorkerLease{StartedAtMS: w.info.StartedAtMS, End: w.leaseEnd()}
	}
	return ends
}

// firstReportTime is how long after Load a worker has time for its first report, although the lease that former owners extended has
// ended. It may list ends of runs that would otherwise be repeated.
const firstReportTime = 500 * time.Millisecond

// formerLeaseEnded reports whether the runs on a worker that has not accepted the owner's token may be given up.
func (c *Cell) formerLeaseEnded(w *worker) bool {
	return c.now >= w.formerLeaseEnd && c.now >= min(c.formerLeasesEnd, c.loadedAt+firstReportTime)
}

// learnIncarnation applies the incarnation of a worker that was known by its runs alone.
func (c *Cell) learnIncarnation(w *worker, startedAtMS int64) {
	if w.info.StartedAtMS == 0 && !w.tokenAccepted && !w.restarted {
		w.formerLeaseEnd = max(w.formerLeaseEnd, c.formerLeaseEnd(w.info.ID, startedAtMS))
		w.leaseExpiresBy = max(w.leaseExpiresBy, w.formerLeaseEnd)
	}
}

// leaseEnd returns by when all leases on the worker have ended.
func (w *worker) leaseEnd() time.Duration {
	if w.tokenAccepted {
		return w.leaseExpiresBy
	}
	return max(w.leaseExpiresBy, w.formerLeaseEnd)
}

// keepLease remembers the lease on a worker that is removed if this owner may have extended it: the worker may be added again, and
// this owner or the next one may find runs on it. Leases that have ended are forgotten.
func (c *Cell) keepLease(w *worker) {
	if c.now >= c.formerLeasesEnd {
		maps.DeleteFunc(c.formerLeases.Workers, func(_ string, l WorkerLease) bool { return l.End <= c.now })
	}
	if end := w.leaseEnd(); (w.tokenAccepted || w.restarted) && (end > c.now || c.now < c.formerLeasesEnd) {
		c.formerLeases.Workers[w.info.ID] = WorkerLease{StartedAtMS: w.info.StartedAtMS, End: end}
	}
}
