package cell

import (
	"testing"
	"time"
)

// Guards against TWICE: a start order reaches the next incarnation of a worker, which has the same ID, before the owner
// learns of the restart. The task was started elsewhere although that incarnation ran it.
func TestStartOrderInTransitToRestartedWorker(t *testing.T) {
	for seed := range uint64(8) { // the clocks of the two incarnations differ by the seed
		for ticks := range 6 {
			restartWorkerWhileStarting(t, seed, ticks)
		}
	}
}

// restartWorkerWhileStarting restarts a worker the given number of ticks after a job was submitted.
func restartWorkerWhileStarting(t *testing.T, seed uint64, ticks int) {
	sim := newSimulation(seed, 3)
	sim.taskRunTime = 20 * time.Second
	sim.takeOver()
	sim.run(12 * time.Second)
	sim.submit("j", testSpec(9))
	sim.run(time.Duration(ticks) * simTick)
	sim.restartWorker("w0")
	sim.run(5 * time.Second)
	if running := sim.running(); running != 9 {
		t.Errorf("seed %d, restart after %d ticks: %d runs, want 9", seed, ticks, running)
	}
	for _, violation := range sim.violations {
		t.Errorf("seed %d, restart after %d ticks: %s", seed, ticks, violation)
	}
}
