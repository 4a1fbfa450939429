package cell

import (
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

// Guards against LOST and RECOVER after a restart of everything: an owner that needs longer to load the state than the
// leases last lets all running tasks lapse.
func TestLeasesAreRenewedWhileStateIsLoaded(t *testing.T) {
	sim := newSimulation(12, 4)
	sim.takeOver()
	sim.taskRunTime = 2 * time.Minute
	sim.submit("j", testSpec(12))
	sim.run(2 * time.Second)
	sim.owner.ended = true
	sim.run(time.Second)
	o := sim.claim()
	sim.run(2 * maxLease)
	sim.load(o)
	sim.run(3 * time.Second)
	if running := sim.running(); running != 12 {
		t.Errorf("%d runs, want 12", running)
	}
	for i := range 12 {
		if starts := sim.startCounts[jobs.TaskID{Job: "j", Index: i}]; starts != 1 {
			t.Errorf("task %d was started %d times, want 1", i, starts)
		}
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}

// Guards against lost ends: a worker reports the end of a run to an owner that has not loaded the state yet.
func TestEndsReportedWhileStateIsLoadedAreKept(t *testing.T) {
	sim := newSimulation(13, 2)
	sim.takeOver()
	sim.taskRunTime = 1500 * time.Millisecond
	sim.submit("j", testSpec(6, 2))
	sim.run(500 * time.Millisecond)
	sim.owner.ended = true
	o := sim.claim()
	sim.run(4 * time.Second) // all running tasks end
	sim.load(o)
	sim.run(5 * time.Second)
	if state := sim.state("j"); state != jobs.Completed {
		t.Errorf("state %v, want completed", state)
	}
	for task, starts := range sim.startCounts {
		if starts != 1 {
			t.Errorf("%v was started %d times, want 1", task, starts)
		}
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}

// Guards against LOST: another incarnation answers at a worker's address before the state is loaded, and the runs that
// are loaded for that worker stay until its lease must have expired.
func TestRunsOfEndedWorkerAreAbandonedAfterLoad(t *testing.T) {
	sim := newSimulation(12, 1)
	sim.takeOver()
	sim.submit("j", testSpec(1))
	sim.run(500 * time.Millisecond)
	sim.owner.ended = true
	o := sim.claim()
	restarted := verdict.New(verdict.NotRun, workercall.ReasonWorkerRestarted, nil)
	o.cell.TakeOrders(false)
	o.cell.RenewFailed("w0", restarted)
	sim.load(o)
	o.cell.TakeOrders(false)
	o.cell.RenewFailed("w0", restarted)
	if runs := len(o.cell.workers["w0"].runs); runs != 0 {
		t.Errorf("%d runs on a worker that has ended, want 0", runs)
	}
}

// Guards against TWICE: a report that was ordered before the state was loaded says nothing about runs in the state.
func TestReportOrderedBeforeLoadAbandonsNoRun(t *testing.T) {
	sim := newSimulation(13, 1)
	sim.takeOver()
	sim.taskRunTime = time.Minute
	sim.submit("j", testSpec(1))
	sim.run(500 * time.Millisecond)
	sim.owner.ended = true
	o := sim.claim()
	empty := workercall.Report{Clock: sim.workers["w0"].clock(), StartedAtMS: sim.workers["w0"].info.StartedAtMS}
	ordered := sim.now - simTick
	sim.load(o)
	o.cell.RenewAnswered("w0", empty, ordered)
	if w := o.cell.workers["w0"]; len(w.runs) != 1 || w.reconciled {
		t.Errorf("%d runs, reconciled %v; want 1 run that is not compared with the report", len(w.runs), w.reconciled)
	}
}
