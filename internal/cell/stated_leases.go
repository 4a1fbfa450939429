package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cactuswall.example/cactuswall/internal/claim"
)

// noLeaseLimit is Cell.leaseLimit until setLeaseLimit is called.
const noLeaseLimit = time.Duration(math.MaxInt64)

// statedLease is a lease whose end was stated to the owners that follow. It is not extended until a statement without the worker is
// stored.
type statedLease struct {
	serial int64 // of the newest statement with the worker
	end    time.Duration
}

// setLeaseLimit sets by when the leases that this owner extends may end.
func (c *Cell) setLeaseLimit(limit time.Duration) { c.leaseLimit = limit }

// StateLeases returns what the statement with a serial, which is sent now, says of leases: those on workers that are out of touch or
// last beyond longest, and when all others have ended as far as this owner and those before it have extended them. Workers that
// cannot be listed count among the others. From now on the leases that are listed are not extended, see LeasesStored. Before the
// state is loaded, which may have runs on any worker, leases that have ended are listed as well.
func (c *Cell) StateLeases(serial int64, longest time.Duration) (listed []claim.StatedLease, others time.Duration) {
	others = min(c.formerLeasesEnd, c.formerLeases.Others)
	var ends []endOfLease
	for id, w := range c.workers {
		end := w.leaseEnd()
		if end > longest || c.outOfTouch(w) && (!c.loaded || len(w.runs) > 0 && end > c.now) {
			ends = append(ends, endOfLease{id, WorkerLease{StartedAtMS: w.info.StartedAtMS, End: end}})
		} else {
			others = max(others, end)
		}
	}
	for id, lease := range c.formerLeases.Workers {
		if c.workers[id] == nil && (!c.loaded || lease.End > c.now) {
			ends = append(ends, endOfLease{id, lease})
		}
	}
	// Those that end first gain most by being listed.
	slices.SortFunc(ends, func(a, b endOfLease) int {
		return cmp.Or(cmp.Compare(a.lease.End, b.lease.End), cmp.Compare(a.id, b.id))
	})
	for i := range ends {
		e := &ends[i]
		if len(listed) >= claim.MaxStatedWorkers {
			others = max(others, e.lease.End)
			continue
		}
		listed = append(listed, claim.StatedLease{Worker: e.id, StartedAtMS: e.lease.StartedAtMS, Remaining: max(0, e.lease.End-c.now)})
		end := e.lease.End
		if s, stated := c.stated[e.id]; stated {
			end = min(end, s.end) // the earlier statement may be the newest stored one
		}
		c.stated[e.id] = statedLease{serial: serial, end: end}
	}
	return listed, others
}

// endOfLease is the end of the lease on a worker.
type endOfLease struct {
	id    string
	lease WorkerLease
}

// LeasesStored records that the newest stored statement is the one with a serial, so that the leases that this owner extends may end by
// limit. Those that only earlier statements list may be extended again.
func (c *Cell) LeasesStored(serial int64, limit time.Duration) {
	c.setLeaseLimit(limit)
	for id, s := range c.stated {
		if s.serial < serial {
			delete(c.stated, id)
			c.needsPlacement = true
		}
	}
}

// StatementOutdated reports whether the newest statement lacks workers with runs that are out of touch, or lists workers that are in
// touch again, although the next one need not: their leases end before longest.
func (c *Cell) StatementOutdated(longest time.Duration) bool {
	for id, w := range c.workers {
		stated, listed := c.stated[id]
		switch outOfTouch := c.outOfTouch(w); {
		case listed && !outOfTouch && stated.end <= longest:
			return true
		case !listed && outOfTouch && len(w.runs) > 0 && w.leaseEnd() > c.now && len(c.stated) < claim.MaxStatedWorkers:
			return true
		}
	}
	return false
}

// outOfTouch reports whether the worker does not answer this owner, or has not yet.
func (c *Cell) outOfTouch(w *worker) bool {
	return !w.tokenAccepted || w.failingSince != 0 || w.renewalInFlight && c.now > w.answerDueBy
}

// minExtension is the shortest time to the end that was stated of the lease on a worker for which it takes tasks.
const minExtension = time.Second

// takesExtension reports whether the lease on the worker lasts, or can be extended, long enough for a task to be started there, and
// whether what is stored covers the lease that it brought from another cell.
func (c *Cell) takesExtension(w *worker) bool {
	if w.handedOver && w.inheritedEnd > c.leaseLimit {
		return false
	}
	stated, listed := c.stated[w.info.ID]
	return !listed || stated.end >= c.now+minExtension
}

// extendLease extends the lease on a worker by Settings.MaxLease, but at most claim.MaxGrantedLease and as far as this owner has
// stated, from now and returns its end, on the worker's clock. It returns 0 if it may not be extended.
func (c *Cell) extendLease(w *worker) time.Duration {
	limit := c.leaseLimit
	if s, listed := c.stated[w.info.ID]; listed {
		limit = min(limit, s.end)
	}
	until := w.clockNow(c.now) + min(c.settings.MaxLease, claim.MaxGrantedLease)
	if limit < noLeaseLimit {
		until = min(until, w.clock+claim.LongestLease(w.clockAt, limit))
	}
	w.leaseExpired = false // the order may be a start, whose run has to be given up if the worker stays silent
	if until <= w.clockNow(c.now) && w.grantedUntil <= w.clockNow(c.now) {
		w.touch()
		return 0
	}
	w.grantedUntil = max(w.grantedUntil, until)
	w.updateLeaseExpiry()
	return w.grantedUntil
}

// earlierGrantedLease is the longest lease that owners of the former release grant.
const earlierGrantedLease = 6400 * time.Millisecond

// inheritedLeaseEnd returns by when the leases on a worker that accepts the token now have ended, as far as others than this owner have
// extended them: former owners or, until the worker was handed over, the owner of another cell, whose leases no statement of this
// cell covers.
func (c *Cell) inheritedLeaseEnd(w *worker) time.Duration {
	end := max(w.formerLeaseEnd, claim.LeaseEnd(c.now, earlierGrantedLease))
	return min(end, claim.LeaseEnd(c.now, c.settings.MaxLease))
}
