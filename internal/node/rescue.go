package node

import (
	"context"
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/rescue"
	"cactuswall.example/cactuswall/internal/task"
)

// rescuePeriod is the time between two decisions on lost failure domains.
const rescuePeriod = time.Second

// rescuer runs the rescue of lost failure domains by this node.
type rescuer struct {
	engine *engine
	log    platform.Log
	set    *metrics.Set
	moved  *metrics.Counter
	watch  *rescue.Watch
	cases  map[string]*rescueCase
	// writers are kept for the life of the node, so that no sequence number is used twice in a stream.
	writers map[string]*journal.Writer
	// repeated holds the departed tasks whose arrival this node has sent to the receiving domain.
	repeated map[string]bool
	due      time.Time
}

// rescueCase is one case with its connection to the lost domain's stream.
type rescueCase struct {
	*rescue.Case
	writer *journal.Writer
	// cancel ends the following of the stream.
	cancel context.CancelFunc
}

func newRescuer(e *engine, log platform.Log, set *metrics.Set) *rescuer {
	return &rescuer{
		engine:   e,
		log:      log,
		set:      set,
		moved:    set.NewCounter("cactuswall_tasks_taken_over_total"),
		watch:    rescue.NewWatch(e.settings.Scheduling.DomainLossAfter.Std()),
		cases:    make(map[string]*rescueCase),
		writers:  make(map[string]*journal.Writer),
		repeated: make(map[string]bool),
	}
}

// tick opens a case for each lost domain that is this node's to rescue, closes the others, and carries out
// what the open cases decide.
func (r *rescuer) tick(now time.Time) {
	inForce := r.engine.inForce
	if inForce == nil || !r.engine.current() || now.Before(r.due) {
		return
	}
	r.due = now.Add(rescuePeriod)
	r.repeatArrivals(now)
	domains := inForce.Manifest.DomainNames()
	live := r.engine.liveNodes(now)
	mine := make(map[string]bool)
	for _, lost := range r.watch.Observe(domains, live, now) {
		if rescue.Rescuer(lost, domains, live) == r.engine.self.Node && !r.engine.stopping {
			mine[lost] = true
		}
	}
	for lost := range mine {
		r.open(lost)
	}
	for _, lost := range r.openDomains() {
		if !mine[lost] {
			r.close(lost, now)
			continue
		}
		declared := task.Declared(inForce.Manifest, inForce.Origins, lost)
		r.carryOut(r.cases[lost], r.cases[lost].Decide(declared, r.engine.ledger, now), now)
	}
}

func (r *rescuer) openDomains() []string {
	domains := make([]string, 0, len(r.cases))
	for lost := range r.cases {
		domains = append(domains, lost)
	}
	sort.Strings(domains)
	return domains
}

func (r *rescuer) open(lost string) {
	if r.cases[lost] != nil {
		return
	}
	e := r.engine
	stream := journal.DomainStream(lost)
	writer := r.writer(stream)
	ctx, cancel := context.WithCancel(e.ctx)
	counters := journal.NewMetrics(r.set, stream)
	claimLease := e.settings.Scheduling.ClaimLease.Std()
	c := &rescueCase{
		Case:   rescue.NewCase(lost, e.settings.FailureDomain, e.self, claimLease, writer, journal.NewReplay(counters)),
		writer: writer,
		cancel: cancel,
	}
	deliver := func(ds []journal.Delivery) {
		e.ask(ctx, func(now time.Time) { c.Take(ds, now) })
	}
	follower := journal.NewFollower(r.log, stream, 1, deliver, counters, e.logger)
	go func() { _ = follower.Run(ctx) }()
	r.cases[lost] = c
	e.logger.Warn("failure domain is lost", zap.String("lost", lost))
}

// writer returns the node's one writer to another domain's stream.
func (r *rescuer) writer(stream string) *journal.Writer {
	if w := r.writers[stream]; w != nil {
		return w
	}
	e := r.engine
	w := journal.NewWriter(r.log, stream, e.self.Node, e.self.Incarnation, journal.NewMetrics(r.set, stream), e.logger)
	r.writers[stream] = w
	go func() { _ = w.Run(e.ctx) }()
	return w
}

// repeatArrivals tells the receiving domains of every departed task of an own shard, once. The rescuer may
// have died between the transfer and the arrival; an arrival that is there already changes nothing.
func (r *rescuer) repeatArrivals(now time.Time) {
	e := r.engine
	for _, id := range e.ledger.Departed() {
		if r.repeated[id] {
			continue
		}
		if _, held := e.owner.Holds(e.ledger.ShardOf(id), now); !held {
			continue
		}
		arrival := e.ledger.Arrival(id, e.settings.FailureDomain)
		r.repeated[id] = r.writer(journal.DomainStream(e.ledger.DepartedTo(id))).Enqueue(arrival)
	}
}

// close ends a case and gives up what it holds.
func (r *rescuer) close(lost string, now time.Time) {
	c := r.cases[lost]
	c.writer.Enqueue(c.Release(now)...)
	c.cancel()
	delete(r.cases, lost)
	r.engine.logger.Info("rescue of a failure domain has ended", zap.String("lost", lost))
}

func (r *rescuer) carryOut(c *rescueCase, records rescue.Records, now time.Time) {
	c.writer.Enqueue(records.Lost...)
	if snapshot := c.Snapshot(r.engine.settings.Log.SnapshotPeriod.Std(), now); snapshot != nil {
		c.writer.Enqueue(snapshot)
	}
	r.engine.domainWriter.Enqueue(records.Receiver...)
}

// liveNodes returns the nodes of each failure domain that may be at work.
func (e *engine) liveNodes(now time.Time) map[string][]string {
	live := make(map[string][]string)
	for _, m := range e.members.All() {
		if e.members.StateOf(m.Node, now) != membership.Dead {
			live[m.FailureDomain] = append(live[m.FailureDomain], m.Node)
		}
	}
	return live
}

// takeTransfer applies a transfer of the domain's own stream.
func (e *engine) takeTransfer(r ledger.Result, t *record.Transfer, now time.Time) {
	row := e.taskRow.Get(t.GetTask())
	if r.Rejection != ledger.Accepted || row == nil {
		return
	}
	if t.GetToDomain() == "" {
		e.taskRow.Move(row, e.ledger.ShardOf(row.ID))
		return
	}
	row.Set(task.Departed, "moved to failure domain "+t.GetToDomain(), now)
}

// takeArrival adds a task that another domain has given to this one.
func (e *engine) takeArrival(r ledger.Result) {
	if r.Rejection != ledger.Accepted {
		return
	}
	e.rescuer.moved.Inc()
	if e.inForce != nil {
		e.syncTasks(time.Now())
	}
}
