package cell

import (
	"fmt"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
)

// Guards against workers that hang and keep tasks from starting on all others: start orders that they do not answer use up those that may
// be unanswered at a time.
func TestHangingWorkersKeepNoTasksFromOthers(t *testing.T) {
	for _, c := range []struct {
		hanging int
		within  time.Duration // until jobs for any worker are done, whose tasks take up to 150 ms
	}{{0, 500 * time.Millisecond}, {3, 500 * time.Millisecond}, {10, 1000 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.hanging), func(t *testing.T) {
			sim := newSimulation(8, 0)
			sim.racks = make(map[string]string)
			for i := range 24 {
				sim.racks[fmt.Sprint("w", i)] = []string{"r1", "r2"}[i%2]
				sim.addWorker(fmt.Sprint("w", i))
			}
			sim.taskRunTime = 100 * time.Millisecond
			o := sim.takeOver()
			sim.run(2 * time.Second)
			for i := range c.hanging {
				sim.workers[fmt.Sprint("w", 2*i)].unreachableBy[o] = true
			}
			many := manyTasks(1000, false)
			many.Steps[0].RequiredLabel = "r1"
			sim.submit("many", many)
			sim.run(100 * time.Millisecond)
			for i := range 5 {
				sim.submit(jobs.ID(fmt.Sprint("any", i)), manyTasks(4, false))
			}
			sim.run(c.within)
			for i := range 5 {
				if state := sim.state(jobs.ID(fmt.Sprint("any", i))); state != jobs.Completed {
					t.Errorf("job %d is %v", i, state)
				}
			}
			sim.run(15 * time.Second)
			if state := sim.state("many"); state != jobs.Completed {
				t.Errorf("the job of many tasks is %v", state)
			}
			for _, violation := range sim.violations {
				t.Error(violation)
			}
		})
	}
}
