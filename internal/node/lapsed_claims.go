package node

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/worker"
)

// mayRenew reports whether to renew the lease of a task that runs on w. While this node holds a valid claim
// on the worker's shard, every lease is renewed. The claim's lease expires when neither the log nor promises
// from all other nodes of the failure domain extend it. From then on only the leases of service instances are
// renewed; for a batch task a checkpoint is requested, and the worker stops the task when its lease ends.
func (e *engine) mayRenew(w *worker.Worker, row *task.Task, now time.Time) bool {
	if token, held := e.owner.Authority(w.Shard, now); held && token == w.Token {
		delete(e.lapsedTasks, row.RunID())
		return true
	}
	if row.IsService() {
		return true
	}
	e.checkpointLapsedTask(w, row, now)
	return false
}

// checkpointLapsedTask requests a checkpoint of a batch task, once for each expiry of the claim.
func (e *engine) checkpointLapsedTask(w *worker.Worker, row *task.Task, now time.Time) {
	id := row.RunID()
	if _, done := e.lapsedTasks[id]; done {
		return
	}
	e.lapsedTasks[id] = now
	e.metrics.count("cactuswall_lapsed_tasks_total", "class", "batch")
	if !row.Checkpoints {
		return
	}
	token, address := w.Token, w.Address
	e.callAsync(func(ctx context.Context) error {
		return e.workers.Checkpoint(ctx, address, token, id)
	})
}

// pruneLapsedTasks removes from retreats the runs that are no longer the running attempt of their task.
func (e *engine) pruneLapsedTasks() {
	for id := range e.lapsedTasks {
		if row := e.taskTable.Get(id.Task); row == nil || row.RunID() != id || row.State != task.Running {
			delete(e.lapsedTasks, id)
		}
	}
}

// mayUseExpiredClaim reports whether to keep calling a worker with the token of an expired claim. That is
// safe as long as this node knows of no newer claim: once another owner has called the worker, the worker
// rejects the old token.
func (e *engine) mayUseExpiredClaim(w *worker.Worker) bool {
	return w.Token != 0 && e.owner.HasNewestClaim(e.ledger, w.Shard)
}
