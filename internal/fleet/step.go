package fleet

import (
	"math"
	"sort"
	"time"

	"cactuswall.example/cactuswall/internal/interference"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/scheduler"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// step runs one second: arrivals, the plan, the true progress, and what is learnt of it.
func (f *fleet) step() {
	f.arrive()
	f.plan()
	var latencies []float64
	for _, w := range f.workers.All() {
		latencies = append(latencies, f.advance(w))
	}
	f.late = append(f.late, latencies)
	if len(f.late) > reportLag {
		f.learn(f.late[0])
		f.late = f.late[1:]
	}
	f.now = f.now.Add(time.Second)
}

func (f *fleet) plan() {
	plan := scheduler.Make(scheduler.Input{
		Now: f.now, Tasks: f.tasks, Workers: f.workers, Owned: func(uint32) bool { return true },
		Quota: f.quotas(), Estimates: f, Policy: f.policy, Limits: scheduler.DefaultLimits(),
	})
	for _, b := range plan.Blocked {
		b.Group.Checked = 0
		if b.Settled {
			b.Group.Checked = plan.Generation
		}
	}
	for _, p := range plan.Placements {
		row := f.tasks.Get(p.Task)
		row.Attempt++
		row.Worker = p.Worker
		f.workers.Reserve(f.workers.Get(p.Worker), row.RunID(), p.Size)
		if row.Priority == manifest.Urgent {
			f.result.urgentWaits = append(f.result.urgentWaits, f.now.Sub(row.Since).Seconds())
		}
		row.StartedAt, row.StartProgress, row.Throttle, row.Slowed = f.now, row.Progress, 1, false
		row.Set(task.Running, "", f.now)
	}
	for _, e := range plan.Evictions {
		f.evict(f.tasks.Get(e.Task))
	}
}

func (f *fleet) evict(row *task.Task) {
	f.result.evictions++
	f.workers.Release(f.workers.Get(row.Worker), row.RunID())
	f.sizes.Ended(row.RunID(), row.Kind(), false, 0)
	if !row.Checkpoints {
		f.result.lost += row.Progress * f.kinds[row.Kind()].runTime.Seconds() * float64(row.Size.MilliProcessors) / 1000
		row.Progress = 0
	}
	row.Evictions++
	row.Wait("evicted", time.Time{}, f.now)
}

// advance lets the tasks of a worker progress for a second and returns the latency of its services.
func (f *fleet) advance(w *worker.Worker) float64 {
	capacity := float64(w.Capacity.MilliProcessors)
	used, shares := 0.0, make(map[string]float64)
	rows := f.rows(w)
	for _, row := range rows {
		cores := float64(f.service.MilliProcessors)
		if !row.IsService() {
			cores = float64(f.kinds[row.Kind()].usage.MilliProcessors) * row.Throttle
		}
		used += cores
		shares[row.Kind()] += cores / capacity
	}
	crowded := math.Max(1, used/capacity)
	latency := 0.0
	for _, row := range rows {
		slow := crowded
		for _, kind := range sortedKeys(shares) {
			slow += f.slow[[2]string{row.Kind(), kind}] * shares[kind]
		}
		if row.IsService() {
			latency = math.Max(latency, slow*(1+0.05*f.random.NormFloat64()))
			f.result.latencies = append(f.result.latencies, latency)
			f.result.points++
			if latency > latencyTarget {
				f.result.overTarget++
			}
			continue
		}
		f.progress(w, row, row.Throttle/slow)
	}
	return latency
}

func (f *fleet) progress(w *worker.Worker, row *task.Task, speed float64) {
	k := f.kinds[row.Kind()]
	row.Progress += speed / k.runTime.Seconds()
	f.watch(w, row, k.usage.Times(int64(90+f.random.IntN(11))).DividedBy(100))
	if row.Progress < 1 {
		return
	}
	f.result.done += float64(k.usage.MilliProcessors) * k.runTime.Seconds()
	f.result.ended++
	if f.now.After(row.Deadline) {
		f.result.missed++
	}
	f.workers.Release(w, row.RunID())
	whole := float64(f.now.Sub(row.StartedAt)+time.Second) / (1 - row.StartProgress)
	if row.Slowed {
		whole = 0
	}
	f.sizes.Ended(row.RunID(), row.Kind(), true, time.Duration(whole))
	f.tasks.Recheck(row.Kind())
	f.tasks.Remove(row.ID)
}

// watch learns from the usage of a run and makes its reservation smaller when that is enough.
func (f *fleet) watch(w *worker.Worker, row *task.Task, usage units.Resources) {
	if f.sizes.Observe(row.RunID(), row.Kind(), usage) {
		f.tasks.Recheck(row.Kind())
	}
	reserved, _ := w.Reservation(row.RunID())
	if smaller, any := f.sizes.Shrunk(row.RunID(), row.Kind(), reserved); any && f.learns {
		f.workers.Reserve(w, row.RunID(), smaller)
	}
}

func (f *fleet) rows(w *worker.Worker) []*task.Task {
	var rows []*task.Task
	for _, id := range w.RunIDs() {
		if row := f.tasks.Get(id.Task); row != nil {
			rows = append(rows, row)
		}
	}
	return rows
}

// learn takes the latencies of some seconds ago.
func (f *fleet) learn(latencies []float64) {
	if !f.reacts {
		return
	}
	for i, w := range f.workers.All() {
		if f.seen[w.ID] != w.Changes() {
			f.seen[w.ID], f.changed[w.ID] = w.Changes(), 0
		}
		f.changed[w.ID]++
		if latencies[i] == 0 {
			continue
		}
		victim := sensitive
		if w.Count(robust) > 0 {
			victim = robust
		}
		shares := make(map[string]float64)
		for _, use := range w.Kinds() {
			if use.Kind != victim {
				shares[use.Kind] = float64(use.MilliProcessors) / float64(w.Capacity.MilliProcessors)
			}
		}
		slowdown := f.base.Observe(victim, latencies[i])
		if f.changed[w.ID] > reportLag && !f.throttled(w) {
			f.model.Observe(victim, shares, slowdown)
		}
		f.react(w, victim, latencies[i]/latencyTarget)
	}
}

func (f *fleet) throttled(w *worker.Worker) bool {
	for _, row := range f.rows(w) {
		if !row.IsService() && row.Throttle < 1 {
			return true
		}
	}
	return false
}

func (f *fleet) react(w *worker.Worker, victim string, pressure float64) {
	var aggressors []interference.Aggressor
	for _, row := range f.rows(w) {
		if row.IsService() {
			continue
		}
		harm := f.Slowdown(victim, row.Kind()) * float64(f.kinds[row.Kind()].usage.MilliProcessors)
		aggressors = append(aggressors, interference.Aggressor{
			Run: row.RunID(), Kind: row.Kind(), Harm: harm, Throttle: row.Throttle, Movable: row.Evictions < 3,
		})
	}
	for _, step := range f.control.React(w.ID, pressure, aggressors, f.now) {
		row := f.tasks.Get(step.Run.Task)
		if !step.Move {
			row.Throttle = step.Throttle
			row.Slowed = true
			continue
		}
		row.Avoid, row.AvoidUntil = w.ID, f.now.Add(2*time.Minute)
		f.evict(row)
	}
}

// finish counts the tasks that are past their deadline and not done.
func (f *fleet) finish() {
	for _, row := range f.tasks.All() {
		if !row.IsService() && f.now.After(row.Deadline) {
			f.result.missed++
			f.result.ended++
		}
	}
	sort.Float64s(f.result.latencies)
	sort.Float64s(f.result.urgentWaits)
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

func sortedKeys(m map[string]float64) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
