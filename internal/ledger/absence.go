package ledger

import (
	"maps"
	"slices"
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/lease"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

// maxAbsence is the longest time to the end of leases that an absence may state. Longer ones are rejected.
const maxAbsence = time.Hour

// Absence is the declaration of an owner that it extends no lease on a worker.
type Absence struct {
	Shard uint32
	// Token is the token of the claim under which it was declared.
	Token platform.Offset
	// Remaining is the time from the declaration until all leases on the worker have ended.
	Remaining time.Duration
	// SeenAt is when this node read the declaration.
	SeenAt time.Time
}

// LeasesEnd returns when all leases on the worker have ended that the declaring owner and those before it have extended.
func (a Absence) LeasesEnd() time.Time { return lease.ObserverExpiry(a.SeenAt, a.Remaining) }

// Absence returns the declared absence of a worker, under the current claim of its shard or the one before it.
func (l *Ledger) Absence(worker string) (Absence, bool) {
	a, declared := l.absences[worker]
	return a, declared
}

// applyAbsence notes or ends the absence of a worker. The writer must own the worker's shard.
func (l *Ledger) applyAbsence(w Writer, r *record.WorkerAbsence, now time.Time) Rejection {
	switch {
	case !l.ownsShard(w, r.GetBy()):
		return StaleToken
	case failuredomain.ShardOf(r.GetWorker()) != r.GetBy().GetShard():
		return WrongShard
	case r.GetLeasesEndMs() > uint64(maxAbsence.Milliseconds()):
		return UnknownRecord
	}
	if r.GetOver() {
		delete(l.absences, r.GetWorker())
		return Accepted
	}
	l.absences[r.GetWorker()] = Absence{
		Shard:     r.GetBy().GetShard(),
		Token:     platform.Offset(r.GetBy().GetToken()),
		Remaining: time.Duration(r.GetLeasesEndMs()) * time.Millisecond,
		SeenAt:    now,
	}
	return Accepted
}

// dropAbsencesBefore drops the absences in the shard of c, whose claim is replaced, that were not declared under it: its owner may have
// extended leases on those workers.
func (l *Ledger) dropAbsencesBefore(c Claim) {
	for worker, a := range l.absences {
		if a.Shard == c.Shard && a.Token != c.Token {
			delete(l.absences, worker)
		}
	}
}

// dropAbsenceWithoutAttempts drops the absence of a worker that has no open attempt.
func (l *Ledger) dropAbsenceWithoutAttempts(worker string) {
	if _, declared := l.absences[worker]; !declared {
		return
	}
	for _, a := range l.attempts {
		if a.Open && a.Worker == worker {
			return
		}
	}
	delete(l.absences, worker)
}

func (l *Ledger) absenceStates() []*record.AbsenceState {
	var states []*record.AbsenceState
	for _, worker := range slices.Sorted(maps.Keys(l.absences)) {
		a := l.absences[worker]
		states = append(states, &record.AbsenceState{
			Worker: worker, Shard: a.Shard, Token: uint64(a.Token), LeasesEndMs: uint64(a.Remaining.Milliseconds()),
		})
	}
	return states
}

func (l *Ledger) restoreAbsences(states []*record.AbsenceState, now time.Time) {
	for _, s := range states {
		if s.GetLeasesEndMs() > uint64(maxAbsence.Milliseconds()) {
			continue
		}
		l.absences[s.GetWorker()] = Absence{
			Shard:     s.GetShard(),
			Token:     platform.Offset(s.GetToken()),
			Remaining: time.Duration(s.GetLeasesEndMs()) * time.Millisecond,
			SeenAt:    now,
		}
	}
}
