package scheduler

import (
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// searchResult is the result of a search for room for a task that no worker of this node can take.
type searchResult int

const (
	notFound searchResult = iota
	found
	// pending means that a later plan has to search again: there is or will be room that the task cannot use
	// yet, the limit on transfers is reached, or the team's quota does not allow the task.
	pending
)

// transfer plans the transfer of a task to a shard of another owner. It selects the shard of the worker with
// the largest share of free processors among the workers with room. If none has room and the task is a
// service instance or urgent, it selects the shard of the worker that remoteWorkerForEviction returns. This
// node derives the free resources of those workers from the log, so the numbers may be out of date; the new
// owner decides on the placement.
func (p *planner) transfer(item *queueItem, t *task.Task, size units.Resources) searchResult {
	if len(p.plan.Transfers) >= p.Limits.Transfers {
		return pending
	}
	if reason, _ := p.checkQuota(t); reason != "" {
		return pending
	}
	w := p.remoteWorkerWithMostRoom(item, size)
	if w == nil && item.key.rank <= rankUrgent {
		w = p.remoteWorkerForEviction(t, size)
	}
	if w == nil {
		return notFound
	}
	if p.Now.Before(t.TransferAfter) {
		return pending
	}
	p.assign(w, t, size)
	p.plan.Transfers = append(p.plan.Transfers, Transfer{Task: t.ID, Shard: w.Shard})
	return found
}

// remoteWorkerForEviction returns the worker of another owner on which tasks can be evicted for t with the
// least lost work, or nil. It also returns nil if evictions on a worker of this node can make room for t.
func (p *planner) remoteWorkerForEviction(t *task.Task, size units.Resources) *worker.Worker {
	if p.cheapestEviction(t, size, true) != nil {
		return nil
	}
	if v := p.cheapestEviction(t, size, false); v != nil {
		return v.worker
	}
	return nil
}

// remoteWorkerWithMostRoom returns the worker of another owner that has room for a task of a size and the
// largest share of free processors, or nil.
func (p *planner) remoteWorkerWithMostRoom(item *queueItem, size units.Resources) *worker.Worker {
	var best *worker.Worker
	var bestFree float64
	for _, w := range p.workersGrownSince(item.group.CheckedGeneration) {
		if !p.usableRemotely(w) {
			continue
		}
		room := p.room(w)
		if !size.Fits(room) {
			continue
		}
		free := share(room.MilliProcessors, w.Capacity.MilliProcessors)
		if best == nil || free > bestFree {
			best, bestFree = w, free
		}
	}
	return best
}

// usableRemotely reports whether a worker belongs to another owner and, as far as this node knows, may get
// new tasks.
func (p *planner) usableRemotely(w *worker.Worker) bool {
	return !p.Owned(w.Shard) && !w.Leaving && !w.Suspect && w.UnlistedSince.IsZero()
}
