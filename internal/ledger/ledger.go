// Package ledger replays the record stream of a failure domain into the current shard claims and task
// attempts.
//
// Every node of the domain applies the same records in the same order and so reaches the same state. Whether
// a record is accepted depends only on the records before it in the log, never on a clock. A placement takes
// effect only when it has been read back from the log as accepted, so a task never has two open attempts.
package ledger

import (
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

// Writer identifies the process that wrote a batch. Incarnation distinguishes the processes of one node: each
// later process has a higher one.
type Writer struct {
	Node        string
	Incarnation uint64
}

// Claim is the current claim of a shard: which process owns the shard and under which token.
type Claim struct {
	Shard uint32
	Owner Writer
	// Token is the offset of the claim in the log, or 0 if the shard has never been claimed.
	Token platform.Offset
	// Revision is the offset of the claim or of its newest renewal. The next claim must name it to be
	// accepted.
	Revision platform.Offset
	// Lease is the duration of the owner's lease, counted from the claim or from its newest renewal.
	Lease time.Duration
	// SeenAt is when this node read the claim or its newest renewal.
	SeenAt time.Time
	// Released is set if the owner has released the shard.
	Released bool
	// Successor is the node that the owner named in its release to claim the shard next. It is empty
	// if there is none.
	Successor string
}

// Attempt is the newest attempt of a task. Failures and Evictions are the numbers of failed and evicted
// attempts of the task so far. Shard is the shard of the worker on which the attempt was placed.
type Attempt struct {
	Task    string
	Number  uint32
	Worker  string
	Shard   uint32
	Open    bool
	Outcome record.Outcome
	Reason  string
	// Checkpoint is the checkpoint from which the next attempt resumes, or empty. Progress is the fraction of
	// the work done at that point, from 0 to 1.
	Checkpoint string
	Progress   float64
	Failures   int
	Evictions  int
	// EndedAt is when this node read the end record.
	EndedAt time.Time
}

// Rejection is the reason why a record was not accepted. It is the value of a metric label.
type Rejection string

// The reasons for which a record is rejected. Accepted, the empty string, means that the record was accepted.
const (
	Accepted Rejection = ""
	// DuplicateBatch means that this batch or a later one of the writer was already read from the log.
	DuplicateBatch Rejection = "duplicate_batch"
	// StaleClaim means that a claim does not name the newest revision of the shard's current claim.
	StaleClaim Rejection = "stale_claim"
	// StaleToken means that the writer does not own a shard under the token that the record names.
	StaleToken Rejection = "stale_token"
	// WrongShard means that the shard does not exist, or is not that of the task or of its open attempt.
	WrongShard Rejection = "wrong_shard"
	// WrongAttempt means that the attempt number in the record does not match the task's newest attempt.
	WrongAttempt Rejection = "wrong_attempt"
	// AlreadyOpen and NotOpen mean that the task has an open attempt, or has none.
	AlreadyOpen Rejection = "already_open"
	NotOpen     Rejection = "not_open"
	// AlreadyFinished means that the task has finished.
	AlreadyFinished Rejection = "already_done"
	// AlreadyTransferred means that the task was transferred to another failure domain.
	AlreadyTransferred Rejection = "already_departed"
	// AlreadyArrived means that the transfer of the task from another failure domain was already applied.
	AlreadyArrived Rejection = "already_arrived"
	// UnknownRecord means that the type of the record is unknown, that an arrival names no task or no failure domain, or that an absence
	// lasts too long.
	UnknownRecord Rejection = "unknown_record"
)

// Result is the outcome of applying one record.
type Result struct {
	Record    *record.Record
	Writer    Writer
	Offset    platform.Offset
	Rejection Rejection
}

// Ledger is the state replayed from the stream of one failure domain.
type Ledger struct {
	claims   [failuredomain.ShardsPerDomain]Claim
	attempts map[string]*Attempt
	// movedTo holds the current shard of each task that was placed or moved by a record. Other tasks are in
	// their initial shard, which is failuredomain.ShardOf.
	movedTo map[string]uint32
	// transferredTo holds the failure domain to which each transferred task was transferred.
	transferredTo map[string]string
	// arrivedFrom holds the failure domain from which each arrived task was transferred.
	arrivedFrom map[string]string
	// absences holds the absent workers, by worker, as declared under the current claim of their shard or under the one before it.
	absences map[string]Absence
	// sequences holds the highest sequence number read from each writer.
	sequences map[Writer]uint64
}

// New returns the ledger of an empty stream.
func New() *Ledger {
	l := &Ledger{
		attempts:      make(map[string]*Attempt),
		movedTo:       make(map[string]uint32),
		transferredTo: make(map[string]string),
		arrivedFrom:   make(map[string]string),
		absences:      make(map[string]Absence),
		sequences:     make(map[Writer]uint64),
	}
	for i := range l.claims {
		l.claims[i].Shard = uint32(i)
	}
	return l
}

// Claim returns the current claim of a shard. A shard number that is too large is taken modulo
// failuredomain.ShardsPerDomain.
func (l *Ledger) Claim(shard uint32) Claim { return l.claims[shard%failuredomain.ShardsPerDomain] }

// Claims calls yield for the current claim of each shard, in order, until yield returns false.
func (l *Ledger) Claims(yield func(Claim) bool) {
	for _, c := range l.claims {
		if !yield(c) {
			return
		}
	}
}

// Attempt returns the newest attempt of a task, or nil.
func (l *Ledger) Attempt(task string) *Attempt { return l.attempts[task] }

// Attempts calls yield for the newest attempt of each task, in no order.
func (l *Ledger) Attempts(yield func(*Attempt)) {
	for _, a := range l.attempts {
		yield(a)
	}
}

// ShardOf returns the shard to which a task currently belongs.
func (l *Ledger) ShardOf(task string) uint32 {
	if shard, moved := l.movedTo[task]; moved {
		return shard
	}
	return failuredomain.ShardOf(task)
}

// SequenceOf returns the highest sequence number read from a writer, or 0.
func (l *Ledger) SequenceOf(w Writer) uint64 { return l.sequences[w] }

// HighestIncarnation returns the highest incarnation of a node that has written to the stream, or 0.
func (l *Ledger) HighestIncarnation(node string) uint64 {
	var highest uint64
	for w := range l.sequences {
		if w.Node == node {
			highest = max(highest, w.Incarnation)
		}
	}
	return highest
}

// Apply applies one batch and returns a result for each of its records. now is the reader's time; it is
// stored in claims and attempts but has no effect on which records are accepted.
func (l *Ledger) Apply(offset platform.Offset, batch *record.Batch, now time.Time) []Result {
	w := Writer{Node: batch.GetNode(), Incarnation: batch.GetIncarnation()}
	duplicate := batch.GetSequence() <= l.sequences[w]
	if !duplicate {
		l.sequences[w] = batch.GetSequence()
	}
	results := make([]Result, 0, len(batch.GetRecords()))
	for _, r := range batch.GetRecords() {
		rejection := DuplicateBatch
		if !duplicate {
			rejection = l.applyRecord(offset, w, r, now)
		}
		results = append(results, Result{Record: r, Writer: w, Offset: offset, Rejection: rejection})
	}
	return results
}

// applyRecord applies a record of a batch that is not a duplicate.
func (l *Ledger) applyRecord(offset platform.Offset, w Writer, r *record.Record, now time.Time) Rejection {
	switch body := r.GetBody().(type) {
	case *record.Record_Claim:
		return l.applyClaim(offset, w, body.Claim, now)
	case *record.Record_Renewal:
		return l.applyRenewal(offset, w, body.Renewal, now)
	case *record.Record_Release:
		return l.applyRelease(w, body.Release, now)
	case *record.Record_Placement:
		return l.applyPlacement(w, body.Placement)
	case *record.Record_End:
		return l.applyEnd(w, body.End, now)
	case *record.Record_Transfer:
		return l.applyTransfer(w, body.Transfer)
	case *record.Record_Arrival:
		return l.applyArrival(body.Arrival)
	case *record.Record_Forget:
		return l.applyForget(w, body.Forget)
	case *record.Record_WorkerAbsence:
		return l.applyAbsence(w, body.WorkerAbsence, now)
	case *record.Record_DomainSnapshot:
		return Accepted
	default:
		return UnknownRecord
	}
}

// applyClaim makes a claim the current one of its shard if it names the revision that it replaces.
func (l *Ledger) applyClaim(offset platform.Offset, w Writer, c *record.Claim, now time.Time) Rejection {
	if c.GetShard() >= failuredomain.ShardsPerDomain {
		return WrongShard
	}
	current := &l.claims[c.GetShard()]
	if platform.Offset(c.GetReplaces()) != current.Revision {
		return StaleClaim
	}
	l.dropAbsencesBefore(*current)
	*current = Claim{
		Shard:    c.GetShard(),
		Owner:    w,
		Token:    offset,
		Revision: offset,
		Lease:    time.Duration(c.GetLeaseMs()) * time.Millisecond,
		SeenAt:   now,
	}
	return Accepted
}

// ownsShard reports whether w owns the shard of t under the token of t.
func (l *Ledger) ownsShard(w Writer, t *record.ShardToken) bool {
	if t.GetShard() >= failuredomain.ShardsPerDomain {
		return false
	}
	c := l.claims[t.GetShard()]
	return c.Token != 0 && !c.Released && c.Owner == w && c.Token == platform.Offset(t.GetToken())
}

// applyRenewal renews those claims in r that the writer owns. It returns StaleToken if r also names claims
// that the writer does not own.
func (l *Ledger) applyRenewal(offset platform.Offset, w Writer, r *record.Renewal, now time.Time) Rejection {
	rejection := Accepted
	for _, t := range r.GetClaims() {
		if !l.ownsShard(w, t) {
			rejection = StaleToken
			continue
		}
		l.claims[t.GetShard()].Revision = offset
		l.claims[t.GetShard()].SeenAt = now
	}
	return rejection
}

// applyRelease releases those claims in r that the writer owns. It returns StaleToken if r also names claims
// that the writer does not own.
func (l *Ledger) applyRelease(w Writer, r *record.Release, now time.Time) Rejection {
	rejection := Accepted
	for _, t := range r.GetClaims() {
		if !l.ownsShard(w, t) {
			rejection = StaleToken
			continue
		}
		c := &l.claims[t.GetShard()]
		c.Released = true
		c.Successor = r.GetHeir()
		c.SeenAt = now
	}
	return rejection
}

// applyPlacement opens the next attempt of a task. The writer must own the shards of the task and the worker.
func (l *Ledger) applyPlacement(w Writer, p *record.Placement) Rejection {
	if !l.ownsShard(w, p.GetFrom()) || !l.ownsShard(w, p.GetTo()) {
		return StaleToken
	}
	if l.transferredTo[p.GetTask()] != "" {
		return AlreadyTransferred
	}
	if l.ShardOf(p.GetTask()) != p.GetFrom().GetShard() {
		return WrongShard
	}
	a := l.attempts[p.GetTask()]
	if a == nil {
		a = &Attempt{Task: p.GetTask()}
	}
	switch {
	case a.Open:
		return AlreadyOpen
	case a.Outcome == record.Outcome_OUTCOME_FINISHED:
		return AlreadyFinished
	case p.GetAttempt() != a.Number+1:
		return WrongAttempt
	}
	a.Number = p.GetAttempt()
	a.Worker = p.GetWorker()
	a.Shard = p.GetTo().GetShard()
	a.Open = true
	a.Outcome = record.Outcome_OUTCOME_UNSPECIFIED
	a.Reason = ""
	l.attempts[a.Task] = a
	l.movedTo[a.Task] = a.Shard
	return Accepted
}

// applyEnd ends the open attempt of a task. The writer must own the shard of the attempt.
func (l *Ledger) applyEnd(w Writer, e *record.End, now time.Time) Rejection {
	a := l.attempts[e.GetTask()]
	switch {
	case a == nil || !a.Open:
		return NotOpen
	case e.GetAttempt() != a.Number:
		return WrongAttempt
	case e.GetBy().GetShard() != a.Shard:
		return WrongShard
	case !l.ownsShard(w, e.GetBy()):
		return StaleToken
	}
	a.Open = false
	a.Outcome = e.GetOutcome()
	a.Reason = e.GetReason()
	a.EndedAt = now
	l.dropAbsenceWithoutAttempts(a.Worker)
	if e.GetCheckpoint() != "" {
		a.Checkpoint = e.GetCheckpoint()
		a.Progress = float64(e.GetProgressPermille()) / permille
	}
	switch a.Outcome {
	case record.Outcome_OUTCOME_FAILED:
		a.Failures++
	case record.Outcome_OUTCOME_EVICTED:
		a.Evictions++
	}
	return Accepted
}

// applyForget deletes the state of the named tasks that belong to the shard in f.By and have no open attempt.
// Other tasks in the record are ignored. The writer must own the shard.
func (l *Ledger) applyForget(w Writer, f *record.Forget) Rejection {
	if !l.ownsShard(w, f.GetBy()) {
		return StaleToken
	}
	for _, id := range f.GetTasks() {
		a := l.attempts[id]
		if (a != nil && a.Open) || l.ShardOf(id) != f.GetBy().GetShard() {
			continue
		}
		delete(l.attempts, id)
		delete(l.movedTo, id)
		delete(l.transferredTo, id)
		delete(l.arrivedFrom, id)
	}
	return Accepted
}

// TasksWithoutOpenAttempt calls yield for each task whose newest attempt has ended, and for each task that
// was transferred in or out and has no attempt, in no order. A task that was transferred in and out without an
// attempt is yielded twice.
func (l *Ledger) TasksWithoutOpenAttempt(yield func(task string)) {
	for id, a := range l.attempts {
		if !a.Open {
			yield(id)
		}
	}
	for _, tasks := range []map[string]string{l.transferredTo, l.arrivedFrom} {
		for id := range tasks {
			if l.attempts[id] == nil {
				yield(id)
			}
		}
	}
}
