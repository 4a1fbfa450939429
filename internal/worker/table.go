package worker

import (
	"sort"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
)

// rackKind identifies the attempts of one kind in one rack.
type rackKind struct {
	rack string
	kind string
}

// Table holds the workers of one failure domain by ID, and counts the attempts in each rack by kind.
type Table struct {
	rows map[string]*Worker
	// sortedWorkers caches the workers in the order of their IDs, or is nil.
	sortedWorkers []*Worker
	// rackCounts holds the number of attempts with a reservation.
	rackCounts map[rackKind]int
	generation uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]*Worker), rackCounts: make(map[rackKind]int)}
}

// Get returns the worker with the ID, or nil.
func (t *Table) Get(id string) *Worker { return t.rows[id] }

// Len returns the number of workers.
func (t *Table) Len() int { return len(t.rows) }

// Generation returns a counter that increases whenever a worker is added, becomes eligible, changes its
// capacity or gets free resources back.
func (t *Table) Generation() uint64 { return t.generation }

// CountInRack returns how many attempts of a kind hold a reservation in a rack.
func (t *Table) CountInRack(rack, kind string) int { return t.rackCounts[rackKind{rack, kind}] }

// Put adds a worker without reservations, replacing any worker with the same ID.
func (t *Table) Put(w *Worker) {
	t.Remove(w.ID)
	w.reserved = make(map[platform.RunID]units.Resources)
	w.kinds = nil
	w.committed = units.Resources{}
	t.rows[w.ID] = w
	t.sortedWorkers = nil
	t.markFreed(w)
}

// Remove deletes the worker with the ID and its reservations, if there is one.
func (t *Table) Remove(id string) {
	w := t.rows[id]
	if w == nil {
		return
	}
	for _, use := range w.kinds {
		t.addToRack(w.Rack, use.Kind, -use.Count)
	}
	delete(t.rows, id)
	t.sortedWorkers = nil
}

// SetRack sets the rack of a worker.
func (t *Table) SetRack(w *Worker, rack string) {
	if w.Rack == rack {
		return
	}
	for _, use := range w.kinds {
		t.addToRack(w.Rack, use.Kind, -use.Count)
		t.addToRack(rack, use.Kind, use.Count)
	}
	w.Rack = rack
}

// SetEligible sets whether the worker may get new tasks.
func (t *Table) SetEligible(w *Worker, eligible bool) {
	if eligible && !w.Eligible {
		t.markFreed(w)
	}
	w.Eligible = eligible
}

// SetCapacity sets the capacity that a worker reports.
func (t *Table) SetCapacity(w *Worker, capacity units.Resources) {
	if w.Capacity != capacity {
		w.Capacity = capacity
		t.markFreed(w)
	}
}

// markFreed records that a worker may be able to take more tasks than before.
func (t *Table) markFreed(w *Worker) {
	t.generation++
	w.freedGeneration = t.generation
}

// Reserve sets the reservation of an attempt on a worker.
func (t *Table) Reserve(w *Worker, id platform.RunID, size units.Resources) {
	if _, exists := w.reserved[id]; !exists {
		t.addToRack(w.Rack, task.KindOf(id.Task), 1)
	}
	if w.reserve(id, size) {
		t.markFreed(w)
	}
}

// Release removes the reservation of an attempt on a worker.
func (t *Table) Release(w *Worker, id platform.RunID) {
	if !w.release(id) {
		return
	}
	t.addToRack(w.Rack, task.KindOf(id.Task), -1)
	t.markFreed(w)
}

// addToRack adds count, which may be negative, to the number of attempts of a kind in a rack.
func (t *Table) addToRack(rack, kind string, count int) {
	key := rackKind{rack, kind}
	if t.rackCounts[key] += count; t.rackCounts[key] == 0 {
		delete(t.rackCounts, key)
	}
}

// All returns the workers sorted by ID. The caller must not modify the slice.
func (t *Table) All() []*Worker {
	if t.sortedWorkers == nil {
		t.sortedWorkers = make([]*Worker, 0, len(t.rows))
		for _, w := range t.rows {
			t.sortedWorkers = append(t.sortedWorkers, w)
		}
		sort.Slice(t.sortedWorkers, func(a, b int) bool { return t.sortedWorkers[a].ID < t.sortedWorkers[b].ID })
	}
	return t.sortedWorkers
}
