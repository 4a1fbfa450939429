package node

import (
	"context"
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/failover"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/task"
)

// failoverInterval is the time between two checks for lost failure domains.
const failoverInterval = time.Second

// failoverManager moves waiting tasks out of lost failure domains that this node is responsible for.
type failoverManager struct {
	engine         *engine
	log            platform.Log
	set            *metrics.Set
	tasksTakenOver *metrics.Counter
	lossDetector   *failover.LossDetector
	cases          map[string]*failoverCase
	// writers holds one writer for each stream. They are kept as long as the node runs, so that no sequence
	// number is used twice in a stream.
	writers map[string]*journal.Writer
	// arrivalsSent holds the departed tasks for which this node has sent an arrival record to the receiving
	// domain.
	arrivalsSent map[string]bool
	nextDecision time.Time
}

// failoverCase is a failover.Failover with the writer and the follower of the lost domain's stream.
type failoverCase struct {
	*failover.Failover
	writer *journal.Writer
	// cancel stops the follower.
	cancel context.CancelFunc
}

func newFailoverManager(e *engine, log platform.Log, set *metrics.Set) *failoverManager {
	return &failoverManager{
		engine:         e,
		log:            log,
		set:            set,
		tasksTakenOver: set.NewCounter("cactuswall_tasks_taken_over_total"),
		lossDetector:   failover.NewLossDetector(e.settings.Scheduling.DomainLossAfter.Std()),
		cases:          make(map[string]*failoverCase),
		writers:        make(map[string]*journal.Writer),
		arrivalsSent:   make(map[string]bool),
	}
}

// tick opens a case for each lost domain that this node is responsible for, closes all others, and appends
// the records that the open cases return.
func (r *failoverManager) tick(now time.Time) {
	activeManifest := r.engine.activeManifest
	if activeManifest == nil || !r.engine.domainStateComplete() || now.Before(r.nextDecision) {
		return
	}
	r.nextDecision = now.Add(failoverInterval)
	r.repeatArrivals(now)
	domains := activeManifest.Manifest.DomainNames()
	live := r.engine.liveNodes(now)
	assigned := make(map[string]bool)
	for _, lost := range r.lossDetector.Observe(domains, live, now) {
		if failover.ResponsibleNode(lost, domains, live) == r.engine.self.Node && !r.engine.stopping {
			assigned[lost] = true
		}
	}
	for lost := range assigned {
		r.open(lost)
	}
	for _, lost := range r.openDomains() {
		if !assigned[lost] {
			r.close(lost, now)
			continue
		}
		declared := task.SpecsForDomain(activeManifest.Manifest, activeManifest.Origins, lost)
		r.appendRecords(r.cases[lost], r.cases[lost].Decide(declared, r.engine.ledger, now), now)
	}
}

func (r *failoverManager) openDomains() []string {
	domains := make([]string, 0, len(r.cases))
	for lost := range r.cases {
		domains = append(domains, lost)
	}
	sort.Strings(domains)
	return domains
}

func (r *failoverManager) open(lost string) {
	if r.cases[lost] != nil {
		return
	}
	e := r.engine
	stream := journal.DomainStream(lost)
	writer := r.writer(stream)
	ctx, cancel := context.WithCancel(e.ctx)
	counters := journal.NewMetrics(r.set, stream)
	claimLease := e.settings.Scheduling.ClaimLease.Std()
	c := &failoverCase{
		Failover: failover.New(lost, e.settings.FailureDomain, e.self, claimLease, writer, journal.NewReplay(counters)),
		writer:   writer,
		cancel:   cancel,
	}
	deliver := func(ds []journal.Delivery) {
		e.runAndWait(ctx, func(now time.Time) { c.Apply(ds, now) })
	}
	follower := journal.NewFollower(r.log, stream, 1, deliver, counters, e.logger)
	go func() { _ = follower.Run(ctx) }()
	r.cases[lost] = c
	e.logger.Warn("failure domain lost; moving its waiting tasks", zap.String("lost", lost))
}

// writer returns this node's only writer to the stream of another failure domain.
func (r *failoverManager) writer(stream string) *journal.Writer {
	if w := r.writers[stream]; w != nil {
		return w
	}
	e := r.engine
	w := journal.NewWriter(r.log, stream, e.self.Node, e.self.Incarnation, journal.NewMetrics(r.set, stream), e.logger)
	r.writers[stream] = w
	go func() { _ = w.Run(e.ctx) }()
	return w
}

// repeatArrivals sends one arrival record for each transferred task of a shard that this node holds to the
// task's receiving domain. The node that moved the task may have failed between writing the transfer and the
// arrival. A second arrival record has no effect.
func (r *failoverManager) repeatArrivals(now time.Time) {
	e := r.engine
	for _, id := range e.ledger.TransferredOut() {
		if r.arrivalsSent[id] {
			continue
		}
		if _, held := e.owner.Authority(e.ledger.ShardOf(id), now); !held {
			continue
		}
		arrival := e.ledger.ArrivalRecord(id, e.settings.FailureDomain)
		r.arrivalsSent[id] = r.writer(journal.DomainStream(e.ledger.TransferredTo(id))).Enqueue(arrival)
	}
}

// close ends a case and releases the shards that it holds.
func (r *failoverManager) close(lost string, now time.Time) {
	c := r.cases[lost]
	c.writer.Enqueue(c.Release(now)...)
	c.cancel()
	delete(r.cases, lost)
	r.engine.logger.Info("stopped moving tasks out of a failure domain", zap.String("lost", lost))
}

func (r *failoverManager) appendRecords(c *failoverCase, records failover.Records, now time.Time) {
	c.writer.Enqueue(records.LostDomain...)
	if snapshot := c.Snapshot(r.engine.settings.Log.SnapshotPeriod.Std(), now); snapshot != nil {
		c.writer.Enqueue(snapshot)
	}
	r.engine.domainWriter.Enqueue(records.ReceivingDomain...)
}

// liveNodes returns, by failure domain, the nodes that are not known to be dead.
func (e *engine) liveNodes(now time.Time) map[string][]string {
	live := make(map[string][]string)
	for _, m := range e.members.All() {
		if e.members.StateOf(m.Node, now) != membership.Dead {
			live[m.FailureDomain] = append(live[m.FailureDomain], m.Node)
		}
	}
	return live
}

// applyTransfer applies a transfer record in this failure domain's own stream.
func (e *engine) applyTransfer(r ledger.Result, t *record.Transfer, now time.Time) {
	row := e.taskTable.Get(t.GetTask())
	if r.Rejection != ledger.Accepted || row == nil {
		return
	}
	if t.GetToDomain() == "" {
		e.taskTable.SetShard(row, e.ledger.ShardOf(row.ID))
		return
	}
	row.SetState(task.Transferred, "moved to failure domain "+t.GetToDomain(), now)
}

// applyArrival adds a task that was moved from another failure domain to this one.
func (e *engine) applyArrival(r ledger.Result) {
	if r.Rejection != ledger.Accepted {
		return
	}
	e.failoverManager.tasksTakenOver.Inc()
	if e.activeManifest != nil {
		e.syncTasks(time.Now())
	}
}
