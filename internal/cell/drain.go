package cell

import (
	"slices"
	"time"

	"cactuswall.example/cactuswall/internal/drain"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/urgency"
	"cactuswall.example/cactuswall/internal/workercall"
)

// maxShapes bounds the different capacities of workers of a service that are remembered. With more, the largest request that
// fits is not known.
const maxShapes = 64

// hasObjective reports whether the job has both parts of an objective: its critical path times a factor, and a slack.
func (j *job) hasObjective() bool {
	return j.record.CriticalPathFactor > 0 && j.record.DeadlineSlackMS > 0
}

// measuresDrain reports whether the group's tasks count for the figures by which new jobs are accepted.
func (g *group) measuresDrain() bool { return !g.step.LongRunning && g.job.hasObjective() }

func (c *Cell) drainKind(g *group) drain.Kind {
	return drain.KindOf(c.platformServiceOf(g.job), g.job.record.Queue, g.job.record.Priority, g.step)
}

// drainMeter returns the measurement of the group's kind, or nil if it is not measured.
func (c *Cell) drainMeter(g *group) *drain.KindMeter {
	if g.drain == nil && g.measuresDrain() {
		g.drain = c.drain.Of(c.drainKind(g), c.now)
	}
	return g.drain
}

// noteNoRoom records that no worker was found for a task of the group, unless the cause may be the group itself: its limit of
// tasks on one worker, or workers that it may use once it has waited longer.
func (c *Cell) noteNoRoom(v *placementView, g *group) {
	if g.step.MaxPerWorker == 0 && !v.waitsForSuspect {
		c.drainMeter(g).NoRoom(drain.Request(g.step), c.now)
	}
}

// noteEnd records the run time of a task that succeeded.
func (c *Cell) noteEnd(g *group, ran time.Duration) {
	c.drainMeter(g).Ended(ran, g.step.Estimate, c.now)
}

// noteShape remembers the capacity of a worker.
func (c *Cell) noteShape(info *workercall.Worker) {
	shapes := c.shapes[info.Service]
	if len(shapes) <= maxShapes && !slices.Contains(shapes, info.Capacity) {
		c.shapes[info.Service] = append(shapes, info.Capacity)
	}
}

// DrainFigures returns the figures by which nodes decide on new jobs.
func (c *Cell) DrainFigures() drain.Figures {
	backlog := make(map[drain.Kind]float64)
	counted := make(map[*job]bool)
	for _, g := range c.waiting {
		if g.mayStart() && g.measuresDrain() && g.rank.Class() != urgency.Expired && !counted[g.job] {
			counted[g.job] = true
			backlog[c.drainKind(g)] += g.job.remainingWork()
		}
	}
	f := drain.Figures{Kinds: c.drain.Figures(backlog, c.now), Shapes: make(map[string][]jobs.Resources), Complete: c.loaded}
	for service, shapes := range c.shapes {
		f.Shapes[service] = slices.Clone(shapes)
		f.Complete = f.Complete && len(shapes) <= maxShapes
	}
	return f
}

// remainingWork returns the estimated work of the job's tasks that have not been started.
func (j *job) remainingWork() float64 {
	work := 0.0
	for _, g := range j.groups {
		if !g.step.LongRunning {
			work += float64(g.toStart) * drain.TaskWork(g.step)
		}
	}
	return work
}
