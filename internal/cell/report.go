package cell

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/quarantine"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	// maxListedEnds is the maximum number of run ends in a report. A report with that many may omit others.
	maxListedEnds = 500
	// servingPercent is the progress, in percent, at which a long-running task is serving.
	servingPercent = 100
	// refusedBackoff is how long no tasks are placed on a worker that refused a start order.
	refusedBackoff = 400 * time.Millisecond
	// unhealthyBackoff is how long no tasks are placed on a worker that refuses all orders (ReasonUnhealthy) or could
	// not be reached (ReasonUnreachable).
	unhealthyBackoff = time.Second
)

// RenewAnswered processes the report with which the worker with the given ID answered a renewal order. sent is the
// order's CreatedAt.
func (c *Cell) RenewAnswered(id string, report workercall.Report, sent time.Duration) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.renewalInFlight = false
	c.noteSign(w)
	w.touch()
	if report.StartedAtMS != 0 && w.info.StartedAtMS != 0 && report.StartedAtMS != w.info.StartedAtMS {
		if report.StartedAtMS < w.info.StartedAtMS {
			return // a delayed answer from an earlier incarnation
		}
		c.handleNewIncarnation(w, "report")
		w.info.StartedAtMS, w.entryOutdated = report.StartedAtMS, true
	}
	if w.info.StartedAtMS == 0 {
		w.info.StartedAtMS = report.StartedAtMS
	}
	w.lastEndAcked = max(w.lastEndAcked, w.ackInFlight)
	if w.failingSince != 0 {
		c.log.Info("worker responding again", zap.String("worker", id), zap.Duration("silent", c.now-w.failingSince))
	}
	if !w.tokenAccepted || w.failingSince != 0 {
		c.needsPlacement = true
	}
	firstAnswer := !w.tokenAccepted
	if firstAnswer {
		w.inheritedEnd = c.inheritedLeaseEnd(w)
	}
	w.tokenAccepted, w.failingSince, w.lastReport, w.leaseExpired = true, 0, c.now, false
	w.updateClock(report.Clock, c.now)
	if !c.loaded {
		w.nextRenewal = c.now + c.unloadedRenewInterval(firstAnswer)
		return
	}
	first := !w.reconciled && sent >= c.loadedAt
	if first {
		w.reconciled, c.needsPlacement = true, true
	}
	c.handleEnds(w, report)
	c.reconcileRuns(w, report, sent, first)
	c.observeServices(w)
	w.pacingPending = true
	c.logMeasurements(w)
	w.nextRenewal = c.now
	if w.reconciled {
		w.nextRenewal += c.renewInterval(w)
	}
}

// unloadedRenewInterval returns the time until the next renewal order to a worker while the state is not loaded. The
// first answer brings the worker's clock, without which the lease cannot be extended.
func (c *Cell) unloadedRenewInterval(firstAnswer bool) time.Duration {
	if firstAnswer {
		return 0
	}
	return unloadedRenewInterval
}

// updateClock records a reading of the worker's clock that arrived at local time now.
func (w *worker) updateClock(clock, now time.Duration) {
	w.clock, w.clockAt, w.clockKnown = clock, now, true
	w.updateLeaseExpiry()
}

// updateLeaseExpiry computes leaseExpiresBy, the latest local time at which the worker's lease has expired.
func (w *worker) updateLeaseExpiry() {
	w.touch()
	w.leaseExpiresBy = max(claim.LeaseEnd(w.clockAt, max(0, w.grantedUntil-w.clock)), w.inheritedEnd)
}

// handleEnds processes the run ends in a report that were not seen before, in the order of their sequence numbers.
func (c *Cell) handleEnds(w *worker, report workercall.Report) {
	ends := report.Ended
	sort.Slice(ends, func(i, j int) bool { return ends[i].Sequence < ends[j].Sequence })
	for i := range ends {
		if ends[i].Sequence > w.lastEndSeen {
			w.lastEndSeen = ends[i].Sequence
			c.handleEnd(w, &ends[i])
		}
	}
}

// reconcileRuns updates the known runs from the runs that the worker reports. sent is when the renewal order was
// created; a run whose state has changed since may be missing from the report. first is set for the first report of
// this incarnation to this owner.
func (c *Cell) reconcileRuns(w *worker, report workercall.Report, sent time.Duration, first bool) {
	c.reports++
	for i := range report.Running {
		running := &report.Running[i]
		if r := w.runs[running.Run]; r != nil {
			r.listedIn = c.reports
			c.confirmRunning(r, running)
		} else {
			c.handleUnknownRun(w, running)
		}
	}
	if len(report.Ended) >= maxListedEnds {
		return
	}
	var unlisted []*run
	for _, r := range w.runs {
		if r.listedIn != c.reports && r.stateSince <= sent {
			unlisted = append(unlisted, r)
		}
	}
	sort.Slice(unlisted, func(i, j int) bool { return lessRun(unlisted[i], unlisted[j]) })
	for _, r := range unlisted {
		c.handleUnlistedRun(r, first)
	}
}

// handleUnlistedRun handles a run that the worker reports neither as running nor as ended.
func (c *Cell) handleUnlistedRun(r *run, first bool) {
	switch {
	case r.state == runRunning:
		c.abandonRun(r, "not_listed")
	case r.state == runUncertain && (r.startRuledOut || first && r.attempts == 0):
		// From now on the worker refuses older tokens and runs that were stopped or ended, so the start can no longer
		// take effect. A start order of this owner still can.
		c.abandonRun(r, "never_started")
	case r.state == runUncertain && !r.stopRequested && c.evacuated(r.worker):
		// Its start order is not repeated there. Once it is stopped it can't start any more, and the task runs elsewhere.
		c.stopRun(r, stopRunUnknown)
	}
}

// confirmRunning processes a worker's report that a run is running.
func (c *Cell) confirmRunning(r *run, running *workercall.RunStatus) {
	if r.state != runRunning {
		c.setRunning(r)
	}
	r.progressPercent, r.tailLatency, r.milliCPU = running.Percent, running.TailLatency, running.MilliCPU
	c.trustProbedWorker(r)
	c.observeProgress(r)
	// The checkpoint is stored with the next change of the group. Until then a new owner learns it from the worker's report.
	c.adoptCheckpoint(r, running.Checkpoint)
}

// probeSuccessTime is how long a long-running probe run must have been running before its worker is trusted again.
// Faulty workers fail a task within a second of the task's start.
const probeSuccessTime = 2 * time.Second

// trustProbedWorker counts a long-running probe run as a success once it is serving and has been running for
// probeSuccessTime, since such a task never ends by itself. Runs that were placed before the worker's failures don't
// count.
func (c *Cell) trustProbedWorker(r *run) {
	id := r.worker.info.ID
	if r.probe && r.task.group.step.LongRunning && r.progressPercent >= servingPercent &&
		c.now-r.runningSince >= probeSuccessTime &&
		c.health.State(id, c.wall) != quarantine.Trusted {
		c.recordSuccess(r)
		c.log.Info("worker trusted again", zap.String("worker", id), taskField(r.task.id))
	}
}

// setRunning marks a run as running.
func (c *Cell) setRunning(r *run) {
	r.setState(runRunning, c.now)
	r.task.group.job.begun = true
	r.task.group.startAccepted()
	if r.runningSince == 0 {
		r.runningSince = c.now
	}
}

// handleUnknownRun has a run stopped that the owner does not know, because the run was abandoned or its job has been
// deleted. Later runs of the task get higher numbers.
func (c *Cell) handleUnknownRun(w *worker, running *workercall.RunStatus) {
	c.metrics.UnknownRuns.Inc()
	j := c.jobs[running.Task.Job]
	var t *task
	if j != nil {
		t = j.task(running.Task)
	}
	c.log.Warn("worker reports an unknown run", zap.String("worker", w.info.ID), taskField(running.Task),
		zap.Int("run", running.Number), zap.Bool("job_known", j != nil))
	w.unknownRuns = append(w.unknownRuns, running.Run)
	if t != nil {
		t.lastRunNumber = max(t.lastRunNumber, running.Number)
	}
}

// RenewFailed processes a renewal order to the worker with the given ID that was refused or not answered. fenced is as
// for StartAnswered.
func (c *Cell) RenewFailed(id string, err error) (fenced bool) {
	w := c.workers[id]
	if w == nil {
		return false
	}
	w.renewalInFlight = false
	w.touch()
	reason := verdict.ReasonOf(err)
	switch reason {
	case workercall.ReasonFenced:
		return true
	case workercall.ReasonWorkerRestarted:
		c.handleOtherIncarnation(w, w.info.StartedAtMS)
		return false
	}
	if w.failingSince == 0 {
		w.failingSince = c.now
		c.log.Warn("worker not responding", zap.String("worker", id), zap.String("reason", string(reason)),
			zap.Duration("last_report_age", c.now-w.lastReport), zap.Error(err))
	}
	w.nextRenewal = c.now + failedRenewInterval
	return false
}

// handleOtherIncarnation handles an answer from a different incarnation than the one addressed, which has therefore
// ended. It does nothing if that is known.
func (c *Cell) handleOtherIncarnation(w *worker, addressed int64) {
	if addressed != w.info.StartedAtMS {
		return
	}
	w.touch()
	if !w.dead {
		c.handleNewIncarnation(w, "refusal")
		w.dead = true
	}
	// The incarnation at the address refuses the orders to this one, so none of them takes effect any more.
	for _, r := range w.sortedRuns() {
		if r.state != runStartSent {
			c.abandonRun(r, "new_life")
		}
	}
	w.nextRenewal = c.now + idleRenewInterval
}

// abandonRun removes a run that has certainly stopped or never started. reason is written to metrics and to the log; it
// is one of new_life, not_listed, never_started and lease_lapsed.
func (c *Cell) abandonRun(r *run, reason string) {
	c.metrics.countAbandonedRun(reason)
	c.log.Info("run abandoned", taskField(r.task.id), zap.Int("run", r.number), zap.String("worker", r.worker.info.ID),
		zap.String("reason", reason), zap.Duration("worker_report_age", c.now-r.worker.lastReport))
	c.removeRun(r)
	c.stopGangRun(r.task.group, r.number)
}

// stopGangRun stops the remaining runs of a gang after one member ended without success.
func (c *Cell) stopGangRun(g *group, number int) {
	if !g.step.Gang {
		return
	}
	for _, t := range g.tasks {
		for _, r := range append([]*run(nil), t.runs...) {
			if r.number == number {
				c.stopRun(r, stopGangIncomplete)
			}
		}
	}
}

// sortedRuns returns the worker's runs, sorted by task and run number.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return lessRun(runs[i], runs[j]) })
	return runs
}

// lessRun orders runs by task and run number.
func lessRun(a, b *run) bool {
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

// expireLeases abandons the runs on workers whose leases have expired, except for those without a start order, and
// removes unlisted workers without runs.
func (c *Cell) expireLeases() {
	for _, w := range c.due.leasesDue(c.now) {
		if !w.leaseExpired && c.now >= w.leaseExpiresBy && (w.tokenAccepted || c.formerLeaseEnded(w)) {
			c.expireLease(w)
		}
		if w.disposable() {
			c.removeWorker(w)
		}
	}
}

// expireLease abandons the runs on a worker whose lease has expired. Runs without a start order are not affected: their
// orders will extend the lease.
func (c *Cell) expireLease(w *worker) {
	var expired []*run
	for _, r := range w.sortedRuns() {
		if r.state != runPlaced {
			expired = append(expired, r)
		}
	}
	if len(expired) == 0 {
		return
	}
	w.leaseExpired = true
	if !w.tokenAccepted {
		c.metrics.countFormerLease(w.formerLeaseEnd < c.formerLeasesEnd)
	}
	c.log.Warn("lease on a worker has lapsed", zap.String("worker", w.info.ID), zap.Int("runs", len(expired)), zap.Bool("listed", w.listed),
		zap.Bool("of_former_owner", !w.tokenAccepted), zap.Duration("lapsed_since", c.now-w.leaseExpiresBy), zap.Duration("last_report_age", c.now-w.lastReport))
	for _, r := range expired {
		c.abandonRun(r, "lease_lapsed")
	}
}

// logMeasurements logs, at debug level, the CPU use and latency that a worker reports for its tasks. The lines serve to
// analyze how tasks on the same worker slow each other down.
func (c *Cell) logMeasurements(w *worker) {
	if c.log.Core().Enabled(zap.DebugLevel) {
		for _, r := range w.sortedRuns() {
			c.log.Debug("figures", zap.String("worker", w.info.ID), taskField(r.task.id), zap.String("image", r.task.group.step.Image),
				zap.Duration("target", r.task.group.step.TargetTailLatency), zap.Duration("tail", r.tailLatency),
				zap.Bool("fills", r.task.group.step.BestEffort), zap.Int("milli_cpu", r.milliCPU), zap.Int("request", r.task.group.step.Request.MilliCPU),
				zap.Int("pace", r.pace), zap.Int("size", w.info.Capacity.MilliCPU), zap.Int("percent", r.progressPercent))
		}
	}
}
