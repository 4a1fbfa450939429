package cell

import (
	"strings"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/workercall"
)

// Guards against LOST: a cell that has given its workers away keeps the jobs that it has accepted. Best-effort tasks were not
// counted as a shortage, so that the cell borrowed no workers and the jobs never ran.
func TestBestEffortJobOfCellWithoutWorkersRuns(t *testing.T) {
	sim := newCellsSimulation(1, 2, 4)
	sim.run(time.Second)
	for _, id := range []string{"w1", "w3"} {
		if !sim.handOver(sim.cells[1], id, 0, handOverCompletes) {
			t.Fatalf("%s is not idle", id)
		}
		sim.run(time.Second)
	}
	spec := testSpec(10, 33)
	for i := range spec.Steps {
		spec.Steps[i].BestEffort, spec.Steps[i].Image = true, "press"
	}
	sim.submitTo(1, "rebuild", spec)
	sim.runAndBorrow(20 * time.Second)
	if state, _ := sim.stateOf("rebuild"); state != jobs.Completed {
		t.Errorf("the job is %v, with %d workers idle in the other cell", state, len(sim.workers))
	}
	sim.checkCells(t)
}

// runAndBorrow advances the simulation by d. Each second cells borrow workers for tasks that wait.
func (sim *simulation) runAndBorrow(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.run(time.Second)
		for _, home := range sim.cells {
			sim.borrow(home)
		}
	}
}

// Guards against LOST: a long-running task ends by itself on a worker that the owner has given up. The end was taken for the
// success of the task, and nothing started it again.
func TestLongRunningTaskThatEndsOutOfTouchRunsAgain(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.takeOver()
	sim.run(12 * time.Second)
	spec := testSpec(1)
	spec.Steps[0].LongRunning = true
	sim.submit("listener", spec)
	sim.run(time.Second)
	worker := sim.workers["w0"]
	worker.unreachableBy[sim.owner] = true
	worker.leaseEnd += time.Hour
	for len(sim.owner.cell.workers["w0"].runs) > 0 {
		sim.run(simTick)
	}
	worker.end(jobs.TaskID{Job: "listener"}, workercall.Done)
	delete(worker.unreachableBy, sim.owner)
	sim.run(5 * time.Second)
	if state, running := sim.state("listener"), sim.running(); state != jobs.Running || running != 1 {
		t.Errorf("the job is %v with %d runs, want 1", state, running)
	}
}

// Guards against LOST: a long-running task that no other cell had room for was taken for one that has just begun to wait, each
// time, so that it never had waited long enough to run on the only worker, one that had failed other tasks.
func TestTaskThatNoCellReceivesKeepsItsWait(t *testing.T) {
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
	waiting := c.jobs["services"].task(stranded[0].Task)
	since := waiting.waitingSince
	c.ReturnTask(stranded[0].Task)
	if waiting.waitingSince != since {
		t.Errorf("the task waits since %v, want %v", waiting.waitingSince, since)
	}
}

// Guards against LOST: a new owner took the runs of its predecessor to be at full speed, so that a best-effort task that the
// predecessor had paced to a standstill beside a service stood still for good. So did a task for which an older pace order was
// carried out after the newest one.
func TestStandingRunIsPacedAgain(t *testing.T) {
	for name, disturb := range map[string]func(sim *simulation){
		"a new owner": func(sim *simulation) { sim.takeOver() },
		"an order that was carried out late": func(sim *simulation) {
			for _, r := range sim.owner.cell.workers["w0"].runs {
				r.pacedAt = sim.now
			}
		},
		"an order that was not answered and carried out late": func(sim *simulation) {
			for _, r := range sim.owner.cell.workers["w0"].runs {
				r.pacedAt = sim.now
				r.setPace(unknownPace)
			}
			sim.run(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, 1)
			sim.taskRunTime = 4 * time.Second
			sim.takeOver()
			sim.run(12 * time.Second)
			spec := testSpec(4)
			spec.Steps[0].BestEffort, spec.Steps[0].Image = true, "press"
			sim.submit("rebuild", spec)
			sim.run(500 * time.Millisecond)
			disturb(sim)
			for _, r := range sim.workers["w0"].running {
				r.pace = 0
			}
			sim.run(20 * time.Second)
			if state := sim.state("rebuild"); state != jobs.Completed {
				t.Errorf("the job is %v", state)
			}
		})
	}
}

// Guards against TWICE: a gang ends as done on workers that the owner has given up. The ends were acknowledged and the gang was
// started again.
func TestGangThatSucceedsOutOfTouchIsDone(t *testing.T) {
	sim := newSimulation(1, 4)
	sim.taskRunTime = time.Hour
	sim.takeOver()
	sim.run(12 * time.Second)
	spec := testSpec(2)
	spec.Steps[0].Gang, spec.Steps[0].Request.MilliCPU = true, 3000 // one member on each worker
	sim.submit("gang", spec)
	sim.run(time.Second)
	for id, worker := range sim.workers {
		worker.unreachableBy[sim.owner] = len(worker.running) > 0
		worker.leaseEnd += time.Hour
		if len(worker.running) > 0 {
			sim.schedule(7500*time.Millisecond, func() { worker.end(worker.sortedTasks()[0], workercall.Done) })
			sim.schedule(8*time.Second, func() { delete(sim.workers[id].unreachableBy, sim.owner) })
		}
	}
	sim.run(20 * time.Second)
	if state := sim.state("gang"); state != jobs.Completed {
		t.Errorf("the job is %v", state)
	}
	for _, violation := range sim.violations {
		if !strings.Contains(violation, "while it runs on") { // the leases are longer than any owner allows
			t.Error(violation)
		}
	}
}

// Guards against TWICE: while the hand-over of a task that had come from another cell was being stored, the audit applied all
// assignments again, also the one that was about to be replaced.
func TestAuditLeavesTaskWhoseHandOverIsBeingStored(t *testing.T) {
	sim := newCellsSimulation(1, 2, 4)
	sim.correctionsExpected = true
	sim.run(12 * time.Second)
	spec := testSpec(2)
	spec.Steps[0].LongRunning = true
	sim.submitTo(0, "listener", spec)
	for _, w := range sim.workers {
		for _, home := range sim.cells {
			if known := home.owner.cell.workers[w.info.ID]; known != nil {
				known.cordoned = true
			}
		}
	}
	sim.run(3 * time.Second)
	sim.handOverTasks(sim.cells[0], 1, handOverCompletes)
	sim.run(4 * time.Second)
	guest := sim.cells[1].owner.cell
	stranded := guest.TakeStrandedTasks()
	if len(stranded) != 2 {
		t.Fatalf("%d tasks are to be handed over, want 2", len(stranded))
	}
	guest.ReturnTask(stranded[0].Task)
	guest.jobs["listener"].task(stranded[0].Task).elsewhere = true // differs from its assignment
	guest.auditAssignments()
	if leaving := guest.jobs["listener"].task(stranded[1].Task); !leaving.elsewhere || !leaving.leaving {
		t.Error("the task was taken back while its hand-over is being stored")
	}
	if guest.jobs["listener"].task(stranded[0].Task).elsewhere {
		t.Error("the other task was not put right")
	}
}

// Guards against tasks that run without their job: a cell that had received long-running tasks did not learn that the job had ended
// as failed in its own cell.
func TestTasksInOtherCellsEndWithFailedJob(t *testing.T) {
	for _, ownerChanges := range []bool{false, true} {
		sim := newCellsSimulation(1, 2, 4)
		sim.run(12 * time.Second)
		spec := testSpec(1, 2)
		spec.Steps[1].DependsOn, spec.Steps[1].LongRunning = nil, true
		sim.failRate, sim.maxAttempts = 1, 1
		sim.submitTo(0, "listener", spec)
		cordon := func(cordoned bool) { sim.cells[0].owner.cell.SetCordoned([]string{"w0", "w2"}, cordoned) }
		cordon(true)
		sim.run(3 * time.Second)
		if tasks := sim.handOverTasks(sim.cells[0], 1, handOverCompletes); tasks != 2 {
			t.Fatalf("%d tasks were handed over, want 2", tasks)
		}
		sim.run(5 * time.Second)
		cordon(false)
		for state := jobs.Running; state != jobs.Failed; state, _ = sim.stateOf("listener") {
			sim.run(simTick)
		}
		if ownerChanges {
			sim.load(sim.claimCell(sim.cells[0]))
			sim.load(sim.claimCell(sim.cells[1]))
		}
		sim.run(3 * time.Second)
		sim.checkLongRunning(t)
		sim.load(sim.claimCell(sim.cells[0]))
		sim.run(time.Second)
		if state, _ := sim.stateOf("listener"); state != jobs.Failed {
			t.Errorf("the job is %v", state)
		}
		sim.checkCells(t)
	}
}
