package claim

import "time"

// LeaseWait is how long a new owner waits for leases on workers that it can't reach.
type LeaseWait struct {
	// End is the time by which all leases on workers that previous owners extended have expired.
	End time.Duration
	// Others and Workers, by ID, say the same of workers that are not in Workers and of those that are. They are not after End.
	Others  time.Duration
	Workers map[string]StatedEnd
	// Source says what End is derived from.
	Source LeaseWaitSource
	// Epoch and Node are the latest claim before the new one.
	Epoch int64
	Node  string
}

// StatedEnd is when the lease on an incarnation of a worker has ended. StartedAtMS is 0 if the incarnation is not known.
type StatedEnd struct {
	StartedAtMS int64
	End         time.Duration
}

// LeaseWaitSource says what the end of a wait for leases is derived from.
type LeaseWaitSource string

// The sources of the end of a wait for leases.
const (
	WaitSourceNone           LeaseWaitSource = "none"            // there was no owner before
	WaitSourceRenewal        LeaseWaitSource = "renewal"         // the latest renewal of the claim that was read
	WaitSourceRelease        LeaseWaitSource = "release"         // the release of the claim
	WaitSourceEndedProcess   LeaseWaitSource = "ended_process"   // an earlier process of the node held the claim, or this one abandoned it
	WaitSourceFormerRenewals LeaseWaitSource = "former_renewals" // the owners before the latest one may renew for longer
	WaitSourceStatement      LeaseWaitSource = "statement"       // what the latest owner has stated about leases
)

// LeaseWait returns by when all leases on workers that previous owners extended have expired, including those on workers that the
// new owner cannot reach. maxLease is the longest lease on a worker. LeaseWait must be called before the new claim is accepted.
func (v *View) LeaseWait(maxLease, now time.Duration) LeaseWait {
	if !v.hasLatest {
		return LeaseWait{End: now, Others: now, Source: WaitSourceNone}
	}
	stated, isStated := v.Statement()
	latestMaxLease := maxLease
	if isStated {
		latestMaxLease = min(maxLease, MaxGrantedLease)
	}
	former, latest := LeasesExpiredBy(v.formerRenewalsEnd(), maxLease), LeasesExpiredBy(v.latestRenewalsEnd(now), latestMaxLease)
	wait := LeaseWait{Epoch: v.latest.Epoch, Node: v.latest.Node, Source: WaitSourceRenewal, End: max(former, latest)}
	switch {
	case former > latest:
		wait.Source = WaitSourceFormerRenewals
	case v.latest.Released:
		wait.Source = WaitSourceRelease
	case v.abandonedOwnClaim(), v.heldByPreviousProcess():
		wait.Source = WaitSourceEndedProcess
	}
	wait.Others = wait.End
	if isStated {
		wait.applyStatement(&stated, v.statementReadAt, !v.candidacy.withholdsConsent(&stated))
	}
	return wait
}

// MaxGrantedLease is the longest lease that an owner grants where workers accept longer ones. What ran on a worker that is lost
// without a sign starts elsewhere only once its lease has certainly expired.
const MaxGrantedLease = 6100 * time.Millisecond
