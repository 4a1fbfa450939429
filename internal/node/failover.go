package node

import (
	"context"
	"slices"
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
	"cactuswall.example/cactuswall/internal/scheduler"
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
	failovers      map[string]*domainFailover
	// writers holds one writer for each stream. They are kept as long as the node runs, so that no sequence
	// number is used twice in a stream.
	writers map[string]*journal.Writer
	// arrivalsSent holds the IDs of the tasks transferred out of this failure domain or a lost one for which this
	// node has sent an arrival record to the receiving domain.
	arrivalsSent map[string]bool
	nextDecision time.Time
}

// domainFailover is the failover.Failover of one lost domain, with the writer and the follower of the
// domain's stream.
type domainFailover struct {
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
		failovers:      make(map[string]*domainFailover),
		writers:        make(map[string]*journal.Writer),
		arrivalsSent:   make(map[string]bool),
	}
}

// tick starts a failover for each lost domain that this node is responsible for, ends all others, and appends
// the records that the active failovers return.
func (m *failoverManager) tick(now time.Time) {
	activeManifest := m.engine.activeManifest
	if activeManifest == nil || !m.engine.domainStateComplete() || now.Before(m.nextDecision) {
		return
	}
	m.nextDecision = now.Add(failoverInterval)
	m.repeatArrivals(now)
	domains := activeManifest.Manifest.DomainNames()
	live := m.engine.liveNodes(now)
	assigned := make(map[string]bool)
	for _, lost := range m.lossDetector.Observe(domains, live, now) {
		if failover.ResponsibleNode(lost, activeManifest.Manifest.HomeDomains(), live) == m.engine.self.Node && !m.engine.stopping {
			assigned[lost] = true
		}
	}
	for lost := range assigned {
		m.open(lost)
	}
	for _, lost := range m.activeDomains() {
		if !assigned[lost] {
			m.close(lost, now)
			continue
		}
		declared := m.runnable(task.SpecsForDomain(activeManifest.Manifest, activeManifest.Origins, lost), now)
		m.appendRecords(m.failovers[lost], m.failovers[lost].Decide(declared, m.engine.ledger, now), now)
	}
}

// runnable returns the tasks that this failure domain can ever run. The others stay where they are: moved, they would take the places
// of tasks that can run.
func (m *failoverManager) runnable(specs []task.Spec, now time.Time) []task.Spec {
	in := m.engine.planInput(now)
	runnable := make(map[string]bool)
	return slices.DeleteFunc(specs, func(spec task.Spec) bool {
		if spec.IsService() {
			return true
		}
		if _, checked := runnable[spec.Job]; !checked {
			_, never := scheduler.Unschedulable(in, &task.Task{Spec: spec})
			runnable[spec.Job] = !never
		}
		return !runnable[spec.Job]
	})
}

func (m *failoverManager) activeDomains() []string {
	domains := make([]string, 0, len(m.failovers))
	for lost := range m.failovers {
		domains = append(domains, lost)
	}
	sort.Strings(domains)
	return domains
}

func (m *failoverManager) open(lost string) {
	if m.failovers[lost] != nil {
		return
	}
	e := m.engine
	stream := journal.DomainStream(lost)
	writer := m.writer(stream)
	ctx, cancel := context.WithCancel(e.ctx)
	counters := journal.NewMetrics(m.set, stream)
	claimLease := e.settings.Scheduling.ClaimLease.Std()
	f := &domainFailover{
		Failover: failover.New(lost, e.settings.FailureDomain, e.self, claimLease, writer, journal.NewReplay(counters)),
		writer:   writer,
		cancel:   cancel,
	}
	deliver := func(ds []journal.Delivery) {
		e.runAndWait(ctx, func(now time.Time) { f.Apply(ds, now) })
	}
	follower := journal.NewFollower(m.log, stream, 1, deliver, counters, e.logger)
	go func() { _ = follower.Run(ctx) }()
	m.failovers[lost] = f
	e.logger.Warn("failure domain lost; moving its waiting tasks", zap.String("lost", lost))
}

// writer returns this node's only writer to the stream of another failure domain.
func (m *failoverManager) writer(stream string) *journal.Writer {
	if w := m.writers[stream]; w != nil {
		return w
	}
	e := m.engine
	w := journal.NewWriter(m.log, stream, e.self.Node, e.self.Incarnation, journal.NewMetrics(m.set, stream), e.logger)
	m.writers[stream] = w
	go func() { _ = w.Run(e.ctx) }()
	return w
}

// repeatArrivals sends one arrival record for each transferred task of a shard that this node holds to the
// task's receiving domain. The node that moved the task may have failed between writing the transfer and the
// arrival. A second arrival record has no effect.
func (m *failoverManager) repeatArrivals(now time.Time) {
	e := m.engine
	for _, id := range e.ledger.TransferredOut() {
		if m.arrivalsSent[id] {
			continue
		}
		if _, held := e.owner.Authority(e.ledger.ShardOf(id), now); !held {
			continue
		}
		arrival := e.ledger.ArrivalRecord(id, e.settings.FailureDomain)
		m.arrivalsSent[id] = m.writer(journal.DomainStream(e.ledger.TransferredTo(id))).Enqueue(arrival)
	}
}

// close ends the failover of a domain and releases the shards that it holds.
func (m *failoverManager) close(lost string, now time.Time) {
	f := m.failovers[lost]
	f.writer.Enqueue(f.Release(now)...)
	f.cancel()
	delete(m.failovers, lost)
	m.engine.logger.Info("stopped moving tasks out of a failure domain", zap.String("lost", lost))
}

func (m *failoverManager) appendRecords(f *domainFailover, records failover.Records, now time.Time) {
	if !f.writer.Enqueue(records.LostDomain...) {
		f.NotSent(records.LostDomain...)
	}
	if snapshot := f.Snapshot(m.engine.settings.Log.SnapshotPeriod.Std(), now); snapshot != nil {
		f.writer.Enqueue(snapshot)
	}
	m.engine.domainWriter.Enqueue(records.ReceivingDomain...)
	for id, arrival := range f.ArrivalsElsewhere() {
		if !m.arrivalsSent[id] {
			m.arrivalsSent[id] = m.writer(journal.DomainStream(arrival.Domain)).Enqueue(arrival.Record)
		}
	}
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
	if r.Writer != e.self {
		e.evacuationTransfers.transferredByOther(row, t.GetToDomain(), now)
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
