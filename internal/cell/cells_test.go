package cell

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/testseed"
	"cactuswall.example/cactuswall/internal/workercall"
)

func TestMain(m *testing.M) { testseed.ParallelMainWithChecks(m, "60") }

// newCellsSimulation returns a simulation with the given numbers of cells and workers. Each cell has an owner, and worker i
// belongs to the cell with the number i modulo the number of cells.
func newCellsSimulation(seed uint64, cells, workers int) *simulation {
	sim := newSimulation(seed, workers)
	plan := cellmap.SingleCell()
	for len(sim.cells) < cells {
		sim.addCell()
		plan.Cells = append(plan.Cells, cellmap.PlannedCell{FailureDomain: "d", Active: true})
	}
	sim.storeInTable(cellmap.PlanKey, &plan)
	for i := range workers {
		if i%cells > 0 {
			sim.storeInTable(cellmap.WorkerKey(fmt.Sprintf("w%d", i)), &cellmap.Assignment{Cell: i % cells})
		}
	}
	for _, home := range sim.cells {
		sim.load(sim.claimCell(home))
	}
	return sim
}

// storeInTable appends a record to the topic of the cells.
func (sim *simulation) storeInTable(key string, value any) {
	encoded, err := recordcodec.Encode(value)
	if err != nil {
		panic(err) // the records can be encoded
	}
	end := sim.table.End()
	sim.table, _, _ = sim.table.With([]store.Record{{Key: key, Value: encoded, Offset: end}}, end+1)
}

// handOverStep is the point at which something happens to the owner that hands a worker over.
type handOverStep int

const (
	handOverCompletes handOverStep = iota
	storeRefuses                   // the store does not store the assignment
	answerLost                     // the store stores it, and the owner does not learn that
	killedBefore                   // the owner's process is killed before the assignment is stored
	killedAfter
	frozenBefore // the owner is suspended before the assignment is stored, and its claim expires
	handOverSteps
)

// handOver hands a worker over, as package cellnode does, if it is idle. It returns false if it is not.
func (sim *simulation) handOver(home *simCell, id string, to int, step handOverStep) bool {
	o := home.owner
	if o.ended || o.suspended || !sim.holdsClaim(o) || o.detached[id] || !o.cell.Idle([]string{id}) {
		return false
	}
	o.cell.Detach([]string{id})
	o.detached[id] = true
	switch step {
	case killedBefore:
		o.ended = true
	case frozenBefore:
		sim.freeze(o, sim.appendTime+time.Duration(sim.random.IntN(9000))*time.Millisecond)
	}
	sent := !o.ended
	sim.schedule(sim.appendTime, func() {
		switch {
		case !sent:
		case o.token < home.epoch: // the append is refused as fenced
			o.ended = true
		case step == storeRefuses:
			delete(o.detached, id)
		default:
			sim.storeInTable(cellmap.WorkerKey(id), &cellmap.Assignment{Cell: to})
			o.ended = o.ended || step == answerLost || step == killedAfter
			o.table = sim.table
			delete(o.detached, id)
			sim.spreadTable()
		}
	})
	return true
}

// handOverTasks hands the long-running tasks that have waited for room in a cell over to another, and returns how many there were.
func (sim *simulation) handOverTasks(home *simCell, to int, step handOverStep) int {
	if to == home.number {
		return 0
	}
	return sim.handOverTasksTo(home, step, func(TaskHandOver) (int, bool) { return to, true })
}

// handOverTasksTo hands the long-running tasks over that have waited for room in a cell, as package cellnode does, and returns
// how many there were. receiver returns the cell for a task; found is false if the task stays.
func (sim *simulation) handOverTasksTo(home *simCell, step handOverStep, receiver func(TaskHandOver) (to int, found bool)) int {
	if !sim.mayManage(home) {
		return 0
	}
	o := home.owner
	var tasks []TaskHandOver
	var to []int
	for _, t := range o.cell.TakeStrandedTasks() {
		cell, found := receiver(t)
		if !found {
			o.cell.ReturnTask(t.Task)
			continue
		}
		tasks, to = append(tasks, t), append(to, cell)
	}
	if len(tasks) == 0 {
		return 0
	}
	o.detached["tasks"] = true
	switch step {
	case killedBefore:
		o.ended = true
	case frozenBefore:
		sim.freeze(o, sim.appendTime+time.Duration(sim.random.IntN(9000))*time.Millisecond)
	}
	sent := !o.ended
	sim.schedule(sim.appendTime, func() {
		switch {
		case !sent:
		case o.token < home.epoch:
			o.ended = true
		case step == storeRefuses:
			for _, t := range tasks {
				o.cell.ReturnTask(t.Task)
			}
			delete(o.detached, "tasks")
		default:
			for i, t := range tasks {
				sim.storeInTable(cellmap.TaskKey(t.Task), &cellmap.TaskAssignment{Cell: to[i], LastRun: t.LastRun, Checkpoint: t.Checkpoint})
			}
			o.ended = o.ended || step == answerLost || step == killedAfter
			o.table = sim.table
			delete(o.detached, "tasks")
			sim.spreadTable()
		}
	})
	return len(tasks)
}

// spreadTable has each owner read the table after a random time.
func (sim *simulation) spreadTable() {
	for _, home := range sim.cells {
		o := home.owner
		sim.schedule(time.Duration(sim.random.IntN(1500))*time.Millisecond, func() {
			if sim.table.End() > o.table.End() {
				o.table = sim.table
			}
		})
	}
}

// freeze suspends an owner, whose claim expires meanwhile.
func (sim *simulation) freeze(o *simOwner, d time.Duration) {
	o.suspended, o.decidesUntil, o.renewsUntil = true, sim.now, sim.now+claim.WorkerRenewalGrace-claim.LeaseDuration
	sim.schedule(d, func() { o.suspended = false })
}

// replaceOwnerOf makes the owner of a cell lose it in one of three ways and starts a new one after the claim has expired.
func (sim *simulation) replaceOwnerOf(home *simCell, way int) {
	o := home.owner
	switch way {
	case 0:
		o.ended = true
	case 1:
		o.decidesUntil, o.renewsUntil = sim.now, sim.now+claim.WorkerRenewalGrace-claim.LeaseDuration
	case 2:
		sim.freeze(o, time.Duration(sim.random.IntN(12000))*time.Millisecond)
	}
	sim.reclaim(home)
}

// reclaim starts a new owner of a cell after a random time.
func (sim *simulation) reclaim(home *simCell) {
	before := home.owner
	sim.schedule(time.Duration(sim.random.IntN(1500))*time.Millisecond, func() {
		if home.owner == before {
			sim.load(sim.claimCell(home))
		}
	})
}

// stateOf returns the state of a job as the owner of its cell reports it, and the number of cells that have it.
func (sim *simulation) stateOf(id jobs.ID) (state jobs.State, cells int) {
	for _, home := range sim.cells {
		if _, foreign := home.owner.cell.CellOf(id); foreign {
			continue
		}
		if s, known := home.owner.cell.Status(id); known {
			state = s
			cells++
		}
	}
	return state, cells
}

// checkCells checks, after all faults, that each job belongs to one cell and has ended, unless it is long-running, and that
// each worker is held by one owner.
func (sim *simulation) checkCells(t interface{ Errorf(string, ...any) }) {
	for id, spec := range sim.specs {
		state, cells := sim.stateOf(id)
		if cells != 1 {
			t.Errorf("job %s is known in %d cells", id, cells)
		}
		if !state.Final() && !spec.LongRunning() {
			t.Errorf("job %s has not ended: state %v", id, state)
		}
	}
	for id := range sim.workers {
		holders := 0
		for _, home := range sim.cells {
			if w := home.owner.cell.workers[id]; w != nil && w.listed {
				holders++
			}
		}
		if holders != 1 {
			t.Errorf("worker %s is held by %d owners", id, holders)
		}
	}
	for _, violation := range sim.violations {
		t.Errorf("%s", violation)
	}
}

// borrow hands a worker over to a cell in which tasks wait for resources, if another cell has an idle one.
func (sim *simulation) borrow(home *simCell) {
	if len(home.owner.cell.Shortages()) == 0 {
		return
	}
	for _, lender := range sim.cells {
		for _, w := range lender.owner.cell.sortedWorkers() {
			if lender != home && sim.handOver(lender, w.info.ID, home.number, handOverCompletes) {
				return
			}
		}
	}
}

// checkLongRunning checks that each long-running task whose turn has come runs once, and none of a cancelled job.
func (sim *simulation) checkLongRunning(t interface{ Errorf(string, ...any) }) {
	runs := make(map[jobs.TaskID]int)
	for _, w := range sim.workers {
		for task := range w.running {
			runs[task]++
		}
	}
	for id, spec := range sim.specs {
		if !spec.LongRunning() {
			continue
		}
		state, _ := sim.stateOf(id)
		if state == jobs.Completed {
			t.Errorf("the job %s is completed, which is to run until it is cancelled", id)
		}
		for i := range spec.Steps[1].Count {
			want := 1
			if state.Final() {
				want = 0
			}
			if task := (jobs.TaskID{Job: id, Step: 1, Index: i}); runs[task] != want {
				t.Errorf("%d runs of the long-running task %v of a job that is %v", runs[task], task, state)
			}
		}
	}
}

// Pattern: a cell is full of tasks that never end when one of them fails, and another cell has room.
func TestLongRunningTaskWithoutRoomRunsInAnotherCell(t *testing.T) {
	for step := handOverCompletes; step < handOverSteps; step++ {
		Convey(fmt.Sprintf("Given a cell whose workers are lost, its long-running tasks run in the other cell; step %d", step), t, func() {
			sim := newCellsSimulation(uint64(step), 2, 4)
			spec := testSpec(1, 10)
			spec.Steps[1].LongRunning = true
			sim.submitTo(0, "lasting", spec)
			sim.run(3 * time.Second)
			for _, id := range []string{"w0", "w2"} {
				delete(sim.workers, id)
			}
			sim.run(12 * time.Second)
			So(sim.handOverTasks(sim.cells[0], 1, step), ShouldEqual, 10)
			sim.run(100 * time.Millisecond)
			sim.load(sim.claimCell(sim.cells[0]))
			for range 8 {
				sim.run(2 * time.Second)
				sim.handOverTasks(sim.cells[0], 1, handOverCompletes)
			}
			sim.checkLongRunning(t)
			So(sim.violations, ShouldBeEmpty)
			state, cells := sim.stateOf("lasting")
			So([]any{state, cells}, ShouldResemble, []any{jobs.Running, 1})
			Convey("and go on under the next owners of both cells, until the job is cancelled", func() {
				sim.load(sim.claimCell(sim.cells[0]))
				sim.load(sim.claimCell(sim.cells[1]))
				sim.run(3 * time.Second)
				sim.interrupt(jobs.TaskID{Job: "lasting", Step: 1, Index: 4})
				sim.run(3 * time.Second)
				sim.checkLongRunning(t)
				So(sim.startCounts[jobs.TaskID{Job: "lasting", Step: 1, Index: 4}], ShouldEqual, 3)
				So(sim.startCounts[jobs.TaskID{Job: "lasting", Step: 1, Index: 5}], ShouldEqual, 2)
				sim.cancel("lasting")
				sim.run(3 * time.Second)
				sim.checkLongRunning(t)
				So(sim.violations, ShouldBeEmpty)
				Convey("and their records are deleted after the retention of the job's state", func() {
					guest := sim.cells[1].owner.cell
					So(guest.EndedGuests(), ShouldBeEmpty)
					guest.settings.StatusRetention = 0
					keys := guest.EndedGuests()
					So(keys, ShouldHaveLength, 10)
					for _, key := range keys {
						end := sim.table.End()
						sim.table, _, _ = sim.table.With([]store.Record{{Key: key, Offset: end}}, end+1)
					}
					sim.cells[1].owner.table = sim.table
					sim.run(time.Second)
					So(guest.guests, ShouldBeEmpty)
					So(sim.table.Tasks(), ShouldBeEmpty)
					So(sim.cells[1].records, ShouldHaveLength, 1) // what was learned of images
				})
			})
		})
	}
}

func TestHandOverAtEachStep(t *testing.T) {
	for step := handOverCompletes; step < handOverSteps; step++ {
		Convey(fmt.Sprintf("A worker that changes its cell runs each task once, whatever happens at step %d", step), t, func() {
			sim := newCellsSimulation(uint64(step), 2, 2)
			sim.submitTo(0, "before", testSpec(3))
			sim.run(3 * time.Second)
			So(sim.handOver(sim.cells[0], "w0", 1, step), ShouldBeTrue)
			sim.submitTo(0, "during", testSpec(3))
			sim.submitTo(1, "beside", testSpec(8, 8))
			sim.run(100 * time.Millisecond)
			sim.load(sim.claimCell(sim.cells[0]))
			sim.run(500 * time.Millisecond)
			given, _ := sim.table.CellOf(&sim.workers["w0"].info)
			if given == 1 { // the cell has no workers left
				sim.storeInTable(cellmap.WorkerKey("w1"), &cellmap.Assignment{Cell: 1})
				sim.run(20 * time.Second)
				So(sim.handOver(sim.cells[1], "w0", 0, handOverCompletes), ShouldBeTrue)
			}
			sim.run(20 * time.Second)
			sim.checkCells(t)
			for task, starts := range sim.startCounts {
				So(fmt.Sprint(task, starts), ShouldEqual, fmt.Sprint(task, 1))
			}
		})
	}
}

// A worker with a run, an unanswered start or an end that is not stored must not be given away.
func TestOnlyIdleWorkersAreHandedOver(t *testing.T) {
	Convey("Given a cell with one worker", t, func() {
		sim := newSimulation(1, 1)
		o := sim.takeOver()
		idle := func() bool { return o.cell.Idle([]string{"w0"}) }
		So(idle(), ShouldBeFalse) // it has not reported yet
		sim.run(time.Second)
		So(idle(), ShouldBeTrue)
		So(o.cell.Idle([]string{"w0", "gone"}), ShouldBeFalse)
		Convey("it is busy from the placement of a task until its end is stored", func() {
			sim.submit("j", testSpec(1))
			for sim.startCounts[jobs.TaskID{Job: "j"}] == 0 {
				sim.run(simTick)
				if len(o.cell.workers["w0"].runs) > 0 {
					So(idle(), ShouldBeFalse)
				}
			}
			for o.cell.workers["w0"].lastEndStored == 0 {
				So(idle(), ShouldBeFalse)
				sim.run(simTick)
			}
			So(idle(), ShouldBeTrue)
		})
		Convey("a start without an answer keeps it, and so does silence", func() {
			sim.lossRate = 1
			sim.submit("j", testSpec(1))
			sim.run(4 * time.Second)
			So(idle(), ShouldBeFalse)
		})
		Convey("a cordoned worker gets no tasks, and says why", func() {
			o.cell.SetCordoned([]string{"w0"}, true)
			sim.submit("j", testSpec(1))
			sim.run(2 * time.Second)
			So(idle(), ShouldBeTrue)
			So(o.cell.CurrentLoad().Capacity, ShouldEqual, 0)
			So(o.cell.exclusionReason(o.cell.newPlacementView(), o.cell.workers["w0"], -1, &jobs.Step{}, "s", nil), ShouldEqual, exclusionCordoned)
			o.cell.SetCordoned([]string{"w0"}, false)
			sim.run(3 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
		})
	})
}

func TestLend(t *testing.T) {
	Convey("Given a cell with ten workers, of which some run tasks that never end", t, func() {
		sim := newSimulation(1, 10)
		o := sim.takeOver()
		sim.run(time.Second)
		spec := testSpec(1)
		spec.Steps[0].LongRunning = true
		sim.submit("lasting", spec)
		sim.run(time.Second)
		busy := ""
		for id, w := range o.cell.workers {
			if w.hasLongRunning() {
				busy = id
			}
		}
		Convey("it lends a tenth of them at most, not one with such a task, and places nothing there", func() {
			lent := o.cell.Lend(100000, "")
			So(lent, ShouldHaveLength, 1)
			So(lent, ShouldNotContain, busy)
			So(o.cell.workers[lent[0]].cordoned, ShouldBeTrue)
			So(o.cell.Lend(0, ""), ShouldBeEmpty)
			So(o.cell.Lend(100000, "other label"), ShouldBeEmpty)
		})
		Convey("its racks tell what they hold", func() {
			racks := o.cell.Racks(func(string) bool { return true })
			So(racks, ShouldHaveLength, 1)
			So(racks[0].Workers, ShouldHaveLength, 10)
			So(racks[0].Busy, ShouldBeTrue)
			So(racks[0].Idle, ShouldBeFalse)
			So(o.cell.Racks(func(id string) bool { return id != busy })[0].Idle, ShouldBeTrue)
		})
	})
}

func TestShortage(t *testing.T) {
	Convey("Tasks that have waited for room are a shortage, with the label that no worker has", t, func() {
		sim := newSimulation(1, 1)
		sim.taskRunTime = time.Minute
		o := sim.takeOver()
		sim.submit("fits", testSpec(8))
		sim.run(time.Second)
		So(o.cell.Shortages(), ShouldBeEmpty)
		sim.submit("waits", testSpec(3))
		labelled := testSpec(1)
		labelled.Steps[0].RequiredLabel = "gpu"
		sim.submit("labelled", labelled)
		sim.run(100 * time.Millisecond)
		So(o.cell.Shortages(), ShouldBeEmpty)
		sim.run(time.Second)
		So(o.cell.Shortages(), ShouldResemble, []Shortage{{MilliCPU: 500, Label: "gpu"}, {MilliCPU: 1500}})
		load := o.cell.CurrentLoad()
		So([]int64{load.Capacity, load.Used, load.Waiting}, ShouldResemble, []int64{4000, 4000, 2000})
	})
}

// Guards against borrowed workers that a cell keeps for tasks which they cannot run, and against one that is given back before the
// labelled best-effort task starts for which it was borrowed.
func TestNeedsWorkers(t *testing.T) {
	for _, c := range []struct {
		label             string
		bestEffort, needs bool
	}{{"", false, true}, {"nowhere", false, false}, {"w0", false, true}, {"", true, false}, {"w0", true, true}, {"nowhere", true, false}} {
		sim := newSimulation(1, 1)
		sim.workers["w0"].info.Labels = []string{"w0"}
		o := sim.takeOver()
		sim.run(time.Second)
		o.cell.SetCordoned([]string{"w0"}, true)
		spec := testSpec(1)
		spec.Steps[0].RequiredLabel, spec.Steps[0].BestEffort = c.label, c.bestEffort
		sim.submit("j", spec)
		sim.run(time.Second)
		if needs := o.cell.NeedsWorkers(); needs != c.needs {
			t.Errorf("%+v: the cell needs workers: %v", c, needs)
		}
	}
}

// The first record of a job settles its cell, also for owners that read it only after the end of the job.
func TestJobsOfOtherCells(t *testing.T) {
	Convey("Given two cells", t, func() {
		sim := newCellsSimulation(1, 2, 2)
		own, other := sim.cells[0].owner.cell, sim.cells[1].owner.cell
		Convey("a request that is repeated through another cell leaves the job where it was", func() {
			sim.submitTo(1, "j", testSpec(2))
			sim.submitTo(0, "j", testSpec(2))
			sim.cancel("unknown")
			sim.run(3 * time.Second)
			sim.load(sim.claimCell(sim.cells[0]))
			sim.run(3 * time.Second)
			_, known := sim.cells[0].owner.cell.Status("j")
			So(known, ShouldBeFalse)
			cell, foreign := sim.cells[0].owner.cell.CellOf("j")
			So([]any{cell, foreign}, ShouldResemble, []any{1, true})
			state, _ := other.Status("j")
			So(state, ShouldEqual, jobs.Completed)
			So(sim.startCounts[jobs.TaskID{Job: "j"}], ShouldEqual, 1)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("a cancellation stays with the job's cell, also one that comes before the job", func() {
			sim.cancel("j")
			sim.submitTo(1, "j", testSpec(2))
			sim.run(time.Second)
			state, _ := other.Status("j")
			So(state, ShouldEqual, jobs.Cancelled)
			So(own.earlyCancels, ShouldNotContainKey, jobs.ID("j"))
			sim.cancel("j")
			sim.run(time.Second)
			So(own.earlyCancels, ShouldBeEmpty)
		})
		Convey("a job whose record names a cell that does not exist runs in cell 0, and is counted", func() {
			sim.submitTo(7, "j", testSpec(2))
			sim.run(3 * time.Second)
			state, _ := own.Status("j")
			So(state, ShouldEqual, jobs.Completed)
			So(own.metrics.UnknownCells.Get(), ShouldEqual, 1)
			cell, foreign := other.CellOf("j")
			So([]any{cell, foreign}, ShouldResemble, []any{0, true})
		})
		Convey("a job that is deleted is forgotten everywhere", func() {
			sim.submitTo(1, "j", testSpec(1))
			sim.run(time.Second)
			own.ApplyJobRecord(store.Record{Key: jobrecord.JobKey("j", "", 1)})
			_, foreign := own.CellOf("j")
			So(foreign, ShouldBeFalse)
		})
	})
}

// Two owners that both believe to have a worker: only the one with the higher version of the assignment is obeyed.
func TestWorkerObeysTheNewerAssignment(t *testing.T) {
	Convey("Given a worker that belonged to a cell with a high epoch", t, func() {
		sim := newSimulation(1, 1)
		w := sim.workers["w0"]
		_, err := w.renew(workercall.RenewRequest{Token: cellmap.Token(3, 900)})
		So(err, ShouldBeNil)
		Convey("the owner of its new cell is obeyed although its epoch is low, and the former one is not any more", func() {
			_, err := w.renew(workercall.RenewRequest{Token: cellmap.Token(4, 1)})
			So(err, ShouldBeNil)
			_, err = w.renew(workercall.RenewRequest{Token: cellmap.Token(3, 901)})
			So(err, ShouldNotBeNil)
		})
	})
}

// newCellWithService returns the cell with number 1 of two, with a worker that is filled by another job, and a service of cell
// 0 of which it has read the record.
func newCellWithService(workers int) (*simulation, *Cell) {
	sim := newCellsSimulation(1, 2, 2*workers)
	spec := testSpec(1)
	spec.Steps[0].LongRunning = true
	sim.submitTo(0, "service", spec)
	sim.run(time.Second)
	return sim, sim.cells[1].owner.cell
}

// assigned returns the assignment of the first task of a job to a cell.
func assigned(job jobs.ID, cell, lastRun int) map[string]cellmap.TaskAssignment {
	return map[string]cellmap.TaskAssignment{jobs.TaskID{Job: job}.Key(): {Cell: cell, LastRun: lastRun}}
}

// A receiver that numbered the runs of a task from 1 again would have its start taken for an old one.
func TestReceivedTaskContinuesTheNumbersOfItsRuns(t *testing.T) {
	_, c := newCellWithService(1)
	c.SetTasks(assigned("service", 1, 5))
	starts := c.RoundStored(c.Plan())
	if len(starts) != 1 || starts[0].Start.Number != 6 {
		t.Errorf("%+v was started, want run 6 of the task", starts)
	}
}

// A cancellation that the receiver read before the assignment holds for the task.
func TestTaskOfCancelledJobIsNotReceived(t *testing.T) {
	sim, c := newCellWithService(1)
	sim.cancel("service")
	sim.run(time.Second)
	c.SetTasks(assigned("service", 1, 5))
	if starts := c.RoundStored(c.Plan()); len(starts) != 0 || len(c.jobs) != 0 {
		t.Errorf("%d tasks of a cancelled job were started", len(starts))
	}
}

// The giver must not start a task whose assignment may be stored already, even if there is room for it meanwhile.
func TestTaskIsNotStartedWhileItsHandOverIsBeingStored(t *testing.T) {
	sim := newCellsSimulation(1, 2, 2)
	c := sim.cells[0].owner.cell
	spec := testSpec(9) // a worker has room for eight
	spec.Steps[0].LongRunning = true
	sim.submitTo(0, "services", spec)
	sim.run(4 * time.Second)
	stranded := c.TakeStrandedTasks()
	if len(stranded) != 1 {
		t.Fatalf("%d tasks are to be handed over, want 1", len(stranded))
	}
	sim.addWorker("w2")
	c.SetWorkers(append(sim.currentWorkers(), sim.workers["w2"].info))
	if starts := c.RoundStored(c.Plan()); len(starts) != 0 {
		t.Errorf("%+v was started", starts)
	}
	sim.run(time.Second)
	if count := sim.startCounts[stranded[0].Task]; count != 0 {
		t.Errorf("the task was started %d times", count)
	}
	c.ReturnTask(stranded[0].Task)
	sim.run(2 * time.Second)
	if count := sim.startCounts[stranded[0].Task]; count != 1 {
		t.Errorf("the task was started %d times after it had been returned, want once", count)
	}
}
