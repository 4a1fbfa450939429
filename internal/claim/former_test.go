package claim

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

// leaseOnSlowClock is how long the longest lease lasts on a worker whose clock is 2% slow.
const (
	longestLease     = 6 * time.Second
	leaseOnSlowClock = longestLease * 102 / 100
)

// After two changes of owner in a row, tasks started while the first owner's leases were still in force: the third owner
// only counted with the second one's.
func TestThirdOwnerWaitsForLeasesOfFirstOwner(t *testing.T) {
	first := Record{Holder: "a-1", Node: "a", Address: "a:1", Epoch: 4}
	second := Record{Holder: "b-1", Node: "b", Address: "b:1", Epoch: 5}
	released := second
	released.Released = true
	const lastRenewal, takenOver, secondEnds = 10 * time.Second, 13 * time.Second, 13200 * time.Millisecond
	const firstLeasesEnd = lastRenewal + WorkerRenewalGrace + leaseOnSlowClock
	for _, c := range []struct {
		situation string
		third     *View
		claimAt   time.Duration
		end       func(v *View)
	}{
		{"the second owner released the cell", NewView("c-1", "c", 0), secondEnds,
			func(v *View) { v.Observe(encodedRecord(released, 2), 3, secondEnds) }},
		{"the second owner's process was replaced on the same node", NewView("b-2", "b", 0), secondEnds, func(*View) {}},
		{"the second owner is no longer heard of", NewView("c-1", "c", 0), takenOver + LeaseDuration, func(*View) {}},
	} {
		Convey("The first owner is cut off, and "+c.situation+":", t, func() {
			c.third.Observe(encodedRecord(first, 0), 1, lastRenewal)
			c.third.Observe(encodedRecord(second, 1), 2, takenOver)
			c.end(c.third)
			Convey("a node that followed the claim waits for the leases of both", func() {
				So(c.third.ShouldClaim(c.claimAt), ShouldBeTrue)
				So(c.third.LeaseWait(longestLease, c.claimAt).End, ShouldBeGreaterThanOrEqualTo, firstLeasesEnd)
				Convey("and so does the owner after it", func() {
					claimed := c.third.NextClaim("c", "c:1")
					c.third.Accepted(claimed, store.AppendResult{End: 4}, c.claimAt, c.claimAt)
					claimed.Released = true
					c.third.Accepted(claimed, store.AppendResult{End: 5}, c.claimAt, c.claimAt)
					So(c.third.LeaseWait(longestLease, c.claimAt).End, ShouldBeGreaterThanOrEqualTo, firstLeasesEnd)
				})
			})
		})
	}
}

// written returns the records that a claim, renewal or release by v appends at the given time.
func written(v *View, r Record, offset store.Offset, now time.Duration) []store.Record {
	var records []store.Record
	if former, stored := v.NextFormerRenewals(r.Epoch, now); stored {
		value, err := recordcodec.Encode(&former)
		if err != nil {
			panic(err)
		}
		records = append(records, store.Record{Key: FormerRenewalsKey, Value: value, Offset: offset})
		v.ApplyFormerRenewals(former, now)
		offset++
	}
	records = append(records, encodedRecord(r, offset)...)
	v.Accepted(r, store.AppendResult{End: offset + 1}, now, now)
	return records
}

// A node that started after the first change of owner had never read the first owner's claim.
func TestProcessThatNeverReadFirstClaimWaitsForItsLeases(t *testing.T) {
	const lastRenewal, takenOver, releasedAt = 10 * time.Second, 13 * time.Second, 13200 * time.Millisecond
	const firstLeasesEnd = lastRenewal + WorkerRenewalGrace + leaseOnSlowClock
	Convey("The first owner is cut off, the second one takes over and releases the cell:", t, func() {
		second := NewView("b-1", "b", 0)
		second.Observe(encodedRecord(Record{Holder: "a-1", Node: "a", Epoch: 4}, 0), 1, lastRenewal)
		claimed := second.NextClaim("b", "b:1")
		records := written(second, claimed, 1, takenOver)
		released := claimed
		released.Released = true
		Convey("a node that reads the newest records only waits for the first owner's leases", func() {
			third := NewView("c-1", "c", 0)
			third.Observe(written(second, released, 5, releasedAt), 9, releasedAt)
			So(third.ShouldClaim(releasedAt), ShouldBeTrue)
			So(third.LeaseWait(longestLease, releasedAt).End, ShouldBeGreaterThanOrEqualTo, firstLeasesEnd)
		})
		Convey("a node that reads the claim late does not expect leases that lasted longer", func() {
			third := NewView("c-1", "c", 0)
			third.Observe(records, 3, takenOver)
			third.Observe(written(second, released, 5, releasedAt), 9, releasedAt)
			So(third.LeaseWait(longestLease, releasedAt).End, ShouldBeLessThan, firstLeasesEnd+time.Second)
		})
		Convey("once the first owner's renewals have ended, its leases do not delay the owners that follow", func() {
			const later = lastRenewal + WorkerRenewalGrace + time.Second
			third := NewView("c-1", "c", 0)
			third.Observe(written(second, claimed, 5, later), 9, later)
			third.Observe(written(second, released, 9, later), 12, later)
			So(third.LeaseWait(longestLease, later).End, ShouldEqual, LeasesExpiredBy(later, longestLease))
			_, stored := second.NextFormerRenewals(claimed.Epoch, later+RenewInterval)
			So(stored, ShouldBeFalse)
		})
	})
}
