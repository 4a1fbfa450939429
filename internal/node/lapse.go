package node

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/worker"
)

// mayRenew reports whether the lease of what runs on a worker is to be renewed. While this node has the
// authority over the worker's shard, everything is renewed. Once the authority has lapsed, with neither the
// log nor the promises of all siblings to extend it, service instances go on and batch tasks do not: a
// checkpoint is asked for, and the worker stops them when their leases end.
func (e *engine) mayRenew(w *worker.Worker, row *task.Task, now time.Time) bool {
	if token, held := e.owner.Holds(w.Shard, now); held && token == w.Token {
		delete(e.retreats, row.RunID())
		return true
	}
	if row.IsService() {
		return true
	}
	e.retreat(w, row, now)
	return false
}

// retreat asks once in each lapse for a checkpoint of a batch task.
func (e *engine) retreat(w *worker.Worker, row *task.Task, now time.Time) {
	id := row.RunID()
	if _, done := e.retreats[id]; done {
		return
	}
	e.retreats[id] = now
	e.metrics.count("cactuswall_lapsed_tasks_total", "class", "batch")
	if !row.Checkpoints {
		return
	}
	token, address := w.Token, w.Address
	e.fire(func(ctx context.Context) error {
		return e.workers.Checkpoint(ctx, address, token, id)
	})
}

// forgetRetreats drops the tasks that are no longer known under the attempt that was given up.
func (e *engine) forgetRetreats() {
	for id := range e.retreats {
		if row := e.taskRow.Get(id.Task); row == nil || row.RunID() != id || row.State != task.Running {
			delete(e.retreats, id)
		}
	}
}

// keepsLapsed reports whether a worker is still called under a claim that has lapsed. It serves as long as
// this node knows of no newer one, since the worker refuses it once another owner has come.
func (e *engine) keepsLapsed(w *worker.Worker) bool {
	return w.Token != 0 && e.owner.Keeps(e.ledger, w.Shard)
}
