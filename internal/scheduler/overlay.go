package scheduler

import (
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// place names the attempts of one kind in one place, a worker or a rack.
type place struct {
	name string
	kind string
}

// overlay holds what the plan so far takes, on top of the tables.
type overlay struct {
	taken   map[*worker.Worker]units.Resources
	counts  map[*worker.Worker]int
	onPlace map[place]int
	teams   map[string]units.Resources
	victims map[string]bool
}

func newOverlay() overlay {
	return overlay{
		taken:   make(map[*worker.Worker]units.Resources),
		counts:  make(map[*worker.Worker]int),
		onPlace: make(map[place]int),
		teams:   make(map[string]units.Resources),
		victims: make(map[string]bool),
	}
}

// room returns what the plan so far leaves of a worker.
func (o *overlay) room(w *worker.Worker) units.Resources {
	room := w.Room()
	if taken, any := o.taken[w]; any {
		room = room.Sub(taken)
	}
	return room
}

// take notes that a task goes to a worker.
func (o *overlay) take(w *worker.Worker, t *task.Task, size units.Resources) {
	o.taken[w] = o.taken[w].Add(size)
	o.counts[w]++
	o.onPlace[place{w.ID, t.Kind()}]++
	o.onPlace[place{w.Rack, t.Kind()}]++
	if !t.IsService() {
		o.teams[t.Team] = o.teams[t.Team].Add(t.Size)
	}
}

// instancesOn returns how many tasks of a kind are on a worker.
func (o *overlay) instancesOn(w *worker.Worker, kind string) int {
	return w.Count(kind) + o.onPlace[place{w.ID, kind}]
}

// instancesIn returns how many tasks of a kind are in a rack.
func (o *overlay) instancesIn(workers *worker.Table, rack, kind string) int {
	return workers.InRack(rack, kind) + o.onPlace[place{rack, kind}]
}
