package claim

import (
	"slices"
	"time"
)

const (
	// registrationPeriod is the time between two rounds of registrations. Candidates that are gone count until the next round.
	registrationPeriod = 10 * time.Second
	// registrationTime is the time that candidates have to register in a new round.
	registrationTime = 2500 * time.Millisecond
	// ConsentAfter is the time since the latest stored statement after which an owner asks candidates for their consent. Two
	// renewals in a row have failed by then.
	ConsentAfter = 1500 * time.Millisecond
	// maxCandidates bounds the candidates of a cell. Others are not registered, and wait longer as the next owner.
	maxCandidates = 1024
)

const (
	// WorkerClockErrorPercent is the margin for clock errors, in percent of a lease: a worker's clock may be up to 2% slow, and the
	// local clock may be wrong by 0.5%.
	WorkerClockErrorPercent = 3
	// LeaseSlack is a margin added to the computed end of a lease, on top of the clock error.
	LeaseSlack = 200 * time.Millisecond
)

// LeaseEnd returns by when a lease has ended that had a length left at a time, on the local clock.
func LeaseEnd(at, left time.Duration) time.Duration {
	return at + left + left*WorkerClockErrorPercent/100 + LeaseSlack
}

// LongestLease returns the longest time that a lease may have left at a time if it is to have ended by end.
func LongestLease(at, end time.Duration) time.Duration {
	return max(0, (end-at-LeaseSlack)*100/(100+WorkerClockErrorPercent))
}

// Grants decides for the owner under one epoch until when it may extend the leases on workers. What it allows has been stated in the
// store, see Statement. Points in time are readings of boottime.Now. It is not safe for concurrent use.
type Grants struct {
	epoch int64
	// stated is for how long after it was sent a statement covers the leases that the owner extends until the next one, and
	// extended the same with the consent of all candidates.
	stated, extended time.Duration
	// limit is the time by which leases may end on workers that the newest statement does not list; 0 until one is stored that
	// allows any.
	limit time.Duration
	// serial is that of the newest statement, and stored that of the newest stored one. That one was sent at storedSent and allows leases
	// that end storedExtended later with the consent of all candidates.
	serial, stored             int64
	storedSent, storedExtended time.Duration
	// allowedSince is when the first statement was sent that allows the owner to extend leases, once it is stored.
	allowedSince time.Duration
	unanswered   []sentStatement
	// round is the round of registrations since roundSince, and oldestRound the oldest one that counts.
	round, oldestRound int64
	roundSince         time.Duration
	isReplaced         bool                 // a candidate that counts was replaced
	candidates         map[string]Candidate // by ID
	// consents are the serials up to which candidates have consented to leases beyond the statements. isExtended is set once all have
	// consented to any that may be stored, until a statement is stored that covers the limit.
	consents   map[string]int64
	isExtended bool
}

// Candidate is a process that may be the next owner. ID identifies the process, and Address is where it serves calls from other nodes.
type Candidate struct {
	ID, Address string
	round       int64
}

// sentStatement is a statement whose outcome is not known, and when it was sent.
type sentStatement struct {
	serial, oldestRound int64
	sent                time.Duration
	others, extended    time.Duration
	grants              bool
}

// NewGrants returns the grants of a new owner. serial is that of the newest statement under its claim, and maxLease the longest lease
// on a worker.
func NewGrants(epoch, serial int64, maxLease, now time.Duration) *Grants {
	lease := LeaseEnd(0, min(maxLease, MaxGrantedLease))
	return &Grants{
		epoch: epoch, serial: serial, stored: serial, storedSent: now, stated: min(lease+RenewInterval, maxStatedGrant), extended: lease + WorkerRenewalGrace,
		round: 1, oldestRound: 1, roundSince: now, candidates: make(map[string]Candidate), consents: make(map[string]int64),
	}
}

// maxStatedGrant bounds the time after a statement by which the leases have ended that the owner extends until the next one. A
// long-running task has to run again within 9 s, whatever the length of leases.
const maxStatedGrant = 6900 * time.Millisecond

// Limit returns the time by which leases may end on workers that the newest statement does not list.
func (g *Grants) Limit() time.Duration { return g.limit }

// Allowed reports whether a statement is stored that allows the owner to extend leases.
func (g *Grants) Allowed() bool { return g.limit > 0 }

// Extended reports whether all candidates have consented to leases beyond the newest stored statement.
func (g *Grants) Extended() bool { return g.isExtended }

// Stated returns for how long after it was sent a statement covers the leases that the owner extends until the next one.
func (g *Grants) Stated() time.Duration { return g.stated }

// Stored returns the serial of the newest stored statement.
func (g *Grants) Stored() int64 { return g.stored }

// Serial returns the serial of the newest statement.
func (g *Grants) Serial() int64 { return g.serial }

// Next returns the statement with which a renewal or a release is sent now, with the workers that it lists. othersEnd is when
// all leases on workers that are not listed have ended, as far as they have been extended. extends is set if the owner is to extend
// leases from now on; once it has been, it stays so until the release.
func (g *Grants) Next(othersEnd time.Duration, listed []StatedLease, extends bool, now time.Duration) Statement {
	g.serial++
	g.beginRound(now)
	s := Statement{Epoch: g.epoch, End: g.epoch, Serial: g.serial, Others: max(0, othersEnd-now)}
	for _, w := range listed {
		s.list(w)
	}
	if extends {
		s.Others = max(s.Others, g.stated, g.limit-now)
		if s.Extended = s.Others; g.Allowed() && now >= g.allowedSince+registrationTime { // candidates have had the time to register
			s.Extended = max(s.Others, g.extended)
		}
		s.Round, s.OldestRound = g.round, g.countedRound(now)
	} else {
		s.Extended = s.Others
	}
	g.unanswered = append(g.unanswered, sentStatement{serial: s.Serial, oldestRound: s.OldestRound, sent: now, others: s.Others, extended: s.Extended, grants: extends})
	return s
}

// StatementNotStored records that the store has certainly not stored the statement with a serial.
func (g *Grants) StatementNotStored(serial int64) {
	g.unanswered = slices.DeleteFunc(g.unanswered, func(u sentStatement) bool { return u.serial == serial })
}

// newestInDoubt returns the highest serial of a statement that is stored or may be.
func (g *Grants) newestInDoubt() int64 {
	if len(g.unanswered) == 0 {
		return g.stored
	}
	return max(g.stored, g.unanswered[len(g.unanswered)-1].serial)
}

// beginRound begins a new round of registrations if it is time.
func (g *Grants) beginRound(now time.Duration) {
	if now >= g.roundSince+registrationPeriod || g.isReplaced && now >= g.roundSince+registrationTime {
		g.round, g.roundSince, g.isReplaced = g.round+1, now, false
	}
}

// countedRound returns the oldest round of registrations that counts once a statement is stored that is sent now.
func (g *Grants) countedRound(now time.Duration) int64 {
	if now >= g.roundSince+registrationTime {
		return g.round
	}
	return max(1, g.round-1)
}

// StatementStored records that the store has the statement with a serial, and so none of the earlier ones that had no answer as the
// newest.
func (g *Grants) StatementStored(serial int64) {
	i := slices.IndexFunc(g.unanswered, func(u sentStatement) bool { return u.serial == serial })
	if i < 0 {
		return
	}
	s := g.unanswered[i]
	g.unanswered = g.unanswered[i+1:]
	g.stored, g.storedSent, g.storedExtended, g.oldestRound = serial, s.sent, s.extended, s.oldestRound
	if s.grants {
		if !g.Allowed() {
			g.allowedSince = s.sent
		}
		g.limit = max(g.limit, s.sent+s.others)
	}
	// A statement that was sent before the limit was raised does not cover it for candidates that register now.
	g.isExtended = g.isExtended && g.limit > s.sent+s.others
	for id, c := range g.candidates {
		if c.round < g.oldestRound {
			delete(g.candidates, id)
			delete(g.consents, id)
		}
	}
}

// Candidates returns the number of registered candidates.
func (g *Grants) Candidates() int { return len(g.candidates) }

// Register registers a candidate and returns the round; ok is false if it cannot be registered now. A candidate that it replaces, at the
// same address, counts until a round without it: it may have claimed the cell before it ended.
func (g *Grants) Register(id, address string) (round int64, ok bool) {
	if _, known := g.candidates[id]; g.isExtended || !known && len(g.candidates) >= maxCandidates {
		return 0, false
	}
	g.candidates[id] = Candidate{ID: id, Address: address, round: g.round}
	for other, c := range g.candidates {
		g.isReplaced = g.isReplaced || other != id && c.Address == address
	}
	return g.round, true
}

// ConsentsNeeded returns the candidates whose consent is missing for leases beyond the newest statement, and its serial. There are
// none while statements are stored in time, or before the owner may extend leases at all.
func (g *Grants) ConsentsNeeded(now time.Duration) (missing []Candidate, serial int64) {
	if !g.Allowed() || g.isExtended || now < g.storedSent+ConsentAfter {
		return nil, g.serial
	}
	g.extend(now)
	for id, c := range g.candidates {
		if g.consents[id] < g.newestInDoubt() && !g.isExtended {
			missing = append(missing, c)
		}
	}
	return missing, g.serial
}

// Consented records the consent of a candidate to leases beyond the statement with a serial.
func (g *Grants) Consented(id string, serial int64, now time.Duration) {
	if serial > g.serial {
		return
	}
	g.consents[id] = max(g.consents[id], serial)
	g.extend(now)
}

// extend raises the limit if all candidates have consented.
func (g *Grants) extend(now time.Duration) {
	if !g.Allowed() || g.isExtended || now < g.storedSent+ConsentAfter {
		return
	}
	for id := range g.candidates {
		if g.consents[id] < g.newestInDoubt() {
			return
		}
	}
	g.isExtended = true
	g.limit = max(g.limit, g.storedSent+g.storedExtended)
}
