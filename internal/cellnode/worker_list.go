package cellnode

import (
	"context"
	"sort"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

// followWorkers passes the workers' entries, the configuration and the settings to the cell at regular intervals.
func (o *owner) followWorkers(ctx context.Context, list *workerList) error {
	for ctx.Err() == nil {
		err := list.read(ctx)
		if err != nil {
			o.node.recordStoreFailure("read workers", err)
		}
		entries, config := list.list(), o.node.config.Get()
		o.post(ctx, func() {
			if err == nil {
				o.cell.SetWorkers(entries)
			}
			o.cell.SetConfig(config)
			o.cell.SetSettings(*o.node.cellSettings.Load())
		})
		sleep(ctx, workersReadInterval)
	}
	return ctx.Err()
}

// workerList holds the latest entry of each worker by worker ID. It is not safe for concurrent use.
type workerList struct {
	node     *Node
	follower follower
	entries  map[string]workercall.Worker
}

func newWorkerList(n *Node) *workerList {
	return &workerList{
		node:     n,
		follower: follower{store: n.platform.Store, partition: n.platform.Topics.Workers},
		entries:  make(map[string]workercall.Worker),
	}
}

// read applies the entries written since the last read.
func (l *workerList) read(ctx context.Context) error {
	for {
		relisted := !l.follower.listed
		records, err := l.follower.next(ctx)
		if err != nil {
			return err
		}
		if relisted {
			clear(l.entries)
		}
		for _, r := range records {
			l.apply(r)
		}
		if l.follower.listed {
			return nil
		}
	}
}

// apply replaces or deletes the entry of a worker. An older entry of the same worker process is ignored.
func (l *workerList) apply(r store.Record) {
	if r.Key == "" {
		return
	}
	if len(r.Value) == 0 {
		delete(l.entries, r.Key)
		return
	}
	w, err := l.node.platform.Topics.DecodeWorker(r.Key, r.Value)
	if err != nil {
		l.node.counts.UnreadableRecords.Inc()
		l.node.log.Info("invalid worker entry ignored", zap.String("worker", r.Key), zap.Error(err))
		return
	}
	if old, known := l.entries[r.Key]; known && old.StartedAtMS == w.StartedAtMS && w.Sequence < old.Sequence {
		return
	}
	l.entries[r.Key] = w
}

// list returns the entries sorted by worker ID.
func (l *workerList) list() []workercall.Worker {
	list := make([]workercall.Worker, 0, len(l.entries))
	for _, w := range l.entries {
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
