package node

import (
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/scheduler"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
)

// schedule places waiting tasks of own shards on own workers.
func (e *engine) schedule(now time.Time) {
	if !e.dirty || !e.current() || e.stopping || e.config.InForce() == nil {
		return
	}
	e.dirty = false
	snapshot := e.snapshot(now)
	if len(snapshot.Waiting) == 0 {
		return
	}
	plan := scheduler.Make(snapshot)
	for _, p := range plan.Placements {
		e.place(p, now)
	}
	for id, reason := range plan.Waits {
		e.taskRow.Get(id).Reason = reason
	}
}

// snapshot copies what the scheduler needs out of the tables.
func (e *engine) snapshot(now time.Time) scheduler.Snapshot {
	s := scheduler.Snapshot{Now: now, MaxPlacements: maxPlacementsPerTick, TeamRoom: e.teamRoom()}
	for _, w := range e.workerRow.All() {
		token, held := e.owner.Holds(w.Shard, now)
		if !held || w.Token != token || w.Leaving || !w.AbsentSince.IsZero() || now.Before(w.CallAfter) {
			continue
		}
		s.Workers = append(s.Workers, scheduler.Worker{ID: w.ID, Rack: w.Rack, Capacity: w.Capacity, Room: w.Room()})
	}
	for _, row := range e.taskRow.All() {
		if row.State != task.Waiting || row.Withdrawn {
			continue
		}
		if _, held := e.owner.Holds(e.ledger.ShardOf(row.ID), now); !held {
			continue
		}
		if now.Before(row.NotBefore) {
			e.dirty = true
			continue
		}
		s.Waiting = append(s.Waiting, scheduler.Task{
			ID:       row.ID,
			Team:     row.Team,
			Service:  row.Service,
			Size:     row.Size,
			Priority: row.Priority,
			RunTime:  row.RunTime,
			Deadline: row.Deadline,
		})
	}
	return s
}

// teamRoom returns what is left of each team's quota in this failure domain.
func (e *engine) teamRoom() map[string]units.Resources {
	m := e.config.InForce().Manifest
	count := int64(len(m.FailureDomains))
	room := make(map[string]units.Resources, len(m.Teams))
	for _, t := range m.Teams {
		room[t.Name] = units.Resources{
			MilliProcessors: t.Quota.MilliProcessors / count,
			MemoryMiB:       t.Quota.MemoryMiB / count,
			Accelerators:    t.Quota.Accelerators / count,
		}
	}
	for _, row := range e.taskRow.All() {
		open := row.State == task.Placing || row.State == task.Starting || row.State == task.Running || row.State == task.Stopping
		if open && !row.IsService() {
			room[row.Team] = room[row.Team].Sub(row.Size)
		}
	}
	return room
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
		return
	}
	w.Reserved[platform.RunID{Task: p.Task, Attempt: number}] = row.Size
	row.Set(task.Placing, "", now)
}
