package cellnode

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/store"
)

// configReadWait is how long a read of the configuration topic waits for a new record. If the connection to the store
// breaks during a read, the read must end soon enough that a configuration published meanwhile takes effect within 3 s
// of the disconnection.
const configReadWait = 1400 * time.Millisecond

// followConfig applies changes of the configuration and requests of evacuations as they are published.
func (n *Node) followConfig(ctx context.Context) error {
	for ctx.Err() == nil {
		began := boottime.Now()
		if err := n.operatorTopic.read(ctx, configReadWait); err != nil {
			n.recordStoreFailure("read configuration", err)
			sleep(ctx, readRetryDelay)
			continue
		}
		n.jobsAppender.ObserveLatency(boottime.Now() - began - configReadWait)
	}
	return ctx.Err()
}

// putConfig makes a configuration record the current configuration if it is valid and newer.
func (n *Node) putConfig(r store.Record) {
	c, err := n.platform.Topics.DecodeConfig(r.Value)
	if err != nil {
		n.log.Warn("invalid configuration ignored", zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		return
	}
	if n.config.Update(c) {
		n.log.Info("configuration applied", zap.Int64("version", c.Version), zap.Int("queues", len(c.Queues)))
	}
}

// follower reads a keyed topic: first the latest record of each key, then all records appended after that. If records that
// it has not read yet were deleted, it starts over, so a record may be returned twice and older records after newer ones.
type follower struct {
	store      Store
	partition  store.Partition
	wait       time.Duration
	listed     bool
	nextOffset store.Offset
}

// next returns the next records, waiting up to f.wait for new ones. If unread records were deleted, it returns no
// records, and the following call lists the topic again.
func (f *follower) next(ctx context.Context) ([]store.Record, error) {
	if !f.listed {
		records, end, err := listAll(ctx, f.store, f.partition)
		if err != nil {
			return nil, err
		}
		f.listed, f.nextOffset = true, end
		return records, nil
	}
	page, err := f.store.Read(ctx, f.partition, f.nextOffset, f.wait)
	if store.HasReason(err, store.ReasonTrimmed) {
		f.listed = false
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	f.nextOffset = page.Next
	return page.Records, nil
}

// listAll returns the latest record of each key, and the end of the topic when the first page was created. The pages are
// not a consistent snapshot, so the reader must continue from that end.
func listAll(ctx context.Context, s Store, p store.Partition) (records []store.Record, end store.Offset, err error) {
	after := ""
	for first := true; ; first = false {
		listing, err := s.List(ctx, p, after)
		if err != nil {
			return nil, 0, err
		}
		if first {
			end = listing.End
		}
		records = append(records, listing.Records...)
		if !listing.More || len(listing.Records) == 0 {
			return records, end, nil
		}
		after = listing.Records[len(listing.Records)-1].Key
	}
}
