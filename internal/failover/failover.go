package failover

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

// maxWaitingTasks is the maximum number of moved tasks that wait in the receiving domain. Tasks that cannot
// be started there stay with the lost domain, which can run them when it comes back.
const maxWaitingTasks = 64

// Settler identifies the batches that this node wrote. *journal.Writer implements it.
type Settler interface {
	// Settle returns the time noted just before the batch was first sent, from which the leases of the claims
	// in it are counted. It returns false for another writer's batch.
	Settle(b *record.Batch) (time.Time, bool)
}

// Case moves the waiting tasks of one lost failure domain to this node's failure domain.
type Case struct {
	lostDomain      string
	receivingDomain string
	self            ledger.Writer
	lostLedger      *ledger.Ledger
	owner           *ownership.Owner
	settler         Settler
	// replay decides which entries may be applied if the log's retention has removed the start of the stream.
	replay   *journal.Replay
	caughtUp bool
	// snapshotAt is when the case last wrote a snapshot of the lost domain's state.
	snapshotAt time.Time
}

// NewCase returns a case that has not read any of the lost domain's stream yet. receiver is this node's own
// failure domain. settler and replay are those of the lost domain's stream.
func NewCase(lost, receiver string, self ledger.Writer, claimLease time.Duration, settler Settler, replay *journal.Replay) *Case {
	return &Case{
		lostDomain:      lost,
		receivingDomain: receiver,
		self:            self,
		lostLedger:      ledger.New(),
		owner:           ownership.NewOwner(self, lost, claimLease),
		settler:         settler,
		replay:          replay,
	}
}

// Take applies entries of the lost domain's stream. A call without entries means that the end of the stream
// has been reached.
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
	c.owner.Observe(c.lostLedger, c.lostLedger.Apply(d.Offset, d.Batch, now), sent, own)
}

// restore replaces the state with a snapshot from the stream, if the snapshot covers what is missing.
func (c *Case) restore(snapshot *record.DomainSnapshot, now time.Time) {
	at := platform.Offset(snapshot.GetAt())
	if !c.replay.Fits(at) {
		return
	}
	restored, err := ledger.Restore(snapshot.GetState(), now)
	if err != nil {
		return
	}
	c.lostLedger = restored
	c.owner.Drop()
	for _, d := range c.replay.Restored(at) {
		c.apply(d, now)
	}
}

// Records holds the records that a case asks its caller to append.
type Records struct {
	// Lost holds the records for the lost domain's stream.
	Lost []*record.Record
	// Receiver holds the records for the stream of this node's own domain.
	Receiver []*record.Record
}

// Decide returns the records to append at now. declared holds the lost domain's tasks under the manifest in
// force; receiverLedger is the ledger of this node's own domain.
func (c *Case) Decide(declared []task.Spec, receiverLedger *ledger.Ledger, now time.Time) Records {
	if !c.caughtUp || !c.replay.Complete() {
		return Records{}
	}
	var r Records
	r.Receiver = c.arrivals(receiverLedger)
	eligible := c.eligible(declared)
	if len(eligible) == 0 {
		r.Lost = c.owner.Release(nil, now)
		return r
	}
	r.Lost = c.owner.Decide(c.lostLedger, ownership.Candidates{Live: []string{c.self.Node}}, now)
	r.Lost = append(r.Lost, c.transfers(eligible, len(r.Receiver)+c.countWaitingTasks(receiverLedger), now)...)
	return r
}

// Snapshot returns a snapshot of the lost domain's state if the last one is at least period old, and nil
// otherwise. While no node of the domain writes snapshots, the log's retention would remove the state.
func (c *Case) Snapshot(period time.Duration, now time.Time) *record.Record {
	if !c.caughtUp || !c.replay.Complete() || (!c.snapshotAt.IsZero() && now.Sub(c.snapshotAt) < period) {
		return nil
	}
	state, err := c.lostLedger.Snapshot()
	if err != nil {
		return nil
	}
	c.snapshotAt = now
	body := &record.DomainSnapshot{At: uint64(c.replay.Applied()), State: state}
	return &record.Record{Body: &record.Record_DomainSnapshot{DomainSnapshot: body}}
}

// Release returns the records that release the shards held by the case, for a domain that is no longer lost.
func (c *Case) Release(now time.Time) []*record.Record { return c.owner.Release(nil, now) }

// eligible returns the waiting tasks that may run in another failure domain.
func (c *Case) eligible(declared []task.Spec) []task.Spec {
	var eligible []task.Spec
	for _, spec := range declared {
		if spec.IsService() || spec.OnDomainLoss != manifest.RunElsewhere || c.lostLedger.DepartedTo(spec.ID) != "" {
			continue
		}
		if a := c.lostLedger.Attempt(spec.ID); a != nil && (a.Open || isDone(a, spec)) {
			continue
		}
		eligible = append(eligible, spec)
	}
	return eligible
}

// isDone reports whether a task is not started again after its last attempt has ended.
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

// transfers returns transfer records for eligible tasks, until maxWaitingTasks wait in the receiving domain.
func (c *Case) transfers(eligible []task.Spec, waiting int, now time.Time) []*record.Record {
	var records []*record.Record
	for _, spec := range eligible {
		if waiting+len(records) >= maxWaitingTasks {
			break
		}
		shard := c.lostLedger.ShardOf(spec.ID)
		if _, held := c.owner.Holds(shard, now); !held {
			continue
		}
		body := &record.Transfer{Task: spec.ID, From: c.owner.Token(shard), ToDomain: c.receivingDomain}
		if a := c.lostLedger.Attempt(spec.ID); a != nil {
			body.Attempt = a.Number
		}
		records = append(records, &record.Record{Body: &record.Record_Transfer{Transfer: body}})
	}
	return records
}

// arrivals returns an arrival record for each accepted transfer that the receiving domain has not read yet.
func (c *Case) arrivals(receiverLedger *ledger.Ledger) []*record.Record {
	var records []*record.Record
	for _, id := range c.lostLedger.Departed() {
		if c.lostLedger.DepartedTo(id) == c.receivingDomain && !receiverLedger.IsGuest(id) {
			records = append(records, c.lostLedger.Arrival(id, c.lostDomain))
		}
	}
	return records
}

// countWaitingTasks counts the tasks moved to the receiving domain that have had no attempt there, or whose
// last attempt there was lost. The arrival record enters an earlier attempt in the lost domain as lost.
func (c *Case) countWaitingTasks(receiverLedger *ledger.Ledger) int {
	count := 0
	for _, id := range receiverLedger.Guests() {
		a := receiverLedger.Attempt(id)
		if a == nil || (!a.Open && a.Outcome == record.Outcome_OUTCOME_LOST) {
			count++
		}
	}
	return count
}
