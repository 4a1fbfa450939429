package cell

import (
	"fmt"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
)

const (
	overloadWorkers  = 10
	overloadTasks    = 10 // of a job
	overloadPeriod   = 15 * time.Second
	overloadInterval = 20 * time.Millisecond
	// overloadCapacity is the number of jobs that the workers can run in overloadPeriod: each worker has room for eight tasks,
	// which run for 0.8 s.
	overloadCapacity = overloadWorkers * 8 * 15 * 10 / 8 / overloadTasks
)

// completedOnTime hands in jobs at a rate per second for overloadPeriod and returns how many were completed within their objective.
// eachInterval is called each overloadInterval.
func completedOnTime(sim *simulation, perSecond int, eachInterval func(n int)) int {
	submitted := make(map[jobs.ID]time.Duration)
	const objective = 2 * 800 * time.Millisecond // CriticalPathFactor times the estimate of testSpec
	onTime := 0
	for n := 0; n < int(overloadPeriod/overloadInterval); n++ {
		if n*perSecond*int(overloadInterval/time.Millisecond)/1000 > (n-1)*perSecond*int(overloadInterval/time.Millisecond)/1000 {
			id := jobs.ID(fmt.Sprintf("j%04d", n))
			submitted[id] = sim.now
			sim.submit(id, testSpec(overloadTasks))
		}
		eachInterval(n)
		sim.run(overloadInterval)
		for id, at := range submitted {
			if sim.now-at > objective {
				delete(submitted, id)
			} else if sim.state(id) == jobs.Completed {
				onTime++
				delete(submitted, id)
			}
		}
	}
	return onTime
}

// Pattern: twice as much work as the workers have room for. Served by their slack, jobs were begun when they were about to be
// late, and most of them were late.
func TestNewestJobsAreServedOnTimeWhileRoomIsShort(t *testing.T) {
	sim := newSimulation(1, overloadWorkers)
	sim.takeOver()
	sim.run(2 * time.Second)
	onTime := completedOnTime(sim, 2*overloadCapacity/15, func(int) {})
	if onTime*10 < overloadCapacity*6 {
		t.Errorf("%d jobs were on time, want at least 60%% of the %d that there is room for", onTime, overloadCapacity)
	}
}

// Pattern: a wave of services while short tasks ask for more room than there is. A service holds what it gets for good, so that the short tasks
// that waited at the same time were late.
func TestWaveOfServicesComesAfterShortTasks(t *testing.T) {
	sim := newSimulation(1, overloadWorkers)
	sim.takeOver()
	sim.run(2 * time.Second)
	const perSecond = overloadCapacity / 10 // half as much again as there is room for
	onTime := completedOnTime(sim, perSecond, func(n int) {
		if n == 100 {
			for i := range 8 {
				spec := testSpec(8)
				spec.Steps[0].LongRunning = true
				sim.submit(jobs.ID(fmt.Sprintf("s%04d", i)), spec)
			}
		}
	})
	if onTime*10 < overloadCapacity*6 {
		t.Errorf("%d short jobs were on time, want at least 60%% of %d", onTime, overloadCapacity)
	}
}

// An interrupted service comes first: its users are without it.
func TestInterruptedServiceComesBeforeShortTasks(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.takeOver()
	sim.run(2 * time.Second)
	spec := testSpec(4)
	spec.Steps[0].LongRunning = true
	sim.submit("service", spec)
	sim.run(time.Second)
	restarted := false
	completedOnTime(sim, 10, func(n int) {
		if n == 100 {
			sim.restartWorker("w0")
			sim.restartWorker("w1")
			restarted = true
		}
		if restarted && n > 300 {
			running := 0
			for _, w := range sim.workers {
				for _, r := range w.running {
					if r.step.LongRunning {
						running++
					}
				}
			}
			if running != 4 {
				t.Fatalf("%v after the restart %d tasks of the service run, want 4", time.Duration(n-100)*overloadInterval, running)
			}
		}
	})
}
