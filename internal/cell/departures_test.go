package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/jobs"
)

// newTwoRackCells returns a simulation of two cells with an owner each, where the workers of each cell have a rack of their own.
func newTwoRackCells(seed uint64, workers int) *simulation {
	sim := newCellsSimulation(seed, 2, workers)
	sim.setRacks()
	sim.run(time.Second)
	return sim
}

// setRacks has the workers of each cell on a rack of its own, and all cells claimed anew.
func (sim *simulation) setRacks() {
	sim.racks = make(map[string]string)
	for _, w := range sim.sortedWorkers() {
		cell, _ := sim.table.CellOf(&w.info)
		sim.racks[w.info.ID] = fmt.Sprint("r", cell+1)
		sim.addWorker(w.info.ID)
		info := &sim.workers[w.info.ID].info
		sim.storeInTable(cellmap.RackKey(info.FailureDomain, info.Rack), &cellmap.Assignment{Cell: cell})
		sim.storeInTable(cellmap.WorkerKey(w.info.ID), &cellmap.Assignment{Cell: cellmap.HomeCell})
	}
	for _, home := range sim.cells {
		sim.load(sim.claimCell(home))
	}
}

// setActive stores a plan in which cell 0 is active and the others are or are not, which all owners read.
func (sim *simulation) setActive(active bool) {
	plan := cellmap.Plan{Cells: slices.Clone(sim.table.Plan().Cells)}
	for i := range plan.Cells {
		plan.Cells[i].FailureDomain, plan.Cells[i].Active = "d", active || i == 0
	}
	sim.storeInTable(cellmap.PlanKey, &plan)
	for _, home := range sim.cells {
		home.owner.table = sim.table
	}
}

// isLent reports whether the cell has promised a worker to another.
func (home *simCell) isLent(worker string) bool {
	_, lent := home.loans[worker]
	return lent
}

// depart hands over what a cell that is not active gives away, as package cellnode does, and returns the number of workers.
func (sim *simulation) depart(home *simCell) (workers int) {
	o := home.owner
	if o.ended || o.suspended || !sim.holdsClaim(o) || len(o.detached) > 0 || o.table.Plan().Cells[home.number].Active {
		return 0
	}
	departures, table := o.cell.Departures(o.table, home.isLent), o.table
	for _, d := range departures {
		o.cell.Detach(d.Workers)
		workers += len(d.Workers)
		for _, id := range d.Workers {
			o.detached[id] = true
		}
	}
	sim.schedule(sim.appendTime, func() {
		if o.token < home.epoch {
			o.ended = true
			return
		}
		for _, d := range departures {
			sim.storeInTable(d.Key, &cellmap.Assignment{Cell: d.Cell})
			for _, id := range d.Workers {
				delete(o.detached, id)
				if key := cellmap.WorkerKey(id); key != d.Key && table.Assigned(id) {
					sim.storeInTable(key, &cellmap.Assignment{Cell: cellmap.HomeCell})
				}
			}
		}
		o.table = sim.table
		sim.spreadTable()
	})
	return workers
}

// runAndDepart advances the simulation by d. Twice a second the cells that are not active hand workers over.
func (sim *simulation) runAndDepart(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.run(500 * time.Millisecond)
		for _, home := range sim.cells {
			sim.depart(home)
		}
	}
}

// workerCounts returns the numbers of workers that the cells' owners have.
func (sim *simulation) workerCounts() (counts []int) {
	for _, home := range sim.cells {
		counts = append(counts, len(home.owner.cell.workers))
	}
	return counts
}

// Guards against workers that nobody uses: racks of a cell that was not active any more kept all their workers for as long as one
// of them ran a service, so that the active cell had a third of the workers.
func TestInactiveCellHandsIdleWorkersOfBusyRackOver(t *testing.T) {
	sim := newTwoRackCells(1, 8)
	spec := testSpec(1)
	spec.Steps[0].LongRunning = true
	sim.submitTo(1, "service", spec)
	sim.run(2 * time.Second)
	expect := func(what string, want ...int) {
		t.Helper()
		if counts := sim.workerCounts(); !slices.Equal(counts, want) {
			t.Errorf("%s: the cells have %v workers, want %v", what, counts, want)
		}
	}
	expect("both are active", 4, 4)
	sim.setActive(false)
	sim.runAndDepart(6 * time.Second)
	expect("one is not active", 7, 1)
	for _, w := range sim.cells[0].owner.cell.sortedWorkers() {
		if to, leaves := sim.table.ReturnTo(&w.info, 0); leaves && sim.table.Borrowed(&w.info) {
			t.Errorf("%s would go back to cell %d", w.info.ID, to)
		}
	}
	sim.cancel("service")
	sim.runAndDepart(6 * time.Second)
	expect("its service has ended", 8, 0)
	if cell, _ := sim.table.CellOf(&sim.workers["w1"].info); cell != 0 || len(sim.cells[0].owner.cell.Borrowed(sim.table)) != 0 {
		t.Error("the rack did not follow")
	}
	if starts := sim.startCounts[jobs.TaskID{Job: "service"}]; starts != 1 || len(sim.violations) > 0 {
		t.Errorf("the service was started %d times; %v", starts, sim.violations)
	}
}

// Guards against jobs that nobody runs: a cell that was not active any more gave its last workers away while tasks of its jobs had
// not been started, and the others had none to lend.
func TestInactiveCellKeepsWhatItsJobsNeed(t *testing.T) {
	labelled, gang, limited := testSpec(1, 3), testSpec(1, 16), testSpec(1, 3)
	labelled.Steps[1].RequiredLabel = "r2"
	gang.Steps[1].Gang = true
	limited.Steps[1].MaxPerWorker = 1
	bestEffort := testSpec(1, 16)
	bestEffort.Steps[1].BestEffort, bestEffort.Steps[1].Image = true, "press"
	endless := testSpec(1, 1, 8)
	endless.Steps[1].LongRunning = true
	for _, c := range []struct {
		name string
		spec jobs.Spec
		kept int
	}{
		{"ordinary tasks of a later step, eight of which fit on a worker", testSpec(1, 16), 2},
		{"one small task", testSpec(1, 1), 1},
		{"a label", labelled, 1},
		{"a gang", gang, 2},
		{"tasks that must not share a worker", limited, 3},
		{"best-effort tasks", bestEffort, 2},
		{"a service may run elsewhere, and steps after it never start", endless, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newTwoRackCells(1, 8)
			sim.taskRunTime = 4 * time.Second
			sim.submitTo(1, "j", c.spec)
			sim.run(time.Second)
			sim.setActive(false)
			sim.runAndDepart(time.Second)
			idle := 0
			for _, w := range sim.cells[1].owner.cell.workers {
				if len(w.runs) == 0 {
					idle++
				}
			}
			if idle != c.kept {
				t.Errorf("the cell keeps %d idle workers, want %d", idle, c.kept)
			}
			sim.runAndDepart(25 * time.Second)
			if c.kept == 0 {
				return
			}
			if state, _ := sim.stateOf("j"); state != jobs.Completed {
				t.Errorf("the job is %v", state)
			}
			if counts := sim.workerCounts(); counts[1] != 0 {
				t.Errorf("the cell has %d workers left", counts[1])
			}
			sim.checkCells(t)
		})
	}
}

// Guards against services that start 2 s late: a new owner of a cell that was not active handed all workers over before its first round,
// so that the services that waited had to follow them to another cell.
func TestInactiveCellPlacesServicesBeforeItsWorkersLeave(t *testing.T) {
	sim := newTwoRackCells(1, 8)
	sim.setActive(false)
	spec := testSpec(1, 2)
	spec.Steps[0].LongRunning, spec.Steps[1].LongRunning, spec.Steps[1].DependsOn = true, true, nil
	sim.submitTo(1, "service", spec)
	owner := sim.claimCell(sim.cells[1])
	sim.load(owner)
	owner.decidesUntil = 0
	sim.run(100 * time.Millisecond) // workers report
	owner.decidesUntil = sim.now + time.Hour
	if left := sim.depart(sim.cells[1]); left != 3 {
		t.Errorf("%d workers leave before the first round, want 3", left)
	}
	for sim.now < owner.claimedAt+time.Second { // the leases of the former owner end
		sim.run(simTick)
		sim.depart(sim.cells[1])
	}
	if starts := len(sim.startCounts); starts != 3 {
		t.Errorf("%d tasks were started in the first second, want 3", starts)
	}
	sim.runAndDepart(2 * time.Second)
	if counts := sim.workerCounts(); !slices.Equal(counts, []int{7, 1}) {
		t.Errorf("the cells have %v workers, want [7 1]", counts)
	}
	sim.checkLongRunning(t)
}

// Guards against the hand-over of a worker with runs: one that is promised to another cell was left out when its rack was looked at.
func TestRackWithLentWorkerIsNotIdle(t *testing.T) {
	sim := newTwoRackCells(1, 4)
	c := sim.cells[1].owner.cell
	for _, lent := range []string{"", "w1"} {
		racks := c.OwnRacks(sim.table, func(id string) bool { return id == lent })
		if len(racks) != 1 || racks[0].Idle != (lent == "") {
			t.Errorf("%q is lent: the racks are %+v", lent, racks)
		}
	}
}

// Guards against LOST: a cell that is not active has no workers to spare, so that its interrupted services waited for a borrowed one
// or, after 1.5 s, for room in an active cell.
func TestServiceOfInactiveCellGoesToAnActiveOneAtOnce(t *testing.T) {
	sim := newTwoRackCells(1, 4)
	spec := testSpec(1, 1)
	spec.Steps[1].LongRunning = true
	sim.submitTo(1, "service", spec)
	sim.run(3 * time.Second)
	sim.setActive(false)
	sim.runAndDepart(3 * time.Second)
	task := sim.cells[1].owner.cell.jobs["service"].task(jobs.TaskID{Job: "service", Step: 1})
	for id := range sim.cells[1].owner.cell.workers {
		delete(sim.workers, id)
	}
	for len(task.runs) > 0 {
		sim.run(simTick)
	}
	sim.run(time.Second)
	if shortages := sim.cells[1].owner.cell.Shortages(); len(shortages) > 0 {
		t.Errorf("the cell borrows workers: %+v", shortages)
	}
	if tasks := sim.handOverTasks(sim.cells[1], 0, handOverCompletes); tasks != 1 {
		t.Errorf("%d tasks leave the cell, want 1", tasks)
	}
	sim.run(2 * time.Second)
	sim.checkLongRunning(t)
}

// newCellsWithServices returns a simulation of two cells, of which the first has all workers and a task of a service on each. change
// changes the step of the service.
func newCellsWithServices(t *testing.T, active bool, change func(*jobs.Step)) *simulation {
	t.Helper()
	sim := newTwoRackCells(1, 4)
	for _, id := range []string{"w1", "w3"} {
		sim.handOver(sim.cells[1], id, 0, handOverCompletes)
	}
	sim.setActive(active)
	sim.run(2 * time.Second)
	services := testSpec(1, 4)
	services.Steps[1].LongRunning, services.Steps[1].BestEffort, services.Steps[1].Image = true, true, "press"
	change(&services.Steps[1])
	sim.submitTo(0, "one on each worker", services)
	sim.run(3 * time.Second)
	for _, w := range sim.sortedWorkers() {
		if len(w.running) != 1 {
			t.Fatalf("%d tasks run on %s, want 1", len(w.running), w.info.ID)
		}
	}
	return sim
}

// Guards against jobs that nobody runs: where a service is on each worker, none could be lent to a cell without workers.
func TestWorkerWithServiceIsVacatedForCellWithoutWorkers(t *testing.T) {
	for _, active := range []bool{false, true} {
		sim := newCellsWithServices(t, active, func(*jobs.Step) {})
		sim.submitTo(1, "late", testSpec(2))
		sim.runAndManage(20 * time.Second)
		if state, _ := sim.stateOf("late"); state != jobs.Completed {
			t.Errorf("active %v: the job is %v", active, state)
		}
		sim.checkLongRunning(t)
		sim.checkCells(t)
	}
}

// Guards against more interruptions of a service than its caller permits, and against a worker that a gang keeps from being lent, since
// its members do not move.
func TestWorkersWithTasksThatMustNotMoveAreNotVacated(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*jobs.Step)
		vacated bool
	}{
		{"a service", func(*jobs.Step) {}, true},
		{"a service of which one task may be missing", func(s *jobs.Step) { s.HasMaxUnavailable, s.MaxUnavailable = true, 1 }, false},
		{"a gang", func(s *jobs.Step) { s.Gang = true }, false},
	} {
		sim := newCellsWithServices(t, false, c.change)
		if id := sim.cells[0].owner.cell.Vacate(""); (id != "") != c.vacated {
			t.Errorf("%s: the worker %q is vacated", c.name, id)
		}
	}
}

// Guards against a service that is stopped and started over and over: with each loan, a worker was vacated to which its tasks had
// just moved, and a best-effort one that was slow moved without limit.
func TestMovesOfLongRunningTaskAreBounded(t *testing.T) {
	for name, move := range map[string]func(sim *simulation, on *worker){
		"its worker is vacated": func(sim *simulation, on *worker) {
			sim.owner.cell.Vacate(on.info.ID)
			sim.run(time.Second)
			sim.owner.cell.SetCordoned([]string{on.info.ID}, false)
		},
		"it is slow": func(sim *simulation, on *worker) {
			for end := sim.now + time.Second; sim.now < end; sim.run(simTick) {
				for _, r := range on.runs {
					r.setPace(0)
					r.slowSince = sim.now - minSlowTime
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, 2)
			for id, w := range sim.workers {
				w.info.Labels = []string{id}
			}
			c := sim.takeOver().cell
			spec := testSpec(1)
			step := &spec.Steps[0]
			step.LongRunning, step.BestEffort, step.Checkpoints, step.Image = true, true, true, "press"
			sim.submit("service", spec)
			sim.run(2 * time.Second)
			for range 60 {
				for _, w := range c.sortedWorkers() {
					if len(w.runs) > 0 {
						move(sim, w)
						break
					}
				}
				sim.run(time.Second)
			}
			if starts := sim.startCounts[jobs.TaskID{Job: "service"}]; starts < 2 || starts > 1+maxRelocations+6 {
				t.Errorf("%d starts in two minutes", starts)
			}
		})
	}
}

// newInactiveCell returns a simulation of two cells, of which the second has neither workers nor is active.
func newInactiveCell(t *testing.T) (*simulation, *Cell) {
	sim := newCellsSimulation(1, 2, 4)
	sim.run(time.Second)
	for _, id := range []string{"w1", "w3"} {
		if !sim.handOver(sim.cells[1], id, 0, handOverCompletes) {
			t.Fatalf("%s is not idle", id)
		}
		sim.run(time.Second)
	}
	plan := cellmap.Plan{Cells: []cellmap.PlannedCell{{FailureDomain: "d", Active: true}, {FailureDomain: "d"}}}
	sim.storeInTable(cellmap.PlanKey, &plan)
	sim.cells[1].owner.table = sim.table
	sim.cells[1].owner.cell.SetActive(false)
	return sim, sim.cells[1].owner.cell
}

// Guards against LOST: sixteen tasks that no active cell has the label for kept all others from leaving a cell that is not active.
func TestTasksThatNoCellReceivesKeepNoOthers(t *testing.T) {
	sim, c := newInactiveCell(t)
	for _, label := range []string{"only-here", ""} {
		spec := testSpec(maxTaskHandOvers)
		spec.Steps[0].LongRunning, spec.Steps[0].RequiredLabel = true, label
		sim.submitTo(1, jobs.ID("needs-"+label), spec)
		sim.run(100 * time.Millisecond)
	}
	loads := map[int]cellmap.Load{0: {Cell: 0, CapacityMilliCPU: 16000, Labels: []string{"a"}}, 1: {Cell: 1, Labels: []string{"only-here"}}}
	received := 0
	for range 5 {
		sim.run(400 * time.Millisecond)
		for _, task := range c.TakeStrandedTasks() {
			if _, found := sim.table.Receiver(task.Need, false, 1, loads, sim.random.Float64); !found {
				c.ReturnTask(task.Task)
				continue
			}
			received++
		}
	}
	if received != maxTaskHandOvers {
		t.Errorf("%d tasks have left the cell after 2 s, want %d", received, maxTaskHandOvers)
	}
}

// Guards against LOST: a task whose label no worker has kept a cell without workers from borrowing any for its other tasks.
func TestLabelThatNoWorkerHasKeepsNoOthersFromRunning(t *testing.T) {
	sim, c := newInactiveCell(t)
	for _, label := range []string{"", "nowhere"} {
		spec := testSpec(4)
		spec.Steps[0].RequiredLabel = label
		sim.submitTo(1, jobs.ID("needs-"+label), spec)
		sim.run(100 * time.Millisecond)
	}
	sim.runAndManage(10 * time.Second)
	if state, _ := c.Status("needs-"); state != jobs.Completed {
		t.Errorf("the job that needs no label is %v; the cell waits for %+v", state, c.Shortages())
	}
}

// Guards against owners that end, and tasks that run twice: a rack was handed over while a run was left on a worker whose entry was
// missing for a while. The other cell took the worker over with the run, and the worker refused the orders of the run's owner. A new
// owner, which knows of such a worker by the run alone, does not know its rack.
func TestRackOfUnregisteredWorkerWithRunsStays(t *testing.T) {
	for _, ownerChanges := range []bool{false, true} {
		sim := newCellsSimulation(1, 2, 4)
		rack := cellmap.RackKey(sim.workers["w1"].info.FailureDomain, "r2")
		sim.storeInTable(rack, &cellmap.Assignment{Cell: 1})
		for _, id := range []string{"w1", "w3"} {
			sim.workers[id].info.Rack, sim.workers[id].info.FailureDomain = "r2", sim.workers["w1"].info.FailureDomain
			sim.storeInTable(cellmap.WorkerKey(id), &cellmap.Assignment{Cell: cellmap.HomeCell})
		}
		home := sim.cells[1].owner
		home.table, sim.cells[0].owner.table = sim.table, sim.table
		sim.run(12 * time.Second)
		home.cell.SetCordoned([]string{"w1"}, true)
		spec := testSpec(1)
		spec.Steps[0].LongRunning = true
		sim.submitTo(1, "service", spec)
		sim.run(2 * time.Second)
		missing := sim.workers["w3"]
		if len(missing.running) != 1 {
			t.Fatalf("%d tasks on w3, want 1", len(missing.running))
		}
		missing.unlisted, missing.unreachableBy[home] = true, true
		if ownerChanges {
			sim.load(sim.claimCell(sim.cells[1]))
		}
		sim.setActive(false)
		sim.runAndDepart(2 * time.Second)
		if cell, _ := sim.table.CellOf(&missing.info); cell != 1 {
			t.Errorf("w3 belongs to cell %d, with a run of cell 1", cell)
		}
		if cell, _ := sim.table.CellOf(&sim.workers["w1"].info); cell != 0 {
			t.Errorf("w1, which is idle, belongs to cell %d", cell)
		}
		missing.unlisted = false
		delete(missing.unreachableBy, home)
		sim.run(3 * time.Second)
		for _, violation := range sim.violations {
			t.Error(violation)
		}
	}
}
