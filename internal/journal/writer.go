package journal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// batchDelay is how long a record waits for others to share its append.
	batchDelay = 20 * time.Millisecond
	// maxBatchRecords bounds the records of one append.
	maxBatchRecords = 512
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
	// appendGrace is how long an append may take until the log counts as out of reach.
	appendGrace = 2 * time.Second
	// settleWait is how long a batch whose reply was lost is looked for in the stream before it is
	// appended again.
	settleWait = time.Second
	// firstRetryDelay and maxRetryDelay bound the wait between two tries, jitter apart.
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// Writer appends records to one stream in batches, in order and each batch at most once in effect.
//
// A batch keeps its sequence number over all tries, so that a copy that landed although its reply was
// lost is recognised by every reader.
type Writer struct {
	log     platform.Log
	stream  string
	node    string
	metrics *Metrics
	logger  *zap.Logger
	wake    chan struct{}
	failing atomic.Bool
	// asked is when the append that is under way began, or nil.
	asked atomic.Pointer[time.Time]

	mu          sync.Mutex
	incarnation uint64
	queue       []*record.Record
	// renewal is the newest renewal that is still to be sent, or nil.
	renewal  *record.Record
	sequence uint64
	// open holds the batches that are not yet read back.
	open map[batchID]*openBatch
	// landing counts the batches taken from the queue whose append is not yet confirmed.
	landing int
}

// batchID names a batch of this writer.
type batchID struct {
	incarnation uint64
	sequence    uint64
}

// openBatch is a batch that is not yet read back.
type openBatch struct {
	// started is the time before the first try.
	started time.Time
	// settled is closed when the batch is read back.
	settled chan struct{}
}

// NewWriter returns a writer that stamps its batches with the node's name and incarnation.
func NewWriter(log platform.Log, stream, node string, incarnation uint64, metrics *Metrics, logger *zap.Logger) *Writer {
	return &Writer{
		log:         log,
		stream:      stream,
		node:        node,
		incarnation: incarnation,
		metrics:     metrics,
		logger:      logger,
		wake:        make(chan struct{}, 1),
		open:        make(map[batchID]*openBatch),
	}
}

// SetIncarnation changes the incarnation of later batches.
func (w *Writer) SetIncarnation(incarnation uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation = incarnation
	w.sequence = 0
}

// Enqueue adds records to be appended. It returns false, and takes none, when the queue is too long for
// the class of one of them. A renewal replaces an earlier one that is still to be sent.
func (w *Writer) Enqueue(records ...*record.Record) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range records {
		class := ClassOf(r)
		if len(w.queue)+len(records) > classLimits[class] && r.GetRenewal() == nil {
			w.metrics.QueueFull[class].Add(len(records))
			return false
		}
	}
	for _, r := range records {
		if r.GetRenewal() != nil {
			w.renewal = r
			continue
		}
		w.queue = append(w.queue, r)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return true
}

// Queued returns the number of records and batches that are not yet confirmed by the log.
func (w *Writer) Queued() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) + w.landing
}

// Unsettled returns the number of records that wait and of batches that are not yet read back. Such a
// batch may still land.
func (w *Writer) Unsettled() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) + len(w.open)
}

// Settle tells the writer that a batch was read back from the log. It returns the time before the
// batch's first try, or false when the batch is not one of this writer's.
func (w *Writer) Settle(b *record.Batch) (time.Time, bool) {
	if b.GetNode() != w.node {
		return time.Time{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id := batchID{incarnation: b.GetIncarnation(), sequence: b.GetSequence()}
	open := w.open[id]
	if open == nil {
		return time.Time{}, false
	}
	close(open.settled)
	delete(w.open, id)
	return open.started, true
}

// Failing reports whether the newest append has failed or goes unanswered.
func (w *Writer) Failing() bool {
	asked := w.asked.Load()
	return w.failing.Load() || (asked != nil && time.Since(*asked) > appendGrace)
}

// SettleUpTo tells the writer that its batches up to a sequence number are in the log, as a snapshot says.
func (w *Writer) SettleUpTo(sequence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, open := range w.open {
		if id.incarnation == w.incarnation && id.sequence <= sequence {
			close(open.settled)
			delete(w.open, id)
		}
	}
}

// Run appends queued records until ctx ends.
func (w *Writer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.wake:
		}
		sleep(ctx, batchDelay)
		for batch, open := w.next(); batch != nil; batch, open = w.next() {
			if err := w.append(ctx, batch, open); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

// next takes the next batch from the queue, or nil.
func (w *Writer) next() (*record.Batch, *openBatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), maxBatchRecords)
	records := append([]*record.Record(nil), w.queue[:n]...)
	w.queue = w.queue[n:]
	if w.renewal != nil {
		records = append(records, w.renewal)
		w.renewal = nil
	}
	if len(records) == 0 {
		return nil, nil
	}
	w.sequence++
	w.landing++
	open := &openBatch{started: time.Now(), settled: make(chan struct{})}
	w.open[batchID{incarnation: w.incarnation, sequence: w.sequence}] = open
	return &record.Batch{Node: w.node, Incarnation: w.incarnation, Sequence: w.sequence, Records: records}, open
}

// append tries until the batch is in the log.
func (w *Writer) append(ctx context.Context, batch *record.Batch, open *openBatch) error {
	defer w.landed()
	data, err := record.Encode(batch)
	if err != nil {
		w.metrics.Unencodable.Add(len(batch.GetRecords()))
		w.logger.Error("records cannot be encoded", zap.String("stream", w.stream), zap.Error(err))
		w.Settle(batch)
		return nil
	}
	retry := newBackOff()
	for {
		err := w.appendOnce(ctx, data)
		if err == nil {
			return nil
		}
		w.metrics.AppendFailures.Inc()
		wait := retry.NextBackOff()
		if verdict.Of(err) != verdict.NotRun {
			wait = max(wait, settleWait)
		}
		if open.await(ctx, wait) {
			w.metrics.SettledByReading.Inc()
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		w.metrics.Repeated.Inc()
	}
}

func (w *Writer) landed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.landing--
}

// await waits until the batch is read back, at most for d, and reports whether it was.
func (b *openBatch) await(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-b.settled:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

func (w *Writer) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	now := time.Now()
	w.asked.Store(&now)
	defer w.asked.Store(nil)
	_, err := w.log.Append(ctx, w.stream, data)
	w.failing.Store(err != nil)
	if err == nil {
		w.metrics.Appends.Inc()
		w.metrics.BytesAppended.Add(len(data))
	}
	return err
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRetryDelay
	b.MaxInterval = maxRetryDelay
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
