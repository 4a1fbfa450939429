package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestHeadroomIsThatOfTheRoundsStart places best-effort tasks on random workers and compares the headroom of a view to
// one that is computed for all workers before the first placement and then reduced with each.
func TestHeadroomIsThatOfTheRoundsStart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	world := newBenchWorld(t, benchLoad{startsPerSecond: 500, runTime: 2 * time.Second})
	for range 300 {
		for range 5 {
			world.flush()
		}
		for range 4 {
			world.submitTasks()
		}
		compareHeadroom(t, world.cell, random)
	}
}

func compareHeadroom(t *testing.T, c *Cell, random *rand.Rand) {
	t.Helper()
	v := c.newPlacementView()
	images := []string{"image0", "image4", "image8", "image12", "image16"}
	expected := make(map[string][]float64)
	for _, image := range images[:3] {
		c.headroomAt(v, 0, image) // the image is needed from now on
		for _, w := range v.workers {
			expected[image] = append(expected[image], c.headroom(w, image))
		}
	}
	for _, g := range c.sortWaiting() {
		if !g.step.BestEffort {
			continue
		}
		i := random.IntN(20)
		highest := 0.0
		for _, r := range v.workers[i].runs {
			if service := r.task.group.step; service.TargetTailLatency > 0 {
				mean, _ := c.interference.Coefficient(service.Image, g.step.Image)
				highest = max(highest, mean)
			}
		}
		for _, headroom := range expected {
			headroom[i] -= min(1, highest) * v.cpuShare(i, g.step)
		}
		for _, task := range g.tasks {
			if task.needsRun() {
				c.assign(v, task, i, task.lastRunNumber+1)
				break
			}
		}
	}
	for image, headroom := range expected {
		for i := range headroom {
			if actual := c.headroomAt(v, i, image); fmt.Sprintf("%.9f", actual) != fmt.Sprintf("%.9f", headroom[i]) {
				t.Fatalf("headroom of %s on worker %d is %v instead of %v", image, i, actual, headroom[i])
			}
		}
	}
}
