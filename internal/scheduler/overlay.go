package scheduler

import (
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// locationKind identifies the tasks of one kind at one location: a worker ID or a rack.
type locationKind struct {
	location string
	kind     string
}

// overlay holds the changes that the plan has made so far, relative to the task and worker tables.
type overlay struct {
	// reserved and placed are the resources and the number of tasks that the plan assigns to each worker by
	// placements, by transfers, and by evictions that make room there.
	reserved map[*worker.Worker]units.Resources
	placed   map[*worker.Worker]int
	// kindCounts is the number of tasks that the plan assigns to each worker and rack, by kind.
	kindCounts map[locationKind]int
	// teamUsage is the sum of the declared sizes of the batch tasks that the plan assigns to workers, by team.
	teamUsage map[string]units.Resources
	// victims holds the IDs of the tasks that the plan evicts.
	victims map[string]bool
}

func newOverlay() overlay {
	return overlay{
		reserved:   make(map[*worker.Worker]units.Resources),
		placed:     make(map[*worker.Worker]int),
		kindCounts: make(map[locationKind]int),
		teamUsage:  make(map[string]units.Resources),
		victims:    make(map[string]bool),
	}
}

// room returns the free resources of a worker after the tasks that the plan has assigned to it so far.
func (o *overlay) room(w *worker.Worker) units.Resources {
	room := w.Free()
	if reserved, any := o.reserved[w]; any {
		room = room.Sub(reserved)
	}
	return room
}

// assign records in the overlay that a task takes size on a worker. It is called for every placement, every
// transfer, and every task for which evictions are planned.
func (o *overlay) assign(w *worker.Worker, t *task.Task, size units.Resources) {
	o.reserved[w] = o.reserved[w].Add(size)
	o.placed[w]++
	o.kindCounts[locationKind{w.ID, t.Kind()}]++
	o.kindCounts[locationKind{w.Rack, t.Kind()}]++
	if !t.IsService() {
		o.teamUsage[t.Team] = o.teamUsage[t.Team].Add(t.Size)
	}
}

// countOnWorker returns the number of tasks of a kind on a worker, with those that the plan assigns to it.
func (o *overlay) countOnWorker(w *worker.Worker, kind string) int {
	return w.CountKind(kind) + o.kindCounts[locationKind{w.ID, kind}]
}

// countInRack returns the number of tasks of a kind in a rack, with those that the plan assigns to it.
func (o *overlay) countInRack(workers *worker.Table, rack, kind string) int {
	return workers.CountInRack(rack, kind) + o.kindCounts[locationKind{rack, kind}]
}
