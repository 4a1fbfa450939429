package node

import (
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/task"
)

// failureBackOff is the wait before the next attempt of a task that failed once; it doubles with each failure.
const failureBackOff = 2 * time.Second

// maxFailureBackOff bounds the wait between two attempts.
const maxFailureBackOff = 5 * time.Minute

// takeResult applies the fate of one record to the tables.
func (e *engine) takeResult(r ledger.Result, now time.Time) {
	if r.Rejection != ledger.Accepted {
		e.metrics.countRejection(r.Rejection)
	}
	switch body := r.Record.GetBody().(type) {
	case *record.Record_Placement:
		e.takePlacement(r, body.Placement, now)
	case *record.Record_End:
		e.takeEnd(r, body.End, now)
	case *record.Record_Transfer:
		e.takeTransfer(r, body.Transfer, now)
	case *record.Record_Arrival:
		e.takeArrival(r)
	case *record.Record_Claim:
		if r.Rejection == ledger.Accepted {
			e.logger.Info("shard claimed", zap.Uint32("shard", body.Claim.GetShard()), zap.String("owner", r.Writer.Node), zap.Uint64("token", uint64(r.Offset)))
		}
	}
	e.dirty = true
}

func (e *engine) takePlacement(r ledger.Result, p *record.Placement, now time.Time) {
	row := e.taskRow.Get(p.GetTask())
	if r.Rejection != ledger.Accepted {
		e.undoPlacement(r, p, now)
		return
	}
	if row == nil {
		return
	}
	row.Attempt = p.GetAttempt()
	row.Worker = p.GetWorker()
	row.Ending = 0
	row.ConfirmedAt = time.Time{}
	row.StartUncertain = r.Writer != e.self
	row.Set(task.Starting, "", now)
}

// undoPlacement takes back a placement of this node that was rejected.
func (e *engine) undoPlacement(r ledger.Result, p *record.Placement, now time.Time) {
	if r.Writer != e.self || r.Rejection == ledger.DuplicateBatch {
		return
	}
	if w := e.workerRow.Get(p.GetWorker()); w != nil {
		delete(w.Reserved, platform.RunID{Task: p.GetTask(), Attempt: p.GetAttempt()})
	}
	if row := e.taskRow.Get(p.GetTask()); row != nil && row.State == task.Placing {
		row.Set(task.Waiting, string(r.Rejection), now)
		e.dropWithdrawn(row)
	}
}

func (e *engine) takeEnd(r ledger.Result, end *record.End, now time.Time) {
	if r.Rejection != ledger.Accepted {
		e.undoEnd(r, end)
		return
	}
	id := platform.RunID{Task: end.GetTask(), Attempt: end.GetAttempt()}
	a := e.ledger.Attempt(id.Task)
	if w := e.workerRow.Get(a.Worker); w != nil {
		delete(w.Reserved, id)
		e.forgetRun(w, id)
	}
	row := e.taskRow.Get(id.Task)
	if row == nil {
		return
	}
	e.endTask(row, a, now)
	e.dropWithdrawn(row)
}

// undoEnd lets the end of an attempt be sent again after an end of this node was rejected.
func (e *engine) undoEnd(r ledger.Result, end *record.End) {
	row := e.taskRow.Get(end.GetTask())
	if row != nil && r.Writer == e.self && r.Rejection != ledger.DuplicateBatch && row.Ending == end.GetAttempt() {
		row.Ending = 0
	}
}

// endTask sets a row from an attempt that has ended.
func (e *engine) endTask(row *task.Task, a *ledger.Attempt, now time.Time) {
	row.Worker = ""
	row.Address = ""
	row.Progress = a.Progress
	row.Checkpoint = a.Checkpoint
	row.Failures = a.Failures
	row.Evictions = a.Evictions
	switch a.Outcome {
	case record.Outcome_OUTCOME_FINISHED:
		row.Progress = 1
		row.Set(task.Finished, "", now)
	case record.Outcome_OUTCOME_CANCELLED:
		row.Set(task.Cancelled, a.Reason, now)
	case record.Outcome_OUTCOME_FAILED:
		e.failTask(row, a, now)
	case record.Outcome_OUTCOME_NOT_STARTED:
		row.NotBefore = now.Add(failureBackOff)
		row.Set(task.Waiting, a.Reason, now)
	default:
		row.Set(task.Waiting, a.Reason, now)
	}
}

func (e *engine) failTask(row *task.Task, a *ledger.Attempt, now time.Time) {
	if !row.IsService() && a.Failures >= row.MaxFailures {
		row.Set(task.Failed, a.Reason, now)
		return
	}
	row.NotBefore = now.Add(backOff(a.Failures))
	row.Set(task.Waiting, a.Reason, now)
}

// backOff returns the wait after a number of failures.
func backOff(failures int) time.Duration {
	wait := failureBackOff
	for i := 1; i < failures && wait < maxFailureBackOff; i++ {
		wait *= 2
	}
	return min(wait, maxFailureBackOff)
}

// sendEnd writes the end of an attempt to the log, once. run may be nil.
func (e *engine) sendEnd(a *ledger.Attempt, outcome record.Outcome, run *platform.Run, reason string) {
	token, held := e.owner.Holds(a.Shard, time.Now())
	row := e.taskRow.Get(a.Task)
	if !held || (row != nil && row.Ending == a.Number && row.EndingToken == token) {
		return
	}
	end := &record.End{
		Task:    a.Task,
		Attempt: a.Number,
		By:      &record.ShardToken{Shard: a.Shard, Token: uint64(token)},
		Outcome: outcome,
		Reason:  reason,
	}
	if run != nil {
		end.Checkpoint = run.Checkpoint
		end.ProgressPermille = uint32(run.CheckpointProgress * 1000)
	}
	if e.domainWriter.Enqueue(&record.Record{Body: &record.Record_End{End: end}}) && row != nil {
		row.Ending = a.Number
		row.EndingToken = token
	}
}
