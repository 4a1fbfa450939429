package ledger

import (
	"sort"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/record"
)

// applyTransfer moves a waiting task to another shard, or permanently to another failure domain. The writer
// must own the shard of the task.
func (l *Ledger) applyTransfer(w Writer, t *record.Transfer) Rejection {
	switch {
	case !l.ownsShard(w, t.GetFrom()):
		return StaleToken
	case l.transferredTo[t.GetTask()] != "":
		return AlreadyTransferred
	case l.ShardOf(t.GetTask()) != t.GetFrom().GetShard():
		return WrongShard
	case t.GetToDomain() == "" && t.GetToShard() >= failuredomain.ShardsPerDomain:
		return WrongShard
	}
	if rejection := l.checkWaiting(t.GetTask(), t.GetAttempt()); rejection != Accepted {
		return rejection
	}
	if t.GetToDomain() != "" {
		l.transferredTo[t.GetTask()] = t.GetToDomain()
		return Accepted
	}
	l.movedTo[t.GetTask()] = t.GetToShard()
	return Accepted
}

// checkWaiting returns Accepted if a task has no open attempt, is not finished, and number is that of its
// newest attempt, or 0 if it has none.
func (l *Ledger) checkWaiting(task string, number uint32) Rejection {
	a := l.attempts[task]
	switch {
	case a == nil && number == 0:
		return Accepted
	case a == nil:
		return WrongAttempt
	case a.Open:
		return AlreadyOpen
	case a.Outcome == record.Outcome_OUTCOME_FINISHED:
		return AlreadyFinished
	case a.Number != number:
		return WrongAttempt
	default:
		return Accepted
	}
}

// applyArrival adds a task that another failure domain has transferred to this one. The writer needs no
// claim, because the transfer was already accepted in the stream of the other domain. A repeated arrival is
// rejected.
func (l *Ledger) applyArrival(a *record.Arrival) Rejection {
	if a.GetTask() == "" || a.GetFromDomain() == "" {
		return UnknownRecord
	}
	if _, arrived := l.arrivedFrom[a.GetTask()]; arrived {
		return AlreadyArrived
	}
	l.arrivedFrom[a.GetTask()] = a.GetFromDomain()
	if a.GetAttempt() == 0 {
		return Accepted
	}
	l.attempts[a.GetTask()] = &Attempt{
		Task:       a.GetTask(),
		Number:     a.GetAttempt(),
		Outcome:    record.Outcome_OUTCOME_LOST,
		Checkpoint: a.GetCheckpoint(),
		Progress:   float64(a.GetProgressPermille()) / 1000,
		Failures:   int(a.GetFailures()),
		Evictions:  int(a.GetEvictions()),
	}
	return Accepted
}

// TransferredTo returns the failure domain to which a task was transferred, or "".
func (l *Ledger) TransferredTo(task string) string { return l.transferredTo[task] }

// TransferredOut returns the tasks that were transferred to other failure domains, sorted by ID.
func (l *Ledger) TransferredOut() []string { return sortedKeys(l.transferredTo) }

// TransferredIn returns the tasks that were transferred from other failure domains, sorted by ID.
func (l *Ledger) TransferredIn() []string { return sortedKeys(l.arrivedFrom) }

// ArrivalRecord returns the record that adds a transferred task to the stream of the receiving failure
// domain. from is the domain of this stream.
func (l *Ledger) ArrivalRecord(task, from string) *record.Record {
	arrival := &record.Arrival{Task: task, FromDomain: from}
	if a := l.attempts[task]; a != nil {
		arrival.Attempt = a.Number
		arrival.Failures = uint32(a.Failures)
		arrival.Evictions = uint32(a.Evictions)
		arrival.Checkpoint = a.Checkpoint
		arrival.ProgressPermille = uint32(a.Progress * 1000)
	}
	return &record.Record{Body: &record.Record_Arrival{Arrival: arrival}}
}

// IsTransferredIn reports whether a task was transferred from another failure domain.
func (l *Ledger) IsTransferredIn(task string) bool { return l.arrivedFrom[task] != "" }

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
