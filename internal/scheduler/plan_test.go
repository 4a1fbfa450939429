package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/scheduler"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// declaredEstimates returns the declared size and run time of each task as its estimates, a fixed slowdown and
// no failures.
type declaredEstimates struct{}

func (declaredEstimates) Size(t *task.Task) units.Resources  { return t.Size }
func (declaredEstimates) RunTime(t *task.Task) time.Duration { return t.RunTime }
func (declaredEstimates) Slowdown(_, _ string) float64       { return 0.1 }
func (declaredEstimates) FailureRate(string) float64         { return 0 }
func ownsAllShards(uint32) bool                              { return true }
func (m *planModel) quota() map[string]units.Resources {
	return map[string]units.Resources{"t": m.quotaSize, "u": m.quotaSize}
}

// planModel applies a random sequence of arrivals, plans, task ends and worker losses. The invariants are
// checked against sums over all tasks.
type planModel struct {
	tasks     *task.Table
	workers   *worker.Table
	now       time.Time
	quotaSize units.Resources
	count     int
	kinds     []task.Spec
}

func (m *planModel) input() scheduler.Input {
	return scheduler.Input{
		Now: m.now, Tasks: m.tasks, Workers: m.workers, Owned: ownsAllShards, Quota: m.quota(),
		Estimates: declaredEstimates{}, Policy: scheduler.LatencyFirst(), Limits: scheduler.DefaultLimits(),
	}
}

func (m *planModel) arrive(t *rapid.T) {
	m.count++
	kind := rapid.IntRange(0, len(m.kinds)-1).Draw(t, "kind")
	spec := m.kinds[kind]
	spec.ID = fmt.Sprintf("%s@1/%d", spec.Job, m.count)
	spec.Index = m.count
	m.tasks.Put(&task.Task{State: task.Waiting, Since: m.now, Spec: spec})
}

func drawKinds(t *rapid.T, now time.Time) []task.Spec {
	var kinds []task.Spec
	for i := range 6 {
		kinds = append(kinds, task.Spec{
			Job:      fmt.Sprintf("j%d", i),
			Team:     rapid.SampledFrom([]string{"t", "u"}).Draw(t, "team"),
			Size:     drawSize(t, 12),
			RunTime:  time.Minute,
			Deadline: now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline")) * time.Minute),
			Priority: rapid.SampledFrom([]manifest.Priority{manifest.Urgent, manifest.Batch, manifest.Spare}).Draw(t, "priority"),
		})
	}
	return kinds
}

func drawSize(t *rapid.T, maxSize int64) units.Resources {
	return units.Resources{
		MilliProcessors: rapid.Int64Range(1, maxSize).Draw(t, "processors"),
		MemoryMiB:       rapid.Int64Range(1, maxSize).Draw(t, "memory"),
		Accelerators:    rapid.Int64Range(0, 1).Draw(t, "accelerators"),
	}
}

func (m *planModel) plan(t *rapid.T) {
	plan := scheduler.Compute(m.input())
	for _, b := range plan.Blocked {
		b.Group.CheckedGeneration = 0
		if b.UntilFreed {
			b.Group.CheckedGeneration = plan.Generation
		}
	}
	for _, p := range plan.Placements {
		row := m.tasks.Get(p.Task)
		if row.State != task.Waiting {
			t.Fatalf("%s was placed in state %s", p.Task, row.State)
		}
		row.Attempt++
		row.Worker = p.Worker
		m.workers.Reserve(m.workers.Get(p.Worker), row.RunID(), p.Size)
		row.SetState(task.Running, "", m.now)
	}
	for _, e := range plan.Evictions {
		victim, winner := m.tasks.Get(e.Task), m.tasks.Get(e.For)
		if victim.State != task.Running || victim.Priority == manifest.Urgent || winner.Priority != manifest.Urgent {
			t.Fatalf("%s (%s, %s) was evicted for %s", e.Task, victim.State, victim.Priority, e.For)
		}
		m.end(victim, true)
	}
}

func (m *planModel) end(row *task.Task, requeue bool) {
	if w := m.workers.Get(row.Worker); w != nil {
		m.workers.Release(w, row.RunID())
	}
	row.Worker = ""
	if requeue {
		row.Evictions++
		row.SetWaiting("evicted", time.Time{}, m.now)
		return
	}
	row.SetState(task.Finished, "", m.now)
}

func (m *planModel) check(t *rapid.T) {
	used := make(map[string]units.Resources)
	team := make(map[string]units.Resources)
	for _, row := range m.tasks.All() {
		if row.State == task.Running {
			used[row.Worker] = used[row.Worker].Add(row.Size)
			team[row.Team] = team[row.Team].Add(row.Size)
		}
		if row.Evictions > 3 {
			t.Fatalf("%s was evicted %d times", row.ID, row.Evictions)
		}
	}
	for _, w := range m.workers.All() {
		if used[w.ID] != w.Committed() || !used[w.ID].Fits(w.Capacity) {
			t.Fatalf("tasks on %s use %v, but %v of %v is committed", w.ID, used[w.ID], w.Committed(), w.Capacity)
		}
	}
	for name, sum := range team {
		if !sum.Fits(m.quota()[name]) {
			t.Fatalf("team %s uses %v of its quota %v", name, sum, m.quotaSize)
		}
	}
}

// checkNoneStarved makes several plans and checks that no waiting task is left that fits a worker and its
// team's quota.
func (m *planModel) checkNoneStarved(t *rapid.T) {
	for range 20 {
		m.plan(t)
	}
	for _, row := range m.tasks.All() {
		if row.State != task.Waiting || !row.Size.Fits(m.quotaSize.Sub(m.tasks.TeamUsage(row.Team))) {
			continue
		}
		for _, w := range m.workers.All() {
			if w.Eligible && row.Size.Fits(w.Free()) {
				t.Fatalf("task %s of size %v is waiting although worker %s has room %v", row.ID, row.Size, w.ID, w.Free())
			}
		}
	}
}

// TestPlanInvariants applies random arrivals, plans, task ends and worker losses. It checks that capacities,
// quotas and the limit on evictions are respected, and that no task keeps waiting while a worker has room for
// it.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &planModel{tasks: task.NewTable(), workers: worker.NewTable(), now: time.Unix(1000, 0), quotaSize: units.Resources{MilliProcessors: 30, MemoryMiB: 30, Accelerators: 4}}
		m.kinds = drawKinds(t, m.now)
		for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
			w := &worker.Worker{ID: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i%2)}
			m.workers.Put(w)
			m.workers.SetCapacity(w, drawSize(t, 20))
			m.workers.SetEligible(w, true)
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive,
			"plan":   m.plan,
			"end": func(t *rapid.T) {
				if rows := m.tasks.InState(task.Running); len(rows) > 0 {
					m.end(rapid.SampledFrom(rows).Draw(t, "row"), false)
				}
			},
			"lose worker": func(t *rapid.T) {
				if m.workers.Len() < 2 {
					t.Skip("the last worker is never removed")
				}
				w := rapid.SampledFrom(m.workers.All()).Draw(t, "worker")
				for _, id := range w.RunIDs() {
					row := m.tasks.Get(id.Task)
					row.Worker = ""
					row.SetWaiting("lost", time.Time{}, m.now)
				}
				m.workers.Remove(w.ID)
			},
			"": m.check,
		})
		m.checkNoneStarved(t)
	})
}

// TestPlacementOrder checks that services are placed first, then urgent tasks, then critical tasks by least
// slack. Tasks that are not critical follow, those of teams that use less of their quota first. Tasks that
// will miss their deadline by less than an hour are placed last in their rank.
func TestPlacementOrder(t *testing.T) {
	m := &planModel{tasks: task.NewTable(), workers: worker.NewTable(), now: time.Unix(1000, 0), quotaSize: units.Resources{MilliProcessors: 100, MemoryMiB: 100}}
	w := &worker.Worker{ID: "w"}
	m.workers.Put(w)
	m.workers.SetCapacity(w, units.Resources{MilliProcessors: 100, MemoryMiB: 100})
	m.workers.SetEligible(w, true)
	size := units.Resources{MilliProcessors: 10, MemoryMiB: 10}
	add := func(id, team string, priority manifest.Priority, deadline time.Duration) {
		m.tasks.Put(&task.Task{State: task.Waiting, Spec: task.Spec{ID: id, Job: task.KindOf(id), Team: team, Size: size,
			Priority: priority, RunTime: time.Minute, Deadline: m.now.Add(deadline)}})
	}
	m.tasks.Put(&task.Task{State: task.Waiting, Spec: task.Spec{ID: "s/a/0", Service: "s", Size: size}})
	add("late@1/0", "t", manifest.Batch, 100*time.Hour)
	add("soon@1/0", "t", manifest.Batch, 90*time.Second)
	add("urgent@1/0", "t", manifest.Urgent, 50*time.Hour)
	add("spare@1/0", "u", manifest.Spare, time.Minute)
	add("other@1/0", "u", manifest.Batch, 200*time.Hour)
	add("missed@1/0", "u", manifest.Batch, 30*time.Second)
	var got []string
	for _, p := range scheduler.Compute(m.input()).Placements {
		got = append(got, p.Task)
	}
	want := []string{"s/a/0", "urgent@1/0", "soon@1/0", "other@1/0", "late@1/0", "missed@1/0", "spare@1/0"}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("placement order %v, want %v", got, want)
	}
}

// TestSpread checks that the instances of a service are spread over racks and workers.
func TestSpread(t *testing.T) {
	m := &planModel{tasks: task.NewTable(), workers: worker.NewTable(), now: time.Unix(1000, 0)}
	for i := range 6 {
		w := &worker.Worker{ID: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2)}
		m.workers.Put(w)
		m.workers.SetCapacity(w, units.Resources{MilliProcessors: 100, MemoryMiB: 100})
		m.workers.SetEligible(w, true)
	}
	for i := range 6 {
		m.tasks.Put(&task.Task{State: task.Waiting, Spec: task.Spec{ID: fmt.Sprintf("s/a/%d", i), Service: "s", Index: i, Size: units.Resources{MilliProcessors: 10, MemoryMiB: 10}}})
	}
	onWorker, inRack := make(map[string]int), make(map[string]int)
	for i, p := range scheduler.Compute(m.input()).Placements {
		onWorker[p.Worker]++
		inRack[m.workers.Get(p.Worker).Rack]++
		if i == 2 && len(inRack) != 3 {
			t.Errorf("the first three instances are in racks %v, want three racks", inRack)
		}
	}
	if len(onWorker) != 6 {
		t.Errorf("six instances are on workers %v, want six workers", onWorker)
	}
}

// TestEvictionsAreBounded repeatedly starts an urgent task on a worker that only has room for one task, and
// checks that the batch task there is evicted MaxEvictions times and then keeps running.
func TestEvictionsAreBounded(t *testing.T) {
	m := &planModel{tasks: task.NewTable(), workers: worker.NewTable(), now: time.Unix(1000, 0), quotaSize: units.Resources{MilliProcessors: 100, MemoryMiB: 100}}
	w := &worker.Worker{ID: "w"}
	m.workers.Put(w)
	m.workers.SetCapacity(w, units.Resources{MilliProcessors: 10, MemoryMiB: 10})
	m.workers.SetEligible(w, true)
	spec := task.Spec{ID: "b@1/0", Job: "b", Team: "t", Size: units.Resources{MilliProcessors: 10, MemoryMiB: 10}, Priority: manifest.Batch, Deadline: m.now.Add(time.Hour)}
	batch := &task.Task{Spec: spec, State: task.Waiting}
	m.tasks.Put(batch)
	apply := func() {
		plan := scheduler.Compute(m.input())
		for _, p := range plan.Placements {
			row := m.tasks.Get(p.Task)
			row.Attempt++
			row.Worker = p.Worker
			m.workers.Reserve(w, row.RunID(), p.Size)
			row.SetState(task.Running, "", m.now)
		}
		for _, e := range plan.Evictions {
			m.end(m.tasks.Get(e.Task), true)
		}
	}
	for i := range 10 {
		apply()
		urgent := spec
		urgent.ID, urgent.Job, urgent.Priority = fmt.Sprintf("u@1/%d", i), "u", manifest.Urgent
		m.tasks.Put(&task.Task{Spec: urgent, State: task.Waiting})
		apply()
		apply()
		if row := m.tasks.Get(urgent.ID); row.State == task.Running {
			m.end(row, false)
		}
	}
	if want := scheduler.DefaultLimits().MaxEvictions; batch.Evictions != want || batch.State != task.Running {
		t.Errorf("the batch task was evicted %d times and is %s, want %d evictions and state running", batch.Evictions, batch.State, want)
	}
}
