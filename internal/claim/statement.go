package claim

import (
	"time"

	"cactuswall.example/cactuswall/internal/store"
)

// StatementKey is the key of Statement in the partition of its cell.
const StatementKey = "cell-leases"

// MaxStatedWorkers is the largest number of workers in a Statement.
const MaxStatedWorkers = 256

// maxStatedLease is the longest time to the end of a lease that a Statement may contain.
const maxStatedLease = time.Hour

// Statement says by when the leases on workers have ended that the owner under an epoch, or an owner before it, has extended or
// may extend. The owner stores one with each claim, renewal and release, in the same append and before that record, and extends
// no lease beyond what it has stored. So the next owner does not wait longer after a crash, and for workers that were out of touch
// no longer than the crashed owner would have. Times are from when the statement was sent.
type Statement struct {
	Epoch int64
	// Serial numbers the statements of an epoch in the order in which they were sent, from 1.
	Serial int64
	// Others is the time until the leases on all workers that are not listed have ended, unless the owner extends them with the
	// consent of all candidates.
	Others time.Duration
	// Extended is the time until these leases have ended in any case.
	Extended time.Duration
	// Round is the round of registrations in which candidates may register, and OldestRound the oldest one that counts. A
	// candidate that has registered in a round that counts is asked for its consent, see Grants.
	Round, OldestRound int64
	// Workers are the workers whose leases the owner does not extend meanwhile, at most MaxStatedWorkers.
	Workers []StatedLease
	// End repeats Epoch. A record with fewer fields does not have it.
	End int64
}

// StatedLease is the time until the lease on an incarnation of a worker has ended. StartedAtMS is 0 if the incarnation is not known.
type StatedLease struct {
	Worker      string
	StartedAtMS int64
	Remaining   time.Duration
}

// valid reports whether the statement can be one of an owner. Otherwise nothing may be derived from it.
func (s *Statement) valid() bool {
	within := func(d time.Duration) bool { return d >= 0 && d <= maxStatedLease }
	if s.Epoch < 1 || s.End != s.Epoch || s.Serial < 1 || !within(s.Others) || !within(s.Extended) || s.Extended < s.Others ||
		s.OldestRound < 0 || s.Round < s.OldestRound || len(s.Workers) > MaxStatedWorkers {
		return false
	}
	listed := make(map[string]bool, len(s.Workers))
	for i := range s.Workers {
		w := &s.Workers[i]
		if w.Worker == "" || w.StartedAtMS < 0 || !within(w.Remaining) || listed[w.Worker] {
			return false
		}
		listed[w.Worker] = true
	}
	return true
}

// statedClockErrorPercent is the error of the clocks of two nodes, in percent of the time that one measures for the other.
const statedClockErrorPercent = 1

// statedEnd returns when a time that a statement names has passed, on the clock of this process, which read the statement at a
// time. The time for which the statement was under way makes the end later.
func statedEnd(readAt, remaining time.Duration) time.Duration {
	return readAt + remaining + remaining*statedClockErrorPercent/100
}

// ApplyStatement processes a statement that has the given offset and was read at the given time. One that makes no sense, such as one
// of another writer, is not used, and neither are those before it: the owner may have extended leases by the one that it meant. ok
// is false then.
func (v *View) ApplyStatement(s Statement, offset store.Offset, at time.Duration) (ok bool) {
	if !s.valid() {
		v.statement = Statement{}
		return false
	}
	if s.Epoch > v.statement.Epoch || s.Epoch == v.statement.Epoch && s.Serial > v.statement.Serial {
		v.statement, v.statementOffset, v.statementReadAt = s, offset, at
	}
	return true
}

// Statement returns the statement that the owner stored with the latest record; known is false if there is none.
func (v *View) Statement() (s Statement, known bool) {
	return v.statement, v.hasLatest && v.statement.Epoch == v.latest.Epoch && v.statementOffset+1 == v.latestOffset
}

// applyStatement shortens a wait by what the latest owner has stated.
func (w *LeaseWait) applyStatement(s *Statement, readAt time.Duration, extended bool) {
	others := s.Others
	if extended {
		others = s.Extended
	}
	w.Others = min(w.End, statedEnd(readAt, others))
	w.Workers = make(map[string]StatedEnd, len(s.Workers))
	longest := w.Others
	for i := range s.Workers {
		listed := &s.Workers[i]
		end := min(w.End, statedEnd(readAt, listed.Remaining))
		w.Workers[listed.Worker] = StatedEnd{StartedAtMS: listed.StartedAtMS, End: end}
		longest = max(longest, end)
	}
	if longest < w.End {
		w.End, w.Source = longest, WaitSourceStatement
	}
}

// NextStatement returns the first statement of a new owner, or that of a release of an ended owner's claim, which is sent now: until a
// new owner extends leases itself, those that it waits for are all that there are.
func (v *View) NextStatement(epoch int64, wait LeaseWait, now time.Duration) Statement {
	s := Statement{Epoch: epoch, End: epoch, Serial: 1, Others: max(0, wait.Others-now)}
	if previous, known := v.Statement(); known && previous.Epoch == epoch {
		s.Serial = previous.Serial + 1
	}
	for id, w := range wait.Workers {
		s.list(StatedLease{Worker: id, StartedAtMS: w.StartedAtMS, Remaining: max(0, w.End-now)})
	}
	s.Extended = s.Others
	return s
}

// list adds a worker to the statement, if there is room. Otherwise Others covers its lease as well.
func (s *Statement) list(w StatedLease) {
	if len(s.Workers) >= MaxStatedWorkers {
		s.Others = max(s.Others, w.Remaining)
		return
	}
	s.Workers = append(s.Workers, w)
}
