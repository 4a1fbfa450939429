package node

import (
	"time"

	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/promise"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/sizing"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// takeReport applies a worker's report. sent is when the call was made; adopted says that the call raised
// the token, so that an attempt which the report does not show never started and never will.
func (e *engine) takeReport(w *worker.Worker, report platform.Report, sent time.Time, adopted bool) {
	now := time.Now()
	w.ReportedAt = now
	e.workerRow.SetCapacity(w, report.Capacity)
	shown := make(map[platform.RunID]bool, len(report.Runs))
	var running units.Resources
	addresses := 0
	for i := range report.Runs {
		run := &report.Runs[i]
		shown[run.ID] = true
		if !run.State.Final() {
			running = running.Add(run.Size)
		}
		if e.takeRun(w, run, sent, now) {
			addresses++
		}
	}
	if !running.Fits(report.Capacity) {
		e.promises.Break(promise.Capacity, w.ID, now)
	}
	for _, id := range w.RunIDs() {
		if !shown[id] {
			e.takeMissing(w, id, sent, adopted)
		}
	}
	e.watchLatency(w, report, now)
	if addresses > 0 {
		e.updateDirectory()
	}
}

// takeMissing handles a reservation whose attempt its worker does not show.
func (e *engine) takeMissing(w *worker.Worker, id platform.RunID, sent time.Time, adopted bool) {
	row := e.taskRow.Get(id.Task)
	a := e.ledger.Attempt(id.Task)
	open := a != nil && a.Open && a.Number == id.Attempt && a.Worker == w.ID
	if !open {
		placing := row != nil && row.State == task.Placing && row.Worker == w.ID
		if !placing {
			e.workerRow.Release(w, id)
		}
		return
	}
	confirmed := row != nil && !row.ConfirmedAt.IsZero() && row.ConfirmedAt.Before(sent)
	// An attempt of an earlier owner that the worker does not show was not started before the fence.
	earlier := row != nil && row.State == task.Placed
	switch {
	case (adopted || earlier) && !e.mayForget(w, id):
		// A start under the same token may still arrive. After a stop it is refused, and the report shows it.
		e.stopRun(w, id)
	case adopted || earlier:
		e.sendEnd(a, record.Outcome_OUTCOME_NOT_STARTED, nil, reasonNotStarted)
	case confirmed:
		e.sendEnd(a, record.Outcome_OUTCOME_LOST, nil, reasonRunLost)
	}
}

// takeRun applies what a worker says of one run. It reports whether the address of an endpoint changed.
func (e *engine) takeRun(w *worker.Worker, run *platform.Run, sent, now time.Time) bool {
	a := e.ledger.Attempt(run.ID.Task)
	row := e.taskRow.Get(run.ID.Task)
	known := a != nil && a.Number == run.ID.Attempt && a.Worker == w.ID && a.Open
	e.reserveShown(w, run, row, known, sent)
	if !known {
		e.takeStray(w, run, row, now)
		return false
	}
	if run.State.Final() {
		withdrawn := row == nil || row.Withdrawn
		service := row != nil && row.IsService()
		e.sendEnd(a, outcomeOf(run, withdrawn, service), run, endReason(row, run))
		return false
	}
	if row == nil {
		e.stopRun(w, run.ID)
		return false
	}
	return e.updateRow(w, row, run, now)
}

// reserveShown reserves what a run takes. A final run keeps its reservation until its end is accepted,
// unless it is a stray. A resize that is not confirmed yet counts in full.
func (e *engine) reserveShown(w *worker.Worker, run *platform.Run, row *task.Task, known bool, sent time.Time) {
	if run.State.Final() {
		if !known {
			e.workerRow.Release(w, run.ID)
		}
		return
	}
	size := run.Size
	if row != nil && row.Attempt == run.ID.Attempt && !row.Resizing.IsZero() {
		if !row.ResizedAt.IsZero() && sent.After(row.ResizedAt) {
			row.Resizing = units.Resources{}
		} else {
			size = sizing.Max(size, row.Resizing)
		}
	}
	e.workerRow.Reserve(w, run.ID, size)
}

// endReason returns the word that the end of an attempt carries.
func endReason(row *task.Task, run *platform.Run) string {
	if row != nil && row.Evicting() && run.State == platform.RunStopped {
		return row.EvictedFor
	}
	return string(run.State)
}

// updateRow takes a running attempt. It reports whether the address of an endpoint changed.
func (e *engine) updateRow(w *worker.Worker, row *task.Task, run *platform.Run, now time.Time) bool {
	if row.StartedAt.IsZero() {
		e.checkResumed(row, run, now)
		row.StartedAt = now
	}
	changed := row.Address != run.Address || row.State != task.Running
	row.Worker = w.ID
	row.Attempt = run.ID.Attempt
	row.Progress = run.Progress
	row.Checkpoint = run.Checkpoint
	row.Usage = run.Usage
	row.Address = run.Address
	row.Throttle = run.Throttle
	if row.ConfirmedAt.IsZero() {
		row.ConfirmedAt = now
		row.StartProgress = run.Progress
	}
	if row.State != task.Stopping {
		row.Set(task.Running, "", now)
		e.withdrawals = e.withdrawals || row.Withdrawn
	}
	e.watchUsage(w, row, run, now)
	return row.IsService() && changed
}

// checkResumed sees whether an attempt went on from the newest checkpoint in the ledger.
func (e *engine) checkResumed(row *task.Task, run *platform.Run, now time.Time) {
	a := e.ledger.Attempt(row.ID)
	if a != nil && a.Checkpoint != "" && run.Progress < a.Progress-progressTolerance {
		e.promises.Break(promise.Resumed, row.ID, now)
	}
}

// progressTolerance allows for the rounding of progress in the records.
const progressTolerance = 0.002

// takeStray handles a run that the ledger does not know as open: it is stopped, and forgotten once final.
func (e *engine) takeStray(w *worker.Worker, run *platform.Run, row *task.Task, now time.Time) {
	if run.State.Final() {
		e.forgetRun(w, run.ID)
		return
	}
	if row != nil && row.State == task.Running && row.RunID() != run.ID {
		e.promises.Break(promise.SingleRun, row.ID, now)
	}
	e.metrics.strayRuns.Inc()
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

// openAttempt returns the open attempt of a task, or nil.
func (e *engine) openAttempt(id string) *ledger.Attempt {
	if a := e.ledger.Attempt(id); a != nil && a.Open {
		return a
	}
	return nil
}
