package scheduler

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// The reasons for which a group waits. ReasonZeroQuota and those after it are permanent: waiting does not
// resolve them. ReasonSmallQuota, ReasonTooBig and ReasonNoAccelerator are formats for fmt.Sprintf.
const (
	ReasonNoCapacity    = "no worker has room now"
	ReasonQuota         = "the team's quota in this failure domain is used up"
	ReasonNoWorkers     = "the capacity of the workers in this failure domain is not fully known yet"
	ReasonZeroQuota     = "the team's quota in this failure domain is zero"
	ReasonSmallQuota    = "the team's quota in this failure domain, %s, can never hold a task of %s"
	ReasonTooBig        = "no worker is large enough for %s; the most that any worker has of each resource is %s"
	ReasonNoAccelerator = "no worker has %d accelerators"
)

// chooseWorker returns the worker with the best score for a task, or the reason why there is none.
func (p *planner) chooseWorker(item *queueItem, t *task.Task, size units.Resources) (*worker.Worker, BlockedGroup) {
	blocked := BlockedGroup{Group: item.group}
	if reason, permanent := p.checkQuota(t); reason != "" {
		blocked.Reason, blocked.Unschedulable = reason, permanent
		return nil, blocked
	}
	if best := p.bestWorker(item, t, size); best != nil {
		return best, blocked
	}
	blocked.Reason, blocked.Unschedulable = p.checkSize(size)
	return nil, blocked
}

// Unschedulable returns the reason why a task can never run with the workers and quotas of in. The second
// result is false if there is no such reason. It ignores who owns the task's shard.
func Unschedulable(in Input, t *task.Task) (string, bool) {
	p := &planner{Input: in, overlay: newOverlay()}
	if reason, permanent := p.checkQuota(t); permanent {
		return reason, true
	}
	if reason, permanent := p.checkSize(in.Estimates.Size(t)); permanent {
		return reason, true
	}
	return "", false
}

// checkQuota returns the reason why the team's quota does not allow a task, or "", and whether the reason is
// permanent.
func (p *planner) checkQuota(t *task.Task) (string, bool) {
	if t.IsService() {
		return "", false
	}
	quota := p.Quota[t.Team]
	switch {
	case quota.IsZero():
		return ReasonZeroQuota, true
	case !t.Size.Fits(quota):
		return fmt.Sprintf(ReasonSmallQuota, quota, t.Size), true
	case !t.Size.Fits(quota.Sub(p.Tasks.TeamUsage(t.Team)).Sub(p.teamUsage[t.Team])):
		return ReasonQuota, false
	}
	return "", false
}

// checkSize returns the reason why no worker can take a task of a size, and whether the reason is permanent.
func (p *planner) checkSize(size units.Resources) (string, bool) {
	var maxCapacity units.Resources
	capacityUnknown := p.Workers.Len() == 0
	for _, w := range p.Workers.All() {
		if size.Fits(w.Capacity) {
			return ReasonNoCapacity, false
		}
		capacityUnknown = capacityUnknown || w.Capacity.IsZero()
		maxCapacity.MilliProcessors = max(maxCapacity.MilliProcessors, w.Capacity.MilliProcessors)
		maxCapacity.MemoryMiB = max(maxCapacity.MemoryMiB, w.Capacity.MemoryMiB)
		maxCapacity.Accelerators = max(maxCapacity.Accelerators, w.Capacity.Accelerators)
	}
	switch {
	case capacityUnknown:
		return ReasonNoWorkers, false
	case size.Accelerators > maxCapacity.Accelerators:
		return fmt.Sprintf(ReasonNoAccelerator, size.Accelerators), true
	default:
		return fmt.Sprintf(ReasonTooBig, size, maxCapacity), true
	}
}

// feasible reports whether a worker can take a task of a size now. A worker on probation takes one task at a
// time.
func (p *planner) feasible(w *worker.Worker, size units.Resources) bool {
	if !w.Eligible || !size.Fits(p.room(w)) {
		return false
	}
	return !w.Probation || w.ReservationCount()+p.placed[w] == 0
}

// workersGrownSince returns the workers that may be able to take more tasks than at a generation of the table
// (see worker.Worker.FreedGeneration), sorted by ID. Generation 0 returns all workers. The result is cached,
// so that groups that were blocked at the same generation share one scan.
func (p *planner) workersGrownSince(generation uint64) []*worker.Worker {
	if generation == 0 {
		return p.Workers.All()
	}
	if grown, ok := p.grownSince[generation]; ok {
		return grown
	}
	var grown []*worker.Worker
	for _, w := range p.Workers.All() {
		if w.FreedGeneration() > generation {
			grown = append(grown, w)
		}
	}
	p.grownSince[generation] = grown
	return grown
}

// avoids reports whether a task was recently moved away from a worker and may not return yet.
func (p *planner) avoids(t *task.Task, w *worker.Worker) bool {
	return t.AvoidWorker == w.ID && p.Now.Before(t.AvoidUntil)
}

// bestWorker returns the feasible worker with the highest score, or nil. It compares at most
// Limits.Candidates workers and starts at a position that depends on the task ID, so that the limit does not
// favour the first workers of the table. For a group that was blocked at an earlier generation of the table,
// it only considers the workers that workersGrownSince returns for that generation.
func (p *planner) bestWorker(item *queueItem, t *task.Task, size units.Resources) *worker.Worker {
	workers := p.workersGrownSince(item.group.CheckedGeneration)
	if len(workers) == 0 {
		return nil
	}
	first := 0
	if len(workers) > p.Limits.Candidates {
		first = int(xxhash.Sum64String(t.ID) % uint64(len(workers)))
	}
	var best *worker.Worker
	var bestScore float64
	compared := 0
	for i := range workers {
		w := workers[(first+i)%len(workers)]
		if !p.feasible(w, size) || p.avoids(t, w) {
			continue
		}
		score := p.score(w, t, size)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
		if compared++; compared >= p.Limits.Candidates || p.Policy.FirstFit {
			break
		}
	}
	return best
}
