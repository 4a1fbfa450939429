// Package scheduler computes plans from the tables of tasks and workers: which waiting tasks to place on
// which workers, which tasks to evict, and which to transfer to another shard.
//
// It has no side effects: it reads no clock, does no I/O and modifies no table. The cost of a plan grows with
// the number of groups of waiting tasks for which room may have become available since the last plan. The
// ledger and the workers check each placement again when the plan is carried out.
package scheduler

import (
	"container/heap"
	"time"

	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// Estimates provides predictions from past runs, by kind of task and by worker.
type Estimates interface {
	// Size returns the resources to reserve for a task.
	Size(t *task.Task) units.Resources
	// RunTime returns the remaining run time of a task.
	RunTime(t *task.Task) time.Duration
	// Slowdown returns the relative increase in the run time of a task, or in the response time of a service,
	// of kind victim when tasks of kind aggressor hold all processors of the same worker.
	Slowdown(victim, aggressor string) float64
	// FailureRate returns the fraction of recent attempts on a worker that failed, from 0 to 1.
	FailureRate(worker string) float64
}

// Input is the state and the configuration from which a plan is computed.
type Input struct {
	Now     time.Time
	Tasks   *task.Table
	Workers *worker.Table
	// Owned reports whether this node may act for a shard.
	Owned func(shard uint32) bool
	// Quota holds the quota of each team in this failure domain.
	Quota     map[string]units.Resources
	Estimates Estimates
	Policy    Policy
	Limits    Limits
}

// Limits bounds the work of one plan.
type Limits struct {
	// Placements, Evictions and Transfers are the maximum numbers of each in one plan.
	Placements int
	Evictions  int
	Transfers  int
	// MaxEvictions is the maximum number of times that one task is evicted.
	MaxEvictions int
	// Candidates is the maximum number of feasible workers that are compared for one task.
	Candidates int
}

// DefaultLimits returns the limits that a node uses.
func DefaultLimits() Limits {
	return Limits{Placements: 64, Evictions: 16, Transfers: 64, MaxEvictions: 3, Candidates: 100}
}

// Placement assigns a task to a worker with a reservation of Size.
type Placement struct {
	Task   string
	Worker string
	Size   units.Resources
}

// Eviction stops the running task Task to make room for the task For.
type Eviction struct {
	Task string
	For  string
}

// Transfer moves a waiting task to a shard whose owner has room for it.
type Transfer struct {
	Task  string
	Shard uint32
}

// BlockedGroup describes a group with a task that could not be placed, because of its team's quota or because
// no worker can take it.
type BlockedGroup struct {
	Group  *task.Group
	Reason string
	// Unschedulable is set if Reason is permanent, so that waiting does not help.
	Unschedulable bool
	// UntilFreed is set if the group need not be checked again until the generation of the worker table
	// increases.
	UntilFreed bool
}

// Plan is the result of Compute.
type Plan struct {
	Placements []Placement
	Evictions  []Eviction
	Transfers  []Transfer
	Blocked    []BlockedGroup
	// Generation is the generation of the worker table from which the plan was computed.
	Generation uint64
	// Truncated is set if the plan ended early because it reached Limits.Placements, so that more tasks may be
	// ready to be placed.
	Truncated bool
}

// planner holds the state while one plan is computed.
type planner struct {
	Input
	overlay
	queue queue
	plan  Plan
	// grownSince caches the results of workersGrownSince by generation.
	grownSince map[uint64][]*worker.Worker
}

// Compute computes the plan for the input.
func Compute(in Input) Plan {
	p := &planner{
		Input:      in,
		overlay:    newOverlay(),
		plan:       Plan{Generation: in.Workers.Generation()},
		grownSince: make(map[uint64][]*worker.Worker),
	}
	in.Tasks.Groups(p.enqueue)
	heap.Init(&p.queue)
	for p.queue.Len() > 0 {
		if len(p.plan.Placements) >= in.Limits.Placements {
			p.plan.Truncated = true
			break
		}
		p.placeNext(p.queue.items[0])
	}
	return p.plan
}

// enqueue adds a group to the queue if this node owns its shard and a worker may have room for it.
func (p *planner) enqueue(g *task.Group) {
	if !p.Owned(g.Key.Shard) || g.CheckedGeneration == p.plan.Generation {
		return
	}
	item := &queueItem{group: g, tasks: []*task.Task{g.First()}}
	p.updateKey(item)
	p.queue.items = append(p.queue.items, item)
}

// placeNext places the next task of the first item in the queue, or removes the item from the queue if that
// is not possible. A task for which Task.Special holds is skipped instead, and the other tasks of the group
// are still tried. If the sort key of the item is out of date, placeNext only updates the queue.
func (p *planner) placeNext(item *queueItem) {
	if previous := item.key; p.updateKey(item) != previous {
		// The team's usage has grown since the key was computed, so other items may come first now.
		heap.Fix(&p.queue, 0)
		return
	}
	t := item.tasks[0]
	size := p.Estimates.Size(t)
	w, blocked := p.chooseWorker(item, t, size)
	if w == nil && t.DiffersFromGroup(p.Now) && item.advance(p.Limits.Placements) {
		item.skipped = true
		p.updateKey(item)
		heap.Fix(&p.queue, 0)
		return
	}
	if w == nil {
		heap.Pop(&p.queue)
		p.addBlocked(item, t, size, blocked)
		return
	}
	p.assign(w, t, size)
	p.plan.Placements = append(p.plan.Placements, Placement{Task: t.ID, Worker: w.ID, Size: size})
	if !item.advance(p.Limits.Placements) {
		heap.Pop(&p.queue)
		return
	}
	p.updateKey(item)
	heap.Fix(&p.queue, 0)
}

// addBlocked adds a group to the plan as blocked. If its next task fits the capacity of some worker, but no
// worker has room now, it first tries to make room. The result applies to all remaining tasks of the group.
func (p *planner) addBlocked(item *queueItem, t *task.Task, size units.Resources, b BlockedGroup) {
	if b.Reason == ReasonNoCapacity {
		b.UntilFreed = p.makeRoom(item, t, size) && !item.skipped && !t.DiffersFromGroup(p.Now)
	}
	p.plan.Blocked = append(p.plan.Blocked, b)
}

// makeRoom transfers the remaining tasks of a group or plans evictions for them. It returns true if the group
// need not be checked again until the generation of the worker table increases.
func (p *planner) makeRoom(item *queueItem, t *task.Task, size units.Resources) bool {
	checkAfterGrowth := true
	for {
		switch p.findRoom(item, t, size) {
		case found:
		case pending:
			checkAfterGrowth = false
		case notFound:
			return checkAfterGrowth && item.key.rank > rankUrgent
		}
		if !item.advance(p.Limits.Transfers) {
			return checkAfterGrowth
		}
		t = item.tasks[0]
	}
}

// findRoom transfers a task to a shard with room or, for a service or an urgent task, plans evictions. A task
// for which others are already being evicted stays in its shard.
func (p *planner) findRoom(item *queueItem, t *task.Task, size units.Resources) searchResult {
	if p.Now.Before(t.EvictionsPendingUntil) {
		return pending
	}
	result := p.transfer(item, t, size)
	if result == notFound && item.key.rank <= rankUrgent && p.evict(t, size) {
		return pending
	}
	return result
}
