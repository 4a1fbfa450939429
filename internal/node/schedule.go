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

// transferPause is the time between two moves of a waiting task to other shards.
const transferPause = 2 * time.Second

// planned is the state of the tables that the last plan was made from.
type planned struct {
	tasks   uint64
	workers uint64
	// again is set when the last plan was cut short or waits for a time to pass.
	again bool
}

// schedule plans when a table has changed since the last plan, and carries the plan out.
func (e *engine) schedule(now time.Time) {
	if !e.current() || e.stopping || e.inForce == nil {
		return
	}
	e.taskRow.Wake(now)
	state := planned{tasks: e.taskRow.Changes(), workers: e.workerRow.Generation()}
	if !e.dirty && !e.planned.again && state == e.planned {
		return
	}
	e.dirty = false
	plan := scheduler.Make(e.planInput(now))
	state.again = plan.Bounded
	for _, b := range plan.Blocked {
		b.Group.Reason, b.Group.Never, b.Group.Checked = b.Reason, b.Never, 0
		if b.Settled {
			b.Group.Checked = plan.Generation
		} else if b.Reason == scheduler.ReasonNoRoom {
			state.again = true
		}
	}
	e.planned = state
	for _, p := range plan.Placements {
		e.place(p, now)
	}
	for _, t := range plan.Transfers {
		e.transfer(t, now)
	}
	for _, v := range plan.Evictions {
		e.evict(e.taskRow.Get(v.Task), reasonUrgent, now)
		if row := e.taskRow.Get(v.For); row != nil {
			row.ClearedUntil = now.Add(clearingTime)
		}
	}
}

func (e *engine) planInput(now time.Time) scheduler.Input {
	inForce := e.inForce
	if e.quotaVersion != inForce.Version || e.quotas == nil {
		e.quotaVersion = inForce.Version
		e.quotas = quota.Split(inForce.Manifest, e.settings.FailureDomain)
	}
	return scheduler.Input{
		Now:     now,
		Tasks:   e.taskRow,
		Workers: e.workerRow,
		Owned: func(shard uint32) bool {
			_, held := e.owner.Holds(shard, now)
			return held
		},
		Quota:     e.quotas,
		Estimates: estimates{e},
		Policy:    e.policy,
		Limits:    scheduler.DefaultLimits(),
	}
}

// place sends a placement to the log and reserves its size.
func (e *engine) place(p scheduler.Placement, now time.Time) {
	row := e.taskRow.Get(p.Task)
	w := e.workerRow.Get(p.Worker)
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
	row.AskedAt = row.Since
	if row.NotBefore.After(row.AskedAt) {
		row.AskedAt = row.NotBefore
	}
	e.workerRow.Reserve(w, platform.RunID{Task: p.Task, Attempt: number}, p.Size)
	row.Set(task.Placing, "", now)
}

// transfer gives a waiting task to another shard of the failure domain.
func (e *engine) transfer(t scheduler.Transfer, now time.Time) {
	row := e.taskRow.Get(t.Task)
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
		row.TransferAfter = now.Add(transferPause)
		e.metrics.transfers.Inc()
	}
}

// overQuota reports whether a placement that was just read back passes the team's quota. All nodes of the
// domain read placements in the same order, so of two that race the first one is started.
func (e *engine) overQuota(row *task.Task) bool {
	if row.IsService() || e.quotas == nil {
		return false
	}
	return !e.taskRow.AcceptedUsage(row.Team).Fits(e.quotas[row.Team])
}

func (e *engine) logQuarantine(worker string) {
	e.logger.Warn("worker quarantined: it failed several tasks in a row", zap.String("worker", worker),
		zap.Int("quarantined", e.outcomes.Quarantined()))
}

// policyOf returns the policy for a weighing in the settings.
func policyOf(weighing string) scheduler.Policy {
	if weighing == settings.Throughput {
		return scheduler.ThroughputFirst()
	}
	return scheduler.LatencyFirst()
}
