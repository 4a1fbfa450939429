// Package claim decides who owns a cell. The claim lies in a keyed topic of the store; each append to it names the
// end of the topic that its writer has read, so the first one wins.
package claim

import (
	"time"

	"cactuswall.example/cactuswall/internal/packed"
	"cactuswall.example/cactuswall/internal/store"
)

// Key is the key of the claim in the partition of its cell.
const Key = "cell"

const (
	// Lease is for how long an owner may decide after it sent a renewal that was accepted. It is well under the
	// longest lease on workers (6 s), so that a take-over ends before running work lapses.
	Lease = 2500 * time.Millisecond
	// RenewEvery leaves room for two lost renewals within the lease.
	RenewEvery = 700 * time.Millisecond
	// HoldWithoutStore is for how long after its newest renewal an owner goes on renewing leases on workers while
	// the store is out of reach. With the workers' lease, work survives a store that is away for twice this time.
	HoldWithoutStore = 5 * time.Second
	// AfterContact is how long a candidate waits once it reaches the store again, so that an owner that was
	// cut off at the same time can renew first.
	AfterContact = 1200 * time.Millisecond
	// rankDelay spreads candidates, so that the first one's claim is read before the next one tries.
	rankDelay = 120 * time.Millisecond
)

// Record is what is stored under Key.
type Record struct {
	// Holder names the process, not only the node: a restarted process holds nothing.
	Holder string
	Node   string
	// Address is where the owner answers the other nodes.
	Address  string
	Epoch    int64
	Released bool
}

// View is what one process knows of the claim on a cell. Times are those of a clock that counts suspension.
type View struct {
	holder string
	node   string
	rank   int

	newest Record
	known  bool // newest has been read
	// end is the end of the topic up to which it was read.
	end store.Offset
	// seen is when the newest record was read; a claim by anybody else may follow a lease later.
	seen time.Duration
	// contact is when the store was first reached after it was out of reach.
	contact   time.Duration
	inContact bool
	// renewed is when the newest accepted record of this process was sent.
	renewed time.Duration
	owns    bool
	// lost is the newest epoch that this process owned and acts for no more.
	lost int64
}

// NewView returns the view of a process that has read nothing. Lower ranks claim earlier.
func NewView(holder, node string, rank int) *View {
	return &View{holder: holder, node: node, rank: rank}
}

// End is the end of the topic up to which the claim was read.
func (v *View) End() store.Offset { return v.end }

// Newest returns the newest record; ok is false before the first one.
func (v *View) Newest() (r Record, ok bool) { return v.newest, v.known }

// Age is the time since the newest record was read.
func (v *View) Age(now time.Duration) time.Duration { return now - v.seen }

// Observe takes in a successful read up to end; records without the claim's key are passed over. It returns the
// number of records that could not be read.
func (v *View) Observe(records []store.Record, end store.Offset, now time.Duration) (unreadable int) {
	if !v.inContact {
		v.inContact, v.contact = true, now
	}
	for _, record := range records {
		if record.Key != Key || record.Offset < v.end {
			continue
		}
		var r Record
		if err := packed.Decode(record.Value, &r); err != nil {
			unreadable++
			continue
		}
		v.take(r, now)
	}
	v.end = max(v.end, end)
	return unreadable
}

func (v *View) take(r Record, now time.Duration) {
	if v.known && r.Epoch < v.newest.Epoch {
		return
	}
	v.newest, v.known, v.seen = r, true, now
	if r.Holder != v.holder {
		v.owns = false
	}
}

// OutOfContact notes that the store could not be read.
func (v *View) OutOfContact() { v.inContact = false }

// ShouldClaim tells whether this process should claim now.
func (v *View) ShouldClaim(now time.Duration) bool {
	if v.owns || !v.inContact {
		return false
	}
	if !v.known {
		return now >= v.contact+v.turn()
	}
	if v.newest.Released {
		return now >= v.seen+v.turn()
	}
	if v.gaveUp() {
		return now >= v.contact+v.turn()
	}
	if v.newest.Node == v.node && v.newest.Holder != v.holder {
		// A node has one process, so the former process of this node has ended.
		return now >= v.seen
	}
	return now >= max(v.seen+Lease, v.contact+AfterContact)+v.turn()
}

func (v *View) turn() time.Duration { return time.Duration(v.rank) * rankDelay }

// Next returns the record with which this process claims.
func (v *View) Next(node, address string) Record {
	return Record{Holder: v.holder, Node: node, Address: address, Epoch: v.newest.Epoch + 1}
}

// Accepted notes that the store has taken a record of this process that was sent at a time.
func (v *View) Accepted(r Record, a store.Appended, sent, now time.Duration) {
	v.take(r, now)
	v.end = max(v.end, a.End)
	// A renewal may be accepted after its owner has given up: nobody acts under that epoch any more.
	v.owns = !r.Released && r.Epoch > v.lost
	v.renewed = sent
	v.inContact = true
}

// Lose ends this process's ownership under an epoch.
func (v *View) Lose(epoch int64) {
	v.lost = max(v.lost, epoch)
	if v.newest.Holder == v.holder && v.newest.Epoch <= v.lost {
		v.owns = false
	}
}

// gaveUp tells whether the newest claim is this process's own and it acts under it no more.
func (v *View) gaveUp() bool {
	return v.newest.Holder == v.holder && !v.newest.Released && v.newest.Epoch <= v.lost
}

// Owns tells whether this process's claim stands as far as it knows.
func (v *View) Owns() bool { return v.owns }

// MayDecide tells whether this process may decide about tasks.
func (v *View) MayDecide(now time.Duration) bool { return v.owns && now < v.renewed+Lease }

// MayHold tells whether this process may still renew leases on workers.
func (v *View) MayHold(now time.Duration) bool { return v.owns && now < v.renewed+HoldWithoutStore }

// RenewalDue tells whether a renewal should be sent.
func (v *View) RenewalDue(now time.Duration) bool { return v.owns && now >= v.renewed+RenewEvery }

// LeasesEnd is when the leases that former owners renewed on workers have lapsed everywhere, also on workers that a new
// owner does not reach. It is to be asked before the claim is accepted.
func (v *View) LeasesEnd(longest, now time.Duration) time.Duration {
	switch {
	case !v.known:
		return now
	case v.newest.Released:
		return LapsedBy(v.seen, longest)
	case v.gaveUp(), v.newest.Node == v.node && v.newest.Holder != v.holder:
		return LapsedBy(now, longest)
	}
	return LapsedBy(v.seen+HoldWithoutStore, longest)
}

// LapsedBy is when the leases of an owner that renewed them until stopped have lapsed at the latest.
func LapsedBy(stopped, longest time.Duration) time.Duration {
	return stopped + longest + longest*clockErrorPercent/100 + orderDelay
}

const (
	// clockErrorPercent covers workers' clocks, which may be 2% slow, and our own.
	clockErrorPercent = 4
	// orderDelay is how long an order may be on its way.
	orderDelay = 500 * time.Millisecond
)
