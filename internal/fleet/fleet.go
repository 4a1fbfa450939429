// Package fleet compares policies of the scheduler on a table of workers with true sizes, run times and
// pairwise slowdowns, stepped by a controlled clock. Its figures are made by its benchmark:
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

// kindTruth is how the tasks of a kind really are.
type kindTruth struct {
	declared, usage       units.Resources
	declaredTime, runTime time.Duration
	priority              manifest.Priority
	checkpoints           bool
	tasks                 int
	slack                 float64
	team                  string
}

// deployment is the size of one of the users' deployments.
type deployment struct {
	workers, perRack, instances int
	capacity, service           units.Resources
	// load is the batch work that arrives, as a part of what the services leave.
	load float64
}

var deployments = map[string]deployment{
	"arwyddion": {48, 8, 48, units.Resources{MilliProcessors: 64000, MemoryMiB: 250000}, units.Resources{MilliProcessors: 16000, MemoryMiB: 40000}, 0.75},
	"vinnufata": {48, 6, 48, units.Resources{MilliProcessors: 16000, MemoryMiB: 60000}, units.Resources{MilliProcessors: 4000, MemoryMiB: 12000}, 0.75},
}

const (
	sensitive     = "sensitive"
	robust        = "robust"
	kindCount     = 12
	fleetSeconds  = 3600
	latencyTarget = 2.0
	reportLag     = 3
)

// mode says how a fleet is scheduled.
type mode struct {
	policy scheduler.Policy
	// learns turns on learnt sizes and run times, knows replaces all estimates by the truth, reacts turns
	// on throttling and moving.
	learns, knows, reacts bool
}

var modes = map[string]mode{
	"1-first-fit":        {policy: scheduler.Policy{FirstFit: true}},
	"2-best-fit":         {policy: scheduler.Policy{Pack: 1, Spread: 2}},
	"3-earliest":         {policy: scheduler.Policy{Pack: 1, Spread: 2, DeadlineOnly: true}},
	"4-latency-first":    {policy: scheduler.LatencyFirst(), learns: true, reacts: true},
	"5-throughput-first": {policy: scheduler.ThroughputFirst(), learns: true, reacts: true},
	"6-knows-latency":    {policy: scheduler.LatencyFirst(), knows: true, reacts: true},
	"7-knows-throughput": {policy: scheduler.ThroughputFirst(), knows: true, reacts: true},
}

// fleet is a table of workers with true sizes and slowdowns, stepped by a second.
type fleet struct {
	deployment
	mode
	random   *rand.Rand
	now      time.Time
	start    time.Time
	tasks    *task.Table
	workers  *worker.Table
	kinds    map[string]*kindTruth
	slow     map[[2]string]float64
	sizes    *sizing.Learner
	model    *interference.Model
	base     *interference.Baselines
	control  *interference.Controller
	throttle map[string]float64
	changed  map[string]int
	seen     map[string]uint64
	late     [][]float64
	arrived  int
	result   result
}

// result is what a run of a fleet gives.
type result struct {
	latencies          []float64
	done, offered      float64
	missed, ended      int
	evictions          int
	lost               float64
	urgentWaits        []float64
	overTarget, points int
}

func newFleet(d deployment, m mode, seed uint64) *fleet {
	f := &fleet{
		deployment: d, mode: m, random: rand.New(rand.NewPCG(seed, 1)),
		now: time.Unix(1000000, 0), tasks: task.NewTable(), workers: worker.NewTable(),
		kinds: make(map[string]*kindTruth), slow: make(map[[2]string]float64),
		sizes: sizing.NewLearner(), model: interference.NewModel(), base: interference.NewBaselines(),
		control: interference.NewController(), throttle: make(map[string]float64),
		changed: make(map[string]int), seen: make(map[string]uint64),
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
		f.putService(w, []string{sensitive, robust}[i%2], i)
	}
	return f
}

// putService runs an instance on a worker from the start, as the deployments do.
func (f *fleet) putService(w *worker.Worker, kind string, index int) {
	id := fmt.Sprintf("%s/a/%d", kind, index)
	row := &task.Task{Spec: task.Spec{ID: id, Service: kind, Size: f.service}, State: task.Running, Attempt: 1, Worker: w.ID}
	f.tasks.Put(row)
	f.workers.Reserve(w, row.RunID(), f.service)
}

func (f *fleet) makeKinds() {
	names := []string{sensitive, robust}
	for i := range kindCount {
		name := fmt.Sprintf("k%02d", i)
		names = append(names, name)
		cores := f.capacity.MilliProcessors / 64 * int64(1+f.random.IntN(8))
		usage := units.Resources{MilliProcessors: cores, MemoryMiB: f.capacity.MemoryMiB / 64 * int64(1+f.random.IntN(6))}
		wrong := 0.7 + 1.8*f.random.Float64()
		k := &kindTruth{
			usage:       usage,
			declared:    units.Resources{MilliProcessors: int64(float64(usage.MilliProcessors) * wrong), MemoryMiB: int64(float64(usage.MemoryMiB) * wrong)},
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
	for _, v := range names {
		for j, a := range names {
			f.slow[[2]string{v, a}] = f.slowdown(v, j%4 == 2)
		}
	}
}

// slowdown draws how much a kind suffers beside a noisy or a quiet one that holds a whole worker.
func (f *fleet) slowdown(victim string, noisy bool) float64 {
	switch {
	case victim == sensitive && noisy:
		return 3 + 3*f.random.Float64()
	case noisy && victim != robust:
		return 0.3 + 0.7*f.random.Float64()
	default:
		return 0.2 * f.random.Float64()
	}
}

func (f *fleet) put(s task.Spec) { f.tasks.Put(&task.Task{Spec: s, State: task.Waiting, Since: f.now}) }

// arrive adds jobs so that the offered batch work follows the load.
func (f *fleet) arrive() {
	seconds := f.now.Sub(f.start).Seconds() + 1
	free := float64(f.capacity.MilliProcessors)*float64(f.deployment.workers) - float64(f.service.MilliProcessors)*float64(f.instances)
	for f.result.offered < f.load*free*seconds && seconds < fleetSeconds-600 {
		name := fmt.Sprintf("k%02d", f.random.IntN(kindCount))
		k := f.kinds[name]
		f.arrived++
		deadline := f.now.Add(time.Duration(float64(k.runTime) * k.slack))
		for i := range k.tasks {
			f.put(task.Spec{
				ID: fmt.Sprintf("%s@%d/%d", name, f.arrived, i), Job: name, Index: f.arrived*1000 + i, Team: k.team, Size: k.declared,
				RunTime: k.declaredTime, Deadline: deadline, Priority: k.priority, Checkpoints: k.checkpoints,
			})
		}
		f.result.offered += float64(k.tasks) * float64(k.usage.MilliProcessors) * k.runTime.Seconds()
	}
}

// The fleet's estimates implement scheduler.Estimates.

func (f *fleet) Size(t *task.Task) units.Resources {
	switch {
	case t.IsService():
		return t.Size
	case f.knows:
		return f.kinds[t.Kind()].usage
	case f.learns:
		return f.sizes.Size(t.Kind(), t.Size)
	default:
		return t.Size
	}
}

func (f *fleet) RunTime(t *task.Task) time.Duration {
	whole := t.RunTime
	if f.knows {
		whole = f.kinds[t.Kind()].runTime
	} else if f.learns {
		whole = f.sizes.RunTime(t.Kind(), t.RunTime)
	}
	return time.Duration(float64(whole) * (1 - t.Progress))
}

func (f *fleet) Slowdown(victim, aggressor string) float64 {
	if f.knows {
		return f.slow[[2]string{victim, aggressor}]
	}
	return f.model.Slowdown(victim, aggressor)
}

func (f *fleet) FailureRate(string) float64 { return 0 }

func (f *fleet) quotas() map[string]units.Resources {
	quota := make(map[string]units.Resources)
	for i := range 4 {
		quota[fmt.Sprintf("t%d", i)] = f.capacity.Times(int64(f.deployment.workers))
	}
	return quota
}
