package scheduler

import (
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// Policy weighs the scores of a worker for a task. Each score is about 1 at most.
type Policy struct {
	// Pack prefers workers that the task fills, in processors and memory alike.
	Pack float64
	// Spread prefers workers and racks with few instances of the same service.
	Spread float64
	// Latency weighs the slowdown of services, Throughput that of batch tasks.
	Latency    float64
	Throughput float64
	// Failures prefers workers without recent failures.
	Failures float64
	// Accelerators keeps workers with accelerators for tasks that need one.
	Accelerators float64
	// FirstFit takes the first worker with room, and DeadlineOnly orders by the deadline alone. They
	// serve as baselines.
	FirstFit     bool
	DeadlineOnly bool
}

// LatencyFirst returns the policy for deployments that weigh the tail latency of services most.
func LatencyFirst() Policy {
	return Policy{Pack: 1, Spread: 2, Latency: 40, Throughput: 2, Failures: 2, Accelerators: 2}
}

// ThroughputFirst returns the policy for deployments that weigh batch throughput most.
func ThroughputFirst() Policy {
	return Policy{Pack: 1, Spread: 2, Latency: 10, Throughput: 10, Failures: 2, Accelerators: 2}
}

// score returns how well a worker suits a task.
func (p *planner) score(w *worker.Worker, t *task.Task, size units.Resources) float64 {
	left := p.room(w).Sub(size)
	total := 0.0
	if t.IsService() {
		total += p.Policy.Spread * p.spread(w, t)
	} else {
		total += p.Policy.Pack * pack(left, w.Capacity)
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

// pack is higher the less a worker has left and the more evenly it is left over the dimensions.
func pack(left, capacity units.Resources) float64 {
	processors := share(left.MilliProcessors, capacity.MilliProcessors)
	memory := share(left.MemoryMiB, capacity.MemoryMiB)
	return 1 - (processors+memory)/2 - max(processors-memory, memory-processors)/2
}

// spread is higher the fewer instances of the same service a worker and its rack hold.
func (p *planner) spread(w *worker.Worker, t *task.Task) float64 {
	onWorker := p.instancesOn(w, t.Kind())
	inRack := p.instancesIn(p.Workers, w.Rack, t.Kind())
	return 1/float64(1+onWorker) + 1/float64(1+inRack)
}

// interference is the slowdown that a placement adds: to what runs on the worker, and to the task.
func (p *planner) interference(w *worker.Worker, t *task.Task, size units.Resources) float64 {
	added := share(size.MilliProcessors, w.Capacity.MilliProcessors)
	total := 0.0
	for _, use := range w.Kinds() {
		kind := use.Kind
		held := share(use.MilliProcessors, w.Capacity.MilliProcessors)
		suffers := p.Estimates.Slowdown(kind, t.Kind()) * added
		total += p.weight(kind) * suffers * float64(use.Count)
		total += p.weightOf(t) * p.Estimates.Slowdown(t.Kind(), kind) * held
	}
	return total
}

// Services are recognised by the names that the task table knows.
func (p *planner) weight(kind string) float64 {
	if p.Tasks.IsService(kind) {
		return p.Policy.Latency
	}
	return p.Policy.Throughput
}

func (p *planner) weightOf(t *task.Task) float64 {
	if t.IsService() {
		return p.Policy.Latency
	}
	return p.Policy.Throughput
}
