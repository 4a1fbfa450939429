package scheduler

import (
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// search says what became of the search for room elsewhere.
type search int

const (
	notFound search = iota
	found
	// foundLater: there is or will be room, but not yet.
	foundLater
)

// transfer gives a task to the shard of the worker with most room among those of other owners. What is
// known of their rooms follows the log and may be out of date; the new owner decides.
func (p *planner) transfer(it *item, t *task.Task, size units.Resources) search {
	if len(p.plan.Transfers) >= p.Limits.Transfers {
		return foundLater
	}
	if reason, _ := p.refuseQuota(t); reason != "" {
		return foundLater
	}
	w := p.roomiest(it, size)
	if w == nil && it.key.rank <= rankUrgent {
		w = p.clearable(t, size)
	}
	if w == nil {
		return notFound
	}
	if p.Now.Before(t.TransferAfter) {
		return foundLater
	}
	p.take(w, t, size)
	p.plan.Transfers = append(p.plan.Transfers, Transfer{Task: t.ID, Shard: w.Shard})
	return found
}

// clearable returns the worker of another owner whose tasks may be evicted for t at the least loss, or nil.
// It is only asked for when no own worker can be cleared.
func (p *planner) clearable(t *task.Task, size units.Resources) *worker.Worker {
	if p.cheapest(t, size, true) != nil {
		return nil
	}
	if v := p.cheapest(t, size, false); v != nil {
		return v.worker
	}
	return nil
}

// roomiest returns the worker of another owner with most room for a size, or nil.
func (p *planner) roomiest(it *item, size units.Resources) *worker.Worker {
	var best *worker.Worker
	var bestLeft float64
	for _, w := range p.grownSince(it.group.Checked) {
		if !p.elsewhere(w) {
			continue
		}
		room := p.room(w)
		if !size.Fits(room) {
			continue
		}
		left := share(room.MilliProcessors, w.Capacity.MilliProcessors)
		if best == nil || left > bestLeft {
			best, bestLeft = w, left
		}
	}
	return best
}

// elsewhere reports whether a worker of another owner may take tasks, as far as is known.
func (p *planner) elsewhere(w *worker.Worker) bool {
	return !p.Owned(w.Shard) && !w.Leaving && !w.Suspect && w.AbsentSince.IsZero()
}
