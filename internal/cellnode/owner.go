package cellnode

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cactuswall.example/cactuswall/internal/appender"
	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cell"
	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// jobsReadWait is how long a read of the jobs topic waits for a new record.
	jobsReadWait = 2 * time.Second
	// jobsBatchDelay is the delay between two reads of the jobs topic, so that jobs that arrive together are read together.
	jobsBatchDelay = 15 * time.Millisecond
	// workersReadInterval is the interval between two reads of the workers' entries. No task may be started on a worker
	// more than 2 s after its entry says that it is draining, so the interval is well below that.
	workersReadInterval = 400 * time.Millisecond
	// eventQueueSize is the maximum number of queued events, which are functions run by the goroutine of runEventLoop.
	eventQueueSize = 1024
	// loadRetryDelay is the delay before a failed step of the take-over is retried.
	loadRetryDelay = 100 * time.Millisecond
)

var (
	errClaimEnded = errors.New("claim on the cell has ended")
	errFenced     = errors.New("fenced by a newer owner, or the outcome of storing progress is unknown")
)

// event is a function that the goroutine of runEventLoop runs, and when it was posted.
type event struct {
	postedAt time.Time
	run      func()
}

// owner schedules the jobs of the cell under one claim. Its points in time of type time.Duration are on the clock of
// package boottime.
type owner struct {
	node        *Node
	member      *membership
	epoch       int64
	log         *zap.Logger
	events      chan event
	progress    *appender.Appender
	assignments *appender.Appender // of the topic of the cells
	orderQueues *orderQueues
	claimedAt   time.Duration
	// formerLeasesEnd is when all leases on workers that previous owners renewed have expired.
	formerLeasesEnd time.Duration
	// former is the claim before the one of this owner, with an empty Address if there is none.
	former claim.Record
	// startsInFlight is the number of start orders that are queued or not answered yet.
	startsInFlight atomic.Int64
	// panicked is set when a call to a worker or the store has panicked.
	panicked atomic.Bool

	// grantsMu protects grants, which decides until when leases on workers may be extended, and statedAt, when the newest statement
	// about them was composed. It may be locked while mu is, not the reverse.
	grantsMu sync.Mutex
	grants   *claim.Grants
	statedAt time.Duration

	// mu protects cell, loaded, jobsReadAt, pendingJobs and pendingAt, which queries read concurrently with runEventLoop.
	mu     sync.Mutex
	cell   *cell.Cell
	loaded bool
	// jobsReadAt is when the latest successful read of the jobs topic returned.
	jobsReadAt time.Duration
	// pendingJobs are the counts of pending jobs by queue at pendingAt; nil before the first query.
	pendingJobs map[string]int
	pendingAt   time.Duration
	// loans are the workers that the owner has promised to other cells, by worker ID; mu protects them.
	loans map[string]loan
	// cellLoad is the load of the cell at loadAt; mu protects both.
	cellLoad cellmap.Load
	loadAt   time.Duration
	// figuresAt is when the figures of the cell were last read; mu protects it.
	figuresAt time.Duration
	// borrowedAt is when workers were last requested from another cell, and neededAt when borrowed ones were last needed.
	// Only the goroutine of followWorkers uses them.
	borrowedAt, neededAt time.Duration

	// The fields from storing to lateness are used only by the goroutine of runEventLoop.
	storing bool // an append of progress records is in flight
	// nextRound is when the next round may be planned after one that the store has rejected for good.
	nextRound time.Duration
	// nextExpiry is when deleteExpired runs next.
	nextExpiry time.Duration
	// fenced is set when the store or a worker has seen a newer owner, or when the outcome of storing progress is
	// unknown.
	fenced            bool
	lastFlush         time.Time // when the last flush ended
	lastFlushDuration time.Duration
	lateness          lateness

	stop context.CancelFunc // stops run; set before the owner is published in membership.owner
	done chan struct{}      // closed when run has returned
}

// newOwner returns the owner under a claim. serial is that of the newest statement about leases under the claim.
func newOwner(m *membership, epoch int64, wait claim.LeaseWait, serial int64) *owner {
	n, log := m.node, m.log.With(zap.Int64("epoch", epoch))
	now, settings := boottime.Now(), *n.cellSettings.Load()
	o := &owner{
		node: n, member: m, epoch: epoch, log: log, loans: make(map[string]loan), events: make(chan event, eventQueueSize), claimedAt: now, formerLeasesEnd: wait.End,
		orderQueues: newOrderQueues(), done: make(chan struct{}), grants: claim.NewGrants(epoch, serial, settings.MaxLease, now),
		cell:     cell.New(settings, epoch, wait.End, log, n.counts),
		lateness: lateness{metrics: n.ownerMetrics, log: log, sched: newSchedLatency().next},
	}
	o.applyGrants()
	o.cell.SetFormerLeases(leaseEnds(wait))
	return o
}

// run loads the state of the cell and then schedules jobs until the claim ends, the owner is fenced or ctx, which stop
// cancels, ends. It renews the leases on workers from the beginning, because loading may take longer than the leases
// last.
func (o *owner) run(ctx context.Context) error {
	defer close(o.done)
	defer o.stop()
	runCtx := ctx // ctx is replaced below
	o.spawn("former leases", func() { o.learnFormerLeases(runCtx) })
	progressEnd, workers, err := o.fenceFormerOwners(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	start := func(work string, f func() error) { group.Go(o.node.guarded(work, f)) }
	start("event loop", func() error { return o.runEventLoop(ctx) })
	start("consents", func() error { return o.gatherConsents(ctx) })
	start("load", func() error {
		jobsEnd, err := o.load(ctx, progressEnd)
		if err != nil {
			return trace.Wrap(err)
		}
		start("store progress", func() error { return o.progress.Run(ctx) })
		start("store assignments", func() error { return o.assignments.Run(ctx) })
		start("follow jobs", func() error { return o.followJobs(ctx, jobsEnd) })
		return o.followWorkers(ctx, workers)
	})
	return group.Wait()
}

// post queues an event to be run by the goroutine of runEventLoop.
func (o *owner) post(ctx context.Context, run func()) {
	select {
	case o.events <- event{postedAt: time.Now(), run: run}:
	case <-ctx.Done():
	}
}

// runEventLoop applies events to the cell, sends the resulting orders and stores the resulting records (see flush).
func (o *owner) runEventLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	timerDue := time.Now()
	o.lateness.begin(timerDue)
	for {
		due := timerDue
		select {
		case e := <-o.events:
			if e.postedAt.Before(due) {
				due = e.postedAt
			}
			o.runEvents(e)
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if o.fenced {
			o.node.counts.FencedOwners.Inc()
			return errFenced
		}
		if !o.member.mayContinue(o.epoch) {
			return errClaimEnded
		}
		if !o.waitForNextFlush(ctx) {
			return ctx.Err()
		}
		wait := o.measuredFlush(ctx, due)
		timer.Reset(wait)
		timerDue = o.lastFlush.Add(wait)
	}
}

// locked calls f with mu held.
func (o *owner) locked(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
}

// runEvents runs an event and all that are queued.
func (o *owner) runEvents(e event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.SetTime(boottime.Now(), time.Now())
	o.runEvent(e)
	o.drainEvents()
}

// measuredFlush calls flush and records when it was due and how long it took. due is when the event or the end of the
// wait that led to the flush occurred.
func (o *owner) measuredFlush(ctx context.Context, due time.Time) (wait time.Duration) {
	if earliest := o.nextFlush(); due.Before(earliest) {
		due = earliest
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	start := time.Now()
	o.cell.ObserveDelay(o.lateness.orderDelay(start.Sub(due)))
	wait = o.flush(ctx)
	o.lastFlush = time.Now()
	o.lastFlushDuration = o.lastFlush.Sub(start)
	o.lateness.flushed(due, start, o.lastFlush)
	if o.lateness.windowEnded(o.lastFlush) {
		o.cell.SetRoundTime(o.lateness.endWindow(o.lastFlush, o.cell.Workload()))
	}
	return wait
}

// nextFlush returns the earliest time of the next flush.
func (o *owner) nextFlush() time.Time {
	return o.lastFlush.Add(max(minFlushInterval, min(flushDurationFactor*o.lastFlushDuration, maxAdaptiveInterval)))
}

// waitForNextFlush waits until the next flush is due, so that events that arrive together are handled in one flush. It
// returns false if ctx has ended.
func (o *owner) waitForNextFlush(ctx context.Context) bool {
	delay := time.Until(o.nextFlush())
	if delay <= 0 {
		return true
	}
	sleep(ctx, delay)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.SetTime(boottime.Now(), time.Now())
	o.drainEvents()
	return ctx.Err() == nil
}

// drainEvents runs all events that are queued now.
func (o *owner) drainEvents() {
	for {
		select {
		case e := <-o.events:
			o.runEvent(e)
		default:
			return
		}
	}
}

func (o *owner) runEvent(e event) {
	o.lateness.eventRuns(e.postedAt)
	e.run()
}

const (
	// maxFlushWait and minFlushWait limit the time until the next flush if no event arrives.
	maxFlushWait = 200 * time.Millisecond
	minFlushWait = 2 * time.Millisecond
	// minFlushInterval is the minimum time between two flushes. If flushDurationFactor times the duration of the last
	// flush is longer, as on a slow machine, that is the minimum instead, up to maxAdaptiveInterval.
	minFlushInterval    = 4 * time.Millisecond
	flushDurationFactor = 2
	maxAdaptiveInterval = 25 * time.Millisecond
	// rejectedRoundDelay is the delay before the next round after one that the store has rejected for good.
	rejectedRoundDelay = time.Second
	// expiryInterval is the interval at which jobs whose state no longer has to be reported are deleted.
	expiryInterval = time.Second
)

// flush sends the orders that are due and stores new decisions, as far as the claim permits. It returns the time until
// the next flush.
func (o *owner) flush(ctx context.Context) (wait time.Duration) {
	now := boottime.Now()
	o.cell.SetTime(now, time.Now())
	o.setEvacuations()
	extends := o.applyGrants()
	o.cell.Tick()
	decide := o.loaded && extends && o.member.mayDecide(o.epoch)
	if o.member.mayRenewWorkerLeases(o.epoch) {
		o.send(ctx, o.cell.TakeOrders(decide))
	}
	if decide && !o.storing && now >= o.nextRound {
		o.storeRound(ctx, o.cell.Plan())
	}
	if decide && now >= o.nextExpiry {
		o.nextExpiry = now + expiryInterval
		o.deleteExpired(ctx)
	}
	return min(maxFlushWait, max(minFlushWait, o.cell.NextDue()-now))
}

// storeRound stores the records of a round, which holds the decisions of one call of Cell.Plan, and then sends its
// start orders. It does not wait for the store; roundStored handles the result.
func (o *owner) storeRound(ctx context.Context, round *cell.Round) {
	if round.Empty() {
		return
	}
	if len(round.Records) == 0 {
		o.sendStarts(ctx, o.cell.RoundStored(round))
		return
	}
	o.storing = true
	o.lateness.roundBegan = time.Now()
	o.spawn("store round", func() {
		err := o.progress.AppendInOrder(ctx, round.Records)
		o.post(ctx, func() {
			o.lateness.roundStored()
			o.roundStored(ctx, round, err)
		})
	})
}

// deleteExpired deletes jobs whose state no longer has to be reported.
func (o *owner) deleteExpired(ctx context.Context) {
	expired := o.cell.ExpireJobs()
	if len(expired.Records) == 0 {
		return
	}
	o.spawn("delete expired", func() {
		err := o.node.jobsAppender.AppendInOrder(ctx, expired.Records)
		o.post(ctx, func() {
			if err != nil {
				o.log.Info("failed to delete ended jobs", zap.Int("records", len(expired.Records)), zap.Error(err))
				o.cell.ExpiredNotDeleted(expired)
				return
			}
			o.cell.ExpiredDeleted(expired)
		})
	})
}

// roundStored handles the result of storing a round. If the round was stored, it sends the start orders, or leaves them
// to the next round if the claim does not permit them now. If the round, or the last part of it, was not stored, it returns the round to
// the cell. If the owner was fenced or the outcome is unknown, it gives up ownership.
func (o *owner) roundStored(ctx context.Context, round *cell.Round, err error) {
	o.storing = false
	switch {
	case err == nil:
		if o.member.mayDecide(o.epoch) {
			o.sendStarts(ctx, o.cell.RoundStored(round))
			return
		}
		// The records are stored, but the claim may have expired, so the starts wait for the next renewal.
		o.cell.PostponeStarts(round)
	case verdict.Of(err) == verdict.NotRun && !store.HasReason(err, store.ReasonFenced):
		o.log.Warn("progress not stored", zap.Error(err))
		o.cell.RoundNotStored(round)
		if store.HasReason(err, store.ReasonRejected) || store.HasReason(err, appender.ReasonTooLarge) {
			o.nextRound = boottime.Now() + rejectedRoundDelay
		}
	default:
		o.log.Warn("progress may not have been stored, giving up ownership", zap.Error(err))
		o.fenced = true
	}
}

// followJobs applies jobs and cancellations to the cell as they are stored.
func (o *owner) followJobs(ctx context.Context, from store.Offset) error {
	f := &follower{store: o.node.platform.Store, partition: jobsPartition, wait: jobsReadWait, listed: true, nextOffset: from}
	for ctx.Err() == nil {
		records, err := f.next(ctx)
		if err != nil {
			o.node.recordStoreFailure("read jobs", err)
			sleep(ctx, readRetryDelay)
			continue
		}
		o.node.recordStoreSuccess()
		if err := o.learnCells(ctx, records); err != nil {
			return trace.Wrap(err)
		}
		o.post(ctx, func() {
			o.jobsReadAt = boottime.Now()
			o.cell.SetCell(o.member.cell, len(o.node.cells.table().Plan().Cells))
			for _, r := range records {
				o.cell.ApplyJobRecord(r)
			}
		})
		sleep(ctx, jobsBatchDelay)
	}
	return ctx.Err()
}

// learnCells returns once this node knows all cells that the records of jobs name, or that they do not exist. A node names a
// cell only if the store has it in the plan, but this node may read the plan later than the job.
func (o *owner) learnCells(ctx context.Context, records []store.Record) error {
	known := len(o.node.cells.table().Plan().Cells)
	if !slices.ContainsFunc(records, func(r store.Record) bool { return jobrecord.JobCell(r.Key) >= known }) {
		return nil
	}
	for ctx.Err() == nil {
		err := o.node.cells.catchUp(ctx)
		if err == nil {
			return nil
		}
		o.node.recordStoreFailure("read cells", err)
		sleep(ctx, readRetryDelay)
	}
	return ctx.Err()
}
