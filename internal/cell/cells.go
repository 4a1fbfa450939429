package cell

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/cpuinterference"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/store"
)

// SetCell sets the number of the cell and how many cells exist. Cell 0 also runs the jobs whose records name a cell that
// does not exist.
func (c *Cell) SetCell(number, count int) { c.number, c.cellCount = number, count }

// SetActive sets whether the cell is active, see cellmap.PlannedCell.
func (c *Cell) SetActive(active bool) { c.inactive = !active }

// foreignJob is a job that belongs to another cell.
type foreignJob struct {
	cell      int
	cancelled bool
	// record is nil unless the job is long-running, so that its tasks may come to this cell.
	record *jobrecord.Job
}

// isForeign reports whether a job belongs to another cell, and remembers that. The first record of a job settles its cell.
func (c *Cell) isForeign(id jobs.ID, r store.Record) bool {
	if c.foreign[id] != nil {
		return true
	}
	if c.jobs[id] != nil {
		return false
	}
	named := jobrecord.JobCell(r.Key)
	if named >= c.cellCount {
		c.metrics.UnknownCells.Inc()
		c.log.Warn("job names a cell that does not exist", zap.String("job", string(id)), zap.Int("cell", named))
		named = 0
	}
	if named == c.number {
		return false
	}
	f := &foreignJob{cell: named, cancelled: c.earlyCancels[id]}
	if record, err := decodeJob(r.Value); err != nil {
		c.skipUnreadable(r, err)
	} else if record.Spec.LongRunning() {
		f.record = record
	}
	c.foreign[id] = f
	delete(c.earlyCancels, id)
	return true
}

// CellOf returns the cell of a job that belongs to another cell; known is false for any other job.
func (c *Cell) CellOf(id jobs.ID) (cell int, known bool) {
	if f := c.foreign[id]; f != nil {
		return f.cell, true
	}
	return 0, false
}

// Load is the load of a cell: processor capacities in thousandths of a core, and the labels of its workers. Where a larger
// share of the memory than of the processors is in use, that share of the processors counts as used.
type Load struct {
	Capacity, Used, Waiting int64
	Labels                  []string
	Overloaded              bool
	// BestEffort is the room for best-effort tasks, which request no free processor and do not count in the other fields: the
	// capacity that other tasks are expected to leave unused.
	BestEffort cellmap.Room
}

// CurrentLoad returns the load of the cell.
func (c *Cell) CurrentLoad() Load {
	load := Load{Overloaded: c.load.Overloaded(c.now)}
	labels := make(map[string]bool)
	memory, usedMemory := 0, 0
	for _, w := range c.sortedWorkers() {
		if c.evacuated(w) {
			continue
		}
		load.Used += int64(w.reserved.MilliCPU)
		usedMemory += w.reserved.MemoryMB
		if !c.acceptsTasks(w) {
			continue
		}
		load.Capacity += int64(w.info.Capacity.MilliCPU)
		memory += w.info.Capacity.MemoryMB
		used := w.bestEffortCPU()
		load.BestEffort.UsedMilliCPU += int64(used)
		load.BestEffort.CapacityMilliCPU += int64(max(0, w.spareCPU()+used))
		for _, label := range w.info.Labels {
			if !labels[label] && label != w.info.Rack {
				labels[label] = true
				load.Labels = append(load.Labels, label)
			}
		}
	}
	load.Used = max(load.Used, int64(float64(load.Capacity)*float64(usedMemory)/float64(max(1, memory))))
	for _, g := range c.waiting {
		if !g.mayStart() {
			continue
		}
		load.Waiting += int64(g.toStart) * int64(g.step.Requested().MilliCPU)
		if g.step.BestEffort {
			load.BestEffort.WaitingMilliCPU += int64(g.toStart) * int64(expectedStepCPU(g.step))
		}
	}
	return load
}

// Evidence returns what the owner has learned about interference from the workers of the cell.
func (c *Cell) Evidence() cpuinterference.Evidence { return c.interference.Evidence() }

// AddEvidence adds what the owner of another cell has learned about interference. Images behave alike in all cells, and one
// cell alone sees too little of them.
func (c *Cell) AddEvidence(cell int, evidence cpuinterference.Evidence) {
	c.interference.Add(cell, evidence)
}

const (
	// shortageAfter is how long a task must have waited for resources before the cell borrows workers for it.
	shortageAfter = 300 * time.Millisecond
	// bestEffortShortageAfter is the same for a best-effort task, which mostly finds processor time beside other tasks by then.
	bestEffortShortageAfter = 1500 * time.Millisecond
)

// Shortage is what the workers of the cell cannot provide.
type Shortage struct {
	// MilliCPU is the processor capacity, in thousandths of a core, that tasks have waited for longer than shortageAfter or, of
	// best-effort tasks, bestEffortShortageAfter.
	MilliCPU int64
	// Label is the label that these tasks require and no worker of the cell has, or empty.
	Label string
}

// Shortages returns what tasks of the cell wait for: for each label that no worker of the cell has, sorted, and for all other tasks
// together, which come last.
func (c *Cell) Shortages() []Shortage {
	byLabel := make(map[string]int64)
	for _, g := range c.waiting {
		if !g.mayStart() || g.waitReason != waitRoom || c.inactive && g.step.LongRunning && !g.step.Gang {
			continue // the last go to another cell, see TakeStrandedTasks
		}
		patience := shortageAfter
		if g.step.BestEffort {
			patience = bestEffortShortageAfter
		}
		t := g.firstToStart(c.now)
		if t == nil || c.now-max(t.waitingSince, g.readyAt) < patience {
			continue
		}
		missing := g.step.RequiredLabel
		if missing != "" && c.hasLabel(missing) {
			missing = ""
		}
		byLabel[missing] += int64(g.toStart) * int64(max(1, g.step.Request.MilliCPU)) // one worker, if they need memory only
	}
	var shortages []Shortage
	for _, label := range slices.Sorted(maps.Keys(byLabel)) {
		if label != "" {
			shortages = append(shortages, Shortage{MilliCPU: byLabel[label], Label: label})
		}
	}
	if others := byLabel[""]; others > 0 {
		shortages = append(shortages, Shortage{MilliCPU: others})
	}
	return shortages
}

// NeedsWorkers reports whether tasks wait that workers of the cell could run, so that it keeps those that it has borrowed. Best-effort
// tasks count if they require a label: others find processor time beside other tasks, and are a shortage if they do not.
func (c *Cell) NeedsWorkers() bool {
	return slices.ContainsFunc(c.waiting, func(g *group) bool {
		label := g.step.RequiredLabel
		return g.mayStart() && (label == "" && g.step.Requested().MilliCPU > 0 || label != "" && c.hasLabel(label))
	})
}

// hasLabel reports whether a worker of the cell outside the evacuated failure domains has a label.
func (c *Cell) hasLabel(label string) bool {
	for _, w := range c.workers {
		if w.listed && !c.evacuated(w) && hasLabel(w, label) {
			return true
		}
	}
	return false
}
