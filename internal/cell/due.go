package cell

import (
	"container/heap"
	"sort"
	"time"
)

// dueQueue finds the workers for which something is due, without a walk through all workers. Whatever changes a field of
// a worker that the queue depends on calls worker.touch; settle brings the queue up to date.
type dueQueue struct {
	touched []*worker
	// renewals contains the renewable workers without a renewal order in flight, by nextRenewal.
	renewals dueHeap
	// leases contains the workers with runs, by leaseExpiresBy.
	leases dueHeap
	// pending contains the workers for which pending holds, and unstored those with ends that are not stored. Both may
	// contain others, which the next walk through them removes.
	pending, unstored []*worker
}

// dueState is the place of a worker in a dueQueue.
type dueState struct {
	queue               *dueQueue
	touched             bool
	removed             bool // the worker was removed from the cell
	inPending           bool
	inUnstored          bool
	renewalAt, leasesAt int // index in renewals and leases, plus 1; 0 for none
}

// touch has the next settle look at the worker.
func (w *worker) touch() {
	if !w.due.touched {
		w.due.touched = true
		w.due.queue.touched = append(w.due.queue.touched, w)
	}
}

// pending reports whether the worker needs attention at each flush.
func (w *worker) pending() bool {
	return len(w.unknownRuns) > 0 || w.mayHaveUnresolved || w.pacingPending || w.disposable()
}

// disposable reports whether the worker has neither an entry in the store nor runs.
func (w *worker) disposable() bool { return !w.listed && len(w.runs) == 0 }

// renewable reports whether orders can be sent to the worker: its address is known, and it has an entry in the store or no
// other incarnation has answered at its address.
func (w *worker) renewable() bool { return w.info.Address != "" && (!w.dead || w.listed) }

func (w *worker) hasUnstoredEnds() bool { return w.lastEndSeen > w.lastEndStored }

// settle brings the queue up to date with the workers that were touched.
func (q *dueQueue) settle() {
	for _, w := range q.touched {
		w.due.touched = false
		q.renewals.update(w, &w.due.renewalAt, w.nextRenewal, w.renewable() && !w.renewalInFlight && !w.due.removed)
		q.leases.update(w, &w.due.leasesAt, w.leaseExpiresBy, len(w.runs) > 0 && !w.due.removed)
		if !w.due.inPending && w.pending() && !w.due.removed {
			w.due.inPending = true
			q.pending = append(q.pending, w)
		}
		if !w.due.inUnstored && w.hasUnstoredEnds() && !w.due.removed {
			w.due.inUnstored = true
			q.unstored = append(q.unstored, w)
		}
	}
	q.touched = q.touched[:0]
}

// ordersDue returns the workers for which an order may be due, sorted by ID.
func (q *dueQueue) ordersDue(now time.Duration) []*worker {
	q.settle()
	return sortedByID(append(q.renewals.dueBy(now), q.pendingWorkers()...))
}

// leasesDue returns the workers whose lease may have expired or that may have to be removed, sorted by ID.
func (q *dueQueue) leasesDue(now time.Duration) []*worker {
	q.settle()
	return sortedByID(append(q.leases.dueBy(now), q.pendingWorkers()...))
}

func (q *dueQueue) pendingWorkers() []*worker {
	q.pending = retain(q.pending, func(w *worker) bool {
		w.due.inPending = w.pending() && !w.due.removed
		return w.due.inPending
	})
	return q.pending
}

// unstoredEnds returns the workers with ends that are not stored.
func (q *dueQueue) unstoredEnds() []*worker {
	q.settle()
	q.unstored = retain(q.unstored, func(w *worker) bool {
		w.due.inUnstored = w.hasUnstoredEnds() && !w.due.removed
		return w.due.inUnstored
	})
	return q.unstored
}

// retain removes the workers for which keep returns false from a slice, in place.
func retain(workers []*worker, keep func(*worker) bool) []*worker {
	kept := workers[:0]
	for _, w := range workers {
		if keep(w) {
			kept = append(kept, w)
		}
	}
	clear(workers[len(kept):])
	return kept
}

// sortedByID sorts workers by ID and removes duplicates, in place.
func sortedByID(workers []*worker) []*worker {
	sort.Slice(workers, func(i, j int) bool { return workers[i].info.ID < workers[j].info.ID })
	var last *worker
	return retain(workers, func(w *worker) bool {
		first := w != last
		last = w
		return first
	})
}

// dueHeap is a heap of workers, ordered by a time.
type dueHeap struct{ entries []dueEntry }

// dueEntry is a worker in a heap. place is the worker's record of its index, plus 1.
type dueEntry struct {
	at    time.Duration
	w     *worker
	place *int
}

// update adds a worker, moves it to the time at or, unless member is set, removes it.
func (h *dueHeap) update(w *worker, place *int, at time.Duration, member bool) {
	switch {
	case !member && *place > 0:
		heap.Remove(h, *place-1)
	case member && *place == 0:
		heap.Push(h, dueEntry{at: at, w: w, place: place})
	case member && h.entries[*place-1].at != at:
		h.entries[*place-1].at = at
		heap.Fix(h, *place-1)
	}
}

// first returns the earliest time; any is false if the heap is empty.
func (h *dueHeap) first() (at time.Duration, any bool) {
	if len(h.entries) == 0 {
		return 0, false
	}
	return h.entries[0].at, true
}

// dueBy returns the workers whose time has come, in no particular order.
func (h *dueHeap) dueBy(now time.Duration) []*worker {
	var due []*worker
	h.collectDue(0, now, &due)
	return due
}

func (h *dueHeap) collectDue(i int, now time.Duration, due *[]*worker) {
	if i >= len(h.entries) || h.entries[i].at > now {
		return
	}
	*due = append(*due, h.entries[i].w)
	h.collectDue(2*i+1, now, due)
	h.collectDue(2*i+2, now, due)
}

// Len implements heap.Interface.
func (h *dueHeap) Len() int { return len(h.entries) }

// Less implements heap.Interface.
func (h *dueHeap) Less(i, j int) bool { return h.entries[i].at < h.entries[j].at }

// Swap implements heap.Interface.
func (h *dueHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	*h.entries[i].place, *h.entries[j].place = i+1, j+1
}

// Push implements heap.Interface.
func (h *dueHeap) Push(entry any) {
	e := entry.(dueEntry) //nolint:forcetypeassert // update pushes nothing else
	h.entries = append(h.entries, e)
	*e.place = len(h.entries)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = dueEntry{}
	h.entries = h.entries[:last]
	*e.place = 0
	return e
}
