package cell

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	// renewWait is how long a worker with runs may wait for the end of a run before it answers a renewal order. It
	// limits the time between two latency measurements, so that several arrive within Settings.MaxOverTarget.
	renewWait = 800 * time.Millisecond
	// maxRenewWait is used instead while the owner is short of processor time, for a worker on which nothing is paced.
	maxRenewWait = 1200 * time.Millisecond
	// idleRenewInterval is the time between two renewal orders to a worker without runs.
	idleRenewInterval = 2 * time.Second
	// failedRenewInterval is the time between two renewal orders to a worker that does not answer.
	failedRenewInterval = 250 * time.Millisecond
	// unstoredRenewInterval is the time between two renewal orders to a worker while run ends that it reported are not
	// stored yet.
	unstoredRenewInterval = time.Second
	// maxServiceRest is the longest rest between a report and the next renewal order to a worker with services, whose
	// latency measurements are needed to pace the tasks beside them.
	maxServiceRest = 200 * time.Millisecond
	// unloadedRenewInterval is the time between two renewal orders to a worker while the state is not loaded.
	unloadedRenewInterval = time.Second
	// maxReportAge is the maximum time by which a renewal order may be overdue if it is to extend the lease.
	// For a task to be placed on the worker, idleRenewInterval is added, since an idle worker reports at this interval.
	maxReportAge = 1800 * time.Millisecond
	// answerTime is the time after which a renewal order without an answer is taken for a sign that the worker is out of touch, apart
	// from the time that the order lets it wait.
	answerTime = 400 * time.Millisecond
	// stopRetryInterval is the time between two stop orders for the same run.
	stopRetryInterval = 600 * time.Millisecond
	// startRetryInterval is the minimum time from when a run became uncertain until its start order is repeated.
	startRetryInterval = 150 * time.Millisecond
	// maxStartAttempts is the number of start orders that an owner sends for a run before it has the run stopped.
	maxStartAttempts = 3
	// interferenceSaveInterval is the minimum time between two stored snapshots of the learned interference
	// coefficients. A new owner continues from the newest one.
	interferenceSaveInterval = 3 * time.Second
)

// RenewOrder asks a worker for a report and may extend its lease.
type RenewOrder struct {
	To      workercall.Target
	Request workercall.RenewRequest
	// CreatedAt is when the order was created. It is passed to RenewAnswered with the answer.
	CreatedAt time.Duration
}

// StartOrder starts a run on a worker.
type StartOrder struct {
	To    workercall.Target
	Start workercall.Start
}

// StopOrder stops a run on a worker. If the run has not been started there yet, the worker will refuse its start.
type StopOrder struct {
	To    workercall.Target
	Run   workercall.Run
	Token int64 // fencing token of the owner
}

// PaceOrder limits the speed of a run to a percentage of full speed.
type PaceOrder struct {
	To      workercall.Target
	Run     workercall.Run
	Percent int   // 0 to 100
	Token   int64 // fencing token of the owner
}

// Orders are the orders that are due at one time. They may be sent at once: everything that they depend on is stored.
type Orders struct {
	Renewals []RenewOrder
	Starts   []StartOrder
	Stops    []StopOrder
	Paces    []PaceOrder
}

// token returns the owner's fencing token for a worker, which refuses orders with a lower one than it has accepted.
func (c *Cell) token(w *worker) int64 { return cellmap.Token(w.info.Assignment, c.epoch) }

// startOrder returns the order that starts a run whose record is stored. It extends the worker's lease and marks the
// run, its group and its job as started.
func (c *Cell) startOrder(r *run) StartOrder {
	w, g := r.worker, r.task.group
	r.setState(runStartSent, c.now)
	r.attempts++
	r.fromCheckpoint = r.task.checkpoint != ""
	c.unansweredStarts++
	w.startSent(c.now)
	if !g.started {
		g.started = true
		c.metrics.observeStepChange(g, c.now)
	}
	if !g.job.started {
		g.job.started = true
		c.log.Info("job started", zap.String("job", string(g.job.id)), zap.Duration("after", c.now-g.job.addedAt))
	}
	c.log.Info("start", taskField(r.task.id), zap.Int("run", r.number), zap.String("worker", w.info.ID),
		zap.Int64("token", c.token(w)), zap.Int("attempt", r.attempts), zap.Duration("waited", c.now-r.task.waitingSince),
		zap.Duration("worker_report_age", c.now-w.lastReport), zap.Bool("checkpoint", r.task.checkpoint != ""))
	return StartOrder{To: w.target(), Start: workercall.Start{
		Run:         workercall.Run{Task: r.task.id, Number: r.number},
		Payload:     g.job.record.Spec.Payload,
		Checkpoint:  r.task.checkpoint,
		LeaseExpiry: c.extendLease(w),
		Token:       c.token(w),
	}}
}

// TakeOrders returns the orders that are due and marks them as sent. mayDecide is true while the owner's claim on the
// cell, see package cellnode, allows decisions; if it is false, or before Load, TakeOrders only returns renewal orders. Otherwise
// it checks a part of the indexes as well, see Cell.audit.
func (c *Cell) TakeOrders(mayDecide bool) Orders {
	var orders Orders
	if mayDecide && c.loaded {
		c.audit()
	}
	for _, w := range c.due.ordersDue(c.now) {
		if !w.renewable() {
			continue
		}
		if !w.renewalInFlight && c.now >= w.nextRenewal {
			orders.Renewals = append(orders.Renewals, c.renewOrder(w))
		}
		if mayDecide && w.reconciled {
			c.addStopsAndRetries(w, &orders)
			if w.pacingPending {
				w.pacingPending = false
				c.paceWorker(w, &orders)
			}
		}
	}
	return orders
}

// renewOrder returns a renewal order for a worker. The order extends the lease only if the worker has runs, or may have
// some because the state is not loaded, and its last renewal was answered and this one is not overdue for long.
func (c *Cell) renewOrder(w *worker) RenewOrder {
	w.renewalInFlight, w.ackInFlight = true, w.endToAcknowledge()
	request := workercall.RenewRequest{Token: c.token(w), Acknowledged: w.ackInFlight}
	w.touch()
	if w.tokenAccepted && w.clockKnown && (len(w.runs) > 0 || !c.loaded) && w.failingSince == 0 && c.now-w.nextRenewal < maxReportAge {
		request.LeaseExpiry = c.extendLease(w)
		if c.loaded && w.lastEndSeen == w.lastEndStored {
			request.Wait = c.renewWait(w)
		}
	}
	w.answerDueBy = c.now + request.Wait + answerTime
	return RenewOrder{To: w.target(), Request: request, CreatedAt: c.now}
}

// endToAcknowledge returns the sequence number of the last run end that the worker may forget, or 0 if it need not forget more.
// A worker that has restarted unnoticed numbers its ends anew and could forget some that were never read. Therefore nothing is
// acknowledged twice, or to a worker that does not answer.
func (w *worker) endToAcknowledge() int64 {
	if w.failingSince != 0 || w.lastEndAcked == w.lastEndStored {
		return 0
	}
	return w.lastEndStored
}

// renewBy makes the worker's next renewal order due at a time, unless it is due earlier.
func (w *worker) renewBy(at time.Duration) {
	if at < w.nextRenewal {
		w.nextRenewal = at
		w.touch()
	}
}

// renewWait returns how long a worker may wait for the end of a run before it answers a renewal order.
func (c *Cell) renewWait(w *worker) time.Duration {
	if c.load.Rest() == 0 || len(w.services) > 0 && len(w.bestEffort) > 0 {
		return renewWait
	}
	return maxRenewWait
}

// renewInterval returns the time from a report to the next renewal order.
func (c *Cell) renewInterval(w *worker) time.Duration {
	switch {
	case w.lastEndSeen > w.lastEndStored:
		return unstoredRenewInterval // RoundStored makes the next renewal order due at once
	case len(w.runs) == 0:
		return idleRenewInterval
	case len(w.services) > 0:
		return min(c.load.Rest(), maxServiceRest)
	}
	return c.load.Rest()
}

// maxPlacementReportAge returns the maximum age of a worker's newest report for a task to be placed on it. It allows for
// the rest that the owner gives to workers, which says nothing about them.
func (c *Cell) maxPlacementReportAge() time.Duration {
	return idleRenewInterval + maxReportAge + c.load.Rest()
}

// addStopsAndRetries adds the stop orders that are due and repeats start orders that were not answered.
func (c *Cell) addStopsAndRetries(w *worker, orders *Orders) {
	for _, unknown := range w.unknownRuns {
		c.metrics.countStop(string(stopRunUnknown))
		orders.Stops = append(orders.Stops, StopOrder{To: w.target(), Run: unknown, Token: c.token(w)})
	}
	w.unknownRuns = nil
	for _, r := range w.unresolvedRuns() {
		switch {
		case r.stopRequested && !r.stopInFlight && r.state != runPlaced &&
			(r.stopSentAt == 0 || c.now-r.stopSentAt >= stopRetryInterval):
			orders.Stops = append(orders.Stops, c.stopOrder(r))
		case !r.stopRequested && r.state == runUncertain && !r.startRuledOut &&
			w.failingSince == 0 && c.now-r.stateSince >= startRetryInterval:
			c.retryStart(r, orders)
		}
	}
}

// unresolvedRuns returns the runs that are to be stopped or whose start is uncertain, sorted by task.
func (w *worker) unresolvedRuns() []*run {
	if !w.mayHaveUnresolved {
		return nil
	}
	var unresolved []*run
	for _, r := range w.runs {
		if r.unresolved() {
			unresolved = append(unresolved, r)
		}
	}
	w.mayHaveUnresolved = len(unresolved) > 0
	sort.Slice(unresolved, func(i, j int) bool { return lessRun(unresolved[i], unresolved[j]) })
	return unresolved
}

func (c *Cell) stopOrder(r *run) StopOrder {
	if r.stopSentAt == 0 {
		c.metrics.countStop(string(r.stopReason))
		c.log.Info("stop", taskField(r.task.id), zap.Int("run", r.number), zap.String("worker", r.worker.info.ID),
			zap.String("reason", string(r.stopReason)))
	}
	r.stopInFlight, r.stopSentAt = true, c.now
	return StopOrder{To: r.worker.target(), Run: workercall.Run{Task: r.task.id, Number: r.number}, Token: c.token(r.worker)}
}

// retryStart repeats an unanswered start order. After maxStartAttempts, or if the worker takes no more starts, the run is
// stopped instead.
func (c *Cell) retryStart(r *run, orders *Orders) {
	if r.attempts < maxStartAttempts && r.worker.takesStarts() && r.task.group.job.live() && !r.task.done {
		if c.withholdsRepeat(r) {
			return
		}
		orders.Starts = append(orders.Starts, c.startOrder(r))
		return
	}
	c.stopRun(r, stopRunUnknown)
}

// NextDue returns when the next renewal order, lease expiry or placement retry is due, on the clock of SetTime and at
// most idleRenewInterval from now. It does not consider repeated start and stop orders or occurrences that become
// due.
func (c *Cell) NextDue() time.Duration {
	next := c.now + idleRenewInterval
	c.due.settle()
	if renewal, any := c.due.renewals.first(); any {
		next = min(next, renewal)
	}
	if expiry, any := c.due.leases.first(); any {
		// Runs may remain after the lease has expired, which must not make the next call due at once.
		next = min(next, max(expiry, c.now+failedRenewInterval))
	}
	if c.nextRetry != 0 {
		next = min(next, c.nextRetry)
	}
	return next
}

// observeStepChange records the time since the end of the first listed dependency that ended under this owner.
func (c *Metrics) observeStepChange(g *group, now time.Duration) {
	for _, dep := range g.step.DependsOn {
		depGroup := g.job.groups[jobs.GroupID{Job: g.id.Job, Occurrence: g.id.Occurrence, Step: dep}]
		if depGroup != nil && depGroup.finishedAt > 0 {
			c.StepDelay.Update((now - depGroup.finishedAt).Seconds())
			return
		}
	}
}
