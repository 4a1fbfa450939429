// Package placement chooses the worker for a task. Its inputs are the candidate workers and the needs of the task; it
// scores the workers and returns the index of the best one. It keeps no state.
package placement

import (
	"cactuswall.example/cactuswall/internal/jobs"
)

// Worker is a candidate for a task.
type Worker struct {
	ID            string
	Rack          string
	FailureDomain string // name of the failure domain of the worker
	// Free is the worker's capacity less the resources that its tasks requested.
	Free jobs.Resources
	// SpareMilliCPU is the CPU capacity that its tasks are expected to leave unused, in thousandths of a core. It may be
	// negative.
	SpareMilliCPU int
	// MilliCPU is the worker's CPU capacity, in thousandths of a core.
	MilliCPU int
	// Probing is set while the worker is quarantined or being probed, so that a task there is a probe.
	Probing bool
	// Slow is set while tasks take much longer on the worker than on others.
	Slow bool
	// FailureRate is the recent share of failed runs, from 0 to 1.
	FailureRate float64
}

// Kind is the kind of a task; each is scored by its own rule.
type Kind int

// The kinds of tasks.
const (
	// Ordinary tasks go where the largest share of the CPU capacity is unused.
	Ordinary Kind = iota
	// LongRunning tasks are long-running; they are packed on few workers.
	LongRunning
	// BestEffort tasks are best-effort: they use the CPU capacity that other tasks leave unused.
	BestEffort
)

// Need is what a task requires of its worker.
type Need struct {
	Kind Kind
	// Requested is the free resources that the worker must have for the task; see jobs.Step.Requested.
	Requested jobs.Resources
	// ExpectedMilliCPU is the CPU capacity that the task is expected to use, in thousandths of a core.
	ExpectedMilliCPU int
	// WithoutSpareCPU is set if a best-effort task may also run where little of that capacity is unused.
	WithoutSpareCPU bool
	// DataRack is the rack that holds the task's data, or empty; on any other rack the task takes longer, by the factor
	// in the platform's setting bounds.far-factor.
	DataRack string
	// AvoidWorker is the ID of the worker on which the task last failed or from which it was relocated, or empty.
	AvoidWorker string
	// InterferenceMismatch returns how differently a long-running task and the services on worker i react to
	// interference, from 0 to 1. Nil means no mismatch on any worker.
	InterferenceMismatch func(i int) float64
	// InterferenceRisk returns how close to their latency targets a best-effort task is expected to bring the services on
	// worker i: the sum, over the services, of the utilization that it adds as a share of what is left to the target. Nil means no
	// risk on any worker. It is subtracted from the worker's score.
	InterferenceRisk func(i int) float64
}

// The penalties are subtracted from a worker's score, whose unit is the worker's CPU capacity: without a penalty,
// scores are about -1 to 1.
const (
	// otherRackPenalty outweighs any difference in spare CPU capacity.
	otherRackPenalty = 1e6
	// slowWorkerPenalty outweighs otherRackPenalty: slow workers take longer than those far from the data.
	slowWorkerPenalty = 2e6
	// avoidedWorkerPenalty keeps a task from Need.AvoidWorker, unless no other worker is eligible or only that worker is
	// on the rack that holds the task's data.
	avoidedWorkerPenalty = 1e5
	// failureRatePenalty weighs recent failures: a worker that fails half of its runs scores like a full one.
	failureRatePenalty = 2.0
	// mismatchPenalty times the mismatch is subtracted from a worker's score for a long-running task. An empty
	// worker, where there is one, therefore scores better than a worker with a mismatch: one whose services are slowed
	// down by other best-effort images than those that slow down the task. Services that are slowed down by the same
	// images should share a worker, because every other image can then run there without harm.
	mismatchPenalty = 3.0
	// minBestEffortShare is the share of its expected CPU use that a best-effort task must find unused.
	minBestEffortShare = 0.7
)

// Best returns the index in workers of the one with the highest score, the first of several, or -1 if there is none. It
// considers only the workers that have the free resources for the task, for a best-effort task also the spare CPU
// capacity, and for whose index eligible returns true. It does not call eligible for every worker.
func Best(workers []Worker, n Need, eligible func(i int) bool) int {
	best, bestScore := -1, 0.0
	for i := range workers {
		w := &workers[i]
		if !w.Free.Contains(n.Requested) || n.Kind == BestEffort && !hasSpareCPU(w, &n) {
			continue
		}
		// The mismatch and the risk only lower the score, so that a worker that is no better without them needs no further look.
		score := score(w, &n)
		if best >= 0 && score <= bestScore || !eligible(i) {
			continue
		}
		if n.InterferenceMismatch != nil {
			score -= mismatchPenalty * n.InterferenceMismatch(i)
		}
		if n.InterferenceRisk != nil {
			score -= n.InterferenceRisk(i)
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// HasRoom reports whether a worker has the free resources for a task and, for a best-effort task, the spare CPU capacity.
// Best, which is called for each waiting task, has the same condition inline.
func (w *Worker) HasRoom(n *Need) bool {
	return w.Free.Contains(n.Requested) && (n.Kind != BestEffort || hasSpareCPU(w, n))
}

// hasSpareCPU reports whether a best-effort task would get most of the CPU time that it is expected to use, or does not need that.
func hasSpareCPU(w *Worker, n *Need) bool {
	return n.WithoutSpareCPU || float64(w.SpareMilliCPU) >= minBestEffortShare*float64(n.ExpectedMilliCPU)
}

// score rates a worker for a task, without the mismatch penalty and the risk; higher is better.
func score(w *Worker, n *Need) float64 {
	size := float64(max(1, w.MilliCPU))
	score := float64(w.SpareMilliCPU) / size
	if n.Kind == LongRunning {
		// Long-running tasks are packed, so that other workers stay free of them for services that are slowed down by
		// different best-effort images.
		score = -float64(w.Free.MilliCPU) / size
	}
	score -= failureRatePenalty * w.FailureRate
	if n.DataRack != "" && w.Rack != n.DataRack {
		score -= otherRackPenalty
	}
	if w.Slow {
		score -= slowWorkerPenalty
	}
	if n.AvoidWorker == w.ID {
		score -= avoidedWorkerPenalty
	}
	return score
}
