package cell

import (
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/jobs"
)

// Guards against TWICE: a cell that had received a task of another cell's job took the tasks of the job's next occurrence for its
// own once that was due, and both cells started them.
func TestNextOccurrenceOfGuestRunsInItsOwnCell(t *testing.T) {
	sim := newCellsSimulation(1, 2, 4)
	sim.run(12 * time.Second)
	spec := testSpec(2)
	spec.Steps[0].LongRunning = true
	spec.OccurrenceCount, spec.StartAt, spec.Interval = 2, sim.wall(), 20*time.Second
	sim.submitTo(0, "listener", spec)
	for _, w := range sim.cells[0].owner.cell.workers {
		w.cordoned = true
	}
	sim.run(3 * time.Second)
	if handedOver := sim.handOverTasks(sim.cells[0], 1, handOverCompletes); handedOver != 2 {
		t.Fatalf("%d tasks were handed over, want 2", handedOver)
	}
	sim.run(5 * time.Second)
	for _, w := range sim.cells[0].owner.cell.workers {
		w.cordoned = false
	}
	sim.run(20 * time.Second)
	for index := range spec.Steps[0].Count {
		for occurrence := range spec.OccurrenceCount {
			task := jobs.TaskID{Job: "listener", Occurrence: occurrence, Index: index}
			if starts := sim.startCounts[task]; starts != 1 {
				t.Errorf("%d starts of task %v, want 1", starts, task)
			}
		}
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}

// Guards against TWICE: of an occurrence that became due after the job had come to another cell, one task was handed over, and its
// siblings were started in both cells.
func TestOneTaskOfLaterOccurrenceIsReceived(t *testing.T) {
	sim := newCellsSimulation(1, 2, 4)
	sim.run(12 * time.Second)
	spec := testSpec(2)
	spec.Steps[0].LongRunning = true
	spec.OccurrenceCount, spec.StartAt, spec.Interval = 2, sim.wall(), 10*time.Second
	sim.submitTo(0, "listener", spec)
	for _, w := range sim.cells[0].owner.cell.workers {
		w.cordoned = true
	}
	sim.run(3 * time.Second)
	sim.handOverTasks(sim.cells[0], 1, handOverCompletes)
	sim.run(10 * time.Second)
	moved := jobs.TaskID{Job: "listener", Occurrence: 1, Index: 1}
	home := sim.cells[0].owner.cell
	home.setElsewhere(home.jobs["listener"].task(moved), true)
	home.jobs["listener"].task(moved).leaving = true
	sim.storeInTable(cellmap.TaskKey(moved), &cellmap.TaskAssignment{Cell: 1})
	sim.spreadTable()
	for _, w := range home.workers {
		w.cordoned = false
	}
	sim.run(10 * time.Second)
	for index := range spec.Steps[0].Count {
		task := jobs.TaskID{Job: "listener", Occurrence: 1, Index: index}
		if starts := sim.startCounts[task]; starts != 1 {
			t.Errorf("%d starts of task %v, want 1", starts, task)
		}
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}

// Guards against a cell that has received one task of a job and creates the tasks of all of its occurrences.
func TestGuestOfManyOccurrencesHasTheAssignedGroupsOnly(t *testing.T) {
	sim := newCellsSimulation(1, 2, 4)
	sim.run(12 * time.Second)
	spec := testSpec(2)
	spec.Steps[0].LongRunning = true
	spec.OccurrenceCount, spec.Interval = jobs.MaxOccurrences, time.Second
	spec.StartAt = sim.wall().Add(-time.Duration(spec.OccurrenceCount) * spec.Interval)
	sim.submitTo(0, "listener", spec)
	for _, w := range sim.cells[0].owner.cell.workers {
		w.cordoned = true
	}
	sim.run(3 * time.Second)
	moved := sim.handOverTasks(sim.cells[0], 1, handOverCompletes)
	sim.run(2 * time.Second)
	guest := sim.cells[1].owner.cell
	if moved == 0 || len(guest.guests) != 1 || guest.taskCount > 2*moved {
		t.Errorf("%d tasks were handed over, of %d jobs, and the cell has %d in memory", moved, len(guest.guests), guest.taskCount)
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}
