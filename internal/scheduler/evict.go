package scheduler

import (
	"sort"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// victimSet is a set of tasks on one worker whose eviction makes room for another task.
type victimSet struct {
	worker *worker.Worker
	tasks  []*task.Task
	// cost is the work that has to be repeated, in processor-seconds.
	cost float64
}

// evict plans evictions that make room for a task, on the worker where the least work is lost. It returns
// false if no worker has enough evictable tasks or the limit on evictions is reached.
func (p *planner) evict(t *task.Task, size units.Resources) bool {
	best := p.cheapestEviction(t, size, true)
	if best == nil || len(p.plan.Evictions)+len(best.tasks) > p.Limits.Evictions {
		return false
	}
	for _, victim := range best.tasks {
		p.victims[victim.ID] = true
		p.plan.Evictions = append(p.plan.Evictions, Eviction{Task: victim.ID, For: t.ID})
	}
	p.assign(best.worker, t, size)
	return true
}

// cheapestEviction returns the tasks to evict on the worker where the least work is lost, or nil. It
// compares this node's workers if local is set, and the workers of other owners otherwise. It skips workers
// to which the plan already assigns tasks.
func (p *planner) cheapestEviction(t *task.Task, size units.Resources, local bool) *victimSet {
	var best *victimSet
	for _, w := range p.Workers.All() {
		usable := w.Eligible && !w.Probation
		if !local {
			usable = p.usableRemotely(w)
		}
		if !usable || !size.Fits(w.Capacity) || p.reserved[w] != (units.Resources{}) {
			continue
		}
		v := p.victimsOn(w, t, size)
		if v != nil && (best == nil || v.cost < best.cost) {
			best = v
		}
	}
	return best
}

// victimsOn returns the tasks to evict from a worker so that size fits, those with the least lost work first,
// or nil if evictions cannot make enough room.
func (p *planner) victimsOn(w *worker.Worker, t *task.Task, size units.Resources) *victimSet {
	var candidates []*task.Task
	w.Reserved(func(id platform.RunID, _ units.Resources) {
		victim := p.Tasks.Get(id.Task)
		if victim != nil && victim.Attempt == id.Attempt && p.evictable(victim, t) {
			candidates = append(candidates, victim)
		}
	})
	sort.Slice(candidates, func(a, b int) bool {
		x, y := p.lostWork(candidates[a]), p.lostWork(candidates[b])
		if x != y {
			return x < y
		}
		return candidates[a].ID < candidates[b].ID
	})
	v := &victimSet{worker: w}
	room := w.Free()
	for _, victim := range candidates {
		if size.Fits(room) {
			break
		}
		reserved, _ := w.Reservation(victim.RunID())
		room = room.Add(reserved)
		v.tasks = append(v.tasks, victim)
		v.cost += p.lostWork(victim)
	}
	if !size.Fits(room) {
		return nil
	}
	return v
}

// evictable reports whether victim may be evicted for t. Services and urgent tasks are never evicted.
func (p *planner) evictable(victim, t *task.Task) bool {
	open := victim.State == task.Running || victim.State == task.Placed
	return open && !victim.Evicting() && !p.victims[victim.ID] &&
		Rank(victim) > rankUrgent && Rank(victim) > Rank(t) &&
		victim.Evictions < p.Limits.MaxEvictions
}

// lostWork returns the work in processor-seconds that is lost if a task is evicted. A task that writes
// checkpoints loses none.
func (p *planner) lostWork(victim *task.Task) float64 {
	done := victim.Progress
	if victim.Checkpoints {
		done = 0
	}
	return done * victim.RunTime.Seconds() * float64(victim.Size.MilliProcessors) / float64(time.Second/time.Millisecond)
}
