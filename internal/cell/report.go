package cell

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/quarantine"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	// listedEnds is how many ends a worker lists at most; with so many listed, others may be missing.
	listedEnds = 500
	// leaseSlack is added to the time in which a lease lapses, beside the error of the worker's clock.
	leaseSlack = 200 * time.Millisecond
	// slowClockPercent covers workers' clocks, which may be 2% slow, and half a percent of our own.
	slowClockPercent = 3
	// fullPercent is the share of its work at which a lasting task serves.
	fullPercent = 100
	// refusedPause keeps new starts from a worker that refused one.
	refusedPause = 400 * time.Millisecond
	// unhealthyPause keeps new starts from a worker that refuses all.
	unhealthyPause = time.Second
)

// Reported takes in a worker's answer to a hold that was sent at a time.
func (c *Cell) Reported(id string, report workercall.Report, sent time.Duration) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.holding = false
	if report.Born != 0 && w.info.Born != 0 && report.Born != w.info.Born {
		if report.Born < w.info.Born {
			return // an answer of a former life that came late
		}
		c.newLife(w, "report")
		w.info.Born = report.Born
	}
	if w.info.Born == 0 {
		w.info.Born = report.Born
	}
	if w.failing != 0 {
		c.log.Info("worker answers again", zap.String("worker", id), zap.Duration("silent", c.now-w.failing))
	}
	if !w.fenced || w.failing != 0 {
		c.waiting = true
	}
	first := !w.fenced
	if first {
		// Former owners may have extended the lease up to the moment at which the worker took the new token.
		w.granted = max(w.granted, report.Clock+c.settings.MaxHold)
	}
	w.fenced, w.failing, w.reported, w.expired = true, 0, c.now, false
	w.learnClock(report.Clock, c.now)
	c.takeEnds(w, report)
	c.compareRuns(w, report, sent, first)
	c.learnServices(w)
	w.figures = true
	c.logFigures(w)
	w.nextHold = c.now + c.holdPause(w)
}

func (w *worker) learnClock(clock, now time.Duration) {
	w.clock, w.clockAt, w.hasTime = clock, now, true
	w.updateLapse()
}

// updateLapse works out when everything on the worker has lapsed at the latest.
func (w *worker) updateLapse() {
	left := max(0, w.granted-w.clock)
	w.lapsed = w.clockAt + left + left*slowClockPercent/100 + leaseSlack
}

func (c *Cell) takeEnds(w *worker, report workercall.Report) {
	ends := report.Ended
	sort.Slice(ends, func(i, j int) bool { return ends[i].Sequence < ends[j].Sequence })
	for i := range ends {
		if ends[i].Sequence > w.seen {
			w.seen = ends[i].Sequence
			c.takeEnd(w, &ends[i])
		}
	}
}

// compareRuns brings the table of runs in line with what the worker lists.
func (c *Cell) compareRuns(w *worker, report workercall.Report, sent time.Duration, first bool) {
	listed := make(map[workercall.Run]bool, len(report.Running))
	for i := range report.Running {
		running := &report.Running[i]
		listed[running.Run] = true
		if r := w.runs[running.Run]; r != nil {
			c.confirm(r, running)
		} else {
			c.adoptForeign(w, running)
		}
	}
	if len(report.Ended) >= listedEnds {
		return
	}
	for _, r := range w.sortedRuns() {
		if listed[workercall.Run{Task: r.task.id, Number: r.number}] || r.since > sent {
			continue
		}
		c.notListed(r, first)
	}
}

// notListed deals with a run that the worker neither runs nor lists as ended.
func (c *Cell) notListed(r *run, first bool) {
	switch {
	case r.state == runRunning:
		c.loseRun(r, "not_listed")
	case r.state == runUncertain && (r.settled || first):
		// The worker refuses older tokens and settled runs from now on, so the start cannot come any more.
		c.loseRun(r, "never_started")
	}
}

// confirm takes in that a run is at work.
func (c *Cell) confirm(r *run, running *workercall.Running) {
	if r.state != runRunning {
		c.nowRunning(r)
	}
	r.percent, r.tail, r.milliCPU = running.Percent, running.Tail, running.MilliCPU
	c.proveWorker(r)
	if running.Checkpoint != "" && running.Checkpoint != r.task.checkpoint {
		// The checkpoint is stored with the next change of the group; until then a new owner reads it here.
		r.task.checkpoint = running.Checkpoint
	}
}

// provenAfter is how long a lasting task must have been at work for its worker to be trusted again: workers that fail what
// they start do so within a second.
const provenAfter = 2 * time.Second

// proveWorker takes a lasting run at work for a good end, since it has none of its own. Runs that were there before the
// worker failed others prove nothing.
func (c *Cell) proveWorker(r *run) {
	id := r.worker.info.ID
	if r.probe && r.task.group.step.Lasting && r.percent >= fullPercent && c.now-r.began >= provenAfter &&
		c.health.State(id, c.wall) != quarantine.Trusted {
		c.health.Succeeded(id, kindOf(r.task.group))
		c.log.Info("worker trusted again", zap.String("worker", id), taskField(r.task.id))
	}
}

func (c *Cell) nowRunning(r *run) {
	r.state, r.since = runRunning, c.now
	if r.began == 0 {
		r.began = c.now
	}
}

// adoptForeign stops a run that the table does not know: its job has ended or it was given up.
func (c *Cell) adoptForeign(w *worker, running *workercall.Running) {
	c.counts.ForeignRuns.Inc()
	j := c.jobs[running.Task.Job]
	var t *task
	if j != nil {
		if g := j.groups[running.Task.Group()]; g != nil && running.Task.Index < len(g.tasks) {
			t = g.tasks[running.Task.Index]
		}
	}
	c.log.Warn("unknown run on a worker", zap.String("worker", w.info.ID), taskField(running.Task),
		zap.Int("run", running.Number), zap.Bool("job_known", j != nil))
	w.foreign = append(w.foreign, running.Run)
	if t != nil {
		t.lastRun = max(t.lastRun, running.Number)
	}
}

// HoldFailed takes in that a hold had no usable answer. It tells whether a newer owner has shown itself.
func (c *Cell) HoldFailed(id string, err error) (fenced bool) {
	w := c.workers[id]
	if w == nil {
		return false
	}
	w.holding = false
	reason := verdict.ReasonOf(err)
	switch reason {
	case workercall.ReasonFenced:
		return true
	case workercall.ReasonOtherLife:
		c.otherLife(w)
		return false
	}
	if w.failing == 0 {
		w.failing = c.now
		c.log.Warn("worker does not answer", zap.String("worker", id), zap.String("reason", string(reason)),
			zap.Duration("last_report_age", c.now-w.reported), zap.Error(err))
	}
	w.nextHold = c.now + failedHoldPause
	return false
}

// otherLife deals with the answer of another life: the one that was meant has ended.
func (c *Cell) otherLife(w *worker) {
	if w.dead {
		w.nextHold = c.now + idleHoldPause
		return
	}
	c.newLife(w, "refusal")
	w.dead = true
	w.nextHold = c.now + idleHoldPause
}

// loseRun gives up a run that certainly does not run any more.
func (c *Cell) loseRun(r *run, reason string) {
	c.counts.lost(reason)
	c.log.Info("run given up", taskField(r.task.id), zap.Int("run", r.number), zap.String("worker", r.worker.info.ID),
		zap.String("reason", reason), zap.Duration("worker_report_age", c.now-r.worker.reported))
	c.dropRun(r)
	c.breakGang(r.task.group, r.number)
}

// breakGang stops what is left of a gang's run after one member has ended in vain.
func (c *Cell) breakGang(g *group, number int) {
	if !g.step.Gang {
		return
	}
	for _, t := range g.tasks {
		for _, r := range append([]*run(nil), t.runs...) {
			if r.number == number {
				c.stopRun(r, stopGang)
			}
		}
	}
}

func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return lessTask(runs[i], runs[j]) })
	return runs
}

func lessTask(a, b *run) bool {
	x, y := a.task.id, b.task.id
	switch {
	case x.Job != y.Job:
		return x.Job < y.Job
	case x.Occurrence != y.Occurrence:
		return x.Occurrence < y.Occurrence
	case x.Step != y.Step:
		return x.Step < y.Step
	case x.Index != y.Index:
		return x.Index < y.Index
	}
	return a.number < b.number
}

// expireWorkers gives up the runs of workers whose leases have lapsed.
func (c *Cell) expireWorkers() {
	for _, w := range c.sortedWorkers() {
		if len(w.runs) > 0 && !w.expired && c.now >= w.lapsed && (w.fenced || c.now >= c.forgotten) {
			w.expired = true
			c.log.Warn("lease on a worker has lapsed", zap.String("worker", w.info.ID), zap.Int("runs", len(w.runs)),
				zap.Duration("last_report_age", c.now-w.reported))
			for _, r := range w.sortedRuns() {
				if r.state != runPlaced {
					c.loseRun(r, "lease_lapsed")
				}
			}
		}
		if !w.listed && len(w.runs) == 0 {
			c.forgetWorker(w)
		}
	}
}

// logFigures logs what the worker's tasks report of themselves, for the study of interference.
func (c *Cell) logFigures(w *worker) {
	if c.log.Core().Enabled(zap.DebugLevel) {
		for _, r := range w.sortedRuns() {
			c.log.Debug("figures", zap.String("worker", w.info.ID), taskField(r.task.id), zap.String("image", r.task.group.step.Image),
				zap.Duration("target", r.task.group.step.TargetTail), zap.Duration("tail", r.tail), zap.Bool("fills", r.task.group.step.Fills),
				zap.Int("milli_cpu", r.milliCPU), zap.Int("request", r.task.group.step.Request.MilliCPU), zap.Int("pace", r.pace),
				zap.Int("size", w.info.Capacity.MilliCPU), zap.Int("percent", r.percent))
		}
	}
}
