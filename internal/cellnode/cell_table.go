package cellnode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/store"
)

// cellsReadWait is how long a read of the topic of the cells waits for a new record. Records are rare, and a node that
// learns of one late still does nothing wrong.
const cellsReadWait = 10 * time.Second

// cellsPartition holds the plan of the cells and the assignments of workers.
var cellsPartition = store.Partition{Topic: jobrecord.CellsTopic}

// cellTable is a node's copy of the plan of the cells and of the assignments of workers.
type cellTable struct {
	node    *Node
	mu      sync.Mutex // held while current is replaced
	current atomic.Pointer[cellmap.Table]
	loaded  chan struct{} // closed once the topic has been read
	once    sync.Once
}

func newCellTable(n *Node) *cellTable {
	t := &cellTable{node: n, loaded: make(chan struct{})}
	t.current.Store(cellmap.NewTable())
	return t
}

func (t *cellTable) table() *cellmap.Table { return t.current.Load() }

// awaitLoaded waits until the topic has been read. It returns false if ctx has ended.
func (t *cellTable) awaitLoaded(ctx context.Context) bool {
	select {
	case <-t.loaded:
		return true
	case <-ctx.Done():
		return false
	}
}

// follow applies new records as they are stored.
func (t *cellTable) follow(ctx context.Context) error {
	f := &follower{store: t.node.platform.Store, partition: cellsPartition, wait: cellsReadWait}
	for ctx.Err() == nil {
		records, err := f.next(ctx)
		if err != nil {
			t.node.recordStoreFailure("read cells", err)
			sleep(ctx, readRetryDelay)
			continue
		}
		t.node.recordStoreSuccess()
		if f.listed {
			t.apply(records, f.nextOffset)
			t.once.Do(func() { close(t.loaded) })
		}
	}
	return ctx.Err()
}

// catchUp applies all records that are stored by now.
func (t *cellTable) catchUp(ctx context.Context) error {
	f := &follower{store: t.node.platform.Store, partition: cellsPartition, listed: true, nextOffset: t.table().End()}
	for {
		from := f.nextOffset
		records, err := f.next(ctx)
		if err != nil {
			return err
		}
		if !f.listed {
			continue
		}
		t.apply(records, f.nextOffset)
		if len(records) == 0 && f.nextOffset == from {
			return nil
		}
	}
}

// apply applies the records that were read up to end.
func (t *cellTable) apply(records []store.Record, end store.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.current.Load()
	if len(records) == 0 && end <= before.End() {
		return
	}
	next, skipped, err := before.With(records, end)
	t.current.Store(next)
	if skipped > 0 {
		t.node.counts.UnreadableRecords.Add(skipped)
		t.node.log.Warn("skipping unreadable records of the cells", zap.Int("records", skipped), zap.Error(err))
	}
	if active := len(next.Plan().Active()); active != len(before.Plan().Active()) {
		t.node.log.Info("plan of the cells changed", zap.Int("active", active), zap.Int("cells", len(next.Plan().Cells)))
	}
}
