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

// BatchTracker identifies the batches that this node wrote. *journal.Writer implements it.
type BatchTracker interface {
	// Confirm returns the time noted just before the batch was first sent, from which the leases of the claims
	// in it are counted. It returns false for another writer's batch.
	Confirm(b *record.Batch) (time.Time, bool)
}

// Failover moves the waiting tasks of one lost failure domain to this node's failure domain.
type Failover struct {
	lostDomain      string
	receivingDomain string
	self            ledger.Writer
	lostLedger      *ledger.Ledger
	owner           *ownership.Owner
	tracker         BatchTracker
	// replay decides which entries may be applied if the log's retention has removed the start of the stream.
	replay   *journal.Replay
	caughtUp bool
	// snapshotAt is when the failover last wrote a snapshot of the lost domain's state.
	snapshotAt time.Time
}

// New returns a failover that has not read any of the lost domain's stream yet. receivingDomain is this node's
// own failure domain. tracker and replay are those of the lost domain's stream.
func New(lost, receivingDomain string, self ledger.Writer, claimLease time.Duration, tracker BatchTracker, replay *journal.Replay) *Failover {
	return &Failover{
		lostDomain:      lost,
		receivingDomain: receivingDomain,
		self:            self,
		lostLedger:      ledger.New(),
		owner:           ownership.NewOwner(self, lost, claimLease),
		tracker:         tracker,
		replay:          replay,
	}
}

// Apply applies entries of the lost domain's stream. A call without entries means that the end of the stream
// has been reached.
func (f *Failover) Apply(deliveries []journal.Delivery, now time.Time) {
	for _, d := range deliveries {
		if d, applicable := f.replay.Admit(d); applicable {
			f.apply(d, now)
			continue
		}
		for _, r := range d.Batch.GetRecords() {
			if snapshot := r.GetDomainSnapshot(); snapshot != nil {
				f.restore(snapshot, now)
			}
		}
	}
	if len(deliveries) == 0 {
		f.caughtUp = true
	}
}

func (f *Failover) apply(d journal.Delivery, now time.Time) {
	if d.Batch == nil {
		return
	}
	sent, own := f.tracker.Confirm(d.Batch)
	f.owner.Observe(f.lostLedger, f.lostLedger.Apply(d.Offset, d.Batch, now), sent, own)
}

// restore replaces the state with a snapshot from the stream, if the snapshot covers what is missing.
func (f *Failover) restore(snapshot *record.DomainSnapshot, now time.Time) {
	at := platform.Offset(snapshot.GetAt())
	if !f.replay.CompletedBy(at) {
		return
	}
	restored, err := ledger.Restore(snapshot.GetState(), now)
	if err != nil {
		return
	}
	f.lostLedger = restored
	f.owner.DropAll()
	for _, d := range f.replay.SnapshotRestored(at) {
		f.apply(d, now)
	}
}

// Records holds the records that a failover asks its caller to append.
type Records struct {
	// LostDomain holds the records for the lost domain's stream.
	LostDomain []*record.Record
	// ReceivingDomain holds the records for the stream of this node's own domain.
	ReceivingDomain []*record.Record
}

// Arrival is an arrival record for the stream of a domain.
type Arrival struct {
	Domain string
	Record *record.Record
}

// Decide returns the records to append at now. declared holds the lost domain's tasks under the
// active manifest; receiverLedger is the ledger of this node's own domain.
func (f *Failover) Decide(declared []task.Spec, receiverLedger *ledger.Ledger, now time.Time) Records {
	if !f.caughtUp || !f.replay.Complete() {
		return Records{}
	}
	var r Records
	r.ReceivingDomain = f.arrivals(receiverLedger)
	eligible := f.eligible(declared)
	if len(eligible) == 0 {
		r.LostDomain = f.owner.Release(nil, now)
		return r
	}
	r.LostDomain = f.owner.Decide(f.lostLedger, ownership.Candidates{Live: []string{f.self.Node}}, now)
	r.LostDomain = append(r.LostDomain, f.transfers(eligible, len(r.ReceivingDomain)+f.countWaitingTasks(receiverLedger), now)...)
	return r
}

// Snapshot returns a snapshot of the lost domain's state if the last one is at least period old, and nil
// otherwise. While no node of the domain writes snapshots, the log's retention would remove the state.
func (f *Failover) Snapshot(period time.Duration, now time.Time) *record.Record {
	if !f.caughtUp || !f.replay.Complete() || (!f.snapshotAt.IsZero() && now.Sub(f.snapshotAt) < period) {
		return nil
	}
	state, err := f.lostLedger.Snapshot()
	if err != nil {
		return nil
	}
	f.snapshotAt = now
	body := &record.DomainSnapshot{At: uint64(f.replay.Applied()), State: state}
	return &record.Record{Body: &record.Record_DomainSnapshot{DomainSnapshot: body}}
}

// NotSent tells the failover that records for the lost domain's stream will not be written.
func (f *Failover) NotSent(records ...*record.Record) { f.owner.NotSent(records...) }

// Release returns the records that release the shards held by the failover, for a domain that is no longer
// lost.
func (f *Failover) Release(now time.Time) []*record.Record { return f.owner.Release(nil, now) }

// eligible returns the waiting tasks that may run in another failure domain.
func (f *Failover) eligible(declared []task.Spec) []task.Spec {
	var eligible []task.Spec
	for _, spec := range declared {
		if spec.IsService() || spec.OnDomainLoss != manifest.RunElsewhere || f.lostLedger.TransferredTo(spec.ID) != "" {
			continue
		}
		if a := f.lostLedger.Attempt(spec.ID); a != nil && (a.Open || isDone(a, spec)) {
			continue
		}
		eligible = append(eligible, spec)
	}
	return eligible
}

// isDone reports whether a task of the active manifest is not started again after its last attempt has ended. A cancelled attempt does
// not matter: the manifest contains the task.
func isDone(a *ledger.Attempt, spec task.Spec) bool {
	switch a.Outcome {
	case record.Outcome_OUTCOME_FINISHED:
		return true
	case record.Outcome_OUTCOME_FAILED:
		return a.Failures >= spec.MaxFailures
	default:
		return false
	}
}

// transfers returns transfer records for eligible tasks, until maxWaitingTasks wait in the receiving domain.
func (f *Failover) transfers(eligible []task.Spec, waiting int, now time.Time) []*record.Record {
	var records []*record.Record
	for _, spec := range eligible {
		if waiting+len(records) >= maxWaitingTasks {
			break
		}
		shard := f.lostLedger.ShardOf(spec.ID)
		if _, held := f.owner.Authority(shard, now); !held {
			continue
		}
		body := &record.Transfer{Task: spec.ID, From: f.owner.Token(shard), ToDomain: f.receivingDomain}
		if a := f.lostLedger.Attempt(spec.ID); a != nil {
			body.Attempt = a.Number
		}
		records = append(records, &record.Record{Body: &record.Record_Transfer{Transfer: body}})
	}
	return records
}

// arrivals returns an arrival record for each accepted transfer that the receiving domain has not read yet.
func (f *Failover) arrivals(receiverLedger *ledger.Ledger) []*record.Record {
	var records []*record.Record
	for _, id := range f.lostLedger.TransferredOut() {
		if f.lostLedger.TransferredTo(id) == f.receivingDomain && !receiverLedger.IsTransferredIn(id) {
			records = append(records, f.lostLedger.ArrivalRecord(id, f.lostDomain))
		}
	}
	return records
}

// ArrivalsElsewhere returns the arrival records, by task, of the tasks that were transferred to other domains than this node's. Their
// home domain may have been lost before it wrote them. A repeated arrival has no effect.
func (f *Failover) ArrivalsElsewhere() map[string]Arrival {
	arrivals := make(map[string]Arrival)
	if !f.caughtUp || !f.replay.Complete() {
		return arrivals
	}
	for _, id := range f.lostLedger.TransferredOut() {
		if to := f.lostLedger.TransferredTo(id); to != f.receivingDomain {
			arrivals[id] = Arrival{Domain: to, Record: f.lostLedger.ArrivalRecord(id, f.lostDomain)}
		}
	}
	return arrivals
}

// countWaitingTasks counts the tasks moved to the receiving domain that have had no attempt there, or whose
// last attempt there was lost. The arrival record enters an earlier attempt in the lost domain as lost.
func (f *Failover) countWaitingTasks(receiverLedger *ledger.Ledger) int {
	count := 0
	for _, id := range receiverLedger.TransferredIn() {
		a := receiverLedger.Attempt(id)
		if a == nil || (!a.Open && a.Outcome == record.Outcome_OUTCOME_LOST) {
			count++
		}
	}
	return count
}
