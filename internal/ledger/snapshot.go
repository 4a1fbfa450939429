package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

// permille is the factor between fractions from 0 to 1 and the thousandths in records.
const permille = 1000

// Snapshot returns the encoded state. Equal states have equal encodings on every node.
//
// Only the sequence numbers of the writers of current claims and of the newest incarnation of each node are
// included. A repeated batch of any other writer is therefore not recognised as a duplicate after Restore, but
// its records are still rejected: the writer's tokens are superseded, its claims name revisions that are no
// longer current, and its arrivals were already applied. An arrival is only rejected as long as the ledger
// keeps the state of the task.
func (l *Ledger) Snapshot() ([]byte, error) {
	state := &record.LedgerState{Schema: record.SchemaVersion}
	for _, c := range l.claims {
		if c.Token != 0 {
			state.Claims = append(state.Claims, claimState(c))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.attempts)) {
		state.Attempts = append(state.Attempts, attemptState(l.attempts[id]))
	}
	for _, id := range slices.Sorted(maps.Keys(l.movedTo)) {
		state.Moved = append(state.Moved, &record.TaskShard{Task: id, Shard: l.movedTo[id]})
	}
	state.Departed = taskDomains(l.transferredTo)
	state.Guests = taskDomains(l.arrivedFrom)
	state.Absences = l.absenceStates()
	state.Writers = l.writerStates()
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return record.Compress(encoded), nil
}

func claimState(c Claim) *record.ClaimState {
	return &record.ClaimState{
		Shard:       c.Shard,
		Node:        c.Owner.Node,
		Incarnation: c.Owner.Incarnation,
		Token:       uint64(c.Token),
		Revision:    uint64(c.Revision),
		LeaseMs:     uint64(c.Lease.Milliseconds()),
		Released:    c.Released,
		Heir:        c.Successor,
	}
}

func attemptState(a *Attempt) *record.AttemptState {
	return &record.AttemptState{
		Task:             a.Task,
		Number:           a.Number,
		Worker:           a.Worker,
		Shard:            a.Shard,
		Open:             a.Open,
		Outcome:          a.Outcome,
		Reason:           a.Reason,
		Checkpoint:       a.Checkpoint,
		ProgressPermille: uint32(a.Progress*permille + 0.5),
		Failures:         uint32(a.Failures),
		Evictions:        uint32(a.Evictions),
	}
}

// taskDomains returns a map from tasks to failure domains as a list sorted by task.
func taskDomains(m map[string]string) []*record.TaskDomain {
	list := make([]*record.TaskDomain, 0, len(m))
	for _, id := range sortedKeys(m) {
		list = append(list, &record.TaskDomain{Task: id, Domain: m[id]})
	}
	return list
}

// writerStates returns the writers of current claims and the newest incarnation of each node, sorted by node
// and incarnation.
func (l *Ledger) writerStates() []*record.WriterState {
	claimWriters := make(map[Writer]bool)
	newest := make(map[string]uint64)
	for w := range l.sequences {
		newest[w.Node] = max(newest[w.Node], w.Incarnation)
	}
	for _, c := range l.claims {
		claimWriters[c.Owner] = true
	}
	var states []*record.WriterState
	for w, sequence := range l.sequences {
		if claimWriters[w] || newest[w.Node] == w.Incarnation {
			states = append(states, &record.WriterState{Node: w.Node, Incarnation: w.Incarnation, Sequence: sequence})
		}
	}
	slices.SortFunc(states, func(a, b *record.WriterState) int {
		return cmp.Or(cmp.Compare(a.GetNode(), b.GetNode()), cmp.Compare(a.GetIncarnation(), b.GetIncarnation()))
	})
	return states
}

// Restore returns the ledger encoded in a snapshot. now is used as the time at which every claim and every end
// record was read, so that no lease expires too early. It returns record.ErrNewerSchema if the snapshot has a
// newer schema, because this version may not know all of its contents.
func Restore(snapshot []byte, now time.Time) (*Ledger, error) {
	encoded, err := record.Decompress(snapshot)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	state := &record.LedgerState{}
	if err := proto.Unmarshal(encoded, state); err != nil {
		return nil, trace.BadParameter("cannot decode the ledger snapshot: %v", err)
	}
	if state.GetSchema() > record.SchemaVersion {
		return nil, trace.Wrap(record.ErrNewerSchema)
	}
	return ledgerFromState(state, now)
}

// ledgerFromState returns the ledger for a decoded snapshot.
func ledgerFromState(state *record.LedgerState, now time.Time) (*Ledger, error) {
	l := New()
	for _, c := range state.GetClaims() {
		if c.GetShard() >= failuredomain.ShardsPerDomain {
			return nil, trace.BadParameter("the ledger snapshot contains a claim of shard %d, but there are only %d shards", c.GetShard(), failuredomain.ShardsPerDomain)
		}
		l.claims[c.GetShard()] = Claim{
			Shard:     c.GetShard(),
			Owner:     Writer{Node: c.GetNode(), Incarnation: c.GetIncarnation()},
			Token:     platform.Offset(c.GetToken()),
			Revision:  platform.Offset(c.GetRevision()),
			Lease:     time.Duration(c.GetLeaseMs()) * time.Millisecond,
			SeenAt:    now,
			Released:  c.GetReleased(),
			Successor: c.GetHeir(),
		}
	}
	for _, a := range state.GetAttempts() {
		l.attempts[a.GetTask()] = &Attempt{
			Task:       a.GetTask(),
			Number:     a.GetNumber(),
			Worker:     a.GetWorker(),
			Shard:      a.GetShard(),
			Open:       a.GetOpen(),
			Outcome:    a.GetOutcome(),
			Reason:     a.GetReason(),
			Checkpoint: a.GetCheckpoint(),
			Progress:   float64(a.GetProgressPermille()) / permille,
			Failures:   int(a.GetFailures()),
			Evictions:  int(a.GetEvictions()),
			EndedAt:    now,
		}
	}
	for _, m := range state.GetMoved() {
		l.movedTo[m.GetTask()] = m.GetShard()
	}
	for _, d := range state.GetDeparted() {
		l.transferredTo[d.GetTask()] = d.GetDomain()
	}
	for _, g := range state.GetGuests() {
		l.arrivedFrom[g.GetTask()] = g.GetDomain()
	}
	l.restoreAbsences(state.GetAbsences(), now)
	for _, w := range state.GetWriters() {
		l.sequences[Writer{Node: w.GetNode(), Incarnation: w.GetIncarnation()}] = w.GetSequence()
	}
	return l, nil
}
