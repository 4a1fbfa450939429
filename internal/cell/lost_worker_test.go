package cell

import (
	"testing"
	"time"
)

// Guards against LOST: a worker that was idle vanishes right after it was given a task, before its next report, and the
// task is never started elsewhere because the lease was counted as expired while the run was only placed.
func TestTaskOfWorkerLostRightAfterStartRunsElsewhere(t *testing.T) {
	sim := newSimulation(11, 2)
	sim.appendTime = 50 * time.Millisecond // the owner's loop runs several times while the run is only placed
	sim.takeOver()
	sim.run(12 * time.Second) // leases that former owners may have granted have expired
	spec := testSpec(1)
	spec.Steps[0].LongRunning = true
	sim.submit("j", spec)
	for sim.running() == 0 {
		sim.run(simTick)
	}
	for id, s := range sim.workers {
		if len(s.running) > 0 {
			s.up = false
			delete(sim.workers, id)
		}
	}
	sim.run(maxLease + 4*time.Second)
	if running := sim.running(); running != 1 {
		t.Errorf("%d runs, want 1", running)
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}
