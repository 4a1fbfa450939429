package scheduler

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// Reasons for which a group waits. The last ones are for ever.
const (
	ReasonNoRoom        = "no worker has room now"
	ReasonQuota         = "the team's quota in this failure domain is used up"
	ReasonNoWorkers     = "no worker of this failure domain is known yet"
	ReasonZeroQuota     = "the team's quota is zero"
	ReasonSmallQuota    = "the team's quota in this failure domain, %s, can never hold a task of %s"
	ReasonTooBig        = "no worker is large enough for %s; the largest has %s"
	ReasonNoAccelerator = "no worker has %d accelerators"
)

// choose returns the worker with the best score for a task, or why there is none.
func (p *planner) choose(it *item, t *task.Task, size units.Resources) (*worker.Worker, Blocked) {
	blocked := Blocked{Group: it.group}
	if reason, never := p.refuseQuota(t); reason != "" {
		blocked.Reason, blocked.Never = reason, never
		return nil, blocked
	}
	if best := p.best(it, t, size); best != nil {
		return best, blocked
	}
	blocked.Reason, blocked.Never = p.refuseSize(size)
	return nil, blocked
}

// refuseQuota returns why the team's quota does not permit a task, and whether it never will.
func (p *planner) refuseQuota(t *task.Task) (string, bool) {
	if t.IsService() {
		return "", false
	}
	quota := p.Quota[t.Team]
	switch {
	case quota.IsZero():
		return ReasonZeroQuota, true
	case !t.Size.Fits(quota):
		return fmt.Sprintf(ReasonSmallQuota, quota, t.Size), true
	case !t.Size.Fits(quota.Sub(p.Tasks.TeamUsage(t.Team)).Sub(p.teams[t.Team])):
		return ReasonQuota, false
	}
	return "", false
}

// refuseSize returns why no worker takes a size, and whether none ever will.
func (p *planner) refuseSize(size units.Resources) (string, bool) {
	var largest units.Resources
	unknown := p.Workers.Len() == 0
	for _, w := range p.Workers.All() {
		if size.Fits(w.Capacity) {
			return ReasonNoRoom, false
		}
		unknown = unknown || w.Capacity.IsZero()
		largest.MilliProcessors = max(largest.MilliProcessors, w.Capacity.MilliProcessors)
		largest.MemoryMiB = max(largest.MemoryMiB, w.Capacity.MemoryMiB)
		largest.Accelerators = max(largest.Accelerators, w.Capacity.Accelerators)
	}
	switch {
	case unknown:
		return ReasonNoWorkers, false
	case size.Accelerators > largest.Accelerators:
		return fmt.Sprintf(ReasonNoAccelerator, size.Accelerators), true
	default:
		return fmt.Sprintf(ReasonTooBig, size, largest), true
	}
}

// feasible reports whether a worker may take a size now.
func (p *planner) feasible(w *worker.Worker, size units.Resources) bool {
	if !w.Eligible || !size.Fits(p.room(w)) {
		return false
	}
	return !w.Probation || w.Runs()+p.counts[w] == 0
}

// grownSince returns the workers with more room than at a generation of the table, in the order of their
// IDs. Groups that were refused together share one look at the table.
func (p *planner) grownSince(generation uint64) []*worker.Worker {
	if generation == 0 {
		return p.Workers.All()
	}
	if grown, known := p.grown[generation]; known {
		return grown
	}
	var grown []*worker.Worker
	for _, w := range p.Workers.All() {
		if w.GrownAt() > generation {
			grown = append(grown, w)
		}
	}
	p.grown[generation] = grown
	return grown
}

// avoids reports whether a task was moved away from a worker a short time ago.
func (p *planner) avoids(t *task.Task, w *worker.Worker) bool {
	return t.Avoid == w.ID && p.Now.Before(t.AvoidUntil)
}

// best compares the workers with room. The first candidate differs between tasks, so that a bounded
// comparison does not favour the first workers. A group that was refused looks only at workers that
// have more room since.
func (p *planner) best(it *item, t *task.Task, size units.Resources) *worker.Worker {
	workers := p.grownSince(it.group.Checked)
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
