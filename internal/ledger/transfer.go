package ledger

import (
	"sort"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/record"
)

// applyTransfer gives a waiting task to another shard, or to another failure domain for good.
func (l *Ledger) applyTransfer(w Writer, t *record.Transfer) Rejection {
	switch {
	case !l.holds(w, t.GetFrom()):
		return StaleToken
	case l.departed[t.GetTask()] != "":
		return AlreadyDeparted
	case l.ShardOf(t.GetTask()) != t.GetFrom().GetShard():
		return WrongShard
	case t.GetToDomain() == "" && t.GetToShard() >= failuredomain.Shards:
		return WrongShard
	}
	if rejection := l.checkWaiting(t.GetTask(), t.GetAttempt()); rejection != Accepted {
		return rejection
	}
	if t.GetToDomain() != "" {
		l.departed[t.GetTask()] = t.GetToDomain()
		return Accepted
	}
	l.shards[t.GetTask()] = t.GetToShard()
	return Accepted
}

// checkWaiting accepts a task that has no open attempt, is not finished, and whose last attempt is number.
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
		return AlreadyDone
	case a.Number != number:
		return WrongAttempt
	default:
		return Accepted
	}
}

// applyArrival takes over a task that another failure domain has given away. It needs no claim: the
// transfer in the other stream is the authority, and repeating it changes nothing.
func (l *Ledger) applyArrival(a *record.Arrival) Rejection {
	if a.GetTask() == "" || a.GetFromDomain() == "" {
		return UnknownRecord
	}
	if _, here := l.guests[a.GetTask()]; here {
		return AlreadyArrived
	}
	l.guests[a.GetTask()] = a.GetFromDomain()
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

// DepartedTo returns the failure domain that a task was given to, or "".
func (l *Ledger) DepartedTo(task string) string { return l.departed[task] }

// Departed returns the tasks that were given to other failure domains, in order.
func (l *Ledger) Departed() []string { return sortedKeys(l.departed) }

// Guests returns the tasks that were taken over from other failure domains, in order.
func (l *Ledger) Guests() []string { return sortedKeys(l.guests) }

// Arrival returns the record that tells the receiving domain of a departed task. from is the domain of
// this stream.
func (l *Ledger) Arrival(task, from string) *record.Record {
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

// IsGuest reports whether a task was taken over from another failure domain.
func (l *Ledger) IsGuest(task string) bool { return l.guests[task] != "" }

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
