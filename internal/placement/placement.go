// Package placement chooses the worker for a task. It is pure: what it knows is in its arguments.
package placement

import (
	"cactuswall.example/cactuswall/internal/jobs"
)

// Worker is a worker as placement sees it.
type Worker struct {
	ID     string
	Rack   string
	Domain string
	// Free is the room that is not taken, by what tasks asked for.
	Free jobs.Resources
	// Spare is processor time that is expected to stay unused, in thousandths of a core. It may be negative.
	Spare int
	// Size is the worker's processor capacity.
	Size int
	// Probing is set while the worker is tried again after failures.
	Probing bool
	// FailureRate is the recent share of failed runs, from 0 to 1.
	FailureRate float64
	// Pressure is how much filling tasks there disturb and serving tasks there mind, without unit.
	Pressure float64
}

// Kind is what placement distinguishes tasks by.
type Kind int

// The kinds of tasks.
const (
	Ordinary Kind = iota
	Lasting
	Filling
)

// Need is what a task needs.
type Need struct {
	Kind Kind
	Room jobs.Resources
	// Use is the processor time that the task is expected to use.
	Use int
	// Rack is where the task's data is; elsewhere it takes FarFactor times as long.
	Rack string
	// Avoid is the worker where the task failed last.
	Avoid string
	// Mismatch tells how badly a lasting task and the services on a worker go together, 0 to 1; nil for not at all.
	Mismatch func(i int) float64
}

const (
	// farPenalty outweighs any difference in spare processor time.
	farPenalty = 1e6
	// avoidPenalty keeps a task from the worker where it failed, unless there is no other.
	avoidPenalty = 1e5
	// failurePenalty weighs recent failures: a worker that fails half of its runs is as good as full.
	failurePenalty = 2.0
	// mismatchPenalty makes an empty worker better than one whose services mind other images, as long as there is one:
	// services that mind the same images leave all other images harmless on their worker.
	mismatchPenalty = 3.0
	// fillShare is the least share of its processor time that a filling task must find unused.
	fillShare = 0.7
)

// Best returns the index of the best of the workers that suit, or -1.
func Best(workers []Worker, n Need, suits func(i int) bool) int {
	best, bestScore := -1, 0.0
	for i := range workers {
		w := &workers[i]
		if !w.Free.Holds(n.Room) || n.Kind == Filling && !roomToFill(w, n) || !suits(i) {
			continue
		}
		score := score(w, n)
		if n.Mismatch != nil {
			score -= mismatchPenalty * n.Mismatch(i)
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// roomToFill tells whether a filling task would get most of the processor time that it asks for.
func roomToFill(w *Worker, n Need) bool { return float64(w.Spare) >= fillShare*float64(n.Use) }

func score(w *Worker, n Need) float64 {
	size := float64(max(1, w.Size))
	score := float64(w.Spare) / size
	if n.Kind == Lasting {
		// Lasting tasks are packed, so that other workers stay free for services that mind other images.
		score = -float64(w.Free.MilliCPU) / size
	}
	score -= failurePenalty * w.FailureRate
	if n.Kind == Filling {
		score -= w.Pressure
	}
	if n.Rack != "" && w.Rack != n.Rack {
		score -= farPenalty
	}
	if n.Avoid == w.ID {
		score -= avoidPenalty
	}
	return score
}
