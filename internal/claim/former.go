package claim

import "time"

// FormerRenewalsKey is the key of FormerRenewals in the partition of its cell.
const FormerRenewalsKey = "cell-former-renewals"

// FormerRenewals says for how long the owners before an epoch may still renew leases on workers. The owner stores it with its
// claim, renewals and release until that time has passed, so that the next owner waits for those leases as well, even if it
// never read the claims of their owners.
type FormerRenewals struct {
	Epoch int64
	// Remaining is the time from when the record was sent.
	Remaining time.Duration
}

// NextFormerRenewals returns the record that has to be stored with the claim, renewal or release of the given epoch which is
// sent now. needed is false if none is: the renewals of former owners have ended, and the stored record says so.
func (v *View) NextFormerRenewals(epoch int64, now time.Duration) (r FormerRenewals, needed bool) {
	end := v.formerRenewalsEnd()
	if v.hasLatest && epoch > v.latest.Epoch {
		end = v.renewalsEnd(now)
	}
	r = FormerRenewals{Epoch: epoch, Remaining: max(0, end-now)}
	return r, r.Remaining > 0 || v.former.Epoch == epoch && v.former.Remaining > 0
}

// ApplyFormerRenewals processes a record that was read at the given time, or that the store has accepted from this process
// and that was sent at that time.
func (v *View) ApplyFormerRenewals(r FormerRenewals, at time.Duration) {
	if r.Epoch >= v.former.Epoch {
		v.former, v.formerReadAt = r, at
	}
}

// renewalsEnd returns until when any owner up to the latest epoch may renew leases on workers. hasLatest must be set.
func (v *View) renewalsEnd(now time.Duration) time.Duration {
	return max(v.formerRenewalsEnd(), v.latestRenewalsEnd(now))
}

// latestRenewalsEnd returns until when the owner under the latest epoch may renew leases on workers.
func (v *View) latestRenewalsEnd(now time.Duration) time.Duration {
	switch {
	case v.latest.Released:
		return v.latestReadAt
	case v.abandonedOwnClaim(), v.heldByPreviousProcess():
		return now
	}
	return v.latestReadAt + WorkerRenewalGrace
}

// formerRenewalsEnd returns until when the owners before the latest epoch may renew leases on workers: as the latest owner
// stored it or, if it did not, as far as this process followed the claims.
func (v *View) formerRenewalsEnd() time.Duration {
	if v.former.Epoch == v.latest.Epoch {
		return v.formerReadAt + v.former.Remaining
	}
	return v.followedRenewalsEnd
}
