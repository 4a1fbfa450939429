package cell

import (
	"sort"
	"time"

	"go.uber.org/zap"
)

const (
	// relocateEvery is between two looks for filling runs that crawl.
	relocateEvery = 300 * time.Millisecond
	// crawlPace is the pace up to which a filling run counts as crawling, in percent.
	crawlPace = 50
	// crawlFor is how long a run must have crawled before it is moved: paces fall for a moment when a figure is off.
	crawlFor = 700 * time.Millisecond
	// maxMoves bounds how often a task is moved: each move costs the time of a stop and a start.
	maxMoves = 3
	// lostPercent is how much of its work a task that saves nothing may lose by a move.
	lostPercent = 25
)

// relocate stops filling runs that crawl beside a service and would run at full speed on another worker, and lasting
// runs on workers that leave, as long as there is room elsewhere.
func (c *Cell) relocate() {
	if c.now-c.relocated < relocateEvery {
		return
	}
	c.relocated = c.now
	var f *floor
	for _, w := range c.sortedWorkers() {
		for _, r := range w.movable(c) {
			if f == nil {
				f = c.floor()
			}
			c.relocateRun(f, r)
		}
	}
}

// movable returns the runs that would be better off elsewhere, in the order of their tasks.
func (w *worker) movable(c *Cell) []*run {
	var movable []*run
	for _, r := range w.runs {
		if c.crawls(r) || c.mustLeave(r) {
			movable = append(movable, r)
		}
	}
	sort.Slice(movable, func(i, j int) bool { return lessTask(movable[i], movable[j]) })
	return movable
}

// mustLeave tells whether a run lasts and its worker leaves. When the worker is gone its entry may only be late, so
// without the move the task would be away until the lease has lapsed.
func (c *Cell) mustLeave(r *run) bool {
	step := r.task.group.step
	return r.worker.info.Draining && step.Lasting && !step.Gang && !r.stop && r.state == runRunning && r.task.group.job.live()
}

// crawls tells whether a run is slowed down for long and may be moved.
func (c *Cell) crawls(r *run) bool {
	step := r.task.group.step
	if !step.Fills || step.Gang || r.stop || r.state != runRunning || r.pace > crawlPace || r.slow == 0 || c.now-r.slow < crawlFor {
		return false
	}
	return r.task.moves < maxMoves && (step.SavesProgress || r.percent <= lostPercent) && r.task.group.job.live()
}

func (c *Cell) relocateRun(f *floor, r *run) {
	t := r.task
	avoid := t.avoid
	t.avoid = r.worker.info.ID
	i := c.choose(f, t, nil)
	if i < 0 || f.rows[i] == r.worker {
		t.avoid = avoid
		return
	}
	c.take(f, t.group, i)
	if !t.group.step.Lasting {
		t.moves++
	}
	c.log.Info("run is moved", taskField(t.id), zap.Int("run", r.number), zap.String("worker", r.worker.info.ID),
		zap.Int("pace", r.pace), zap.Int("percent", r.percent), zap.String("to", f.rows[i].info.ID))
	why := stopCrawling
	if r.worker.info.Draining {
		why = stopLeaving
	}
	c.stopRun(r, why)
}
