package cell

import (
	"fmt"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
)

// Guards against LOST: long-running tasks of a low priority stay away after their worker was lost, because a backlog of
// a higher priority takes all room.
func TestInterruptedLongRunningTasksComeBeforeBacklog(t *testing.T) {
	sim := newSimulation(15, 3)
	sim.takeOver()
	sim.submitPriority = 2
	spec := testSpec(6)
	spec.Steps[0].LongRunning = true
	sim.submit("long", spec)
	sim.run(time.Second)
	sim.submitPriority = 0
	for i := range 60 {
		sim.submit(jobs.ID(fmt.Sprintf("j%02d", i)), testSpec(10))
	}
	sim.run(2 * time.Second)
	sim.restartWorker("w0")
	sim.run(3 * time.Second)
	running := 0
	for _, s := range sim.workers {
		for task := range s.running {
			if task.Job == "long" {
				running++
			}
		}
	}
	if running != 6 {
		t.Errorf("%d long-running tasks run, want 6", running)
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}
