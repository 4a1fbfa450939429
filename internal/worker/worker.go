// Package worker holds the table of workers of one failure domain with what is reserved on them.
package worker

import (
	"slices"
	"sort"
	"strings"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
)

// Use is what the attempts of one kind hold on a worker.
type Use struct {
	Kind            string
	Count           int
	MilliProcessors int64
}

// Worker is one row of the table.
type Worker struct {
	ID      string
	Rack    string
	Address string
	Shard   uint32
	// Leaving workers get no new task.
	Leaving bool
	// AbsentSince is when the list first left the worker out, zero while it is listed.
	AbsentSince time.Time
	// Capacity is zero until the worker has reported.
	Capacity units.Resources
	// Token is the fencing token under which this node has adopted the worker, or 0.
	Token platform.Offset
	// Adopting is set while the adoption is under way.
	Adopting bool
	// Eligible workers may get new tasks from this node.
	Eligible bool
	// Suspect workers have failed every task of late.
	Suspect bool
	// Probation bounds the worker to one task at a time, while it is on trial after failures.
	Probation bool
	// ReportedAt is when the worker last answered, zero for never.
	ReportedAt time.Time
	// CallAfter delays the next call to a worker that does not answer.
	CallAfter time.Time
	// Calling is set while a renewal is under way.
	Calling bool
	// Expedite asks for the next report at once, because a decision waits for it.
	Expedite bool

	reserved map[platform.RunID]units.Resources
	// kinds is sorted by kind, so that sums over it are the same on every run.
	kinds     []Use
	committed units.Resources
	grownAt   uint64
	changes   uint64
}

// Committed returns the sum of the reservations: every attempt that is placing, starting, running or
// stopping on the worker, or of which it is not known whether it runs.
func (w *Worker) Committed() units.Resources { return w.committed }

// Room returns what is left of the capacity.
func (w *Worker) Room() units.Resources { return w.Capacity.Sub(w.committed) }

// Runs returns the number of reservations.
func (w *Worker) Runs() int { return len(w.reserved) }

// Reservation returns the reservation of an attempt and whether there is one.
func (w *Worker) Reservation(id platform.RunID) (units.Resources, bool) {
	size, known := w.reserved[id]
	return size, known
}

// Reserved calls yield for every reservation, in no order.
func (w *Worker) Reserved(yield func(platform.RunID, units.Resources)) {
	for id, size := range w.reserved {
		yield(id, size)
	}
}

// RunIDs returns the attempts that hold a reservation, in order.
func (w *Worker) RunIDs() []platform.RunID {
	ids := make([]platform.RunID, 0, len(w.reserved))
	for id := range w.reserved {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool {
		return ids[a].Task < ids[b].Task || (ids[a].Task == ids[b].Task && ids[a].Attempt < ids[b].Attempt)
	})
	return ids
}

// Changes grows with every reservation that is made or dropped.
func (w *Worker) Changes() uint64 { return w.changes }

// Kinds returns what the attempts of each kind hold, in the order of the kinds. It must not be changed.
func (w *Worker) Kinds() []Use { return w.kinds }

// Count returns the number of attempts of a kind that hold a reservation.
func (w *Worker) Count(kind string) int {
	if i, known := w.find(kind); known {
		return w.kinds[i].Count
	}
	return 0
}

func (w *Worker) find(kind string) (int, bool) {
	return slices.BinarySearchFunc(w.kinds, kind, func(u Use, k string) int { return strings.Compare(u.Kind, k) })
}

// GrownAt returns the generation of the table at which the worker last got more room.
func (w *Worker) GrownAt() uint64 { return w.grownAt }

// reserve sets the reservation of an attempt and returns whether the room grew.
func (w *Worker) reserve(id platform.RunID, size units.Resources) bool {
	before, known := w.reserved[id]
	count := 0
	if !known {
		count = 1
	}
	w.count(task.KindOf(id.Task), count, size.MilliProcessors-before.MilliProcessors)
	w.reserved[id] = size
	w.committed = w.committed.Sub(before).Add(size)
	if !known {
		w.changes++
	}
	return known && !before.Fits(size)
}

func (w *Worker) release(id platform.RunID) bool {
	before, known := w.reserved[id]
	if !known {
		return false
	}
	delete(w.reserved, id)
	w.changes++
	w.committed = w.committed.Sub(before)
	w.count(task.KindOf(id.Task), -1, -before.MilliProcessors)
	return true
}

// count changes what the attempts of a kind hold.
func (w *Worker) count(kind string, count int, processors int64) {
	i, known := w.find(kind)
	if !known {
		w.kinds = slices.Insert(w.kinds, i, Use{Kind: kind})
	}
	w.kinds[i].Count += count
	w.kinds[i].MilliProcessors += processors
	if w.kinds[i].Count == 0 {
		w.kinds = slices.Delete(w.kinds, i, i+1)
	}
}
