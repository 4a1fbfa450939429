package cell

import (
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
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
