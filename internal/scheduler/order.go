package scheduler

import (
	"time"

	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
)

// The ranks of tasks, the first placed first.
const (
	rankService = iota
	rankUrgent
	rankBatch
	rankSpare
)

const (
	// criticalReserve is the slack below which a task goes before the fair share of teams.
	criticalReserve = 30 * time.Second
	// criticalPart adds a part of the run time to criticalReserve.
	criticalPart = 4
	// shareSteps is the number of steps in which the shares of teams are compared.
	shareSteps = 20
)

// key orders the queue.
type key struct {
	rank     int
	critical bool
	share    int
	slack    time.Duration
}

// item is a group in the queue of a plan.
type item struct {
	group *task.Group
	// rows are the tasks of the group that are still to be placed; the first is next.
	rows    []*task.Task
	fetched bool
	// passedOver is set when a task that differs from the rest of its group found no worker.
	passedOver bool
	key        key
}

// next goes on to the next task of the group. It returns false when there is none within limit.
func (it *item) next(limit int) bool {
	if !it.fetched {
		it.fetched = true
		it.rows = it.rows[:0]
		it.group.Ascend(func(t *task.Task) bool {
			it.rows = append(it.rows, t)
			return len(it.rows) <= limit
		})
	}
	if len(it.rows) > 0 {
		it.rows = it.rows[1:]
	}
	return len(it.rows) > 0
}

// rank computes the key of an item from its next task and returns it.
func (p *planner) rank(it *item) key {
	t := it.rows[0]
	it.key = key{rank: rankOf(t)}
	if t.IsService() {
		return it.key
	}
	if p.Policy.DeadlineOnly {
		it.key = key{rank: rankBatch, critical: true, slack: t.Deadline.Sub(p.Now)}
		return it.key
	}
	runTime := p.Estimates.RunTime(t)
	it.key.slack = t.Deadline.Sub(p.Now) - runTime
	it.key.critical = it.key.slack < criticalReserve+runTime/criticalPart
	used := p.Tasks.TeamUsage(t.Team).Add(p.teams[t.Team])
	it.key.share = int(dominantShare(used, p.Quota[t.Team]) * shareSteps)
	return it.key
}

func rankOf(t *task.Task) int {
	switch {
	case t.IsService():
		return rankService
	case t.Priority == manifest.Urgent:
		return rankUrgent
	case t.Priority == manifest.Batch:
		return rankBatch
	default:
		return rankSpare
	}
}

// dominantShare returns the largest share that used takes of any dimension of whole.
func dominantShare(used, whole units.Resources) float64 {
	return max(
		share(used.MilliProcessors, whole.MilliProcessors),
		share(used.MemoryMiB, whole.MemoryMiB),
		share(used.Accelerators, whole.Accelerators),
	)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// before reports whether a goes before b. Critical tasks go by least slack, the others by the share that
// their team holds and then by least slack.
func before(a, b *item) bool {
	x, y := a.key, b.key
	switch {
	case x.rank != y.rank:
		return x.rank < y.rank
	case x.critical != y.critical:
		return x.critical
	case !x.critical && x.share != y.share:
		return x.share < y.share
	case x.slack != y.slack:
		return x.slack < y.slack
	case a.group.Key.Kind != b.group.Key.Kind:
		return a.group.Key.Kind < b.group.Key.Kind
	default:
		return a.group.Key.Shard < b.group.Key.Shard
	}
}

// queue is a heap of items.
type queue struct {
	items []*item
}

func (q *queue) Len() int           { return len(q.items) }
func (q *queue) Less(i, j int) bool { return before(q.items[i], q.items[j]) }
func (q *queue) Swap(i, j int)      { q.items[i], q.items[j] = q.items[j], q.items[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { q.items = append(q.items, x.(*item)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.items) - 1
	it := q.items[last]
	q.items = q.items[:last]
	return it
}
