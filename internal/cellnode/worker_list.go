package cellnode

import (
	"context"
	"maps"
	"slices"
	"sort"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

// followWorkers passes the entries of the cell's workers, the configuration and the settings to the cell at regular
// intervals, and hands workers over to other cells.
func (o *owner) followWorkers(ctx context.Context, list *workerList) error {
	for ctx.Err() == nil {
		err := list.read(ctx)
		if err != nil {
			o.node.recordStoreFailure("read workers", err)
		}
		o.locked(func() {
			o.cell.SetTime(boottime.Now(), time.Now())
			if err == nil {
				o.cell.SetWorkers(list.list())
			}
			table := o.node.cells.table()
			o.cell.SetCell(o.member.cell, len(table.Plan().Cells))
			o.cell.SetActive(table.Plan().Cells[o.member.cell].Active)
			o.cell.SetTasks(table.Tasks())
			o.cell.SetConfig(o.node.config.Get())
			o.cell.SetSettings(*o.node.cellSettings.Load())
		})
		o.post(ctx, func() {}) // has waiting tasks placed
		if err == nil {
			o.manageWorkers(ctx, list)
		}
		sleep(ctx, workersReadInterval)
	}
	return ctx.Err()
}

// workerList holds the latest entry of each worker by worker ID. It is not safe for concurrent use.
type workerList struct {
	node     *Node
	cell     int // the cell of whose workers the entries are decoded
	follower follower
	entries  map[string]*workerEntry
}

// workerEntry is the entry of a worker. Of a worker of another cell the newest entry is kept undecoded.
type workerEntry struct {
	worker workercall.Worker
	raw    []byte // newer than worker; nil if there is none
}

func newWorkerList(n *Node, cell int) *workerList {
	return &workerList{
		node: n, cell: cell,
		follower: follower{store: n.platform.Store, partition: n.platform.Topics.Workers},
		entries:  make(map[string]*workerEntry),
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
		table := l.node.cells.table()
		for _, r := range records {
			l.apply(r, table)
		}
		if l.follower.listed {
			return nil
		}
	}
}

// apply replaces or deletes the entry of a worker.
func (l *workerList) apply(r store.Record, table *cellmap.Table) {
	if r.Key == "" {
		return
	}
	if len(r.Value) == 0 {
		delete(l.entries, r.Key)
		return
	}
	if entry := l.entries[r.Key]; entry != nil {
		if cell, _ := table.CellOf(&entry.worker); cell != l.cell {
			entry.raw = r.Value
			return
		}
	}
	l.decode(r.Key, r.Value)
}

// decode replaces the entry of a worker. An older entry of the same worker process is ignored.
func (l *workerList) decode(id string, value []byte) {
	w, err := l.node.platform.Topics.DecodeWorker(id, value)
	if err != nil {
		l.node.counts.UnreadableRecords.Inc()
		l.node.log.Info("invalid worker entry ignored", zap.String("worker", id), zap.Error(err))
		return
	}
	old := l.entries[id]
	if old != nil && old.worker.StartedAtMS == w.StartedAtMS && w.Sequence < old.worker.Sequence {
		return
	}
	l.entries[id] = &workerEntry{worker: w}
}

// list returns the entries of the cell's workers sorted by worker ID.
func (l *workerList) list() []workercall.Worker {
	table := l.node.cells.table()
	var list []workercall.Worker
	for id, entry := range l.entries {
		cell, version := table.CellOf(&entry.worker)
		if cell != l.cell {
			continue
		}
		if raw := entry.raw; raw != nil { // the worker was of another cell
			entry.raw = nil
			l.decode(id, raw)
			entry = l.entries[id]
		}
		w := entry.worker
		w.Assignment = version
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// count returns the number of workers of all cells.
func (l *workerList) count() int { return len(l.entries) }

// failureDomains returns the failure domains of the workers of all cells, sorted.
func (l *workerList) failureDomains() []string {
	found := make(map[string]bool)
	for _, entry := range l.entries {
		found[entry.worker.FailureDomain] = true
	}
	return slices.Sorted(maps.Keys(found))
}
