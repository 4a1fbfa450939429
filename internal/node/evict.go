package node

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/task"
)

const (
	// checkpointTimeout is how long an eviction waits for a report that confirms the checkpoint.
	checkpointTimeout = 2 * time.Second
	// preemptionWait is how long a task waits for tasks to be evicted for it before more are evicted.
	preemptionWait = 3 * time.Second
	// avoidDuration is how long a task is not placed on the worker from which it was moved.
	avoidDuration = 2 * time.Minute
	// maxEvictions is the number of evictions after which a task is no longer moved to resolve interference or
	// an outgrown reservation.
	maxEvictions = 3
)

// Reasons in end records of attempts. Other end records hold the state of the run, the reason of the worker's
// refusal, or worker_gone.
const (
	reasonNotStarted   = "not_started"
	reasonRunLost      = "run_lost"
	reasonQuotaRace    = "quota_used_up_first"
	reasonUrgent       = "evicted_for_urgent_work"
	reasonInterference = "moved_for_interference"
	reasonOutgrown     = "moved_outgrown"
	reasonLeaving      = "moved_worker_leaving"
	reasonEvacuated    = "domain_evacuated"
	// reasonDeclaredAgain is no reason of an end record. A task waits with it after an attempt that ended while its owner knew no
	// manifest with the task.
	reasonDeclaredAgain = "declared_again"
)

// evict begins the eviction of a running task. A task that supports checkpoints takes one before it is
// stopped.
func (e *engine) evict(row *task.Task, reason string, now time.Time) {
	if row == nil || row.State != task.Running || row.Evicting() {
		return
	}
	if e.evacuation.active && reason != reasonLeaving {
		return // it could not start again
	}
	w := e.reachableWorker(row, now)
	if w == nil {
		return
	}
	e.metrics.countEviction(reason)
	row.EvictionReason = reason
	row.EvictionDeadline = now.Add(checkpointTimeout)
	row.PreviousCheckpoint = row.Checkpoint
	w.ReportNow = true
	if !row.Checkpoints {
		row.SetState(task.Stopping, reason, now)
		return
	}
	e.evicting[row.ID] = row.RunID()
	e.requestCheckpoint(row, now)
}

// requestCheckpoint asks the worker to checkpoint a task. It may be called repeatedly for the same run.
func (e *engine) requestCheckpoint(row *task.Task, now time.Time) {
	w := e.reachableWorker(row, now)
	if w == nil {
		return
	}
	row.NextStopAt = now.Add(workerRetryDelay / 2)
	w.ReportNow = true
	token, address, id := w.Token, w.Address, row.RunID()
	e.callAsync(func(ctx context.Context) error {
		return e.workers.Checkpoint(ctx, address, token, id)
	})
}

// advanceEvictions stops the evicted tasks whose checkpoint has been confirmed by a report or has timed
// out, and asks again for the checkpoints that are still missing.
func (e *engine) advanceEvictions(now time.Time) {
	for id, run := range e.evicting {
		row := e.taskTable.Get(id)
		if row == nil || row.RunID() != run || row.State != task.Running || !row.Evicting() {
			delete(e.evicting, id)
			continue
		}
		confirmed := row.Checkpoint != row.PreviousCheckpoint
		switch {
		case confirmed || now.After(row.EvictionDeadline):
			delete(e.evicting, id)
			row.NextStopAt = time.Time{}
			row.SetState(task.Stopping, row.EvictionReason, now)
		case !now.Before(row.NextStopAt):
			e.requestCheckpoint(row, now)
		default:
			if w := e.workerTable.Get(row.Worker); w != nil {
				w.ReportNow = true
			}
		}
	}
}

// relocate evicts a task and keeps it off its current worker for avoidDuration.
func (e *engine) relocate(row *task.Task, reason string, now time.Time) {
	if row.State != task.Running || row.Evicting() {
		return
	}
	row.AvoidWorker = row.Worker
	row.AvoidUntil = now.Add(avoidDuration)
	e.evict(row, reason, now)
}
