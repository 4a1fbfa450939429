package cell

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/jobs"
)

// maxLentPercent is the share of its workers that a cell lends at one request.
const maxLentPercent = 10

// Rack is a rack with workers of the cell.
type Rack struct {
	cellmap.Rack
	// Workers are the IDs of its registered workers.
	Workers []string
	// Idle is set if all of them may be handed over, and no run is left on another worker that is or may be of the rack.
	Idle bool
}

// idle reports whether the worker can be handed over to another cell: nothing runs or may still start there, and the store
// says so. A worker that has not reported to this owner may run what a former one started.
func (c *Cell) idle(w *worker) bool {
	return w.listed && w.reconciled && !w.dead && w.failingSince == 0 && len(w.runs) == 0 && len(w.unknownRuns) == 0 &&
		!w.hasUnstoredEnds() && c.storedRound >= w.settledRound
}

// Idle reports whether all of the workers can be handed over to another cell.
func (c *Cell) Idle(workers []string) bool {
	for _, id := range workers {
		if w := c.workers[id]; w == nil || !c.idle(w) {
			return false
		}
	}
	return true
}

// Racks returns the racks of the cell's registered workers for which keep returns true, sorted by failure domain and
// label.
func (c *Cell) Racks(keep func(worker string) bool) []Rack {
	byKey := make(map[string]int)
	var racks []Rack
	for _, w := range c.sortedWorkers() {
		if !w.listed || !keep(w.info.ID) {
			continue
		}
		key := cellmap.RackKey(w.info.FailureDomain, w.info.Rack)
		i, known := byKey[key]
		if !known {
			i = len(racks)
			byKey[key] = i
			racks = append(racks, Rack{Rack: cellmap.Rack{FailureDomain: w.info.FailureDomain, Label: w.info.Rack}, Idle: true})
		}
		rack := &racks[i]
		rack.Workers = append(rack.Workers, w.info.ID)
		rack.Idle = rack.Idle && c.idle(w)
		rack.Busy = rack.Busy || w.hasLongRunning()
		rack.Runs += len(w.runs)
	}
	for _, w := range c.workers {
		if w.listed || len(w.runs) == 0 {
			continue
		}
		// It may be registered again, in the cell that its rack belongs to then, while the lease on its runs lasts.
		key, rackKnown := cellmap.RackKey(w.info.FailureDomain, w.info.Rack), w.info.Address != ""
		for i := range racks {
			racks[i].Idle = racks[i].Idle && rackKnown && cellmap.RackKey(racks[i].FailureDomain, racks[i].Label) != key
		}
	}
	slices.SortFunc(racks, func(a, b Rack) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Label, b.Label))
	})
	return racks
}

// hasLongRunning reports whether a long-running task is on the worker.
func (w *worker) hasLongRunning() bool {
	tasks, _ := w.longRunning(0)
	return tasks > 0
}

// SetCordoned stops or permits the placement of tasks on workers. What runs there goes on.
func (c *Cell) SetCordoned(workers []string, cordoned bool) {
	for _, id := range workers {
		if w := c.workers[id]; w != nil && w.cordoned != cordoned {
			w.cordoned, w.vacating = cordoned, w.vacating && cordoned
			c.needsPlacement = c.needsPlacement || !cordoned
		}
	}
}

// Detach removes idle workers from the cell, so that it sends them no more orders. The owner does so before it stores that
// they belong to another cell, whose owner they obey from then on.
func (c *Cell) Detach(workers []string) {
	for _, id := range workers {
		if w := c.workers[id]; w != nil {
			c.log.Debug("worker detached", zap.String("worker", id))
			c.removeWorker(w)
		}
	}
}

// Lend chooses and cordons workers for another cell, with at least the given processor capacity in thousandths of a core
// but at most maxLentPercent of all, and returns their IDs. Each has the label, unless that is empty. Workers with few
// runs come first, since they are idle sooner; those with long-running tasks are not lent.
func (c *Cell) Lend(milliCPU int64, label string) []string {
	var candidates []*worker
	for _, w := range c.sortedWorkers() {
		if c.acceptsTasks(w) && !w.hasLongRunning() && (label == "" || hasLabel(w, label)) {
			candidates = append(candidates, w)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int { return cmp.Compare(len(a.runs), len(b.runs)) })
	most := max(1, len(c.workers)*maxLentPercent/100)
	var lent []string
	for _, w := range candidates {
		if milliCPU <= 0 || len(lent) >= most {
			break
		}
		w.cordoned = true
		milliCPU -= int64(w.info.Capacity.MilliCPU)
		lent = append(lent, w.info.ID)
	}
	return lent
}

// Vacate chooses and cordons a worker for another cell although long-running tasks are on it, and returns its ID, or an empty string
// if there is none. These tasks move to other workers of the cell, as from a draining one, so that there must be room for them. The
// worker has the label, unless that is empty. The one with fewest such tasks is taken.
func (c *Cell) Vacate(label string) string {
	var best *worker
	var free jobs.Resources
	fewest := 0
	for _, w := range c.sortedWorkers() {
		if !c.acceptsTasks(w) {
			continue
		}
		free = free.Add(w.info.Capacity.Sub(w.reserved))
		if tasks, movable := w.longRunning(c.now); movable && (label == "" || hasLabel(w, label)) && (best == nil || tasks < fewest) {
			best, fewest = w, tasks
		}
	}
	if best == nil {
		return ""
	}
	toMove := best.info.Capacity.Sub(best.emptied())
	if others := free.Sub(best.info.Capacity.Sub(best.reserved)); others.MilliCPU <= 0 || !others.Contains(toMove) {
		return ""
	}
	best.cordoned, best.vacating = true, true
	return best.info.ID
}

// longRunning returns the number of long-running tasks on the worker, and whether each may be stopped and moved by itself now.
func (w *worker) longRunning(now time.Duration) (tasks int, movable bool) {
	movable = true
	for _, r := range w.runs {
		if step := r.task.group.step; step.LongRunning {
			tasks++
			movable = movable && !step.Gang && !step.HasMaxUnavailable && r.task.movesCountUntil <= now
		}
	}
	return tasks, movable
}
