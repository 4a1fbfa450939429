package node

import (
	"time"

	"cactuswall.example/cactuswall/internal/guarantee"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/sizing"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// applyReport applies a worker's report. sent is when the call was made. fenced means that the call raised
// the fencing token, so that the worker rejects every start request with an older token: an attempt that was
// placed under one and is missing from the report never started and never will.
func (e *engine) applyReport(w *worker.Worker, report platform.Report, sent time.Time, fenced bool) {
	now := time.Now()
	w.ReportedAt = now
	e.endAbsence(w)
	e.workerTable.SetCapacity(w, report.Capacity)
	reported := make(map[platform.RunID]bool, len(report.Runs))
	var running units.Resources
	changedInstances := 0
	for i := range report.Runs {
		run := &report.Runs[i]
		reported[run.ID] = true
		if !run.State.Final() {
			running = running.Add(run.Size)
		}
		if e.applyRun(w, run, sent, now) {
			changedInstances++
		}
	}
	if !running.Fits(report.Capacity) {
		e.guarantees.RecordViolation(guarantee.Capacity, w.ID, now)
	}
	for _, id := range w.RunIDs() {
		if !reported[id] {
			e.handleMissingRun(w, id, sent, fenced)
		}
	}
	e.watchLatency(w, report, now)
	if changedInstances > 0 {
		e.updateDirectory()
	}
}

// handleMissingRun handles a reservation on a worker whose report does not contain the run.
func (e *engine) handleMissingRun(w *worker.Worker, id platform.RunID, sent time.Time, fenced bool) {
	row := e.taskTable.Get(id.Task)
	a := e.ledger.Attempt(id.Task)
	open := a != nil && a.Open && a.Number == id.Attempt && a.Worker == w.ID
	if !open {
		placing := row != nil && row.State == task.Placing && row.Worker == w.ID
		if !placing {
			e.workerTable.Release(w, id)
		}
		return
	}
	confirmed := row != nil && !row.ConfirmedAt.IsZero() && row.ConfirmedAt.Before(sent)
	// If the attempt was placed by an earlier owner, the worker had not started it before it was fenced.
	byEarlierOwner := row != nil && row.State == task.Placed
	switch {
	case (fenced || byEarlierOwner) && !e.canForgetRun(w, id):
		// A start request under the same token may still arrive. Once the worker has received a stop for the
		// run, it refuses the start and reports the run.
		e.stopRun(w, id)
	case fenced || byEarlierOwner:
		e.sendEnd(a, record.Outcome_OUTCOME_NOT_STARTED, nil, reasonNotStarted)
	case confirmed:
		e.sendEnd(a, record.Outcome_OUTCOME_LOST, nil, reasonRunLost)
	}
}

// applyRun applies a worker's report on one run. It returns whether the endpoint directory must be rebuilt.
func (e *engine) applyRun(w *worker.Worker, run *platform.Run, sent, now time.Time) bool {
	a := e.ledger.Attempt(run.ID.Task)
	row := e.taskTable.Get(run.ID.Task)
	known := a != nil && a.Number == run.ID.Attempt && a.Worker == w.ID && a.Open
	e.reserveReported(w, run, row, known, sent)
	if !known {
		e.handleStrayRun(w, run, row, now)
		return false
	}
	if row == nil && !e.manifestRead() {
		return false // the next report shows the run again
	}
	if run.State.Final() {
		withdrawn := row == nil || row.Withdrawn
		e.sendEnd(a, outcomeOf(run, withdrawn, task.IsServiceInstance(run.ID.Task)), run, endReason(row, run))
		return false
	}
	if row == nil {
		e.stopRun(w, run.ID)
		return false
	}
	return e.updateTask(w, row, run, now)
}

// reserveReported updates the reservation of a reported run. A final run keeps its reservation until its
// end record is accepted, unless the ledger has no open attempt for it. While a resize is unconfirmed, the
// larger of the old and the new size is reserved.
func (e *engine) reserveReported(w *worker.Worker, run *platform.Run, row *task.Task, known bool, sent time.Time) {
	if run.State.Final() {
		if !known {
			e.workerTable.Release(w, run.ID)
		}
		return
	}
	size := run.Size
	if row != nil && row.Attempt == run.ID.Attempt && !row.RequestedReservation.IsZero() {
		if !row.ResizedAt.IsZero() && sent.After(row.ResizedAt) {
			row.RequestedReservation = units.Resources{}
		} else {
			size = sizing.Max(size, row.RequestedReservation)
		}
	}
	e.workerTable.Reserve(w, run.ID, size)
}

// endReason returns the reason to store in the end record of an attempt.
func endReason(row *task.Task, run *platform.Run) string {
	if row != nil && row.Evicting() && run.State == platform.RunStopped {
		return row.EvictionReason
	}
	return string(run.State)
}

// updateTask updates the row of a running attempt. It returns whether the endpoint directory must be rebuilt,
// because a service instance has a new address or was not in state Running before.
func (e *engine) updateTask(w *worker.Worker, row *task.Task, run *platform.Run, now time.Time) bool {
	if row.StartedAt.IsZero() {
		e.checkResumePoint(row, run, now)
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
		row.SetState(task.Running, "", now)
		e.mayHaveWithdrawnTasks = e.mayHaveWithdrawnTasks || row.Withdrawn
	}
	e.watchUsage(w, row, run, now)
	return row.IsService() && changed
}

// checkResumePoint records a violated guarantee if an attempt did not resume from the newest checkpoint in
// the ledger.
func (e *engine) checkResumePoint(row *task.Task, run *platform.Run, now time.Time) {
	a := e.ledger.Attempt(row.ID)
	if a != nil && a.Checkpoint != "" && run.Progress < a.Progress-progressTolerance {
		e.guarantees.RecordViolation(guarantee.ResumesFromCheckpoint, row.ID, now)
	}
}

// progressTolerance allows for the rounding of progress in records. Progress runs from 0 to 1.
const progressTolerance = 0.002

// handleStrayRun handles a run that has no open attempt in the ledger: it is stopped, and forgotten once it
// is final.
func (e *engine) handleStrayRun(w *worker.Worker, run *platform.Run, row *task.Task, now time.Time) {
	if run.State.Final() {
		e.forgetRun(w, run.ID)
		return
	}
	if row != nil && row.State == task.Running && row.RunID() != run.ID {
		e.guarantees.RecordViolation(guarantee.SingleRun, row.ID, now)
	}
	e.metrics.strayRuns.Inc()
	e.stopRun(w, run.ID)
}

// outcomeOf returns the outcome of a final run. A service instance is not supposed to finish, so one that
// exits by itself counts as failed.
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
