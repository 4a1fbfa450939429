package cell

import (
	"fmt"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
)

// Guards against jobs with nothing running, although there is room, until all tasks of a large job before them are started.
func TestJobsBeginBesideLargeOne(t *testing.T) {
	for name, longRunning := range map[string]bool{"jobs": false, "services": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(9, 40)
			sim.takeOver()
			var ids []jobs.ID
			for i := range 4 {
				ids = append(ids, jobs.ID(fmt.Sprint("j", i)))
				sim.submit(ids[i], manyTasks(20000, longRunning))
			}
			sim.run(1500 * time.Millisecond)
			for _, id := range ids {
				if state := sim.state(id); state != jobs.Running {
					t.Errorf("%s is %v", id, state)
				}
			}
			if len(sim.violations) > 0 {
				t.Error(sim.violations[0])
			}
		})
	}
}
