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
	// readWait is how long one read of the log waits for new entries.
	readWait = 3 * time.Second
	// readGrace is how much longer a read may take until the log counts as out of reach.
	readGrace = time.Second
	// readTimeout bounds one read of a slow log.
	readTimeout = readWait + 10*time.Second
)

// Delivery is one entry of a stream as a follower hands it on.
type Delivery struct {
	Offset platform.Offset
	// Batch is nil when the entry could not be read.
	Batch *record.Batch
	// Gap is set on a delivery without a batch: the entries up to Offset were lost to retention.
	Gap bool
	// Newer is set when the entry was written by a newer program and may mean something unknown here.
	Newer bool
}

// Follower reads one stream from an offset on and hands every entry on in order.
type Follower struct {
	log     platform.Log
	stream  string
	deliver func([]Delivery)
	metrics *Metrics
	logger  *zap.Logger
	next    platform.Offset
	down    atomic.Bool
	// asked is when the read that is under way began, or nil.
	asked atomic.Pointer[time.Time]
}

// NewFollower returns a follower of stream from the entry at from on. deliver is called from one
// goroutine; an empty call says that the follower has reached the end of the stream.
func NewFollower(log platform.Log, stream string, from platform.Offset, deliver func([]Delivery), metrics *Metrics, logger *zap.Logger) *Follower {
	return &Follower{log: log, stream: stream, deliver: deliver, metrics: metrics, logger: logger, next: max(from, 1)}
}

// Down reports whether the newest read of the log has failed or goes unanswered.
func (f *Follower) Down() bool {
	asked := f.asked.Load()
	return f.down.Load() || (asked != nil && time.Since(*asked) > readWait+readGrace)
}

func (f *Follower) read(ctx context.Context, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	now := time.Now()
	f.asked.Store(&now)
	defer f.asked.Store(nil)
	return f.log.Read(ctx, f.stream, f.next, wait)
}

// Run follows the stream until ctx ends. It does not wait for new entries before it has reached the end once.
func (f *Follower) Run(ctx context.Context) error {
	retry := newBackOff()
	var wait time.Duration
	for ctx.Err() == nil {
		page, err := f.read(ctx, wait)
		if err != nil {
			f.metrics.ReadFailures.Inc()
			if ctx.Err() == nil && f.down.CompareAndSwap(false, true) {
				f.logger.Warn("log cannot be read", zap.String("stream", f.stream), zap.Error(err))
			}
			sleep(ctx, retry.NextBackOff())
			continue
		}
		if f.down.CompareAndSwap(true, false) {
			f.logger.Info("log can be read again", zap.String("stream", f.stream))
		}
		retry.Reset()
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
		f.logger.Warn("log entries were lost to retention", zap.String("stream", f.stream),
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
		f.logger.Warn("log entry cannot be read", zap.String("stream", f.stream), zap.Uint64("offset", uint64(e.Offset)), zap.Error(err))
	}
	return Delivery{Offset: e.Offset, Batch: batch, Newer: errors.Is(err, record.ErrNewerSchema)}
}
