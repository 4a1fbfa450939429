package rescue

import (
	"time"

	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/ownership"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/task"
)

// maxWaitingGuests bounds the rescued tasks that wait in the receiving domain, so that a domain that comes
// back finds what could not be started elsewhere.
const maxWaitingGuests = 64

// Settler recognises the batches that this node wrote. *journal.Writer implements it.
type Settler interface {
	// Settle returns the time before the batch was first sent, or false for another writer's batch.
	Settle(b *record.Batch) (time.Time, bool)
}

// Case is the rescue of one lost failure domain by this node.
type Case struct {
	lost     string
	receiver string
	self     ledger.Writer
	stream   *ledger.Ledger
	owner    *ownership.Owner
	settler  Settler
	// replay says which entries may be applied when retention has taken the stream's beginning.
	replay   *journal.Replay
	caughtUp bool
	// snapshotAt is when the case last wrote a snapshot of the lost domain's state.
	snapshotAt time.Time
}

// NewCase returns a case that has read nothing of the lost domain's stream yet. receiver is this node's own
// failure domain, replay that of the lost domain's stream.
func NewCase(lost, receiver string, self ledger.Writer, claimLease time.Duration, settler Settler, replay *journal.Replay) *Case {
	return &Case{
		lost:     lost,
		receiver: receiver,
		self:     self,
		stream:   ledger.New(),
		owner:    ownership.NewOwner(self, lost, claimLease),
		settler:  settler,
		replay:   replay,
	}
}

// Take applies entries of the lost domain's stream. An empty call says that its end has been reached.
func (c *Case) Take(deliveries []journal.Delivery, now time.Time) {
	for _, d := range deliveries {
		if d, applicable := c.replay.Take(d); applicable {
			c.apply(d, now)
			continue
		}
		for _, r := range d.Batch.GetRecords() {
			if snapshot := r.GetDomainSnapshot(); snapshot != nil {
				c.restore(snapshot, now)
			}
		}
	}
	if len(deliveries) == 0 {
		c.caughtUp = true
	}
}

func (c *Case) apply(d journal.Delivery, now time.Time) {
	if d.Batch == nil {
		return
	}
	sent, own := c.settler.Settle(d.Batch)
	c.owner.Observe(c.stream, c.stream.Apply(d.Offset, d.Batch, now), sent, own)
}

// restore replaces the state by a snapshot from the stream, when that completes it.
func (c *Case) restore(snapshot *record.DomainSnapshot, now time.Time) {
	at := platform.Offset(snapshot.GetAt())
	if !c.replay.Fits(at) {
		return
	}
	restored, err := ledger.Restore(snapshot.GetState(), now)
	if err != nil {
		return
	}
	c.stream = restored
	c.owner.Drop()
	for _, d := range c.replay.Restored(at) {
		c.apply(d, now)
	}
}

// Records are what a case wants appended.
type Records struct {
	// Lost go to the lost domain's stream.
	Lost []*record.Record
	// Receiver go to the stream of this node's own domain.
	Receiver []*record.Record
}

// Decide returns the records that are due. declared are the lost domain's tasks under the manifest in force;
// own is the ledger of this node's own domain.
func (c *Case) Decide(declared []task.Spec, own *ledger.Ledger, now time.Time) Records {
	if !c.caughtUp || !c.replay.Complete() {
		return Records{}
	}
	var r Records
	r.Receiver = c.arrivals(own)
	eligible := c.eligible(declared)
	if len(eligible) == 0 {
		r.Lost = c.owner.Release(nil, now)
		return r
	}
	r.Lost = c.owner.Decide(c.stream, ownership.Candidates{Live: []string{c.self.Node}}, now)
	r.Lost = append(r.Lost, c.transfers(eligible, len(r.Receiver)+c.waitingGuests(own), now)...)
	return r
}

// Snapshot returns a snapshot of the lost domain's state when one is due, else nil. While no node of the
// domain is there to write it, the state must not outlive the log's retention in nobody's hands.
func (c *Case) Snapshot(period time.Duration, now time.Time) *record.Record {
	if !c.caughtUp || !c.replay.Complete() || (!c.snapshotAt.IsZero() && now.Sub(c.snapshotAt) < period) {
		return nil
	}
	state, err := c.stream.Snapshot()
	if err != nil {
		return nil
	}
	c.snapshotAt = now
	body := &record.DomainSnapshot{At: uint64(c.replay.Applied()), State: state}
	return &record.Record{Body: &record.Record_DomainSnapshot{DomainSnapshot: body}}
}

// Release gives up what the case holds, when the domain is no longer lost.
func (c *Case) Release(now time.Time) []*record.Record { return c.owner.Release(nil, now) }

// eligible returns the tasks that wait and may run elsewhere.
func (c *Case) eligible(declared []task.Spec) []task.Spec {
	var eligible []task.Spec
	for _, spec := range declared {
		if spec.IsService() || spec.OnDomainLoss != manifest.RunElsewhere || c.stream.DepartedTo(spec.ID) != "" {
			continue
		}
		if a := c.stream.Attempt(spec.ID); a != nil && (a.Open || isDone(a, spec)) {
			continue
		}
		eligible = append(eligible, spec)
	}
	return eligible
}

// isDone reports whether a task with an ended attempt is not started again.
func isDone(a *ledger.Attempt, spec task.Spec) bool {
	switch a.Outcome {
	case record.Outcome_OUTCOME_FINISHED, record.Outcome_OUTCOME_CANCELLED:
		return true
	case record.Outcome_OUTCOME_FAILED:
		return a.Failures >= spec.MaxFailures
	default:
		return false
	}
}

// transfers gives tasks away, as many as may wait in the receiving domain.
func (c *Case) transfers(eligible []task.Spec, waiting int, now time.Time) []*record.Record {
	var records []*record.Record
	for _, spec := range eligible {
		if waiting+len(records) >= maxWaitingGuests {
			break
		}
		shard := c.stream.ShardOf(spec.ID)
		if _, held := c.owner.Holds(shard, now); !held {
			continue
		}
		body := &record.Transfer{Task: spec.ID, From: c.owner.Token(shard), ToDomain: c.receiver}
		if a := c.stream.Attempt(spec.ID); a != nil {
			body.Attempt = a.Number
		}
		records = append(records, &record.Record{Body: &record.Record_Transfer{Transfer: body}})
	}
	return records
}

// arrivals repeats in the receiving domain every accepted transfer that it does not show yet.
func (c *Case) arrivals(own *ledger.Ledger) []*record.Record {
	var records []*record.Record
	for _, id := range c.stream.Departed() {
		if c.stream.DepartedTo(id) == c.receiver && !own.IsGuest(id) {
			records = append(records, c.stream.Arrival(id, c.lost))
		}
	}
	return records
}

// waitingGuests counts the rescued tasks of the lost domain that have no open attempt here and are not done.
func (c *Case) waitingGuests(own *ledger.Ledger) int {
	count := 0
	for _, id := range own.Guests() {
		a := own.Attempt(id)
		if a == nil || (!a.Open && a.Outcome == record.Outcome_OUTCOME_LOST) {
			count++
		}
	}
	return count
}
