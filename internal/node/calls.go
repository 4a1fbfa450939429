package node

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/guarantee"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/worker"
)

// maxCallsPerTick limits the start calls, and separately the stop calls, made in one tick.
const maxCallsPerTick = 128

// reachableWorker returns the worker of a task's open attempt, or nil if this node may not call it now. That
// is so if the worker is unknown, has accepted no fencing token from this node, is absent from the VM list or declared absent, or
// waits for a retry after a failed call, or if this node does not hold the worker's shard under the fencing
// token that the worker has accepted.
func (e *engine) reachableWorker(row *task.Task, now time.Time) *worker.Worker {
	w := e.workerTable.Get(row.Worker)
	if w == nil || w.Token == 0 || !w.UnlistedSince.IsZero() || now.Before(w.NextCallAt) || e.isDeclaredAbsent(w) {
		return nil
	}
	if token, held := e.owner.Authority(w.Shard, now); !held || token != w.Token {
		return nil
	}
	return w
}

// startPlaced starts the tasks whose placement has been accepted.
func (e *engine) startPlaced(now time.Time) {
	calls := 0
	for _, row := range e.taskTable.InState(task.Starting) {
		if row.CallInFlight || row.Withdrawn || row.EndingAttempt == row.Attempt {
			continue
		}
		w := e.reachableWorker(row, now)
		if w == nil {
			continue
		}
		if row.OverQuota {
			e.endNotStarted(row, reasonQuotaRace)
			continue
		}
		if w.Leaving {
			e.withdrawStart(row, reasonLeaving, now)
			continue
		}
		if e.withholdsStarts() {
			e.withholdStart(w, row, now)
			continue
		}
		if calls++; calls > maxCallsPerTick {
			return
		}
		row.CallInFlight = true
		e.start(w, row)
	}
}

// withdrawStart ends the attempt of a task that is not to be started on its worker any more. If a start request may still take
// effect, the worker is asked to stop the run first.
func (e *engine) withdrawStart(row *task.Task, reason string, now time.Time) {
	if row.StartUncertain {
		row.SetState(task.Stopping, reason, now)
		return
	}
	e.endNotStarted(row, reason)
}

// start asks a worker to start a task's attempt, and applies the reply once it arrives.
func (e *engine) start(w *worker.Worker, row *task.Task) {
	size, _ := w.Reservation(row.RunID())
	req := platform.StartRequest{
		Token:      w.Token,
		Run:        row.RunID(),
		Size:       size,
		Lease:      e.settings.Scheduling.TaskLease.Std(),
		Checkpoint: row.Checkpoint,
		Service:    row.Service,
		Slots:      row.Slots,
	}
	address := w.Address
	e.recordStartSent(w, req.Run, req.Token)
	go func() {
		err := e.workers.Start(e.ctx, address, req)
		e.post(func(now time.Time) {
			row.CallInFlight = false
			e.recordStartResult(w, req.Run, req.Token, err)
			if row.State == task.Starting && row.RunID() == req.Run {
				e.handleStartReply(w, row, err, now)
			}
		})
	}()
}

// handleStartReply applies the result of a start call.
func (e *engine) handleStartReply(w *worker.Worker, row *task.Task, err error, now time.Time) {
	if err == nil {
		row.ConfirmedAt = now
		row.SetState(task.Running, "", now)
		e.mayHaveWithdrawnTasks = e.mayHaveWithdrawnTasks || row.Withdrawn
		e.checkUrgentStart(row, now)
		return
	}
	e.recordWorkerFailure(w, err, now)
	reason := verdict.ReasonOf(err)
	if verdict.Of(err) != verdict.NotRun {
		row.StartUncertain = true
		return
	}
	if reason == platform.ReasonFenced {
		return
	}
	if row.StartUncertain {
		// An earlier start request may still arrive. The worker refuses it once it has received a stop.
		row.SetState(task.Stopping, string(reason), now)
		return
	}
	e.endNotStarted(row, string(reason))
}

// endNotStarted ends an attempt that the worker has not run and will not run.
func (e *engine) endNotStarted(row *task.Task, reason string) {
	if a := e.openAttempt(row.ID); a != nil {
		e.sendEnd(a, record.Outcome_OUTCOME_NOT_STARTED, nil, reason)
	}
}

// checkUrgentStart records how long an urgent task waited for its start, and a violated guarantee if that was
// too long.
func (e *engine) checkUrgentStart(row *task.Task, now time.Time) {
	if row.Priority != manifest.Urgent || row.IsService() || row.WaitingSince.IsZero() {
		return
	}
	e.metrics.urgentStart.Update(now.Sub(row.WaitingSince).Seconds())
	if now.Sub(row.WaitingSince) > guarantee.MaxUrgentStartDelay {
		e.guarantees.RecordViolation(guarantee.Urgent, row.ID, now)
	}
}

// stopWithdrawn sets the starting and running tasks that the active manifest no longer declares to state
// Stopping. sendStops then asks the workers to stop them.
func (e *engine) stopWithdrawn(now time.Time) {
	if !e.mayHaveWithdrawnTasks {
		return
	}
	e.mayHaveWithdrawnTasks = false
	for _, state := range []task.State{task.Starting, task.Running} {
		for _, row := range e.taskTable.InState(state) {
			if row.Withdrawn {
				row.SetState(task.Stopping, "withdrawn", now)
			}
		}
	}
}

// sendStops asks the workers to stop the tasks in state Stopping, and repeats this until a report confirms
// the stop.
func (e *engine) sendStops(now time.Time) {
	calls := 0
	for _, row := range e.taskTable.InState(task.Stopping) {
		if now.Before(row.NextStopAt) {
			continue
		}
		w := e.reachableWorker(row, now)
		if w == nil {
			continue
		}
		if calls++; calls > maxCallsPerTick {
			return
		}
		row.NextStopAt = now.Add(workerRetryDelay)
		w.ReportNow = true
		e.stopRun(w, row.RunID())
	}
}

// stopRun asks a worker to stop a run, without waiting for the reply.
func (e *engine) stopRun(w *worker.Worker, id platform.RunID) {
	token, address := w.Token, w.Address
	if token == 0 {
		return
	}
	e.callAsync(func(ctx context.Context) error {
		return e.workers.Stop(ctx, address, token, id)
	})
}
