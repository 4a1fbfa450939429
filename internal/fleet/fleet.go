// Package fleet compares scheduling policies by simulation. A simulated fleet of workers runs tasks with known actual
// sizes, run times and pairwise slowdowns, and advances in steps of one second of simulated time. The benchmark
// reports the results:
//
//	go test ./internal/fleet -run '^$' -bench Policies -benchtime=1x -fleet.seed=1
package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cactuswall.example/cactuswall/internal/interference"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/scheduler"
	"cactuswall.example/cactuswall/internal/sizing"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// kindBehavior is the behavior of the tasks of a kind: declared and declaredTime are the declared size and run time,
// usage and runTime the actual ones. A kind is a job or service whose tasks all behave alike; it is identified by its
// name.
type kindBehavior struct {
	declared, usage       units.Resources
	declaredTime, runTime time.Duration
	priority              manifest.Priority
	checkpoints           bool
	// tasks is the number of tasks of a job.
	tasks int
	// slack is the time from arrival to deadline as a multiple of the run time.
	slack float64
	team  string
}

// deployment holds the sizes and the load of a simulated fleet, which is named after one of the example deployments.
type deployment struct {
	// workers and instances are the numbers of workers and of service instances, perRack is the number of workers in a
	// rack.
	workers, perRack, instances int
	// capacity is the capacity of a worker, service the size of a service instance.
	capacity, service units.Resources
	// load is the rate of arriving batch work as a fraction of the capacity left by the services.
	load float64
}

var deployments = map[string]deployment{
	"arwyddion": {48, 8, 48, units.Resources{MilliProcessors: 64000, MemoryMiB: 250000}, units.Resources{MilliProcessors: 16000, MemoryMiB: 40000}, 0.75},
	"vinnufata": {48, 6, 48, units.Resources{MilliProcessors: 16000, MemoryMiB: 60000}, units.Resources{MilliProcessors: 4000, MemoryMiB: 12000}, 0.75},
}

const (
	// sensitive and robust are the kinds of service instances whose latency rises much and little when other tasks run
	// on the same worker.
	sensitive = "sensitive"
	robust    = "robust"
	// kindCount is the number of kinds of batch tasks.
	kindCount = 12
	// fleetSeconds is the duration of a simulation.
	fleetSeconds = 3600
	// latencyTarget is the latency target as a multiple of the latency without other load.
	latencyTarget = 2.0
	// reportLag is the delay of latency reports in seconds.
	reportLag = 3
)

// mode is the policy of a simulation together with the features that are enabled.
type mode struct {
	policy scheduler.Policy
	// learns enables learned sizes and run times, exact replaces all estimates by the actual values, and mitigates
	// enables throttling and moving of tasks that cause interference.
	learns, exact, mitigates bool
}

var modes = map[string]mode{
	"1-first-fit":        {policy: scheduler.Policy{FirstFit: true}},
	"2-best-fit":         {policy: scheduler.Policy{PackWeight: 1, Spread: 2}},
	"3-earliest":         {policy: scheduler.Policy{PackWeight: 1, Spread: 2, DeadlineOnly: true}},
	"4-latency-first":    {policy: scheduler.LatencyFirst(), learns: true, mitigates: true},
	"5-throughput-first": {policy: scheduler.ThroughputFirst(), learns: true, mitigates: true},
	"6-knows-latency":    {policy: scheduler.LatencyFirst(), exact: true, mitigates: true},
	"7-knows-throughput": {policy: scheduler.ThroughputFirst(), exact: true, mitigates: true},
}

// fleet is the state of a simulation.
type fleet struct {
	deployment
	mode
	random  *rand.Rand
	now     time.Time
	start   time.Time
	tasks   *task.Table
	workers *worker.Table
	kinds   map[string]*kindBehavior
	// slowdowns maps a pair of kinds to the amount that the second kind, when it uses a whole worker, adds to the
	// factor on the latency or run time of the first.
	slowdowns  map[[2]string]float64
	sizes      *sizing.Learner
	model      *interference.Model
	baselines  *interference.Baselines
	controller *interference.Controller
	throttle   map[string]float64
	// unchangedSeconds counts the seconds since the runs on a worker last changed, and seenChanges holds the change
	// counter of the worker at that time.
	unchangedSeconds map[string]int
	seenChanges      map[string]uint64
	// pendingLatencies holds, for each second not reported yet, the highest service latency on each worker, in the
	// order of workers.All.
	pendingLatencies [][]float64
	// arrivedJobs is the number of jobs that have arrived.
	arrivedJobs int
	result      result
}

// result holds the measurements of a simulation.
type result struct {
	// latencies are those of the services, as multiples of the latency without other load.
	latencies []float64
	// done and offered are the completed and the arrived batch work in millicore-seconds.
	done, offered float64
	// missed and ended count the batch tasks that missed their deadline and those that ended or are overdue.
	missed, ended int
	evictions     int
	// lostCoreSeconds is the work lost by evictions of tasks without checkpoints.
	lostCoreSeconds float64
	// urgentWaits are the times that urgent tasks waited for their start, in seconds.
	urgentWaits []float64
	// samples is the number of samples of service latency, overTarget the number of those that exceeded the target.
	overTarget, samples int
}

// newFleet returns a fleet with one service instance on each worker and no batch tasks.
func newFleet(d deployment, m mode, seed uint64) *fleet {
	f := &fleet{
		deployment: d, mode: m, random: rand.New(rand.NewPCG(seed, 1)),
		now: time.Unix(1000000, 0), tasks: task.NewTable(), workers: worker.NewTable(),
		kinds: make(map[string]*kindBehavior), slowdowns: make(map[[2]string]float64),
		sizes: sizing.NewLearner(), model: interference.NewModel(), baselines: interference.NewBaselines(),
		controller: interference.NewController(), throttle: make(map[string]float64),
		unchangedSeconds: make(map[string]int), seenChanges: make(map[string]uint64),
	}
	f.start = f.now
	f.makeKinds()
	for i := range d.workers {
		w := &worker.Worker{ID: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%d", i/d.perRack)}
		f.workers.Put(w)
		f.workers.SetCapacity(w, d.capacity)
		f.workers.SetEligible(w, true)
	}
	for i, w := range f.workers.All() {
		f.addService(w, []string{sensitive, robust}[i%2], i)
	}
	return f
}

// addService adds a service instance that runs on a worker from the start of the simulation.
func (f *fleet) addService(w *worker.Worker, kind string, index int) {
	id := fmt.Sprintf("%s/a/%d", kind, index)
	instance := &task.Task{Spec: task.Spec{ID: id, Service: kind, Size: f.service}, State: task.Running, Attempt: 1, Worker: w.ID}
	f.tasks.Put(instance)
	f.workers.Reserve(w, instance.RunID(), f.service)
}

// makeKinds draws the declared and the actual behavior of every kind and the slowdowns between kinds.
func (f *fleet) makeKinds() {
	names := []string{sensitive, robust}
	for i := range kindCount {
		name := fmt.Sprintf("k%02d", i)
		names = append(names, name)
		milliProcessors := f.capacity.MilliProcessors / 64 * int64(1+f.random.IntN(8))
		usage := units.Resources{MilliProcessors: milliProcessors, MemoryMiB: f.capacity.MemoryMiB / 64 * int64(1+f.random.IntN(6))}
		declarationError := 0.7 + 1.8*f.random.Float64()
		k := &kindBehavior{
			usage:       usage,
			declared:    units.Resources{MilliProcessors: int64(float64(usage.MilliProcessors) * declarationError), MemoryMiB: int64(float64(usage.MemoryMiB) * declarationError)},
			runTime:     time.Duration(30+f.random.IntN(240)) * time.Second,
			priority:    manifest.Batch,
			checkpoints: i%3 != 0,
			tasks:       4 + f.random.IntN(20),
			slack:       1.5 + 3*f.random.Float64(),
			team:        fmt.Sprintf("t%d", i%4),
		}
		k.declaredTime = time.Duration(float64(k.runTime) * (0.3 + 2.2*f.random.Float64()))
		if i == 0 {
			k.priority, k.tasks = manifest.Urgent, 3
		}
		if i%4 == 3 {
			k.priority = manifest.Spare
		}
		f.kinds[name] = k
	}
	for _, victim := range names {
		for j, aggressor := range names {
			f.slowdowns[[2]string{victim, aggressor}] = f.drawSlowdown(victim, j%4 == 2)
		}
	}
}

// drawSlowdown draws the slowdown of the kind victim by another kind that uses a whole worker. If noisy is set, the
// other kind causes a larger slowdown, except to robust.
func (f *fleet) drawSlowdown(victim string, noisy bool) float64 {
	switch {
	case victim == sensitive && noisy:
		return 3 + 3*f.random.Float64()
	case noisy && victim != robust:
		return 0.3 + 0.7*f.random.Float64()
	default:
		return 0.2 * f.random.Float64()
	}
}

// addTask adds a waiting task.
func (f *fleet) addTask(s task.Spec) {
	f.tasks.Put(&task.Task{Spec: s, State: task.Waiting, Since: f.now})
}

// addJobs adds jobs until the offered batch work matches the load. No jobs arrive in the last ten minutes.
func (f *fleet) addJobs() {
	seconds := f.now.Sub(f.start).Seconds() + 1
	free := float64(f.capacity.MilliProcessors)*float64(f.deployment.workers) - float64(f.service.MilliProcessors)*float64(f.instances)
	for f.result.offered < f.load*free*seconds && seconds < fleetSeconds-600 {
		name := fmt.Sprintf("k%02d", f.random.IntN(kindCount))
		k := f.kinds[name]
		f.arrivedJobs++
		deadline := f.now.Add(time.Duration(float64(k.runTime) * k.slack))
		for i := range k.tasks {
			f.addTask(task.Spec{
				ID: fmt.Sprintf("%s@%d/%d", name, f.arrivedJobs, i), Job: name, Index: f.arrivedJobs*1000 + i, Team: k.team, Size: k.declared,
				RunTime: k.declaredTime, Deadline: deadline, Priority: k.priority, Checkpoints: k.checkpoints,
			})
		}
		f.result.offered += float64(k.tasks) * float64(k.usage.MilliProcessors) * k.runTime.Seconds()
	}
}

// Size implements scheduler.Estimates.
func (f *fleet) Size(t *task.Task) units.Resources {
	switch {
	case t.IsService():
		return t.Size
	case f.exact:
		return f.kinds[t.Kind()].usage
	case f.learns:
		return f.sizes.Size(t.Kind(), t.Size)
	default:
		return t.Size
	}
}

// RunTime implements scheduler.Estimates.
func (f *fleet) RunTime(t *task.Task) time.Duration {
	whole := t.RunTime
	if f.exact {
		whole = f.kinds[t.Kind()].runTime
	} else if f.learns {
		whole = f.sizes.RunTime(t.Kind(), t.RunTime)
	}
	return time.Duration(float64(whole) * (1 - t.Progress))
}

// Slowdown implements scheduler.Estimates.
func (f *fleet) Slowdown(victim, aggressor string) float64 {
	if f.exact {
		return f.slowdowns[[2]string{victim, aggressor}]
	}
	return f.model.Slowdown(victim, aggressor)
}

// FailureRate implements scheduler.Estimates.
func (f *fleet) FailureRate(string) float64 { return 0 }

// quotas returns a quota for each team that is as large as the whole fleet.
func (f *fleet) quotas() map[string]units.Resources {
	quota := make(map[string]units.Resources)
	for i := range 4 {
		quota[fmt.Sprintf("t%d", i)] = f.capacity.Times(int64(f.deployment.workers))
	}
	return quota
}
