package cell

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	// holdWait is how long a worker with work may wait for an end before it answers a hold. Its figures are as old
	// as this at most, which leaves several readings within the time that a service may be over its target.
	holdWait = 800 * time.Millisecond
	// idleHoldPause is between two holds of a worker without work.
	idleHoldPause = 2 * time.Second
	// failedHoldPause is between two holds of a worker that does not answer.
	failedHoldPause = 250 * time.Millisecond
	// unsavedHoldPause is between two holds while ends that were taken in are not stored.
	unsavedHoldPause = time.Second
	// freshReport is how old the newest report may be for a lease to be extended or a task to be placed.
	freshReport = 1800 * time.Millisecond
	// repeatStop is between two stops of the same run.
	repeatStop = 600 * time.Millisecond
	// repeatStart is how long after an unanswered start the same start is sent again.
	repeatStart = 150 * time.Millisecond
	// maxStarts is how often the same start is sent before the run is stopped.
	maxStarts = 3
	// keepEvery is between two records of what was learnt: a new owner has lost that much at most.
	keepEvery = 3 * time.Second
)

// HoldOrder asks a worker for a report.
type HoldOrder struct {
	To   workercall.Target
	Hold workercall.Hold
	// Sent is when the order was given.
	Sent time.Duration
}

// StartOrder starts a run. Run is to be handed back with the answer.
type StartOrder struct {
	To    workercall.Target
	Start workercall.Start
}

// StopOrder stops a run.
type StopOrder struct {
	To    workercall.Target
	Run   workercall.Run
	Token int64
}

// PaceOrder sets the share of its speed at which a run works, in percent.
type PaceOrder struct {
	To      workercall.Target
	Run     workercall.Run
	Percent int
	Token   int64
}

// Orders may be sent at once: nothing has to be stored first.
type Orders struct {
	Holds  []HoldOrder
	Starts []StartOrder
	Stops  []StopOrder
	Paces  []PaceOrder
}

func (c *Cell) startOrder(r *run) StartOrder {
	w, g := r.worker, r.task.group
	r.state, r.since = runSent, c.now
	r.attempts++
	if !g.started {
		g.started = true
		c.counts.stepChanged(g, c.now)
	}
	if !g.job.started {
		g.job.started = true
		c.log.Info("job begun", zap.String("job", string(g.job.id)), zap.Duration("after", c.now-g.job.arrived))
	}
	c.log.Info("start", taskField(r.task.id), zap.Int("run", r.number), zap.String("worker", w.info.ID),
		zap.Int64("token", c.token), zap.Int("attempt", r.attempts), zap.Duration("waited", c.now-r.task.waiting),
		zap.Duration("worker_report_age", c.now-w.reported), zap.Bool("checkpoint", r.task.checkpoint != ""))
	return StartOrder{To: w.target(), Start: workercall.Start{
		Run:        workercall.Run{Task: r.task.id, Number: r.number},
		Payload:    g.job.record.Spec.Payload,
		Checkpoint: r.task.checkpoint,
		Until:      c.extend(w),
		Token:      c.token,
	}}
}

// extend returns the end of a new lease on the worker's clock and notes that it was granted.
func (c *Cell) extend(w *worker) time.Duration {
	until := w.clockNow(c.now) + c.settings.MaxHold
	w.granted = max(w.granted, until)
	w.updateLapse()
	return until
}

// Orders returns what may be sent at once. Without mayDecide it only renews leases.
func (c *Cell) Orders(mayDecide bool) Orders {
	var orders Orders
	for _, w := range c.sortedWorkers() {
		if w.info.Address == "" || w.dead && !w.listed {
			continue
		}
		if !w.holding && c.now >= w.nextHold {
			orders.Holds = append(orders.Holds, c.holdOrder(w))
		}
		if mayDecide && w.fenced {
			c.repairs(w, &orders)
			if w.figures {
				w.figures = false
				c.paceWorker(w, &orders)
			}
		}
	}
	return orders
}

func (c *Cell) holdOrder(w *worker) HoldOrder {
	hold := workercall.Hold{Token: c.token, Acknowledged: w.stored}
	w.holding = true
	if w.fenced && w.hasTime && len(w.runs) > 0 && c.now-w.reported < freshReport {
		hold.Until = c.extend(w)
		if w.seen == w.stored {
			hold.Wait = holdWait
		}
	}
	return HoldOrder{To: w.target(), Hold: hold, Sent: c.now}
}

// holdPause is how long after a report the next hold is sent.
func (c *Cell) holdPause(w *worker) time.Duration {
	switch {
	case w.seen > w.stored:
		return unsavedHoldPause // sooner once the ends are stored
	case len(w.runs) == 0:
		return idleHoldPause
	}
	return 0
}

// repairs sends stops that are due, and starts that had no answer.
func (c *Cell) repairs(w *worker, orders *Orders) {
	for _, foreign := range w.foreign {
		c.counts.stopped(string(stopUnknown))
		orders.Stops = append(orders.Stops, StopOrder{To: w.target(), Run: foreign, Token: c.token})
	}
	w.foreign = nil
	for _, r := range w.unsettledRuns() {
		switch {
		case r.stop && !r.stopping && r.state != runPlaced && (r.stopSent == 0 || c.now-r.stopSent >= repeatStop):
			orders.Stops = append(orders.Stops, c.stopOrder(r))
		case !r.stop && r.state == runUncertain && !r.settled && w.failing == 0 && c.now-r.since >= repeatStart:
			c.settle(r, orders)
		}
	}
}

// unsettledRuns returns the runs that are to be stopped or whose start is in doubt, in the order of their tasks.
func (w *worker) unsettledRuns() []*run {
	var unsettled []*run
	for _, r := range w.runs {
		if r.stop || r.state == runUncertain {
			unsettled = append(unsettled, r)
		}
	}
	sort.Slice(unsettled, func(i, j int) bool { return lessTask(unsettled[i], unsettled[j]) })
	return unsettled
}

func (c *Cell) stopOrder(r *run) StopOrder {
	if r.stopSent == 0 {
		c.counts.stopped(string(r.why))
		c.log.Info("stop", taskField(r.task.id), zap.Int("run", r.number), zap.String("worker", r.worker.info.ID),
			zap.String("reason", string(r.why)))
	}
	r.stopping, r.stopSent = true, c.now
	return StopOrder{To: r.worker.target(), Run: workercall.Run{Task: r.task.id, Number: r.number}, Token: c.token}
}

// settle sends an unanswered start again, and stops the run after some tries.
func (c *Cell) settle(r *run, orders *Orders) {
	if r.attempts < maxStarts && r.task.group.job.live() && !r.task.done {
		orders.Starts = append(orders.Starts, c.startOrder(r))
		return
	}
	c.stopRun(r, stopUnknown)
}

// Next returns when something falls due without any news.
func (c *Cell) Next() time.Duration {
	next := c.now + idleHoldPause
	for _, w := range c.workers {
		if !w.holding {
			next = min(next, w.nextHold)
		}
		if len(w.runs) > 0 {
			next = min(next, max(w.lapsed, c.now+failedHoldPause))
		}
	}
	if c.retry != 0 {
		next = min(next, c.retry)
	}
	return next
}

func (c *Counts) stepChanged(g *group, now time.Duration) {
	for _, earlier := range g.step.After {
		before := g.job.groups[jobs.GroupID{Job: g.id.Job, Occurrence: g.id.Occurrence, Step: earlier}]
		if before != nil && before.lastEnd > 0 {
			c.StepChange.Update((now - before.lastEnd).Seconds())
			return
		}
	}
}
