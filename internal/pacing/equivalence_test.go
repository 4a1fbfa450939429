package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// TestPacesOfSuccessiveTasksOfOneImage compares the paces of tasks that share images with those of tasks whose images
// have different names and equal coefficients, so that each coefficient is looked up.
func TestPacesOfSuccessiveTasksOfOneImage(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	coefficients := make(map[string][2]float64)
	coefficient := func(service, image string) (mean, deviation float64) {
		name, _, _ := strings.Cut(image, "#")
		key := service + " " + name
		if _, known := coefficients[key]; !known {
			coefficients[key] = [2]float64{max(0, 1.5*random.Float64()-0.5), 0.3 * random.Float64()}
		}
		return coefficients[key][0], coefficients[key][1]
	}
	slowed := 0
	for range 5000 {
		var services []Service
		for range random.IntN(4) {
			services = append(services, Service{Image: fmt.Sprint("s", random.IntN(4)), Utilization: random.Float64(), OwnLoad: random.Float64(),
				MaxUtilization: 0.8, OverTargetShare: max(0, random.Float64()-0.4)})
		}
		var tasks, distinct []BestEffortTask
		for i := range random.IntN(12) {
			task := BestEffortTask{Image: fmt.Sprint("f", random.IntN(3)), FullSpeedCPUShare: 0.2 * random.Float64(), Pace: random.IntN(FullSpeed + 1)}
			tasks = append(tasks, task)
			task.Image += fmt.Sprint("#", i)
			distinct = append(distinct, task)
		}
		got, want := Paces(services, tasks, coefficient), Paces(services, distinct, coefficient)
		if !slices.Equal(got, want) {
			t.Fatalf("the paces of %v beside %v are %v instead of %v", tasks, services, got, want)
		}
		for _, pace := range got {
			if pace < FullSpeed {
				slowed++
			}
		}
	}
	if slowed == 0 {
		t.Fatal("no task was slowed down")
	}
}
