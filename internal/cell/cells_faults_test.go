package cell

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/jobs"
)

const (
	faultCells   = 3
	faultWorkers = 6
	// slotsPerWorker is the number of tasks of testSpec that fit on a worker.
	slotsPerWorker = 8
)

// TestCellsUnderFaults lets three owners run jobs of all kinds, some of them submitted again through another cell, while workers
// change their cells, cells become inactive and active, services end by themselves, and owners are killed, cut off, suspended or lose
// an answer at each step of that. The workers say what ran. Once the faults have ended, everything that was accepted runs or ends
// within 34 s, and a service that needs all room that is left, also on a worker that has failed all probes, within 24 s.
func TestCellsUnderFaults(t *testing.T) {
	t.Parallel()
	checkCellsUnderFaults(t, 0)
}

// TestEvacuationOfCellsUnderFaults is TestCellsUnderFaults with requests of evacuations.
func TestEvacuationOfCellsUnderFaults(t *testing.T) {
	t.Parallel()
	checkCellsUnderFaults(t, 5*time.Second)
}

// cellFaults draws what happens to a simulation.
type cellFaults struct {
	*simulation
	r         *rapid.T
	submitted int
}

func checkCellsUnderFaults(t *testing.T, evacuationBound time.Duration) {
	rapid.Check(t, func(r *rapid.T) {
		f := &cellFaults{simulation: newCellsSimulation(rapid.Uint64().Draw(r, "seed"), faultCells, faultWorkers), r: r}
		f.setEvacuationBound(evacuationBound)
		f.setRacks()
		f.failRate, f.lossRate, f.delayRate, f.serviceEndRate = 0.03, 0.02, 0.02, 0.002
		for range f.draw("actions", 10, 40) {
			f.act()
			if evacuationBound > 0 && f.draw("request", 0, 3) == 0 {
				f.requestEvacuation(simDomain(f.draw("domain", 0, simDomains-1)), rapid.Bool().Draw(r, "active"))
			}
			f.run(time.Duration(f.draw("pause", 0, 800)) * time.Millisecond)
			for _, home := range f.cells {
				if home.owner.ended || home.owner.suspended {
					f.reclaim(home)
				}
				f.manage(home)
			}
		}
		f.endFaults()
		f.settle(30 * time.Second)
		f.fill()
		f.runAndManage(2 * time.Second)
		f.run(2 * time.Second) // what is being handed over arrives
		f.check(r)
	})
}

func (f *cellFaults) draw(label string, from, to int) int {
	return rapid.IntRange(from, to).Draw(f.r, label)
}

// drawJob returns the ID of a job that was submitted.
func (f *cellFaults) drawJob(label string) jobs.ID {
	return jobs.ID(fmt.Sprintf("j%02d", f.draw(label, 0, max(0, f.submitted-1))))
}

// act has something happen to a cell or a worker.
func (f *cellFaults) act() {
	home := f.cells[f.draw("cell", 0, faultCells-1)]
	switch action := f.draw("action", 0, 13); action {
	case 0, 1, 2:
		f.submitKind(home)
	case 3: // the same request reaches a node of another failure domain
		if id := f.drawJob("repeated job"); f.submitted > 0 {
			f.submitTo(home.number, id, f.specs[id])
		}
	case 4:
		if f.submitted > 0 {
			f.cancel(f.drawJob("cancelled job"))
		}
	case 5:
		f.restartWorker(fmt.Sprintf("w%d", f.draw("worker", 0, faultWorkers-1)))
	case 6, 7:
		f.cutOwner(home, action == 6)
	case 8:
		f.replaceOwnerOf(home, f.draw("fault", 0, 2))
	case 9:
		f.handOverTasks(home, f.draw("receiver", 0, faultCells-1), handOverStep(f.draw("step", 0, int(handOverSteps)-1)))
	case 10:
		f.setActiveCells()
	case 11:
		f.emptyCell(home)
	default:
		step := handOverStep(f.draw("step", 0, int(handOverSteps)-1))
		for _, w := range home.owner.cell.sortedWorkers() {
			if f.handOver(home, w.info.ID, f.draw("to", 0, faultCells-1), step) {
				break
			}
		}
	}
}

// submitKind submits a job of some kind to a cell.
func (f *cellFaults) submitKind(home *simCell) {
	spec := testSpec(f.draw("first step", 1, 4), f.draw("second step", 1, 3))
	last := &spec.Steps[1]
	switch f.draw("kind", 0, 7) {
	case 0, 1:
		last.LongRunning = true
	case 2:
		last.LongRunning, last.BestEffort, last.Image = true, true, "press"
	case 3:
		last.Gang = true
	case 4, 5:
		for i := range spec.Steps {
			spec.Steps[i].BestEffort, spec.Steps[i].Image = true, "press"
		}
	}
	f.submitTo(home.number, jobs.ID(fmt.Sprintf("j%02d", f.submitted)), spec)
	f.submitted++
}

// cutOwner cuts the owner of a cell off from one worker or, until about the time at which it gives up what ran there, from all.
func (f *cellFaults) cutOwner(home *simCell, one bool) {
	o, ids := home.owner, slices.Sorted(maps.Keys(f.workers))
	cut := maxLease + time.Duration(f.draw("cut", 300, 2500))*time.Millisecond
	if one {
		ids = []string{fmt.Sprintf("w%d", f.draw("worker", 0, faultWorkers-1))}
		cut = time.Duration(f.draw("cut", 0, 9000)) * time.Millisecond
	}
	for _, id := range ids {
		s := f.workers[id]
		s.unreachableBy[o] = true
		f.schedule(cut, func() { delete(s.unreachableBy, o) })
	}
	if !one {
		f.run(cut)
	}
}

// setActiveCells draws which cells are active. Each owner reads that after a random time.
func (f *cellFaults) setActiveCells() {
	plan := cellmap.Plan{Cells: slices.Clone(f.table.Plan().Cells)}
	for i := range plan.Cells {
		plan.Cells[i] = cellmap.PlannedCell{FailureDomain: "d", Active: i == 0 || rapid.Bool().Draw(f.r, "active")}
	}
	f.storeInTable(cellmap.PlanKey, &plan)
	f.spreadTable()
}

// emptyCell hands all idle workers of a cell over to another.
func (f *cellFaults) emptyCell(home *simCell) {
	to := (home.number + f.draw("receiver", 1, faultCells-1)) % faultCells
	for _, w := range slices.Clone(home.owner.cell.sortedWorkers()) {
		f.handOver(home, w.info.ID, to, handOverCompletes)
	}
}

// endFaults ends all faults, after which each cell has an owner again. Cells without workers may have jobs then.
func (f *cellFaults) endFaults() {
	f.failRate, f.lossRate, f.delayRate, f.serviceEndRate = 0, 0, 0, 0
	f.withdrawEvacuations()
	f.run(2 * time.Second)
	for _, home := range f.cells {
		if home.owner.ended || home.owner.suspended || f.now >= home.owner.decidesUntil {
			f.load(f.claimCell(home))
		}
		home.owner.table = f.table
	}
	for _, w := range f.workers {
		clear(w.unreachableBy)
	}
	if rapid.Bool().Draw(f.r, "late job") {
		home := f.cells[f.draw("cell", 0, faultCells-1)]
		f.emptyCell(home)
		f.run(100 * time.Millisecond)
		f.submitKind(home)
	}
}

// fill submits a service that needs all the room that is left in the active cells, also on a worker that has failed all probes.
func (f *cellFaults) fill() {
	if !rapid.Bool().Draw(f.r, "fill") {
		return
	}
	active := f.table.Plan().Active()
	home := f.cells[active[f.draw("cell", 0, len(active)-1)]]
	slots := 0
	for _, w := range f.sortedWorkers() {
		if cell, _ := f.table.CellOf(&w.info); slices.Contains(active, cell) {
			slots += slotsPerWorker - w.ordinaryRuns()
		}
	}
	if workers := home.owner.cell.sortedWorkers(); len(workers) > 0 {
		f.distrust(home, workers[f.draw("worker", 0, len(workers)-1)])
	}
	if slots == 0 {
		return
	}
	spec := testSpec(1, slots)
	spec.Steps[1].LongRunning = true
	f.submitTo(home.number, "fill", spec)
	f.settle(20 * time.Second)
}

// problemCount counts what a check finds.
type problemCount int

func (n *problemCount) Errorf(string, ...any) { *n++ }

// check checks what holds once the faults have ended.
func (f *cellFaults) check(t interface{ Errorf(string, ...any) }) {
	f.checkCells(t)
	f.checkLongRunning(t)
	f.checkInactive(t)
}

// checkInactive checks that no worker is idle in a cell that is not active.
func (f *cellFaults) checkInactive(t interface{ Errorf(string, ...any) }) {
	for _, home := range f.cells {
		for _, w := range home.owner.cell.sortedWorkers() {
			if !f.table.Plan().Cells[home.number].Active && home.owner.cell.idle(w) {
				t.Errorf("%s is idle in cell %d, which is not active", w.info.ID, home.number)
			}
		}
	}
}

// settle advances the simulation until nothing that was accepted waits any more, by at most d.
func (f *cellFaults) settle(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.runAndManage(time.Second)
		problems := problemCount(0)
		f.check(&problems)
		if problems == 0 {
			return
		}
	}
}

// ordinaryRuns returns the number of runs on the worker that request its processors.
func (s *simWorker) ordinaryRuns() (runs int) {
	for _, r := range s.running {
		if !r.step.BestEffort {
			runs++
		}
	}
	return runs
}

// distrust has the owner of a cell know a worker as one that has failed all probes, the last one just now.
func (f *cellFaults) distrust(home *simCell, w *worker) {
	c := home.owner.cell
	at := c.wall.Add(-probeBackoff.Max)
	for i := range 3 {
		c.health.RecordFailure(w.info.ID, fmt.Sprint("t", i), fmt.Sprint("kind", i), at)
	}
	for backoff := probeBackoff.First; backoff < probeBackoff.Max; backoff *= 2 {
		at = at.Add(backoff)
		c.health.RecordFailure(w.info.ID, "t", "kind", at)
	}
	w.lastFailure = c.now
}
