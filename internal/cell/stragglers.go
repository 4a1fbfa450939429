package cell

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/straggler"
)

const (
	// stragglersEvery is between two looks for runs that stand still.
	stragglersEvery = 300 * time.Millisecond
	// copyAfter is how long a worker may be silent before a copy of a speculative task is started elsewhere: longer than
	// one lost answer.
	copyAfter = 400 * time.Millisecond
	// overtakenBelow is the progress in percent below which a copy elsewhere may overtake a run on a slow worker.
	overtakenBelow = 50
	// maxCopies bounds the runs of a speculative task at a time.
	maxCopies = 2
	// standingFor is how long a worker on which all runs stood still is given no work after the last of them was taken
	// away.
	standingFor = 3 * time.Second
)

// stragglers finds workers that are slow or stand still, moves tasks away from the latter, and starts copies of
// speculative tasks.
func (c *Cell) stragglers() {
	if c.now-c.straggled < stragglersEvery {
		return
	}
	c.straggled = c.now
	speeds := make(map[string]float64)
	for _, w := range c.sortedWorkers() {
		if speed, ok := c.judgeWorker(w); ok {
			speeds[w.info.ID] = speed
		}
	}
	c.slow = straggler.Slow(speeds)
	var f *floor
	for _, r := range c.stragglingRuns() {
		if f == nil {
			f = c.floor()
		}
		if r.task.group.step.Speculative {
			c.startCopy(f, r)
		} else {
			c.relocateRun(f, r, stopStanding)
		}
	}
}

// judgeWorker notes whether all work on a worker stands still, and returns its mean speed.
func (c *Cell) judgeWorker(w *worker) (speed float64, ok bool) {
	standing, moving := 0, 0
	var speeds []float64
	for _, r := range w.runs {
		if !r.progresses() {
			continue
		}
		if r.track.Stands(c.now, r.task.group.step.Estimate, r.pace) {
			standing++
		} else if r.track.Progressed() {
			moving++
		}
		if speed, ok := r.track.Speed(c.now, r.task.group.step.Estimate, r.pace); ok {
			speeds = append(speeds, speed)
		}
	}
	switch {
	case standing > 0 && moving == 0:
		if c.now >= w.standsUntil {
			c.log.Warn("work on a worker stands still", zap.String("worker", w.info.ID), zap.Int("runs", standing),
				zap.Duration("report_age", c.now-w.reported))
		}
		w.standsUntil = c.now + standingFor
	case moving > 0:
		w.standsUntil = 0
	}
	return straggler.Mean(speeds)
}

// progresses tells whether the run is one of which progress is expected.
func (r *run) progresses() bool {
	return r.state == runRunning && !r.stop && !r.task.group.step.Lasting
}

// stragglingRuns returns the runs that a copy or a start elsewhere may overtake, in the order of their tasks.
func (c *Cell) stragglingRuns() []*run {
	var found []*run
	for _, w := range c.sortedWorkers() {
		stands := c.now < w.standsUntil
		silent := w.failing != 0 && c.now-w.failing >= copyAfter
		slow := c.slow[w.info.ID] > 0
		if !stands && !silent && !slow {
			continue
		}
		for _, r := range w.runs {
			if c.straggles(r, stands, silent, slow) {
				found = append(found, r)
			}
		}
	}
	sort.Slice(found, func(i, j int) bool { return lessTask(found[i], found[j]) })
	return found
}

// straggles tells whether something is to be done about a run. A run on a silent or slow worker can only be copied; one
// that stands still is also moved, since nothing is lost but what it did not save.
func (c *Cell) straggles(r *run, stands, silent, slow bool) bool {
	t := r.task
	step := t.group.step
	switch {
	case t.done || r.stop || step.Gang || step.Lasting || !t.group.job.live():
		return false
	case step.Speculative:
		return len(t.runs) < maxCopies && (silent || slow && r.percent < overtakenBelow || r.track.Stands(c.now, step.Estimate, r.pace)) && t.failures+1 < c.maxAttempts(t.group.job)
	}
	return stands && !silent && r.progresses() && t.moves < maxMoves && r.track.Stands(c.now, step.Estimate, r.pace)
}

// startCopy places a second run of a speculative task.
func (c *Cell) startCopy(f *floor, r *run) {
	t := r.task
	avoid := t.avoid
	t.avoid = r.worker.info.ID
	i := c.choose(f, t, nil)
	t.avoid = avoid
	if i < 0 || f.rows[i] == r.worker {
		return
	}
	c.counts.Copies.Inc()
	c.log.Info("copy of a run", taskField(t.id), zap.Int("run", r.number), zap.String("worker", r.worker.info.ID),
		zap.Int("percent", r.percent), zap.String("to", f.rows[i].info.ID), zap.Duration("report_age", c.now-r.worker.reported))
	c.assign(f, t, i, t.lastRun+1)
}

// copies tells whether runs of a step may run beside each other.
func copies(s *jobs.Step) bool { return s.Speculative && !s.Gang }
