package node

import (
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/guarantee"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/task"
)

// initialBackOff is the wait before the next attempt after the first failure of a task. It doubles with each
// further failure.
const initialBackOff = 2 * time.Second

// maxBackOff is the maximum wait between two attempts.
const maxBackOff = 5 * time.Minute

// applyResult updates the worker and task tables with the result of one record in the domain stream.
func (e *engine) applyResult(r ledger.Result, now time.Time) {
	if r.Rejection != ledger.Accepted {
		e.metrics.countRejection(r.Rejection)
	}
	switch body := r.Record.GetBody().(type) {
	case *record.Record_Placement:
		e.applyPlacement(r, body.Placement, now)
	case *record.Record_End:
		e.applyEnd(r, body.End, now)
	case *record.Record_Transfer:
		e.applyTransfer(r, body.Transfer, now)
	case *record.Record_Arrival:
		e.applyArrival(r)
	case *record.Record_WorkerAbsence:
		e.applyAbsence(r, body.WorkerAbsence)
	case *record.Record_Claim:
		e.dirty = true
		e.pruneAbsences(body.Claim.GetShard())
		if r.Rejection == ledger.Accepted {
			e.logger.Info("shard claimed", zap.Uint32("shard", body.Claim.GetShard()), zap.String("owner", r.Writer.Node), zap.Uint64("token", uint64(r.Offset)))
		}
	}
}

func (e *engine) applyPlacement(r ledger.Result, p *record.Placement, now time.Time) {
	row := e.taskTable.Get(p.GetTask())
	if r.Rejection != ledger.Accepted {
		e.revertPlacement(r, p, now)
		return
	}
	if row == nil {
		e.reserveOpen(e.ledger.Attempt(p.GetTask()))
		return
	}
	reserved := row.Reserved
	row.ResetAttempt()
	row.Reserved = reserved
	row.Attempt = p.GetAttempt()
	row.Worker = p.GetWorker()
	row.StartProgress = row.Progress
	e.taskTable.SetShard(row, e.ledger.ShardOf(row.ID))
	if a := e.openAttempt(row.ID); a != nil {
		e.reserveOpen(a)
	}
	if r.Writer != e.self {
		row.StartUncertain = true
		row.SetState(task.Placed, "", now)
		return
	}
	row.SetState(task.Starting, "", now)
	e.mayHaveWithdrawnTasks = e.mayHaveWithdrawnTasks || row.Withdrawn
	row.OverQuota = e.overQuota(row)
}

// revertPlacement reverts a placement by this node that was rejected.
func (e *engine) revertPlacement(r ledger.Result, p *record.Placement, now time.Time) {
	if r.Writer.Node != e.self.Node || r.Rejection == ledger.DuplicateBatch {
		return
	}
	a := e.openAttempt(p.GetTask())
	accepted := a != nil && a.Number == p.GetAttempt() && a.Worker == p.GetWorker() // an earlier copy of the placement
	if w := e.workerTable.Get(p.GetWorker()); w != nil && !accepted {
		e.workerTable.Release(w, platform.RunID{Task: p.GetTask(), Attempt: p.GetAttempt()})
	}
	if row := e.taskTable.Get(p.GetTask()); row != nil && row.State == task.Placing {
		row.Worker = ""
		row.SetWaiting(string(r.Rejection), time.Time{}, now)
		e.dropWithdrawn(row)
	}
}

func (e *engine) applyEnd(r ledger.Result, end *record.End, now time.Time) {
	if r.Rejection != ledger.Accepted {
		e.allowEndRetry(r, end)
		return
	}
	id := platform.RunID{Task: end.GetTask(), Attempt: end.GetAttempt()}
	a := e.ledger.Attempt(id.Task)
	if w := e.workerTable.Get(a.Worker); w != nil {
		e.workerTable.Release(w, id)
		e.forgetRun(w, id)
	}
	row := e.taskTable.Get(id.Task)
	if row == nil {
		return
	}
	e.recordAttemptEnd(row, end, a.Worker, now)
	e.checkDeadline(row, end, now)
	e.endTask(row, a, now)
	e.dropWithdrawn(row)
}

// allowEndRetry allows the end of an attempt to be sent again after the log rejected one from this node.
func (e *engine) allowEndRetry(r ledger.Result, end *record.End) {
	row := e.taskTable.Get(end.GetTask())
	if row != nil && r.Writer == e.self && r.Rejection != ledger.DuplicateBatch && row.EndingAttempt == end.GetAttempt() {
		row.EndingAttempt = 0
	}
}

// endTask updates a task from its attempt that has ended.
func (e *engine) endTask(row *task.Task, a *ledger.Attempt, now time.Time) {
	row.ResetAttempt()
	row.Progress = a.Progress
	row.Checkpoint = a.Checkpoint
	row.Failures = a.Failures
	row.Evictions = a.Evictions
	switch a.Outcome {
	case record.Outcome_OUTCOME_FINISHED:
		row.Progress = 1
		row.SetState(task.Finished, "", now)
	case record.Outcome_OUTCOME_CANCELLED:
		e.cancelTask(row, a, now)
	case record.Outcome_OUTCOME_FAILED:
		e.failTask(row, a, now)
	case record.Outcome_OUTCOME_NOT_STARTED:
		row.SetWaiting(a.Reason, now.Add(initialBackOff), now)
	default:
		row.SetWaiting(a.Reason, time.Time{}, now)
	}
}

// cancelTask updates a task whose attempt was ended because the manifest of the attempt's owner did not contain the task. The task is
// cancelled only if the active manifest does not contain it either: that owner may have known an older one.
func (e *engine) cancelTask(row *task.Task, a *ledger.Attempt, now time.Time) {
	if row.Withdrawn {
		row.SetState(task.Cancelled, a.Reason, now)
		return
	}
	row.SetWaiting(reasonDeclaredAgain, time.Time{}, now)
}

// failTask decides whether to retry a task that has failed. Failures on workers that were quarantined at the
// time do not count, up to MaxFailures of them.
func (e *engine) failTask(row *task.Task, a *ledger.Attempt, now time.Time) {
	failures := a.Failures - min(e.workerHealth.FailuresInQuarantine(row.ID), row.MaxFailures)
	if !row.IsService() && failures >= row.MaxFailures {
		row.SetState(task.Failed, a.Reason, now)
		e.workerHealth.RemoveTask(row.ID)
		return
	}
	row.SetWaiting(a.Reason, now.Add(backOff(a.Failures)), now)
}

// checkDeadline records a missed deadline of a task in a shard that this node holds. Replayed ends are
// ignored.
func (e *engine) checkDeadline(row *task.Task, end *record.End, now time.Time) {
	if _, held := e.owner.Authority(end.GetBy().GetShard(), now); !held || row.IsService() {
		return
	}
	if end.GetOutcome() == record.Outcome_OUTCOME_FINISHED && now.After(row.Deadline) {
		e.guarantees.RecordViolation(guarantee.Deadline, row.ID, now)
	}
}

// backOff returns the wait before the next attempt after a number of failures.
func backOff(failures int) time.Duration {
	wait := initialBackOff
	for i := 1; i < failures && wait < maxBackOff; i++ {
		wait *= 2
	}
	return min(wait, maxBackOff)
}

// sendEnd writes the end of an attempt to the log, at most once per fencing token unless it is rejected. run
// is the final run that the worker reported, or nil if there is none.
func (e *engine) sendEnd(a *ledger.Attempt, outcome record.Outcome, run *platform.Run, reason string) {
	token, held := e.owner.Authority(a.Shard, time.Now())
	row := e.taskTable.Get(a.Task)
	if !held || (row != nil && row.EndingAttempt == a.Number && row.EndingToken == token) {
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
		row.EndingAttempt = a.Number
		row.EndingToken = token
	}
}
