package scheduler

import (
	"time"

	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
)

// The priority ranks of tasks. Lower ranks are placed first.
const (
	rankService = iota
	rankUrgent
	rankBatch
	rankSpare
)

const (
	// criticalSlack is the slack below which a task takes precedence over fair sharing between teams. A
	// fraction of the run time is added to it.
	criticalSlack = 30 * time.Second
	// criticalRunTimeDivisor is the divisor of the run time that gives the part added to criticalSlack.
	criticalRunTimeDivisor = 4
	// maxLateness is the estimated lateness from which a task counts as critical again. A task that is late
	// by less is placed after the tasks that can meet their deadline.
	maxLateness = time.Hour
	// shareSteps is the number of steps between a share of 0 and a share of 1. A team's share of its quota is
	// rounded down to such a step before it is compared.
	shareSteps = 20
)

// sortKey determines the position of a group in the queue.
type sortKey struct {
	rank int
	// late is set if the task is estimated to miss its deadline, by less than maxLateness.
	late bool
	// critical is set if the task has to be placed soon to meet its deadline, or is estimated to miss it by
	// maxLateness or more. With Policy.DeadlineOnly it is set for every batch task.
	critical bool
	// share is the dominant share (see dominantShare) of its quota that the team uses, in units of
	// 1/shareSteps.
	share int
	// slack is the time left until the deadline after the estimated run time. With Policy.DeadlineOnly, the
	// run time is not subtracted.
	slack time.Duration
}

// queueItem is a group of tasks in the queue of a plan.
type queueItem struct {
	group *task.Group
	// tasks are the tasks of the group that are not placed yet, starting with the next one. It holds only the
	// first task until fetched is set.
	tasks   []*task.Task
	fetched bool
	// skipped is set if no worker was found for a task for which Task.DiffersFromGroup holds.
	skipped bool
	key     sortKey
}

// advance moves on to the next task of the group. It returns false if there is none. The first call fetches
// the current task and at most limit further ones; later calls ignore limit.
func (item *queueItem) advance(limit int) bool {
	if !item.fetched {
		item.fetched = true
		item.tasks = item.tasks[:0]
		item.group.Ascend(func(t *task.Task) bool {
			item.tasks = append(item.tasks, t)
			return len(item.tasks) <= limit
		})
	}
	if len(item.tasks) > 0 {
		item.tasks = item.tasks[1:]
	}
	return len(item.tasks) > 0
}

// updateKey computes the sort key of an item from its next task, stores it and returns it.
func (p *planner) updateKey(item *queueItem) sortKey {
	t := item.tasks[0]
	item.key = sortKey{rank: Rank(t)}
	if t.IsService() {
		return item.key
	}
	if p.Policy.DeadlineOnly {
		item.key = sortKey{rank: rankBatch, critical: true, slack: t.Deadline.Sub(p.Now)}
		return item.key
	}
	runTime := p.Estimates.RunTime(t)
	item.key.slack = t.Deadline.Sub(p.Now) - runTime
	item.key.late = item.key.slack < 0 && item.key.slack > -maxLateness
	item.key.critical = !item.key.late && item.key.slack < criticalSlack+runTime/criticalRunTimeDivisor
	used := p.Tasks.TeamUsage(t.Team).Add(p.teamUsage[t.Team])
	item.key.share = int(dominantShare(used, p.Quota[t.Team]) * shareSteps)
	return item.key
}

// Rank returns the priority rank of a task. Tasks with a lower rank are placed first.
func Rank(t *task.Task) int {
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

// dominantShare returns the largest of the shares of total that used takes of each resource.
func dominantShare(used, total units.Resources) float64 {
	return max(
		share(used.MilliProcessors, total.MilliProcessors),
		share(used.MemoryMiB, total.MemoryMiB),
		share(used.Accelerators, total.Accelerators),
	)
}

// share returns part divided by total, or 0 if total is not positive.
func share(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// before reports whether a is placed before b. Within a rank, critical tasks come first, ordered by least
// slack. The others are ordered by the share of its quota that their team uses, then by least slack. Late
// tasks come last in their rank, so that under overload they do not make other tasks late as well. A task that
// is late by maxLateness or more counts as critical.
func before(a, b *queueItem) bool {
	x, y := a.key, b.key
	switch {
	case x.rank != y.rank:
		return x.rank < y.rank
	case x.late != y.late:
		return y.late
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

// queue is a heap of items ordered by before. It implements heap.Interface.
type queue struct {
	items []*queueItem
}

func (q *queue) Len() int           { return len(q.items) }
func (q *queue) Less(i, j int) bool { return before(q.items[i], q.items[j]) }
func (q *queue) Swap(i, j int)      { q.items[i], q.items[j] = q.items[j], q.items[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { q.items = append(q.items, x.(*queueItem)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(q.items) - 1
	item := q.items[last]
	q.items = q.items[:last]
	return item
}
