package node

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/lease"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/worker"
)

const (
	// reportPeriod is the longest time between two reports of a worker.
	reportPeriod = time.Second
	// workerRetryDelay is the wait before the next call to a worker that did not answer.
	workerRetryDelay = time.Second
)

// adoptWorkers raises the fencing token of every worker of an own shard and lists what runs there.
func (e *engine) adoptWorkers(now time.Time) {
	for _, w := range e.workerRow.All() {
		token, held := e.owner.Holds(w.Shard, now)
		if !held {
			w.Token = 0
			continue
		}
		if w.Token == token || w.Adopting || w.Address == "" || now.Before(w.CallAfter) {
			continue
		}
		w.Adopting = true
		e.adopt(w, token)
	}
}

func (e *engine) adopt(w *worker.Worker, token platform.Offset) {
	address := w.Address
	go func() {
		report, err := e.workers.Fence(e.ctx, address, token)
		e.post(func(now time.Time) {
			w.Adopting = false
			if err != nil {
				e.workerFailed(w, err, now)
				return
			}
			if current, held := e.owner.Holds(w.Shard, now); !held || current != token {
				return
			}
			w.Token = token
			w.Reserved = make(map[platform.RunID]units.Resources)
			e.takeReport(w, report, now, true)
		})
	}()
}

func (e *engine) workerFailed(w *worker.Worker, err error, now time.Time) {
	w.CallAfter = now.Add(workerRetryDelay)
	e.metrics.countWorkerFailure(verdict.ReasonOf(err))
}

// renewLeases extends the leases of what runs on own workers and takes their reports.
func (e *engine) renewLeases(now time.Time) {
	period := min(reportPeriod, lease.RenewalPeriod(e.settings.Scheduling.TaskLease.Std()))
	for _, w := range e.workerRow.All() {
		if w.Token == 0 || w.Calling || now.Before(w.CallAfter) || now.Sub(w.ReportedAt) < period {
			continue
		}
		if !w.AbsentSince.IsZero() {
			e.probeAbsent(w)
			continue
		}
		w.Calling = true
		e.renew(w, now)
	}
}

func (e *engine) renew(w *worker.Worker, sent time.Time) {
	req := platform.RenewRequest{Token: w.Token, Lease: e.settings.Scheduling.TaskLease.Std()}
	for id := range w.Reserved {
		if row := e.taskRow.Get(id.Task); row != nil && row.Attempt == id.Attempt && row.State == task.Running {
			req.Runs = append(req.Runs, id)
		}
	}
	address := w.Address
	go func() {
		report, err := e.workers.Renew(e.ctx, address, req)
		e.post(func(now time.Time) {
			w.Calling = false
			if err != nil {
				e.workerFailed(w, err, now)
				return
			}
			if w.Token == req.Token {
				e.takeReport(w, report, sent, false)
			}
		})
	}()
}

// takeReport applies a worker's report. sent is when the call was made; adopted says that the call raised
// the token, so that an attempt which the report does not show never started and never will.
func (e *engine) takeReport(w *worker.Worker, report platform.Report, sent time.Time, adopted bool) {
	now := time.Now()
	w.ReportedAt = now
	w.Capacity = report.Capacity
	e.promises.checkReport(w.ID, report, now)
	shown := make(map[platform.RunID]bool, len(report.Runs))
	for i := range report.Runs {
		run := &report.Runs[i]
		shown[run.ID] = true
		e.takeRun(w, run, now)
	}
	e.ledger.Attempts(func(a *ledger.Attempt) {
		id := platform.RunID{Task: a.Task, Attempt: a.Number}
		if !a.Open || a.Worker != w.ID || shown[id] {
			return
		}
		e.takeMissing(a, sent, adopted)
	})
	e.dropReservations(w, shown)
	e.dirty = true
	e.updateDirectory()
}

// takeMissing handles an open attempt that its worker does not show.
func (e *engine) takeMissing(a *ledger.Attempt, sent time.Time, adopted bool) {
	row := e.taskRow.Get(a.Task)
	confirmed := row != nil && !row.ConfirmedAt.IsZero() && row.ConfirmedAt.Before(sent)
	switch {
	case adopted:
		e.sendEnd(a, record.Outcome_OUTCOME_NOT_STARTED, nil, "not_started")
	case confirmed:
		e.sendEnd(a, record.Outcome_OUTCOME_LOST, nil, "run_lost")
	}
}

// dropReservations removes the reservations that neither the worker nor the ledger accounts for.
func (e *engine) dropReservations(w *worker.Worker, shown map[platform.RunID]bool) {
	for id := range w.Reserved {
		if shown[id] {
			continue
		}
		row := e.taskRow.Get(id.Task)
		placing := row != nil && row.State == task.Placing
		a := e.ledger.Attempt(id.Task)
		open := a != nil && a.Open && a.Number == id.Attempt
		if !placing && !open {
			delete(w.Reserved, id)
		}
	}
}

// takeRun applies what a worker says of one run.
func (e *engine) takeRun(w *worker.Worker, run *platform.Run, now time.Time) {
	if run.State.Final() {
		delete(w.Reserved, run.ID)
	} else {
		w.Reserved[run.ID] = run.Size
	}
	a := e.ledger.Attempt(run.ID.Task)
	if a == nil || a.Number != run.ID.Attempt || a.Worker != w.ID || !a.Open {
		e.takeStray(w, run)
		return
	}
	row := e.taskRow.Get(run.ID.Task)
	if run.State.Final() {
		withdrawn := row == nil || row.Withdrawn
		service := row != nil && row.IsService()
		e.sendEnd(a, outcomeOf(run, withdrawn, service), run, string(run.State))
		return
	}
	if row == nil {
		e.stopRun(w, run.ID)
		return
	}
	e.updateRow(row, run, now)
}

func (e *engine) updateRow(row *task.Task, run *platform.Run, now time.Time) {
	row.Worker = e.ledger.Attempt(row.ID).Worker
	row.Attempt = run.ID.Attempt
	row.Progress = run.Progress
	row.Checkpoint = run.Checkpoint
	row.Usage = run.Usage
	row.Address = run.Address
	if row.ConfirmedAt.IsZero() {
		row.ConfirmedAt = now
	}
	if row.State != task.Stopping {
		row.Set(task.Running, "", now)
	}
}

// takeStray handles a run that the ledger does not know as open: it is stopped, and forgotten once final.
func (e *engine) takeStray(w *worker.Worker, run *platform.Run) {
	if run.State.Final() {
		e.forgetRun(w, run.ID)
		return
	}
	e.metrics.strayRuns.Inc()
	e.promises.checkStray(w.ID, run.ID, e.taskRow.Get(run.ID.Task), time.Now())
	e.stopRun(w, run.ID)
}

// outcomeOf returns the outcome of a final run. A service instance never finishes: one that exits by itself
// has failed.
func outcomeOf(run *platform.Run, withdrawn, service bool) record.Outcome {
	switch run.State {
	case platform.RunFinished:
		if service {
			return record.Outcome_OUTCOME_FAILED
		}
		return record.Outcome_OUTCOME_FINISHED
	case platform.RunFailed:
		return record.Outcome_OUTCOME_FAILED
	case platform.RunStopped:
		if withdrawn {
			return record.Outcome_OUTCOME_CANCELLED
		}
		return record.Outcome_OUTCOME_EVICTED
	default:
		return record.Outcome_OUTCOME_LOST
	}
}

func (e *engine) forgetRun(w *worker.Worker, id platform.RunID) {
	token, address := w.Token, w.Address
	if token == 0 {
		return
	}
	e.fire(func(ctx context.Context) error {
		return e.workers.Forget(ctx, address, token, []platform.RunID{id})
	})
}

func (e *engine) stopRun(w *worker.Worker, id platform.RunID) {
	token, address := w.Token, w.Address
	if token == 0 {
		return
	}
	e.fire(func(ctx context.Context) error {
		return e.workers.Stop(ctx, address, token, id)
	})
}

// fire makes a call whose effect the next report shows.
func (e *engine) fire(call func(ctx context.Context) error) {
	go func() {
		if err := call(e.ctx); err != nil {
			e.post(func(time.Time) { e.metrics.countWorkerFailure(verdict.ReasonOf(err)) })
		}
	}()
}

// startPlaced starts the tasks whose placement has been accepted.
func (e *engine) startPlaced(now time.Time) {
	for _, row := range e.taskRow.All() {
		if row.State != task.Starting || row.Calling || row.Withdrawn || row.Ending == row.Attempt {
			continue
		}
		w := e.workerRow.Get(row.Worker)
		if w == nil || w.Token == 0 || !w.AbsentSince.IsZero() || now.Before(w.CallAfter) {
			continue
		}
		if token, held := e.owner.Holds(w.Shard, now); !held || token != w.Token {
			continue
		}
		row.Calling = true
		e.start(w, row)
	}
}

func (e *engine) start(w *worker.Worker, row *task.Task) {
	req := platform.StartRequest{
		Token:      w.Token,
		Run:        row.RunID(),
		Size:       w.Reserved[row.RunID()],
		Lease:      e.settings.Scheduling.TaskLease.Std(),
		Checkpoint: row.Checkpoint,
		Service:    row.Service,
		Slots:      row.Slots,
	}
	address := w.Address
	go func() {
		err := e.workers.Start(e.ctx, address, req)
		e.post(func(now time.Time) {
			row.Calling = false
			if row.State == task.Starting && row.RunID() == req.Run {
				e.takeStart(w, row, err, now)
			}
		})
	}()
}

func (e *engine) takeStart(w *worker.Worker, row *task.Task, err error, now time.Time) {
	if err == nil {
		row.ConfirmedAt = now
		row.Set(task.Running, "", now)
		return
	}
	e.workerFailed(w, err, now)
	if verdict.Of(err) != verdict.NotRun {
		row.StartUncertain = true
		return
	}
	if verdict.ReasonOf(err) == platform.ReasonFenced {
		return
	}
	if row.StartUncertain {
		// An earlier start may still arrive. After a stop it is refused.
		row.Set(task.Stopping, string(verdict.ReasonOf(err)), now)
		return
	}
	if a := e.ledger.Attempt(row.ID); a != nil && a.Open {
		e.sendEnd(a, record.Outcome_OUTCOME_NOT_STARTED, nil, string(verdict.ReasonOf(err)))
	}
}

// stopWithdrawn marks what runs although the manifest in force no longer names it.
func (e *engine) stopWithdrawn(now time.Time) {
	for _, row := range e.taskRow.All() {
		open := row.State == task.Starting || row.State == task.Running
		if row.Withdrawn && open {
			row.Set(task.Stopping, "withdrawn", now)
		}
	}
}

// pursueStops asks the workers to stop what is to be stopped, again and again until a report confirms it.
func (e *engine) pursueStops(now time.Time) {
	for _, row := range e.taskRow.All() {
		if row.State != task.Stopping || now.Before(row.StopAfter) {
			continue
		}
		w := e.workerRow.Get(row.Worker)
		if w == nil || w.Token == 0 || now.Before(w.CallAfter) {
			continue
		}
		row.StopAfter = now.Add(workerRetryDelay)
		e.stopRun(w, row.RunID())
	}
}
