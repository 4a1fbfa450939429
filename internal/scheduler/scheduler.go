// Package scheduler plans over the tables of tasks and workers.
//
// It is pure: it reads no clock, touches no socket and changes no table. Its cost follows the groups of
// waiting tasks that may have found room since the last plan. The plan is checked again when it is
// applied, by the ledger and by the worker itself.
package scheduler

import (
	"container/heap"
	"time"

	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// Estimates are what has been learnt about kinds of tasks.
type Estimates interface {
	// Size returns what a task is to reserve.
	Size(t *task.Task) units.Resources
	// RunTime returns how long a task still runs.
	RunTime(t *task.Task) time.Duration
	// Slowdown returns the part by which a task of kind victim takes longer, or a service answers later,
	// beside tasks of kind aggressor that hold a whole worker.
	Slowdown(victim, aggressor string) float64
	// FailureRate returns the recent share of failed attempts on a worker, from 0 to 1.
	FailureRate(worker string) float64
}

// Input is what a plan is made from.
type Input struct {
	Now     time.Time
	Tasks   *task.Table
	Workers *worker.Table
	// Owned says of each shard whether this node may act for it.
	Owned func(shard uint32) bool
	// Quota is each team's quota in this failure domain.
	Quota     map[string]units.Resources
	Estimates Estimates
	Policy    Policy
	Limits    Limits
}

// Limits bound the work of one plan.
type Limits struct {
	Placements int
	Evictions  int
	Transfers  int
	// MaxEvictions bounds the evictions of one task over its life.
	MaxEvictions int
	// Candidates bounds the workers with room that are compared for one task.
	Candidates int
}

// DefaultLimits returns the limits that a node uses.
func DefaultLimits() Limits {
	return Limits{Placements: 64, Evictions: 16, Transfers: 64, MaxEvictions: 3, Candidates: 100}
}

// Placement assigns a task to a worker.
type Placement struct {
	Task   string
	Worker string
	Size   units.Resources
}

// Eviction asks for the end of a running task so that another one finds room.
type Eviction struct {
	Task string
	For  string
}

// Transfer gives a waiting task to a shard whose owner has room.
type Transfer struct {
	Task  string
	Shard uint32
}

// Blocked is a group that found no worker.
type Blocked struct {
	Group  *task.Group
	Reason string
	Never  bool
	// Settled groups need not be looked at again before a worker gets more room.
	Settled bool
}

// Plan is the result.
type Plan struct {
	Placements []Placement
	Evictions  []Eviction
	Transfers  []Transfer
	Blocked    []Blocked
	// Generation is the generation of the worker table that the plan was made from.
	Generation uint64
	// Bounded is set when a limit cut the plan short.
	Bounded bool
}

// planner is the state of one plan.
type planner struct {
	Input
	overlay
	queue queue
	plan  Plan
	// grown caches the workers with more room than at a generation.
	grown map[uint64][]*worker.Worker
}

// Make returns the plan for the input.
func Make(in Input) Plan {
	p := &planner{
		Input:   in,
		overlay: newOverlay(),
		plan:    Plan{Generation: in.Workers.Generation()},
		grown:   make(map[uint64][]*worker.Worker),
	}
	in.Tasks.Groups(p.add)
	heap.Init(&p.queue)
	for p.queue.Len() > 0 {
		if len(p.plan.Placements) >= in.Limits.Placements {
			p.plan.Bounded = true
			break
		}
		p.step(p.queue.items[0])
	}
	return p.plan
}

// add queues a group that this node may place.
func (p *planner) add(g *task.Group) {
	if !p.Owned(g.Key.Shard) || g.Checked == p.plan.Generation {
		return
	}
	item := &item{group: g, rows: []*task.Task{g.First()}}
	p.rank(item)
	p.queue.items = append(p.queue.items, item)
}

// step places the first task of an item, or takes the item out of the queue.
func (p *planner) step(it *item) {
	if before := it.key; p.rank(it) != before {
		// The team has got more since the item was queued, so others may go first now.
		heap.Fix(&p.queue, 0)
		return
	}
	t := it.rows[0]
	size := p.Estimates.Size(t)
	w, blocked := p.choose(it, t, size)
	if w == nil && t.Special(p.Now) && it.next(p.Limits.Placements) {
		it.passedOver = true
		p.rank(it)
		heap.Fix(&p.queue, 0)
		return
	}
	if w == nil {
		heap.Pop(&p.queue)
		p.block(it, t, size, blocked)
		return
	}
	p.take(w, t, size)
	p.plan.Placements = append(p.plan.Placements, Placement{Task: t.ID, Worker: w.ID, Size: size})
	if !it.next(p.Limits.Placements) {
		heap.Pop(&p.queue)
		return
	}
	p.rank(it)
	heap.Fix(&p.queue, 0)
}

// block decides what becomes of a task that found no worker. The rest of its group shares the fate.
func (p *planner) block(it *item, t *task.Task, size units.Resources, b Blocked) {
	if b.Reason == ReasonNoRoom {
		b.Settled = p.makeRoom(it, t, size) && !it.passedOver && !t.Special(p.Now)
	}
	p.plan.Blocked = append(p.plan.Blocked, b)
}

// makeRoom gives tasks away or evicts for them. It reports whether nothing is left to try.
func (p *planner) makeRoom(it *item, t *task.Task, size units.Resources) bool {
	settled := true
	for {
		switch p.find(it, t, size) {
		case found:
		case foundLater:
			settled = false
		case notFound:
			return settled && it.key.rank > rankUrgent
		}
		if !it.next(p.Limits.Transfers) {
			return settled
		}
		t = it.rows[0]
	}
}

// find gives a task to a shard with room, or evicts for it. A task for which others are being evicted stays
// where it is.
func (p *planner) find(it *item, t *task.Task, size units.Resources) search {
	if p.Now.Before(t.ClearedUntil) {
		return foundLater
	}
	result := p.transfer(it, t, size)
	if result == notFound && it.key.rank <= rankUrgent && p.evict(t, size) {
		return foundLater
	}
	return result
}
