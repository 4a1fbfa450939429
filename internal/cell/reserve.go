package cell

import (
	"cactuswall.example/cactuswall/internal/jobs"
)

// maxReservedPercent is the share of the workers that one round keeps free.
const maxReservedPercent = 10

// reserveWorkers keeps workers free for the interrupted long-running tasks of groups for which there was no room, since
// their users are without service. Otherwise smaller tasks take each bit of room that becomes free, and a large task waits
// until there are none. The workers with most free processor capacity are taken, so that the same ones are taken in the
// next rounds, until enough of what runs there has ended.
//
// For other tasks no workers are kept free, except as roundTurns.placed says: they would make best-effort tasks wait, which need
// little but run beside them.
func (c *Cell) reserveWorkers(v *placementView, interrupted []*group) {
	for _, g := range interrupted {
		if !g.step.Gang {
			c.keepWorkersFree(v, g)
		}
	}
}

// keepWorkersFree keeps workers free for the tasks of a group.
func (c *Cell) keepWorkersFree(v *placementView, g *group) {
	t := g.firstToStart(c.now)
	if t == nil {
		return
	}
	platformService, perWorker := c.platformServiceOf(g.job), c.runsPerWorker(g)
	for waiting := g.toStart; waiting > 0 && len(v.reserved)*100 < len(v.workers)*maxReservedPercent; {
		best, fitting := -1, 0
		for i, w := range v.workers {
			if v.reserved[w] || best >= 0 && v.candidates[i].Free.MilliCPU <= v.candidates[best].Free.MilliCPU ||
				!c.eligible(v, t, i, platformService, perWorker[w]) {
				continue
			}
			if count := fittingTasks(w.emptied(), g.step.Requested()); count > 0 {
				best, fitting = i, count
			}
		}
		if best < 0 {
			return
		}
		v.reserved[v.workers[best]] = true
		v.candidates[best].Free.MilliCPU = 0
		waiting -= fitting
	}
}

// emptied returns the resources that are free on the worker once all runs have ended that end by themselves.
func (w *worker) emptied() jobs.Resources {
	free := w.info.Capacity
	for _, r := range w.runs {
		if step := r.task.group.step; step.LongRunning {
			free = free.Sub(step.Requested())
		}
	}
	return free
}

// fittingTasks returns how many tasks with a request fit into free resources.
func fittingTasks(free, request jobs.Resources) int {
	count := 0
	for ; free.Contains(request) && count < maxStartsPerRound; count++ {
		free = free.Sub(request)
	}
	return count
}
