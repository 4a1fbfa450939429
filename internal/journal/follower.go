package journal

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

// readWait is how long one read of the log waits for new entries.
const readWait = 5 * time.Second

// Delivery is one entry of a stream as a follower hands it on.
type Delivery struct {
	Offset platform.Offset
	// Batch is nil when the entry could not be read.
	Batch *record.Batch
	// Gap is set when entries before Offset were lost to retention.
	Gap bool
}

// Follower reads one stream from an offset on and hands every entry on in order.
type Follower struct {
	log     platform.Log
	stream  string
	deliver func([]Delivery)
	metrics *Metrics
	logger  *zap.Logger
	next    platform.Offset
}

// NewFollower returns a follower of stream from its oldest entry on. deliver is called from one
// goroutine; an empty call says that the follower has reached the end of the stream.
func NewFollower(log platform.Log, stream string, deliver func([]Delivery), metrics *Metrics, logger *zap.Logger) *Follower {
	return &Follower{log: log, stream: stream, deliver: deliver, metrics: metrics, logger: logger, next: 1}
}

// Run follows the stream until ctx ends. It does not wait for new entries before it has reached the end once.
func (f *Follower) Run(ctx context.Context) error {
	retry := newBackOff()
	down := false
	var wait time.Duration
	for ctx.Err() == nil {
		page, err := f.log.Read(ctx, f.stream, f.next, wait)
		if err != nil {
			f.metrics.ReadFailures.Inc()
			if !down && ctx.Err() == nil {
				down = true
				f.logger.Warn("log cannot be read", zap.String("stream", f.stream), zap.Error(err))
			}
			sleep(ctx, retry.NextBackOff())
			continue
		}
		if down {
			down = false
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
	gap := page.Oldest > f.next
	if gap {
		f.metrics.Gaps.Inc()
	}
	deliveries := make([]Delivery, 0, len(page.Entries))
	for _, e := range page.Entries {
		if e.Offset < f.next {
			continue
		}
		f.metrics.EntriesRead.Inc()
		f.metrics.BytesRead.Add(len(e.Data))
		batch, err := record.Decode(e.Data)
		if err != nil {
			f.metrics.Unreadable.Inc()
			f.logger.Warn("log entry cannot be read", zap.String("stream", f.stream), zap.Uint64("offset", uint64(e.Offset)), zap.Error(err))
		}
		deliveries = append(deliveries, Delivery{Offset: e.Offset, Batch: batch, Gap: gap})
		gap = false
		f.next = e.Offset + 1
	}
	if page.Next > f.next {
		f.next = page.Next
	}
	return deliveries
}
