package journal

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

const (
	// readWait is how long the log waits for new entries before it answers a read.
	readWait = 3 * time.Second
	// readOverdue is the time beyond readWait after which an unanswered read counts as failed.
	readOverdue = time.Second
	// readTimeout is the timeout of one read, including readWait.
	readTimeout = readWait + 10*time.Second
)

// Delivery is one entry of a stream as delivered by a Follower.
type Delivery struct {
	Offset platform.Offset
	// Batch is the decoded entry, or nil if it could not be decoded.
	Batch *record.Batch
	// Gap means that the log's retention removed the entries up to Offset before they were read. Batch is nil.
	Gap bool
	// NewerSchema means that the entry has a newer schema version than this program can read. Batch is nil.
	NewerSchema bool
}

// Follower reads one stream from a given offset and delivers all entries in order.
type Follower struct {
	log     platform.Log
	stream  string
	deliver func([]Delivery)
	metrics *Metrics
	logger  *zap.Logger
	next    platform.Offset
	failing atomic.Bool
	// readStarted is the start time of the current read, or nil.
	readStarted atomic.Pointer[time.Time]
}

// NewFollower returns a Follower that reads stream from offset from. deliver is called from one goroutine; an
// empty slice means that the follower has reached the end of the stream.
func NewFollower(log platform.Log, stream string, from platform.Offset, deliver func([]Delivery), metrics *Metrics, logger *zap.Logger) *Follower {
	return &Follower{log: log, stream: stream, deliver: deliver, metrics: metrics, logger: logger, next: max(from, 1)}
}

// Failing reports whether the newest read of the log has failed or goes unanswered.
func (f *Follower) Failing() bool {
	started := f.readStarted.Load()
	return f.failing.Load() || (started != nil && time.Since(*started) > readWait+readOverdue)
}

func (f *Follower) read(ctx context.Context, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	now := time.Now()
	f.readStarted.Store(&now)
	defer f.readStarted.Store(nil)
	return f.log.Read(ctx, f.stream, f.next, wait)
}

// Run reads the stream until ctx ends. Reads return at once until the end of the stream is reached for the
// first time; after that each read waits for new entries.
func (f *Follower) Run(ctx context.Context) error {
	backOff := newBackOff()
	var wait time.Duration
	for ctx.Err() == nil {
		page, err := f.read(ctx, wait)
		if err != nil {
			f.metrics.ReadFailures.Inc()
			if ctx.Err() == nil && f.failing.CompareAndSwap(false, true) {
				f.logger.Warn("failed to read log", zap.String("stream", f.stream), zap.Error(err))
			}
			sleep(ctx, backOff.NextBackOff())
			continue
		}
		if f.failing.CompareAndSwap(true, false) {
			f.logger.Info("log is readable again", zap.String("stream", f.stream))
		}
		backOff.Reset()
		if len(page.Entries) == 0 {
			wait = readWait
		}
		f.deliver(f.decode(page))
	}
	return ctx.Err()
}

func (f *Follower) decode(page platform.Page) []Delivery {
	deliveries := make([]Delivery, 0, len(page.Entries)+1)
	if page.Oldest > f.next {
		f.metrics.Gaps.Inc()
		f.logger.Warn("log retention removed entries before they were read", zap.String("stream", f.stream),
			zap.Uint64("from", uint64(f.next)), zap.Uint64("to", uint64(page.Oldest-1)))
		deliveries = append(deliveries, Delivery{Offset: page.Oldest - 1, Gap: true})
		f.next = page.Oldest
	}
	for _, e := range page.Entries {
		if e.Offset < f.next {
			continue
		}
		f.metrics.EntriesRead.Inc()
		f.metrics.BytesRead.Add(len(e.Data))
		deliveries = append(deliveries, f.decodeEntry(e))
		f.next = e.Offset + 1
	}
	f.next = max(f.next, page.Next)
	return deliveries
}

func (f *Follower) decodeEntry(e platform.Entry) Delivery {
	batch, err := record.Decode(e.Data)
	if err != nil {
		f.metrics.Unreadable.Inc()
		f.logger.Warn("failed to decode log entry", zap.String("stream", f.stream), zap.Uint64("offset", uint64(e.Offset)), zap.Error(err))
	}
	return Delivery{Offset: e.Offset, Batch: batch, NewerSchema: errors.Is(err, record.ErrNewerSchema)}
}
