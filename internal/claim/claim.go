// Package claim implements the election of a cell's owner. The claim is a record in a keyed topic of the store. Each append
// to the topic is conditional on the end offset that its writer has read, so that of several concurrent claims only the
// first succeeds. View tells one process when to claim, when to renew, and what it may do under its claim.
package claim

import (
	"time"

	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

// Key is the key of the claim in the partition of its cell.
const Key = "cell"

const (
	// LeaseDuration is how long an owner may make decisions after it sent a renewal that was accepted. It is well below the
	// longest lease on a worker (6 s), so that a new owner can renew the leases on workers before they expire.
	LeaseDuration = 2500 * time.Millisecond
	// RenewInterval is the interval between renewals. Two renewals in a row can be lost before LeaseDuration has passed.
	RenewInterval = 700 * time.Millisecond
	// WorkerRenewalGrace is how long after sending its latest accepted renewal an owner keeps renewing the leases on
	// workers while the store is unreachable. After that, tasks continue until the lease on their worker expires, so
	// that they survive a store outage of about 10 s, twice this time.
	WorkerRenewalGrace = 5 * time.Second
	// retention is how long after sending its latest accepted renewal an owner keeps the state of the cell. By then all leases that it
	// extended have ended.
	retention = 13 * time.Second
	// ReconnectDelay is how long after the store became reachable again a candidate waits before it claims, so that an
	// owner that was disconnected from the store at the same time can renew first.
	ReconnectDelay = 1200 * time.Millisecond
	// delayPerRank staggers the candidates, so that each one reads the claim of the previous one before it claims itself.
	delayPerRank = 120 * time.Millisecond
)

// Record is the claim as stored under Key. Node is the name of the owner's node. Epoch increases by one with each
// change of owner. Released is set once the owner has given up the claim.
type Record struct {
	// Holder identifies the process, not only the node, because a restarted process does not inherit the claim.
	Holder string
	Node   string
	// Address is the host:port at which the owner serves calls from other nodes.
	Address  string
	Epoch    int64
	Released bool
}

// View is the state of the claim on a cell as seen by one process. Points in time are readings of boottime.Now, a clock
// that keeps counting while the machine is suspended. A View is not safe for concurrent use.
type View struct {
	holder string
	node   string
	rank   int

	latest    Record
	hasLatest bool // latest has been read
	// readEnd is the offset up to which the topic has been read.
	readEnd store.Offset
	// latestReadAt is when the latest record was read. Other processes may claim once LeaseDuration has passed since then.
	latestReadAt time.Duration
	// reachableSince is when the store became reachable after it had been unreachable.
	reachableSince time.Duration
	reachable      bool
	// renewedAt is when the latest accepted record of this process was sent.
	renewedAt time.Duration
	// unanswered are the records of this process whose outcome is not known.
	unanswered []sentRecord
	owns       bool
	// abandonedEpoch is the latest epoch under which this process was the owner and no longer acts.
	abandonedEpoch int64

	// capacity is the processor capacity of this node, and largest the largest known one of the cell, both in thousandths
	// of a core; 0 means unknown.
	capacity, largest int64
	// delay is added to the delay before this process claims.
	delay time.Duration
	// details are the latest details read. They may belong to an earlier epoch than latest.
	details Details
	// epochReadAt is when a record with the epoch of latest was first read.
	epochReadAt time.Duration
	// request is the latest request for the cell, read at requestReadAt. requestTaken is set once TakeRequest returned it.
	request       Request
	requestReadAt time.Duration
	requestTaken  bool
	// former is the latest FormerRenewals, read at formerReadAt. It may belong to an earlier epoch than latest.
	former       FormerRenewals
	formerReadAt time.Duration
	// statement is the newest statement of an owner, which has the offset statementOffset and was read at statementReadAt. It belongs
	// to latest if it stands right before it.
	statement       Statement
	statementOffset store.Offset
	statementReadAt time.Duration
	latestOffset    store.Offset // of latest
	candidacy       candidacy
	// followedRenewalsEnd is until when the owners whose claims this process read before the latest one may renew leases
	// on workers.
	followedRenewalsEnd time.Duration
}

// NewView returns the view of a process that has not read any records yet. Processes with lower ranks claim earlier.
func NewView(holder, node string, rank int) *View {
	return &View{holder: holder, node: node, rank: rank}
}

// Reachable reports whether the newest read of the claim succeeded.
func (v *View) Reachable() bool { return v.reachable }

// End returns the offset up to which the topic has been read.
func (v *View) End() store.Offset { return v.readEnd }

// Latest returns the latest record; ok is false if none has been read yet.
func (v *View) Latest() (r Record, ok bool) { return v.latest, v.hasLatest }

// Age returns the time since the latest record was read.
func (v *View) Age(now time.Duration) time.Duration { return now - v.latestReadAt }

// Observe processes the records of a successful read up to end. Records with unknown keys are ignored. It returns the
// number of records that could not be decoded.
func (v *View) Observe(records []store.Record, end store.Offset, now time.Duration) (unreadable int) {
	if !v.reachable {
		v.reachable, v.reachableSince = true, now
	}
	for _, record := range records {
		if record.Offset < v.readEnd {
			continue
		}
		if err := v.observeRecord(record, now); err != nil {
			unreadable++
		}
	}
	v.readEnd = max(v.readEnd, end)
	v.dropSettled()
	return unreadable
}

// observeRecord decodes and processes one record.
func (v *View) observeRecord(record store.Record, now time.Duration) error {
	switch record.Key {
	case Key:
		var r Record
		if err := recordcodec.Decode(record.Value, &r); err != nil {
			return err
		}
		v.applyRecord(r, record.Offset, now)
		if r.Holder == v.holder && r.Epoch == v.latest.Epoch {
			v.confirm(r, record.Offset)
		}
	case DetailsKey:
		var d Details
		if err := recordcodec.Decode(record.Value, &d); err != nil {
			return err
		}
		v.ApplyDetails(d)
	case RequestKey:
		var r Request
		if err := recordcodec.Decode(record.Value, &r); err != nil {
			return err
		}
		v.applyRequest(r, now)
	case FormerRenewalsKey:
		var r FormerRenewals
		if err := recordcodec.Decode(record.Value, &r); err != nil {
			return err
		}
		v.ApplyFormerRenewals(r, now)
	case StatementKey:
		var s Statement
		if err := recordcodec.Decode(record.Value, &s); err != nil {
			v.statement = Statement{}
			return err
		}
		if !v.ApplyStatement(s, record.Offset, now) {
			return trace.BadParameter("statement about leases that no owner makes")
		}
	}
	return nil
}

// applyRecord makes r the latest record unless its epoch is older. The claim of another process ends the ownership of
// this one.
func (v *View) applyRecord(r Record, offset store.Offset, now time.Duration) {
	if v.hasLatest && r.Epoch < v.latest.Epoch {
		return
	}
	if v.hasLatest && r.Epoch != v.latest.Epoch {
		v.followedRenewalsEnd = v.renewalsEnd(now)
	}
	if !v.hasLatest || r.Epoch != v.latest.Epoch {
		v.epochReadAt = now
	}
	v.latest, v.latestOffset, v.hasLatest, v.latestReadAt = r, offset, true, now
	if r.Holder != v.holder {
		v.owns = false
	}
}

// StoreUnreachable records that the store could not be read.
func (v *View) StoreUnreachable() { v.reachable = false }

// ShouldClaim reports whether this process should claim the cell now: it does not own the cell, the store is reachable,
// and there is no claim or the latest one has ended. A claim has ended if it was released, if this process abandoned
// it, if an earlier process of this node held it, or if it has not been renewed for LeaseDuration. While ShouldRelease
// reports true, the claim is released first.
func (v *View) ShouldClaim(now time.Duration) bool {
	if v.owns || !v.reachable {
		return false
	}
	if !v.hasLatest {
		return now >= v.reachableSince+v.claimDelay()
	}
	if v.latest.Released {
		return now >= v.latestReadAt+v.releasedDelay()
	}
	if v.ShouldRelease() {
		return false
	}
	if v.abandonedOwnClaim() {
		return now >= v.reachableSince+v.claimDelay()
	}
	if v.heldByPreviousProcess() {
		return now >= v.latestReadAt
	}
	return now >= max(v.latestReadAt+LeaseDuration, v.reachableSince+ReconnectDelay)+v.claimDelay()
}

// NextClaim returns the record with which this process would claim the cell under the next epoch.
func (v *View) NextClaim(node, address string) Record {
	return Record{Holder: v.holder, Node: node, Address: address, Epoch: v.latest.Epoch + 1}
}

// Accepted records that the store has accepted a record of this process, the last of its append, which was sent at the given time.
func (v *View) Accepted(r Record, a store.AppendResult, sent, now time.Duration) {
	v.applyRecord(r, a.End-1, now)
	v.readEnd = max(v.readEnd, a.End)
	if r.Epoch == v.latest.Epoch { // otherwise another process has claimed the cell since
		v.accepted(r, sent)
	}
	v.dropSettled()
	v.reachable = true
}

// Abandon records that this process no longer acts as owner under the given epoch or an earlier one.
func (v *View) Abandon(epoch int64) {
	v.abandonedEpoch = max(v.abandonedEpoch, epoch)
	if v.latest.Holder == v.holder && v.latest.Epoch <= v.abandonedEpoch {
		v.owns = false
	}
}

// abandonedOwnClaim reports whether the latest claim belongs to this process but the process no longer acts under it.
func (v *View) abandonedOwnClaim() bool {
	return v.latest.Holder == v.holder && !v.latest.Released && v.latest.Epoch <= v.abandonedEpoch
}

// Owns reports whether this process holds the claim as far as it knows.
func (v *View) Owns() bool { return v.owns }

// MayDecide reports whether this process may start, stop and pace tasks and store their progress.
func (v *View) MayDecide(now time.Duration) bool { return v.owns && now < v.renewedAt+LeaseDuration }

// MayRenewWorkerLeases reports whether this process may still renew leases on workers.
func (v *View) MayRenewWorkerLeases(now time.Duration) bool {
	return v.owns && now < v.renewedAt+WorkerRenewalGrace
}

// MayContinue reports whether this process may go on as the owner once the store accepts a renewal. Until then it does not act after
// WorkerRenewalGrace, but it knows the state of the cell, and what it started may still run.
func (v *View) MayContinue(now time.Duration) bool { return v.owns && now < v.renewedAt+retention }

// RenewalDue reports whether a renewal should be sent.
func (v *View) RenewalDue(now time.Duration) bool { return v.owns && now >= v.renewedAt+RenewInterval }

// LeasesExpiredBy returns the time by which all leases on workers have expired if an owner renewed them until renewedUntil.
// It allows for clock errors and for orders in transit.
func LeasesExpiredBy(renewedUntil, maxLease time.Duration) time.Duration {
	return renewedUntil + maxLease + maxLease*clockErrorPercent/100 + maxOrderDelay
}

const (
	// clockErrorPercent is the share of a lease, in percent, by which it may last longer on this node's clock, because
	// the worker's clock may be 2% slow and this node's own clock may be wrong as well.
	clockErrorPercent = 4
	// maxOrderDelay is the maximum time for which an order can be in transit.
	maxOrderDelay = 500 * time.Millisecond
)
