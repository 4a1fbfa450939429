// Package worker holds the table of workers of one failure domain.
package worker

import (
	"sort"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/units"
)

// Worker is one row of the table.
type Worker struct {
	ID      string
	Rack    string
	Address string
	Shard   uint32
	// Leaving workers get no new task.
	Leaving bool
	// AbsentSince is when the platform's list first failed to show the worker, zero while it is listed.
	AbsentSince time.Time
	Capacity    units.Resources
	// Token is the fencing token under which this node has adopted the worker, or 0.
	Token platform.Offset
	// Adopting is set while the adoption is under way.
	Adopting bool
	// Reserved gives the reservation of every attempt that is placing, starting, running or stopping on
	// the worker.
	Reserved map[platform.RunID]units.Resources
	// ReportedAt is when the worker last answered, zero for never.
	ReportedAt time.Time
	// CallAfter delays the next call to a worker that does not answer.
	CallAfter time.Time
	// Calling is set while a renewal is under way.
	Calling bool
}

// Committed returns the sum of the reservations.
func (w *Worker) Committed() units.Resources {
	var sum units.Resources
	for _, r := range w.Reserved {
		sum = sum.Add(r)
	}
	return sum
}

// Room returns what is left of the capacity.
func (w *Worker) Room() units.Resources { return w.Capacity.Sub(w.Committed()) }

// Table holds workers by ID.
type Table struct {
	rows map[string]*Worker
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: make(map[string]*Worker)} }

// Get returns the worker with the ID, or nil.
func (t *Table) Get(id string) *Worker { return t.rows[id] }

// Put adds a worker or replaces the row with its ID.
func (t *Table) Put(w *Worker) {
	if w.Reserved == nil {
		w.Reserved = make(map[platform.RunID]units.Resources)
	}
	t.rows[w.ID] = w
}

// Remove drops the worker with the ID.
func (t *Table) Remove(id string) { delete(t.rows, id) }

// All returns the workers in the order of their IDs.
func (t *Table) All() []*Worker {
	workers := make([]*Worker, 0, len(t.rows))
	for _, w := range t.rows {
		workers = append(workers, w)
	}
	sort.Slice(workers, func(a, b int) bool { return workers[a].ID < workers[b].ID })
	return workers
}
