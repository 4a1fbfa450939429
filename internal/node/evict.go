package node

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/task"
)

const (
	// checkpointWait is how long an eviction waits for the report to confirm the checkpoint.
	checkpointWait = 2 * time.Second
	// clearingTime is how long a task waits for the room that is made for it before more room is made.
	clearingTime = 3 * time.Second
	// avoidTime is how long a task is not placed again on a worker that it was moved away from.
	avoidTime = 2 * time.Minute
	// maxEvictions bounds the evictions of one task over its life.
	maxEvictions = 3
)

// Reasons in the records of ends that the scheduler causes.
const (
	reasonNotStarted   = "not_started"
	reasonRunLost      = "run_lost"
	reasonQuotaRace    = "quota_used_up_first"
	reasonUrgent       = "evicted_for_urgent_work"
	reasonInterference = "moved_for_interference"
	reasonOutgrown     = "moved_outgrown"
	reasonLeaving      = "moved_worker_leaving"
)

// evict begins the eviction of a running task: checkpoint, stop, confirm.
func (e *engine) evict(row *task.Task, reason string, now time.Time) {
	if row == nil || row.State != task.Running || row.Evicting() {
		return
	}
	w := e.reachable(row, now)
	if w == nil {
		return
	}
	e.metrics.countEviction(reason)
	row.EvictedFor = reason
	row.EvictAfter = now.Add(checkpointWait)
	row.CheckpointBefore = row.Checkpoint
	w.Expedite = true
	if !row.Checkpoints {
		row.Set(task.Stopping, reason, now)
		return
	}
	e.evicting[row.ID] = row.RunID()
	e.checkpoint(row, now)
}

// checkpoint asks the worker for a checkpoint. A checkpoint may be asked for more than once.
func (e *engine) checkpoint(row *task.Task, now time.Time) {
	w := e.reachable(row, now)
	if w == nil {
		return
	}
	row.StopAfter = now.Add(workerRetryDelay / 2)
	w.Expedite = true
	token, address, id := w.Token, w.Address, row.RunID()
	e.fire(func(ctx context.Context) error {
		return e.workers.Checkpoint(ctx, address, token, id)
	})
}

// pursueEvictions stops the tasks whose checkpoint a report has confirmed, or that waited long enough.
func (e *engine) pursueEvictions(now time.Time) {
	for id, run := range e.evicting {
		row := e.taskRow.Get(id)
		if row == nil || row.RunID() != run || row.State != task.Running || !row.Evicting() {
			delete(e.evicting, id)
			continue
		}
		confirmed := row.Checkpoint != row.CheckpointBefore
		switch {
		case confirmed || now.After(row.EvictAfter):
			delete(e.evicting, id)
			row.StopAfter = time.Time{}
			row.Set(task.Stopping, row.EvictedFor, now)
		case !now.Before(row.StopAfter):
			e.checkpoint(row, now)
		default:
			if w := e.workerRow.Get(row.Worker); w != nil {
				w.Expedite = true
			}
		}
	}
}

// move evicts a task and keeps it away from its worker for a while.
func (e *engine) move(row *task.Task, reason string, now time.Time) {
	if row.State != task.Running || row.Evicting() {
		return
	}
	row.Avoid = row.Worker
	row.AvoidUntil = now.Add(avoidTime)
	e.evict(row, reason, now)
}
