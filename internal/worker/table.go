package worker

import (
	"sort"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
)

// rackKind names the attempts of one kind in one rack.
type rackKind struct {
	rack string
	kind string
}

// Table holds workers by ID.
type Table struct {
	rows  map[string]*Worker
	order []*Worker
	racks map[rackKind]int
	// generation grows whenever a worker gets more room.
	generation uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]*Worker), racks: make(map[rackKind]int)}
}

// Get returns the worker with the ID, or nil.
func (t *Table) Get(id string) *Worker { return t.rows[id] }

// Len returns the number of workers.
func (t *Table) Len() int { return len(t.rows) }

// Generation grows whenever a worker gets more room or becomes eligible.
func (t *Table) Generation() uint64 { return t.generation }

// InRack returns how many attempts of a kind hold a reservation in a rack.
func (t *Table) InRack(rack, kind string) int { return t.racks[rackKind{rack, kind}] }

// Put adds a worker or replaces the row with its ID.
func (t *Table) Put(w *Worker) {
	t.Remove(w.ID)
	w.reserved = make(map[platform.RunID]units.Resources)
	w.kinds = nil
	w.committed = units.Resources{}
	t.rows[w.ID] = w
	t.order = nil
	t.Grew(w)
}

// Remove drops the worker with the ID and its reservations.
func (t *Table) Remove(id string) {
	w := t.rows[id]
	if w == nil {
		return
	}
	for _, use := range w.kinds {
		t.addToRack(w.Rack, use.Kind, -use.Count)
	}
	delete(t.rows, id)
	t.order = nil
}

// SetRack moves a worker to a rack.
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

// SetEligible says whether the worker may get new tasks.
func (t *Table) SetEligible(w *Worker, eligible bool) {
	if eligible && !w.Eligible {
		t.Grew(w)
	}
	w.Eligible = eligible
}

// SetCapacity takes the capacity that a worker reports.
func (t *Table) SetCapacity(w *Worker, capacity units.Resources) {
	if w.Capacity != capacity {
		w.Capacity = capacity
		t.Grew(w)
	}
}

// Grew notes that a worker can take more than before.
func (t *Table) Grew(w *Worker) {
	t.generation++
	w.grownAt = t.generation
}

// Reserve sets the reservation of an attempt on a worker.
func (t *Table) Reserve(w *Worker, id platform.RunID, size units.Resources) {
	if _, known := w.reserved[id]; !known {
		t.addToRack(w.Rack, task.KindOf(id.Task), 1)
	}
	if w.reserve(id, size) {
		t.Grew(w)
	}
}

// Release drops the reservation of an attempt on a worker.
func (t *Table) Release(w *Worker, id platform.RunID) {
	if !w.release(id) {
		return
	}
	t.addToRack(w.Rack, task.KindOf(id.Task), -1)
	t.Grew(w)
}

func (t *Table) addToRack(rack, kind string, count int) {
	key := rackKind{rack, kind}
	if t.racks[key] += count; t.racks[key] == 0 {
		delete(t.racks, key)
	}
}

// All returns the workers in the order of their IDs. The slice must not be changed.
func (t *Table) All() []*Worker {
	if t.order == nil {
		t.order = make([]*Worker, 0, len(t.rows))
		for _, w := range t.rows {
			t.order = append(t.order, w)
		}
		sort.Slice(t.order, func(a, b int) bool { return t.order[a].ID < t.order[b].ID })
	}
	return t.order
}
