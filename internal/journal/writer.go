package journal

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

const (
	// batchDelay is how long a record waits for others to share its append.
	batchDelay = 20 * time.Millisecond
	// maxBatchRecords bounds the records of one append.
	maxBatchRecords = 512
	// maxQueuedRecords bounds the records that wait to be appended.
	maxQueuedRecords = 16384
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
)

// Writer appends records to one stream in batches, in order and each batch at most once in effect.
//
// A batch keeps its sequence number over all tries, so that a copy that landed although its reply was
// lost is recognised by every reader.
type Writer struct {
	log         platform.Log
	stream      string
	node        string
	incarnation uint64
	metrics     *Metrics
	logger      *zap.Logger
	wake        chan struct{}

	mu       sync.Mutex
	queue    []*record.Record
	sequence uint64
	// settled is the highest own sequence number that was read back.
	settled uint64
	// started gives the time before the first try of each batch that is not yet read back.
	started map[uint64]time.Time
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
		started:     make(map[uint64]time.Time),
	}
}

// Enqueue adds records to be appended. It returns false, and takes none, when the queue is full.
func (w *Writer) Enqueue(records ...*record.Record) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue)+len(records) > maxQueuedRecords {
		w.metrics.QueueFull.Add(len(records))
		return false
	}
	w.queue = append(w.queue, records...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return true
}

// Queued returns the number of records that wait to be appended.
func (w *Writer) Queued() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue)
}

// Settle tells the writer that a batch was read back from the log. It returns the time before the
// batch's first try, or false when the batch is not one of this writer's.
func (w *Writer) Settle(b *record.Batch) (time.Time, bool) {
	if b.GetNode() != w.node || b.GetIncarnation() != w.incarnation {
		return time.Time{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	sent, known := w.started[b.GetSequence()]
	delete(w.started, b.GetSequence())
	w.settled = max(w.settled, b.GetSequence())
	return sent, known
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
		for batch := w.next(); batch != nil; batch = w.next() {
			if err := w.append(ctx, batch); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

// next takes the next batch from the queue, or nil.
func (w *Writer) next() *record.Batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), maxBatchRecords)
	if n == 0 {
		return nil
	}
	records := w.queue[:n:n]
	w.queue = w.queue[n:]
	w.sequence++
	w.started[w.sequence] = time.Now()
	return &record.Batch{Node: w.node, Incarnation: w.incarnation, Sequence: w.sequence, Records: records}
}

// append tries until the batch is in the log.
func (w *Writer) append(ctx context.Context, batch *record.Batch) error {
	data, err := record.Encode(batch)
	if err != nil {
		w.metrics.Unencodable.Add(len(batch.GetRecords()))
		w.logger.Error("records cannot be encoded", zap.String("stream", w.stream), zap.Error(err))
		return nil
	}
	retry := newBackOff()
	for first := true; ; first = false {
		if !first && w.isSettled(batch.GetSequence()) {
			w.metrics.SettledByReading.Inc()
			return nil
		}
		err := w.appendOnce(ctx, data)
		if err == nil {
			return nil
		}
		w.metrics.AppendFailures.Inc()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, retry.NextBackOff())
	}
}

func (w *Writer) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.log.Append(ctx, w.stream, data)
	if err == nil {
		w.metrics.Appends.Inc()
		w.metrics.BytesAppended.Add(len(data))
	}
	return err
}

func (w *Writer) isSettled(sequence uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settled >= sequence
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 2 * time.Second
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
