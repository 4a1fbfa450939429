package node

import (
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/quota"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/scheduler"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/task"
)

// transferInterval is the minimum time between two transfers of a waiting task to other shards.
const transferInterval = 2 * time.Second

// planState identifies the state of the tables from which a plan was computed.
type planState struct {
	// tasks and workers are the change counters of the two tables.
	tasks   uint64
	workers uint64
	// replan is set when the plan stopped at a limit, or when blocked tasks must be tried again after some
	// time although no table has changed.
	replan bool
}

// schedule computes a plan and carries it out, unless nothing has changed since the last plan.
func (e *engine) schedule(now time.Time) {
	if !e.domainStateComplete() || e.stopping || e.activeManifest == nil || e.withholdsStarts() {
		return
	}
	e.taskTable.EndDelays(now)
	state := planState{tasks: e.taskTable.ChangeCount(), workers: e.workerTable.Generation()}
	if !e.dirty && !e.lastPlan.replan && state == e.lastPlan {
		return
	}
	e.dirty = false
	plan := scheduler.Compute(e.planInput(now))
	state.replan = plan.Truncated
	for _, b := range plan.Blocked {
		b.Group.Reason, b.Group.Unschedulable, b.Group.CheckedGeneration = b.Reason, b.Unschedulable, 0
		if b.UntilFreed {
			b.Group.CheckedGeneration = plan.Generation
		} else if b.Reason == scheduler.ReasonNoCapacity {
			state.replan = true
		}
	}
	e.lastPlan = state
	for _, p := range plan.Placements {
		e.place(p, now)
	}
	for _, t := range plan.Transfers {
		e.transfer(t, now)
	}
	for _, v := range plan.Evictions {
		e.evict(e.taskTable.Get(v.Task), reasonUrgent, now)
		if row := e.taskTable.Get(v.For); row != nil {
			row.EvictionsPendingUntil = now.Add(preemptionWait)
		}
	}
}

func (e *engine) planInput(now time.Time) scheduler.Input {
	activeManifest := e.activeManifest
	if e.quotaVersion != activeManifest.Version || e.quotas == nil {
		e.quotaVersion = activeManifest.Version
		e.quotas = quota.Split(activeManifest.Manifest, e.settings.FailureDomain)
	}
	return scheduler.Input{
		Now:     now,
		Tasks:   e.taskTable,
		Workers: e.workerTable,
		Owned: func(shard uint32) bool {
			_, held := e.owner.Authority(shard, now)
			return held
		},
		Quota:     e.quotas,
		Estimates: estimates{e},
		Policy:    e.policy,
		Limits:    scheduler.DefaultLimits(),
	}
}

// place appends a placement to the log and reserves its size on the worker.
func (e *engine) place(p scheduler.Placement, now time.Time) {
	row := e.taskTable.Get(p.Task)
	w := e.workerTable.Get(p.Worker)
	number := uint32(1)
	if a := e.ledger.Attempt(p.Task); a != nil {
		number = a.Number + 1
	}
	body := &record.Placement{
		Task:    p.Task,
		Attempt: number,
		Worker:  p.Worker,
		From:    e.owner.Token(e.ledger.ShardOf(p.Task)),
		To:      e.owner.Token(failuredomain.ShardOf(p.Worker)),
	}
	if !e.domainWriter.Enqueue(&record.Record{Body: &record.Record_Placement{Placement: body}}) {
		e.dirty = true
		return
	}
	row.Reserved = p.Size
	row.Worker = p.Worker
	row.WaitingSince = row.Since
	if row.NotBefore.After(row.WaitingSince) {
		row.WaitingSince = row.NotBefore
	}
	e.workerTable.Reserve(w, platform.RunID{Task: p.Task, Attempt: number}, p.Size)
	row.SetState(task.Placing, "", now)
}

// transfer hands a waiting task to another shard of the failure domain.
func (e *engine) transfer(t scheduler.Transfer, now time.Time) {
	row := e.taskTable.Get(t.Task)
	var number uint32
	if a := e.ledger.Attempt(t.Task); a != nil {
		number = a.Number
	}
	body := &record.Transfer{
		Task:    t.Task,
		Attempt: number,
		From:    e.owner.Token(e.ledger.ShardOf(t.Task)),
		ToShard: t.Shard,
	}
	if e.domainWriter.Enqueue(&record.Record{Body: &record.Record_Transfer{Transfer: body}}) {
		row.TransferAfter = now.Add(transferInterval)
		e.metrics.transfers.Inc()
	}
}

// overQuota reports whether a placement that was just read back from the log exceeds the team's quota. All
// nodes of the domain read placements in the same order, so when two race, the first one is started.
func (e *engine) overQuota(row *task.Task) bool {
	if row.IsService() || e.quotas == nil {
		return false
	}
	return !e.taskTable.AcceptedUsage(row.Team).Fits(e.quotas[row.Team])
}

func (e *engine) logQuarantine(worker string) {
	e.logger.Warn("worker quarantined: it failed several tasks in a row", zap.String("worker", worker),
		zap.Int("quarantined", e.workerHealth.Quarantined()))
}

// policyOf returns the scheduling policy for the weighing setting.
func policyOf(weighing string) scheduler.Policy {
	if weighing == settings.Throughput {
		return scheduler.ThroughputFirst()
	}
	return scheduler.LatencyFirst()
}
