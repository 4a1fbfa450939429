// Package worker holds the workers of one failure domain and the resources reserved on each.
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

// KindUse is the number of attempts of one kind on a worker and the processors reserved for them.
type KindUse struct {
	Kind            string
	Count           int
	MilliProcessors int64
}

// Worker is a worker with its state, as held in a Table.
type Worker struct {
	ID      string
	Rack    string
	Address string
	Shard   uint32
	// Leaving is set if the worker is about to leave. It gets no new tasks.
	Leaving bool
	// UnlistedSince is when the worker disappeared from the worker list, or zero while it is listed.
	UnlistedSince time.Time
	// Capacity is zero until the worker has sent its first report.
	Capacity units.Resources
	// Token is the fencing token with which this node has fenced the worker, or 0. FenceInFlight means sending
	// the worker a new fencing token and taking over its runs from the report that it returns.
	Token platform.Offset
	// FenceInFlight is set while a fence call is in flight.
	FenceInFlight bool
	// Eligible is set if this node may place new tasks on the worker.
	Eligible bool
	// Suspect is set while the worker is quarantined or on probation after failures.
	Suspect bool
	// Probation limits the worker to one task at a time while it is tested after failures.
	Probation bool
	// ReportedAt is when the worker last answered, or zero if it never has.
	ReportedAt time.Time
	// NextCallAt is the earliest time of the next call to a worker that does not answer.
	NextCallAt time.Time
	// RenewalInFlight is set while a renewal call is in flight.
	RenewalInFlight bool
	// ReportNow requests the next report immediately, because a decision depends on it.
	ReportNow bool

	reserved map[platform.RunID]units.Resources
	// kinds is sorted by kind. The fixed order makes floating-point sums over it reproducible.
	kinds           []KindUse
	committed       units.Resources
	freedGeneration uint64
	changeCount     uint64
}

// Committed returns the sum of the reservations. An attempt has one while it is placing, starting, running
// or stopping on the worker, and while it is unknown whether it runs.
func (w *Worker) Committed() units.Resources { return w.committed }

// Free returns the capacity that is not reserved.
func (w *Worker) Free() units.Resources { return w.Capacity.Sub(w.committed) }

// ReservationCount returns the number of reservations.
func (w *Worker) ReservationCount() int { return len(w.reserved) }

// Reservation returns the reservation of an attempt, and whether it has one.
func (w *Worker) Reservation(id platform.RunID) (units.Resources, bool) {
	size, exists := w.reserved[id]
	return size, exists
}

// Reserved calls yield for every reservation, in no order.
func (w *Worker) Reserved(yield func(platform.RunID, units.Resources)) {
	for id, size := range w.reserved {
		yield(id, size)
	}
}

// RunIDs returns the attempts that hold a reservation, sorted by task and attempt number.
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

// ChangeCount returns a counter that increases whenever a reservation is added or removed.
func (w *Worker) ChangeCount() uint64 { return w.changeCount }

// Kinds returns the use by attempts of each kind, sorted by kind. The caller must not modify the slice.
func (w *Worker) Kinds() []KindUse { return w.kinds }

// CountKind returns the number of attempts of a kind that hold a reservation.
func (w *Worker) CountKind(kind string) int {
	if i, exists := w.findKind(kind); exists {
		return w.kinds[i].Count
	}
	return 0
}

// findKind returns the index of a kind in w.kinds, or the index at which to insert it and false.
func (w *Worker) findKind(kind string) (int, bool) {
	return slices.BinarySearchFunc(w.kinds, kind, func(u KindUse, k string) int { return strings.Compare(u.Kind, k) })
}

// FreedGeneration returns the generation of the table at which the worker was added, became eligible,
// changed its capacity or got free resources back, whichever was last.
func (w *Worker) FreedGeneration() uint64 { return w.freedGeneration }

// reserve sets the reservation of an attempt and reports whether that freed resources.
func (w *Worker) reserve(id platform.RunID, size units.Resources) bool {
	previous, exists := w.reserved[id]
	count := 0
	if !exists {
		count = 1
	}
	w.addUse(task.KindOf(id.Task), count, size.MilliProcessors-previous.MilliProcessors)
	w.reserved[id] = size
	w.committed = w.committed.Sub(previous).Add(size)
	if !exists {
		w.changeCount++
	}
	return exists && !previous.Fits(size)
}

// release removes the reservation of an attempt. It returns false if there is none.
func (w *Worker) release(id platform.RunID) bool {
	previous, exists := w.reserved[id]
	if !exists {
		return false
	}
	delete(w.reserved, id)
	w.changeCount++
	w.committed = w.committed.Sub(previous)
	w.addUse(task.KindOf(id.Task), -1, -previous.MilliProcessors)
	return true
}

// addUse adds a number of attempts and processors, which may be negative, to the use by a kind.
func (w *Worker) addUse(kind string, count int, milliProcessors int64) {
	i, exists := w.findKind(kind)
	if !exists {
		w.kinds = slices.Insert(w.kinds, i, KindUse{Kind: kind})
	}
	w.kinds[i].Count += count
	w.kinds[i].MilliProcessors += milliProcessors
	if w.kinds[i].Count == 0 {
		w.kinds = slices.Delete(w.kinds, i, i+1)
	}
}
