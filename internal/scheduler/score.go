package scheduler

import (
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// Policy holds the weights of the scores of a worker for a task. Before weighting, the pack score and the
// failure rate are from 0 to 1, the spread score is from 0 to 2, and the slowdown has no upper limit.
type Policy struct {
	// PackWeight prefers workers whose processors and memory the task fills evenly. It applies to batch tasks.
	PackWeight float64
	// Spread prefers workers and racks with few instances of the same service. It applies to services.
	Spread float64
	// Latency is the weight of the slowdown of services, Throughput that of the slowdown of batch tasks.
	Latency    float64
	Throughput float64
	// Failures prefers workers without recent failures.
	Failures float64
	// Accelerators is the penalty for placing a task that needs no accelerator on a worker that has one.
	Accelerators float64
	// FirstFit selects the first feasible worker, and DeadlineOnly orders batch tasks by deadline alone. Both
	// are baselines for comparisons.
	FirstFit     bool
	DeadlineOnly bool
}

// LatencyFirst returns the policy for deployments that prioritise the tail latency of services.
func LatencyFirst() Policy {
	return Policy{PackWeight: 1, Spread: 2, Latency: 40, Throughput: 2, Failures: 2, Accelerators: 2}
}

// ThroughputFirst returns the policy for deployments that give batch throughput a higher weight.
func ThroughputFirst() Policy {
	return Policy{PackWeight: 1, Spread: 2, Latency: 10, Throughput: 10, Failures: 2, Accelerators: 2}
}

// score returns the weighted score of a worker for a task. Higher is better.
func (p *planner) score(w *worker.Worker, t *task.Task, size units.Resources) float64 {
	left := p.room(w).Sub(size)
	total := 0.0
	if t.IsService() {
		total += p.Policy.Spread * p.spreadScore(w, t)
	} else {
		total += p.Policy.PackWeight * packScore(left, w.Capacity)
	}
	if size.Accelerators == 0 && w.Capacity.Accelerators > 0 {
		total -= p.Policy.Accelerators
	}
	if p.Policy.Failures != 0 {
		total -= p.Policy.Failures * p.Estimates.FailureRate(w.ID)
	}
	if p.Policy.Latency != 0 || p.Policy.Throughput != 0 {
		total -= p.interference(w, t, size)
	}
	return total
}

// packScore returns a score from 0 to 1 that is higher the less of a worker remains free and the more evenly
// processors and memory remain.
func packScore(left, capacity units.Resources) float64 {
	processors := share(left.MilliProcessors, capacity.MilliProcessors)
	memory := share(left.MemoryMiB, capacity.MemoryMiB)
	return 1 - (processors+memory)/2 - max(processors-memory, memory-processors)/2
}

// spreadScore returns a score from 0 to 2 that is higher the fewer instances of the same service a worker and
// its rack hold.
func (p *planner) spreadScore(w *worker.Worker, t *task.Task) float64 {
	onWorker := p.countOnWorker(w, t.Kind())
	inRack := p.countInRack(p.Workers, w.Rack, t.Kind())
	return 1/float64(1+onWorker) + 1/float64(1+inRack)
}

// interference returns the weighted slowdown that a placement adds, to the tasks on the worker and to the
// placed task.
func (p *planner) interference(w *worker.Worker, t *task.Task, size units.Resources) float64 {
	added := share(size.MilliProcessors, w.Capacity.MilliProcessors)
	total := 0.0
	for _, use := range w.Kinds() {
		kind := use.Kind
		held := share(use.MilliProcessors, w.Capacity.MilliProcessors)
		slowdown := p.Estimates.Slowdown(kind, t.Kind()) * added
		total += p.kindWeight(kind) * slowdown * float64(use.Count)
		total += p.taskWeight(t) * p.Estimates.Slowdown(t.Kind(), kind) * held
	}
	return total
}

// kindWeight returns the weight of the slowdown of a kind. A kind is a service if the task table holds a
// service with that name.
func (p *planner) kindWeight(kind string) float64 {
	if p.Tasks.IsService(kind) {
		return p.Policy.Latency
	}
	return p.Policy.Throughput
}

// taskWeight returns the weight of the slowdown of a task.
func (p *planner) taskWeight(t *task.Task) float64 {
	if t.IsService() {
		return p.Policy.Latency
	}
	return p.Policy.Throughput
}
