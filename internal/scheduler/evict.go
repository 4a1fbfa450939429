package scheduler

import (
	"sort"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// victims are the tasks of one worker whose eviction makes room.
type victims struct {
	worker *worker.Worker
	tasks  []*task.Task
	// lost is the work that is done again, in processor-seconds.
	lost float64
}

// evict makes room for a task on the worker where the least work is lost. It returns false when no
// worker can be cleared or the limit is reached.
func (p *planner) evict(t *task.Task, size units.Resources) bool {
	best := p.cheapest(t, size, true)
	if best == nil || len(p.plan.Evictions)+len(best.tasks) > p.Limits.Evictions {
		return false
	}
	for _, victim := range best.tasks {
		p.victims[victim.ID] = true
		p.plan.Evictions = append(p.plan.Evictions, Eviction{Task: victim.ID, For: t.ID})
	}
	p.take(best.worker, t, size)
	return true
}

// cheapest returns the tasks to evict on the worker where the least work is lost, among the own workers or
// among those of other owners, or nil.
func (p *planner) cheapest(t *task.Task, size units.Resources, own bool) *victims {
	var best *victims
	for _, w := range p.Workers.All() {
		usable := w.Eligible && !w.Probation
		if !own {
			usable = p.elsewhere(w)
		}
		if !usable || !size.Fits(w.Capacity) || p.taken[w] != (units.Resources{}) {
			continue
		}
		v := p.victimsOn(w, t, size)
		if v != nil && (best == nil || v.lost < best.lost) {
			best = v
		}
	}
	return best
}

// victimsOn returns the tasks to evict from a worker, least lost work first, or nil.
func (p *planner) victimsOn(w *worker.Worker, t *task.Task, size units.Resources) *victims {
	var candidates []*task.Task
	w.Reserved(func(id platform.RunID, _ units.Resources) {
		row := p.Tasks.Get(id.Task)
		if row != nil && row.Attempt == id.Attempt && p.evictable(row, t) {
			candidates = append(candidates, row)
		}
	})
	sort.Slice(candidates, func(a, b int) bool {
		x, y := p.lostWork(candidates[a]), p.lostWork(candidates[b])
		if x != y {
			return x < y
		}
		return candidates[a].ID < candidates[b].ID
	})
	v := &victims{worker: w}
	room := w.Room()
	for _, row := range candidates {
		if size.Fits(room) {
			break
		}
		reserved, _ := w.Reservation(row.RunID())
		room = room.Add(reserved)
		v.tasks = append(v.tasks, row)
		v.lost += p.lostWork(row)
	}
	if !size.Fits(room) {
		return nil
	}
	return v
}

// evictable reports whether row may be evicted for t.
func (p *planner) evictable(row, t *task.Task) bool {
	open := row.State == task.Running || row.State == task.Placed
	return open && !row.Evicting() && !p.victims[row.ID] &&
		rankOf(row) > rankUrgent && rankOf(row) > rankOf(t) &&
		row.Evictions < p.Limits.MaxEvictions
}

// lostWork is the work in processor-seconds that the eviction of a task throws away.
func (p *planner) lostWork(row *task.Task) float64 {
	done := row.Progress
	if row.Checkpoints {
		done = 0
	}
	return done * row.RunTime.Seconds() * float64(row.Size.MilliProcessors) / float64(time.Second/time.Millisecond)
}
