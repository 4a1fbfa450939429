package cellnode

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/store"
)

// configReadWait is how long a read of the configuration's topic waits for a change. A read that hangs on a silent
// connection ends soon enough for a change to be in force in time (3 s after a cut).
const configReadWait = 1400 * time.Millisecond

// followConfig keeps the configuration in force up to date.
func (n *Node) followConfig(ctx context.Context) error {
	f := &follower{store: n.platform.Store, partition: n.platform.Documents.Config, wait: configReadWait}
	for ctx.Err() == nil {
		records, err := f.next(ctx)
		if err != nil {
			n.storeFailed("read configuration", err)
			sleep(ctx, readPause)
			continue
		}
		for _, r := range records {
			if r.Key == n.platform.Documents.ConfigKey {
				n.putConfig(r)
			}
		}
	}
	return ctx.Err()
}

func (n *Node) putConfig(r store.Record) {
	c, err := n.platform.Documents.DecodeConfig(r.Value)
	if err != nil {
		n.log.Warn("configuration passed over", zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		return
	}
	if n.config.Put(c) {
		n.log.Info("configuration in force", zap.Int64("version", c.Version), zap.Int("queues", len(c.Queues)))
	}
}

// follower reads a keyed topic: all newest records first, then what comes after. When history was deleted it starts
// over, so a record may be returned twice and older ones after newer ones.
type follower struct {
	store     Store
	partition store.Partition
	wait      time.Duration
	listed    bool
	from      store.Offset
}

func (f *follower) next(ctx context.Context) ([]store.Record, error) {
	if !f.listed {
		records, end, err := listAll(ctx, f.store, f.partition)
		if err != nil {
			return nil, err
		}
		f.listed, f.from = true, end
		return records, nil
	}
	page, err := f.store.Read(ctx, f.partition, f.from, f.wait)
	if store.Is(err, store.ReasonTrimmed) {
		f.listed = false
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	f.from = page.Next
	return page.Records, nil
}

// listAll returns the newest record of each key and the end of the topic before the first page was made. Pages are no
// snapshot: the reader goes on from that end.
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
