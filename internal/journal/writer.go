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
	// batchDelay is how long a record waits for others that can be appended in the same batch.
	batchDelay = 20 * time.Millisecond
	// maxBatchRecords is the maximum number of queued records in one batch.
	maxBatchRecords = 512
	// appendTimeout is the timeout of one append.
	appendTimeout = 5 * time.Second
	// appendOverdue is the time after which an unanswered append counts as failed.
	appendOverdue = 2 * time.Second
	// confirmWait is the minimum time to wait for a batch whose reply was lost to be read back before it is
	// appended again.
	confirmWait = time.Second
	// firstRetryDelay and maxRetryDelay are the limits of the exponential back-off, before jitter.
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// Writer appends records to one stream in batches, in order. Each batch takes effect at most once.
//
// A batch keeps its sequence number when it is appended again, so that readers recognize a duplicate that was
// written although the reply was lost.
type Writer struct {
	log     platform.Log
	stream  string
	node    string
	metrics *Metrics
	logger  *zap.Logger
	wake    chan struct{}
	failing atomic.Bool
	// appendStarted is the start time of the current append, or nil.
	appendStarted atomic.Pointer[time.Time]

	mu          sync.Mutex
	incarnation uint64
	queue       []*record.Record
	// renewal is the newest renewal that has not been sent yet, or nil.
	renewal  *record.Record
	sequence uint64
	// unconfirmed holds the batches that have not been read back from the log yet.
	unconfirmed map[batchID]*unconfirmedBatch
	// appending is the number of batches taken from the queue whose append has not finished yet.
	appending int
}

// batchID identifies a batch of this writer.
type batchID struct {
	incarnation uint64
	sequence    uint64
}

// unconfirmedBatch is a batch that has not been read back from the log yet.
type unconfirmedBatch struct {
	// started is a time before the first attempt to append the batch.
	started time.Time
	// confirmed is closed when the batch is known to be in the log.
	confirmed chan struct{}
}

// NewWriter returns a Writer for a stream. Its batches carry the node's name and incarnation.
func NewWriter(log platform.Log, stream, node string, incarnation uint64, metrics *Metrics, logger *zap.Logger) *Writer {
	return &Writer{
		log:         log,
		stream:      stream,
		node:        node,
		incarnation: incarnation,
		metrics:     metrics,
		logger:      logger,
		wake:        make(chan struct{}, 1),
		unconfirmed: make(map[batchID]*unconfirmedBatch),
	}
}

// SetIncarnation sets the incarnation of later batches and restarts their sequence numbers.
func (w *Writer) SetIncarnation(incarnation uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation = incarnation
	w.sequence = 0
}

// Enqueue adds records to the queue. It returns false and adds none if the queue is too long for the class
// of one of them. A renewal replaces an earlier one that has not been sent yet.
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

// UnappendedCount returns the number of queued records plus the number of batches whose append has not finished
// yet.
func (w *Writer) UnappendedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) + w.appending
}

// UnconfirmedCount returns the number of queued records plus the number of batches that have not been read back
// yet. Such a batch may still be written to the log.
func (w *Writer) UnconfirmedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) + len(w.unconfirmed)
}

// Confirm marks a batch as confirmed, since it was read back from the log. It returns a time before the first
// attempt to append the batch, or false if the batch is not an unconfirmed batch of this writer.
func (w *Writer) Confirm(b *record.Batch) (time.Time, bool) {
	if b.GetNode() != w.node {
		return time.Time{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id := batchID{incarnation: b.GetIncarnation(), sequence: b.GetSequence()}
	pending := w.unconfirmed[id]
	if pending == nil {
		return time.Time{}, false
	}
	close(pending.confirmed)
	delete(w.unconfirmed, id)
	return pending.started, true
}

// Failing reports whether the newest append has failed or goes unanswered.
func (w *Writer) Failing() bool {
	started := w.appendStarted.Load()
	return w.failing.Load() || (started != nil && time.Since(*started) > appendOverdue)
}

// ConfirmUpTo marks the batches of the current incarnation up to a sequence number as confirmed, since they are
// in the log according to a snapshot.
func (w *Writer) ConfirmUpTo(sequence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, pending := range w.unconfirmed {
		if id.incarnation == w.incarnation && id.sequence <= sequence {
			close(pending.confirmed)
			delete(w.unconfirmed, id)
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
		for batch, pending := w.nextBatch(); batch != nil; batch, pending = w.nextBatch() {
			if err := w.append(ctx, batch, pending); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

// nextBatch removes the records of the next batch from the queue. It returns nil if there are none.
func (w *Writer) nextBatch() (*record.Batch, *unconfirmedBatch) {
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
	w.appending++
	pending := &unconfirmedBatch{started: time.Now(), confirmed: make(chan struct{})}
	w.unconfirmed[batchID{incarnation: w.incarnation, sequence: w.sequence}] = pending
	return &record.Batch{Node: w.node, Incarnation: w.incarnation, Sequence: w.sequence, Records: records}, pending
}

// append retries until the batch is in the log, and fails only when ctx ends. A batch that cannot be encoded is
// discarded.
func (w *Writer) append(ctx context.Context, batch *record.Batch, pending *unconfirmedBatch) error {
	defer w.appendDone()
	data, err := record.Encode(batch)
	if err != nil {
		w.metrics.Unencodable.Add(len(batch.GetRecords()))
		w.logger.Error("failed to encode records", zap.String("stream", w.stream), zap.Error(err))
		w.Confirm(batch)
		return nil
	}
	backOff := newBackOff()
	for {
		err := w.appendOnce(ctx, data)
		if err == nil {
			return nil
		}
		w.metrics.AppendFailures.Inc()
		wait := backOff.NextBackOff()
		if verdict.Of(err) != verdict.NotRun {
			wait = max(wait, confirmWait)
		}
		if pending.waitConfirmed(ctx, wait) {
			w.metrics.ConfirmedByReading.Inc()
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		w.metrics.Repeated.Inc()
	}
}

func (w *Writer) appendDone() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appending--
}

// waitConfirmed waits for at most d until the batch is confirmed, and reports whether it was.
func (b *unconfirmedBatch) waitConfirmed(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-b.confirmed:
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
	w.appendStarted.Store(&now)
	defer w.appendStarted.Store(nil)
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
