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

// Guards against a start after an acknowledged success: a start order without an answer was repeated after an abandoned run of
// the task had succeeded, also where the step permits no copies.
func TestStartIsNotRepeatedAfterAbandonedRunSucceeded(t *testing.T) {
	sim := newSimulation(34, 2)
	sim.takeOver()
	sim.run(time.Second)
	sim.taskRunTime = time.Minute
	sim.submit("j", testSpec(1))
	sim.run(300 * time.Millisecond)
	task := jobs.TaskID{Job: "j"}
	first := sim.workersRunning(task)[0]
	first.unreachableBy[sim.owner] = true
	first.running[task].endsAt = sim.now + 2*time.Second // before its lease ends
	sim.runUntil(func() bool { return sim.task(task).runs[0].number == 2 })
	second := sim.task(task).runs[0]
	sim.lossRate = 1
	sim.runUntil(func() bool { return second.state == runStartSent })
	sim.run(2 * simTick)
	sim.lossRate = 0
	delete(first.unreachableBy, sim.owner)
	sim.run(10 * time.Second)
	if state := sim.state("j"); state != jobs.Completed {
		t.Errorf("state %v, want completed", state)
	}
	if starts := sim.startCounts[task]; starts != 1 {
		t.Errorf("%d starts, want 1", starts)
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}

// Guards against LOST: workers that are kept free for a large long-running task which finds no room hide their room from smaller
// ones that were interrupted as well, for as long as what runs there does not end.
func TestWorkersKeptFreeTakeInterruptedTasksThatFit(t *testing.T) {
	sim := newSimulation(21, 1)
	sim.takeOver()
	sim.run(time.Second)
	sim.taskRunTime = time.Minute
	for _, j := range []struct {
		id          jobs.ID
		milliCPU    int
		longRunning bool
	}{{"large", 3000, true}, {"small", 1000, true}, {"ordinary", 2000, false}} {
		spec := testSpec(1)
		spec.Steps[0].Request, spec.Steps[0].LongRunning = jobs.Resources{MilliCPU: j.milliCPU, MemoryMB: 100}, j.longRunning
		sim.submit(j.id, spec)
		if j.id == "ordinary" { // the first worker is full
			sim.addWorker("w1")
		}
		sim.runUntil(func() bool { return sim.startCounts[jobs.TaskID{Job: j.id}] == 1 })
	}
	delete(sim.workers, "w0")
	sim.run(10 * time.Second)
	if starts := sim.startCounts[jobs.TaskID{Job: "small"}]; starts != 2 {
		t.Errorf("the small task was started %d times, want a second time beside the ordinary one", starts)
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}
