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

// step advances the simulation by one second: jobs arrive, a plan is made and applied, tasks progress, and the
// estimates are updated from the observations.
func (f *fleet) step() {
	f.addJobs()
	f.plan()
	var latencies []float64
	for _, w := range f.workers.All() {
		latencies = append(latencies, f.advance(w))
	}
	f.pendingLatencies = append(f.pendingLatencies, latencies)
	if len(f.pendingLatencies) > reportLag {
		f.learn(f.pendingLatencies[0])
		f.pendingLatencies = f.pendingLatencies[1:]
	}
	f.now = f.now.Add(time.Second)
}

// plan makes a scheduling plan and applies its placements and evictions.
func (f *fleet) plan() {
	plan := scheduler.Compute(scheduler.Input{
		Now: f.now, Tasks: f.tasks, Workers: f.workers, Owned: func(uint32) bool { return true },
		Quota: f.quotas(), Estimates: f, Policy: f.policy, Limits: scheduler.DefaultLimits(),
	})
	for _, b := range plan.Blocked {
		b.Group.CheckedGeneration = 0
		if b.UntilFreed {
			b.Group.CheckedGeneration = plan.Generation
		}
	}
	for _, p := range plan.Placements {
		t := f.tasks.Get(p.Task)
		t.Attempt++
		t.Worker = p.Worker
		f.workers.Reserve(f.workers.Get(p.Worker), t.RunID(), p.Size)
		if t.Priority == manifest.Urgent {
			f.result.urgentWaits = append(f.result.urgentWaits, f.now.Sub(t.Since).Seconds())
		}
		t.StartedAt, t.StartProgress, t.Throttle, t.WasThrottled = f.now, t.Progress, 1, false
		t.SetState(task.Running, "", f.now)
	}
	for _, e := range plan.Evictions {
		f.evict(f.tasks.Get(e.Task))
	}
}

// evict stops a task and makes it wait again. Without checkpoints it loses its progress.
func (f *fleet) evict(t *task.Task) {
	f.result.evictions++
	f.workers.Release(f.workers.Get(t.Worker), t.RunID())
	f.sizes.EndRun(t.RunID(), t.Kind(), false, 0)
	if !t.Checkpoints {
		f.result.lostCoreSeconds += t.Progress * f.kinds[t.Kind()].runTime.Seconds() * float64(t.Size.MilliProcessors) / 1000
		t.Progress = 0
	}
	t.Evictions++
	t.SetWaiting("evicted", time.Time{}, f.now)
}

// advance advances the tasks of a worker by one second and returns the highest latency of its services, or 0 if it has
// none.
func (f *fleet) advance(w *worker.Worker) float64 {
	capacity := float64(w.Capacity.MilliProcessors)
	used, shares := 0.0, make(map[string]float64)
	tasks := f.tasksOn(w)
	for _, t := range tasks {
		cores := float64(f.service.MilliProcessors)
		if !t.IsService() {
			cores = float64(f.kinds[t.Kind()].usage.MilliProcessors) * t.Throttle
		}
		used += cores
		shares[t.Kind()] += cores / capacity
	}
	contention := math.Max(1, used/capacity)
	latency := 0.0
	for _, t := range tasks {
		slowdown := contention
		for _, kind := range sortedKeys(shares) {
			slowdown += f.slowdowns[[2]string{t.Kind(), kind}] * shares[kind]
		}
		if t.IsService() {
			latency = math.Max(latency, slowdown*(1+0.05*f.random.NormFloat64()))
			f.result.latencies = append(f.result.latencies, latency)
			f.result.samples++
			if latency > latencyTarget {
				f.result.overTarget++
			}
			continue
		}
		f.progress(w, t, t.Throttle/slowdown)
	}
	return latency
}

// progress advances a batch task by one second at the given speed and ends it when it is complete.
func (f *fleet) progress(w *worker.Worker, t *task.Task, speed float64) {
	k := f.kinds[t.Kind()]
	t.Progress += speed / k.runTime.Seconds()
	f.observeUsage(w, t, k.usage.Times(int64(90+f.random.IntN(11))).DividedBy(100))
	if t.Progress < 1 {
		return
	}
	f.result.done += float64(k.usage.MilliProcessors) * k.runTime.Seconds()
	f.result.ended++
	if f.now.After(t.Deadline) {
		f.result.missed++
	}
	f.workers.Release(w, t.RunID())
	runTime := float64(f.now.Sub(t.StartedAt)+time.Second) / (1 - t.StartProgress)
	if t.WasThrottled {
		runTime = 0
	}
	f.sizes.EndRun(t.RunID(), t.Kind(), true, time.Duration(runTime))
	f.tasks.ResetChecked(t.Kind())
	f.tasks.Remove(t.ID)
}

// observeUsage updates the learned size of a kind from the usage of a run, and shrinks the reservation of the run if a
// smaller one is enough.
func (f *fleet) observeUsage(w *worker.Worker, t *task.Task, usage units.Resources) {
	if f.sizes.Observe(t.RunID(), t.Kind(), usage) {
		f.tasks.ResetChecked(t.Kind())
	}
	reserved, _ := w.Reservation(t.RunID())
	if reservation, any := f.sizes.ReducedSize(t.RunID(), t.Kind(), reserved); any && f.learns {
		f.workers.Reserve(w, t.RunID(), reservation)
	}
}

// tasksOn returns the tasks on a worker.
func (f *fleet) tasksOn(w *worker.Worker) []*task.Task {
	var tasks []*task.Task
	for _, id := range w.RunIDs() {
		if t := f.tasks.Get(id.Task); t != nil {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// learn updates the interference model from the delayed latency reports of all workers and mitigates interference.
func (f *fleet) learn(latencies []float64) {
	if !f.mitigates {
		return
	}
	for i, w := range f.workers.All() {
		if f.seenChanges[w.ID] != w.ChangeCount() {
			f.seenChanges[w.ID], f.unchangedSeconds[w.ID] = w.ChangeCount(), 0
		}
		f.unchangedSeconds[w.ID]++
		if latencies[i] == 0 {
			continue
		}
		victim := sensitive
		if w.CountKind(robust) > 0 {
			victim = robust
		}
		shares := make(map[string]float64)
		for _, use := range w.Kinds() {
			if use.Kind != victim {
				shares[use.Kind] = float64(use.MilliProcessors) / float64(w.Capacity.MilliProcessors)
			}
		}
		slowdown := f.baselines.Observe(victim, latencies[i])
		if f.unchangedSeconds[w.ID] > reportLag && !f.throttled(w) {
			f.model.Observe(victim, shares, slowdown)
		}
		f.mitigate(w, victim, latencies[i]/latencyTarget)
	}
}

// throttled reports whether a batch task on the worker is throttled.
func (f *fleet) throttled(w *worker.Worker) bool {
	for _, t := range f.tasksOn(w) {
		if !t.IsService() && t.Throttle < 1 {
			return true
		}
	}
	return false
}

// mitigate throttles or moves batch tasks on a worker according to the latency of the victim relative to its target.
func (f *fleet) mitigate(w *worker.Worker, victim string, latencyRatio float64) {
	var aggressors []interference.Aggressor
	for _, t := range f.tasksOn(w) {
		if t.IsService() {
			continue
		}
		impact := f.Slowdown(victim, t.Kind()) * float64(f.kinds[t.Kind()].usage.MilliProcessors)
		aggressors = append(aggressors, interference.Aggressor{
			Run: t.RunID(), Kind: t.Kind(), Impact: impact, Throttle: t.Throttle, Movable: t.Evictions < 3,
		})
	}
	for _, step := range f.controller.Update(w.ID, latencyRatio, aggressors, f.now) {
		t := f.tasks.Get(step.Run.Task)
		if !step.Move {
			t.Throttle = step.Throttle
			t.WasThrottled = true
			continue
		}
		t.AvoidWorker, t.AvoidUntil = w.ID, f.now.Add(2*time.Minute)
		f.evict(t)
	}
}

// finish counts the unfinished tasks past their deadline as missed and sorts the samples for quantiles.
func (f *fleet) finish() {
	for _, t := range f.tasks.All() {
		if !t.IsService() && f.now.After(t.Deadline) {
			f.result.missed++
			f.result.ended++
		}
	}
	sort.Float64s(f.result.latencies)
	sort.Float64s(f.result.urgentWaits)
}

// quantile returns the q-quantile of sorted values, or 0 if there are none.
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
