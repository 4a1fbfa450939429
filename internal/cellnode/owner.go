package cellnode

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cactuswall.example/cactuswall/internal/appender"
	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cell"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	// progressProducer is the producer of all owners of the cell; their epochs keep them apart.
	progressProducer = "cell-0"
	// jobsReadWait is how long a read of new jobs waits for one.
	jobsReadWait = 2 * time.Second
	// jobsPause gathers jobs that arrive together into one read.
	jobsPause = 15 * time.Millisecond
	// workersPause is between two reads of the workers' entries: a leaving worker is known well within the time
	// after which nothing may start there (2 s).
	workersPause = 400 * time.Millisecond
	// eventQueue bounds the answers that wait for the owner.
	eventQueue = 1024
	// loadPause is between two tries of a step of taking over.
	loadPause = 100 * time.Millisecond
)

var (
	errClaimEnded = errors.New("the claim has ended")
	errFenced     = errors.New("a newer owner has shown itself")
)

// owner acts for the cell under one claim.
type owner struct {
	node     *Node
	epoch    int64
	log      *zap.Logger
	events   chan func()
	progress *appender.Appender
	lanes    *lanes
	claimed  time.Duration

	// mu guards the cell, which questions read beside the owner's own goroutine.
	mu     sync.Mutex
	cell   *cell.Cell
	loaded bool
	// jobsRead is when the newest read of the jobs topic returned.
	jobsRead time.Duration

	// The rest belongs to the owner's goroutine.
	storing bool
	// forgetAt is when jobs that ended long ago are looked for next.
	forgetAt time.Duration
	fenced   bool
	flushed  time.Time // when the tables were looked at last
	took     time.Duration
	stop     context.CancelFunc
	done     chan struct{}
}

func newOwner(n *Node, epoch int64, leasesEnd time.Duration) *owner {
	log := n.log.With(zap.Int64("epoch", epoch))
	now := boottime.Now()
	return &owner{
		node: n, epoch: epoch, log: log, events: make(chan func(), eventQueue), claimed: now,
		lanes: newLanes(), done: make(chan struct{}),
		cell: cell.New(*n.bounds.Load(), epoch, leasesEnd, log, n.counts),
	}
}

// run takes over and acts until the claim ends.
func (o *owner) run(parent context.Context) error {
	defer close(o.done)
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	o.stop = cancel
	jobsEnd, workers, err := o.load(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.progress.Run(ctx) })
	group.Go(func() error { return o.followJobs(ctx, jobsEnd) })
	group.Go(func() error { return o.followWorkers(ctx, workers) })
	group.Go(func() error { return o.act(ctx) })
	return group.Wait()
}

// post hands something to the owner's goroutine.
func (o *owner) post(ctx context.Context, event func()) {
	select {
	case o.events <- event:
	case <-ctx.Done():
	}
}

// act is the owner's goroutine: it takes in what happened and gives the orders that follow.
func (o *owner) act(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case event := <-o.events:
			o.mu.Lock()
			o.cell.At(boottime.Now(), time.Now())
			event()
			o.drain()
			o.mu.Unlock()
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if o.fenced {
			o.node.counts.Fenced.Inc()
			return errFenced
		}
		if !o.node.mayHold(o.epoch) {
			return errClaimEnded
		}
		if !o.rest(ctx) {
			return ctx.Err()
		}
		o.mu.Lock()
		began := time.Now()
		wait := o.flush(ctx)
		o.flushed, o.took = time.Now(), time.Since(began)
		o.mu.Unlock()
		timer.Reset(wait)
	}
}

// rest waits until the next look at the tables is due, so that what arrives together is dealt with together.
func (o *owner) rest(ctx context.Context) bool {
	pause := max(flushPause, min(flushRest*o.took, longestRest)) - time.Since(o.flushed)
	if pause <= 0 {
		return true
	}
	sleep(ctx, pause)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.At(boottime.Now(), time.Now())
	o.drain()
	return ctx.Err() == nil
}

func (o *owner) drain() {
	for {
		select {
		case event := <-o.events:
			event()
		default:
			return
		}
	}
}

const (
	// longestWait bounds the time without a look at the tables.
	longestWait  = 200 * time.Millisecond
	shortestWait = 2 * time.Millisecond
	// flushPause is the least time between two looks at the tables. On a slow machine it is flushRest times what the
	// last look took, and longestRest at the most.
	flushPause  = 4 * time.Millisecond
	flushRest   = 2
	longestRest = 25 * time.Millisecond
	// forgetEvery is between two looks for jobs that ended long ago.
	forgetEvery = time.Second
)

// flush sends the orders that are due and stores what was decided.
func (o *owner) flush(ctx context.Context) (wait time.Duration) {
	now := boottime.Now()
	o.cell.At(now, time.Now())
	o.cell.Tick()
	decide := o.node.mayDecide(o.epoch)
	o.send(ctx, o.cell.Orders(decide))
	if decide && !o.storing {
		o.store(ctx, o.cell.Plan())
	}
	if decide && now >= o.forgetAt {
		o.forgetAt = now + forgetEvery
		o.forget(ctx)
	}
	return min(longestWait, max(shortestWait, o.cell.Next()-now))
}

// store stores a round and then sends its starts.
func (o *owner) store(ctx context.Context, round *cell.Round) {
	if round.Empty() {
		return
	}
	if len(round.Records) == 0 {
		o.sendStarts(ctx, o.cell.Stored(round))
		return
	}
	o.storing = true
	go func() {
		_, err := o.progress.Append(ctx, round.Records)
		o.post(ctx, func() { o.stored(ctx, round, err) })
	}()
}

// forget deletes jobs whose state need not be told any more.
func (o *owner) forget(ctx context.Context) {
	expired := o.cell.Expire()
	if len(expired.Records) == 0 {
		return
	}
	go func() {
		_, err := o.node.accepts.Append(ctx, expired.Records)
		o.post(ctx, func() {
			if err != nil {
				o.log.Info("ended jobs not deleted", zap.Int("records", len(expired.Records)), zap.Error(err))
				o.cell.Keep(expired)
				return
			}
			o.cell.Forgotten(expired)
		})
	}()
}

func (o *owner) stored(ctx context.Context, round *cell.Round, err error) {
	o.storing = false
	switch {
	case err == nil:
		if o.node.mayDecide(o.epoch) {
			o.sendStarts(ctx, o.cell.Stored(round))
			return
		}
		// Stored, but the claim is in doubt: the starts wait for the next renewal.
		o.cell.Postpone(round)
	case verdict.Of(err) == verdict.NotRun && !store.Is(err, store.ReasonFenced):
		o.log.Warn("progress not stored", zap.Error(err))
		o.cell.Return(round)
	default:
		o.log.Warn("progress in doubt", zap.Error(err))
		o.fenced = true
	}
}

func (o *owner) send(ctx context.Context, orders cell.Orders) {
	for _, order := range orders.Holds {
		go func() {
			report, err := o.node.platform.Workers.Hold(ctx, order.To, order.Hold)
			o.post(ctx, func() { o.held(order, report, err) })
		}()
	}
	o.sendStarts(ctx, orders.Starts)
	for _, order := range orders.Stops {
		o.lanes.send(ctx, order.To.ID, func() {
			_, err := o.node.platform.Workers.Stop(ctx, order.To, order.Run, order.Token)
			o.post(ctx, func() { o.fenced = o.cell.StopAnswered(order, err) || o.fenced })
		})
	}
	for _, order := range orders.Paces {
		o.lanes.send(ctx, order.To.ID, func() {
			_, err := o.node.platform.Workers.Pace(ctx, order.To, order.Run, order.Percent, order.Token)
			o.post(ctx, func() { o.fenced = o.cell.PaceAnswered(order, err) || o.fenced })
		})
	}
}

func (o *owner) held(order cell.HoldOrder, report workercall.Report, err error) {
	if err != nil {
		o.fenced = o.cell.HoldFailed(order.To.ID, err) || o.fenced
		return
	}
	o.cell.Reported(order.To.ID, report, order.Sent)
}

func (o *owner) sendStarts(ctx context.Context, starts []cell.StartOrder) {
	for _, order := range starts {
		o.lanes.send(ctx, order.To.ID, func() {
			var answer workercall.Answer
			var err error = errWithdrawn
			if o.wanted(order) {
				answer, err = o.node.platform.Workers.Start(ctx, order.To, order.Start)
			}
			o.post(ctx, func() { o.fenced = o.cell.Started(order, answer, err) || o.fenced })
		})
	}
}

// errWithdrawn is the outcome of a start that was not sent, because meanwhile the run was to be stopped.
var errWithdrawn = verdict.New(verdict.NotRun, workercall.ReasonWithdrawn, nil)

// wanted tells whether a start that waited behind other orders to its worker is still to be sent.
func (o *owner) wanted(order cell.StartOrder) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cell.Wanted(order)
}

// followJobs takes in jobs and cancellations as they are stored.
func (o *owner) followJobs(ctx context.Context, from store.Offset) error {
	f := &follower{store: o.node.platform.Store, partition: jobsPartition, wait: jobsReadWait, listed: true, from: from}
	for ctx.Err() == nil {
		records, err := f.next(ctx)
		if err != nil {
			o.node.storeFailed("read jobs", err)
			sleep(ctx, readPause)
			continue
		}
		o.node.storeAnswered()
		o.post(ctx, func() {
			o.jobsRead = boottime.Now()
			for _, r := range records {
				o.cell.Apply(r)
			}
		})
		sleep(ctx, jobsPause)
	}
	return ctx.Err()
}

// status answers a question about a job; ok is false while the owner cannot tell.
func (o *owner) status(id jobs.ID) (state jobs.State, known, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded {
		return 0, false, false
	}
	state, known = o.cell.Status(id)
	if !known && boottime.Now()-o.jobsRead > jobsFresh {
		return 0, false, false
	}
	return state, known, true
}

// jobsFresh is how old the newest read of jobs may be for an owner to say that it knows no such job.
const jobsFresh = jobsReadWait + 500*time.Millisecond

// pending answers how many accepted jobs of a queue have not begun.
func (o *owner) pending(queue string) (count int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded {
		return 0, false
	}
	return o.cell.Pending()[queue], true
}
