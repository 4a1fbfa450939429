package cell

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/jobs"
)

// Guards against LOST: from the logs it could not be told whether a task without a run belonged to another cell, or its cell had no
// workers.
func TestTasksThatThisCellCannotStartAreLogged(t *testing.T) {
	for message, play := range map[string]func(*simulation, *Cell){
		"tasks belong to another cell": func(sim *simulation, c *Cell) {
			spec := testSpec(1)
			spec.Steps[0].LongRunning = true
			c.SetCordoned([]string{"w0"}, true)
			sim.submit("j", spec)
			sim.run(100 * time.Millisecond)
			c.SetTasks(map[string]cellmap.TaskAssignment{jobs.TaskID{Job: "j"}.Key(): {Cell: 1}})
		},
		"tasks wait in a cell without workers": func(sim *simulation, _ *Cell) {
			sim.workers["w0"].up = false
			sim.submit("j", testSpec(1))
		},
	} {
		t.Run(message, func(t *testing.T) {
			sim := newCellsSimulation(1, 2, 2)
			c := sim.owner.cell
			core, logs := observer.New(zap.InfoLevel)
			c.log = zap.New(core)
			play(sim, c)
			sim.run(12 * time.Second)
			if lines := logs.FilterMessage(message).Len(); lines != 3 { // after 2.4, 4.8 and 9.6 s
				t.Errorf("%d lines, want 3: %v", lines, logs.All())
			}
			if load := c.Workload(); load.TasksElsewhere+load.TasksWithoutWorkers != 1 {
				t.Errorf("workload %+v, want one such task", load)
			}
			sim.checkNextSteps(sim.owner)
			for _, violation := range sim.violations {
				t.Error(violation)
			}
		})
	}
}
