package cellnode

import (
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cell"
	"cactuswall.example/cactuswall/internal/claim"
)

const (
	// unloadedExtensionDelay is how long after its claim an owner begins to extend leases if it has not loaded the state by then. After
	// loading, its statements list the workers that it has not reached.
	unloadedExtensionDelay = 500 * time.Millisecond
	// statementInterval is the minimum time between two statements that are written before a renewal of the claim is due.
	statementInterval = 200 * time.Millisecond
	// maxStateWait is the longest time for which a renewal of the claim waits for the state of the cell, and lockRetryDelay the time
	// between two attempts to get hold of it.
	maxStateWait   = 100 * time.Millisecond
	lockRetryDelay = 2 * time.Millisecond
)

// leaseEnds returns the ends of leases for the cell of a new owner.
func leaseEnds(wait claim.LeaseWait) cell.LeaseEnds {
	ends := cell.LeaseEnds{Others: wait.Others, Workers: make(map[string]cell.WorkerLease, len(wait.Workers))}
	for id, w := range wait.Workers {
		ends.Workers[id] = cell.WorkerLease{StartedAtMS: w.StartedAtMS, End: w.End}
	}
	return ends
}

// wantStatement has a statement written soon if one is due.
func (m *membership) wantStatement() {
	select {
	case m.statementWanted <- struct{}{}:
	default:
	}
}

// statementDue reports whether the owner on this node has to write a statement before the next renewal of the claim is due: it may
// begin to extend leases, or workers have got out of touch or are back.
func (m *membership) statementDue() bool {
	o := m.owner.Load()
	if o == nil || !o.mu.TryLock() {
		return false
	}
	defer o.mu.Unlock()
	o.grantsMu.Lock()
	defer o.grantsMu.Unlock()
	now := boottime.Now()
	if now < o.statedAt+statementInterval {
		return false
	}
	if !o.grants.Allowed() {
		return o.mayExtend(now)
	}
	o.cell.SetTime(now, time.Now())
	return o.loaded && o.cell.StatementOutdated(o.longestLease(now))
}

// mayExtend reports whether the owner is ready to extend leases. The caller holds mu.
func (o *owner) mayExtend(now time.Duration) bool {
	return o.loaded || o.cell.WorkerCount() > 0 && now >= o.claimedAt+unloadedExtensionDelay
}

// longestLease returns by when leases end that the next statement covers without listing their workers. The caller holds grantsMu.
func (o *owner) longestLease(now time.Duration) time.Duration {
	return max(now+o.grants.Stated(), o.grants.Limit())
}

// statementFor returns the statement about leases that is stored with a record of the claim which is about to be sent. composed is false
// if the owner, which may be nil, does not act under that claim.
func (o *owner) statementFor(r claim.Record) (s claim.Statement, composed bool) {
	if o == nil || o.epoch != r.Epoch || o.panicked.Load() {
		return claim.Statement{}, false
	}
	return o.nextStatement(r.Released), true
}

// nextStatement returns the owner's next statement, which is about to be sent. After that of a release the owner extends nothing more. While
// the state of the cell is in use for long, as when a large one is loaded, the statement lists no workers: a renewal of the claim must
// not wait for that.
func (o *owner) nextStatement(released bool) claim.Statement {
	locked := tryLock(&o.mu, maxStateWait)
	if locked {
		defer o.mu.Unlock()
	}
	o.grantsMu.Lock()
	defer o.grantsMu.Unlock()
	now := boottime.Now()
	o.statedAt = now
	if !locked {
		return o.grants.Next(max(o.formerLeasesEnd, o.grants.Limit()), nil, !released && o.grants.Allowed(), now)
	}
	o.cell.SetTime(now, time.Now())
	extends := !released && (o.grants.Allowed() || o.mayExtend(now))
	listed, others := o.cell.StateLeases(o.grants.Serial()+1, o.longestLease(now))
	return o.grants.Next(others, listed, extends, now)
}

// tryLock locks a mutex unless that takes longer than a time, and reports whether it has.
func tryLock(mu *sync.Mutex, most time.Duration) bool {
	for end := time.Now().Add(most); !mu.TryLock(); time.Sleep(lockRetryDelay) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// applyGrants passes on to the cell which leases may be extended until when, and reports whether any may. The caller holds mu.
func (o *owner) applyGrants() (allowed bool) {
	o.grantsMu.Lock()
	defer o.grantsMu.Unlock()
	o.cell.LeasesStored(o.grants.Stored(), o.grants.Limit())
	return o.grants.Allowed()
}

// statementStored records that the store has a statement of an owner on this node.
func (m *membership) statementStored(s claim.Statement) {
	o := m.owner.Load()
	if o == nil || o.epoch != s.Epoch {
		return
	}
	o.grantsMu.Lock()
	defer o.grantsMu.Unlock()
	if s.Serial > o.grants.Stored() {
		o.grants.StatementStored(s.Serial)
	}
}

// statementNotStored records that the store has certainly not stored a statement of an owner on this node.
func (m *membership) statementNotStored(s claim.Statement) {
	o := m.owner.Load()
	if o == nil || o.epoch != s.Epoch {
		return
	}
	o.grantsMu.Lock()
	defer o.grantsMu.Unlock()
	o.grants.StatementNotStored(s.Serial)
}

// confirmStatement records a statement of an owner on this node that was stored without an answer and has been read back.
func (m *membership) confirmStatement() {
	m.mu.Lock()
	s, known := m.view.Statement()
	owns := m.view.Owns()
	m.mu.Unlock()
	if known && owns {
		m.statementStored(s)
	}
}
