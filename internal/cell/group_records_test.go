package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

// manyTasks returns a job with one step of small tasks.
func manyTasks(count int, longRunning bool) jobs.Spec {
	return jobs.Spec{Payload: "p", Steps: []jobs.Step{{Count: count, Request: jobs.Resources{MilliCPU: 10, MemoryMB: 1},
		Estimate: 800 * time.Millisecond, LongRunning: longRunning}}}
}

// progressOf returns the keys under which the store has progress of a job.
func (sim *simulation) progressOf(id jobs.ID) (keys []string) {
	for key := range sim.records {
		if _, group := jobrecord.ParseKey(key); group.Job == id {
			keys = append(keys, key)
		}
	}
	return keys
}

// Guards against a cell that stores nothing any more, because the progress of a step of many tasks is larger than the largest record that
// the store takes.
func TestStepOfManyTasksFitsIntoRecords(t *testing.T) {
	const tasks = 600
	Convey("Given a store whose largest record holds the progress of some 100 running tasks", t, func() {
		sim := newSimulation(3, 8)
		sim.recordLimit = 2500
		sim.takeOver()
		Convey("all tasks of a step of 600 start, and other jobs complete meanwhile", func() {
			sim.submit("large", manyTasks(tasks, true))
			sim.run(time.Second)
			sim.submit("small", testSpec(2))
			sim.run(3 * time.Second)
			So(sim.running(), ShouldEqual, tasks)
			So(sim.state("small"), ShouldEqual, jobs.Completed)
			So(sim.violations, ShouldBeEmpty)
			Convey("the next owner starts none of them again, and those of a lost worker once", func() {
				sim.takeOver()
				sim.run(3 * time.Second)
				lost := len(sim.workers["w3"].running)
				sim.restartWorker("w3")
				sim.run(3 * time.Second)
				sim.takeOver()
				sim.run(3 * time.Second)
				So(sim.running(), ShouldEqual, tasks)
				So(sim.violations, ShouldBeEmpty)
				starts := 0
				for _, count := range sim.startCounts {
					starts += count
				}
				So(starts, ShouldEqual, tasks+lost+len(testSpec(2).Steps)*2)
			})
		})
		Convey("a step of 600 tasks completes, each of which is started once, and its progress is deleted with the job", func() {
			sim.statusRetention = 2 * time.Second
			sim.takeOver()
			sim.submit("large", manyTasks(tasks, false))
			sim.run(2 * time.Second)
			sim.takeOver()
			sim.run(4 * time.Second)
			So(len(sim.done), ShouldEqual, tasks)
			So(sim.violations, ShouldBeEmpty)
			for _, count := range sim.startCounts {
				So(count, ShouldEqual, 1)
			}
			sim.run(5 * time.Second)
			So(sim.progressOf("large"), ShouldBeEmpty)
		})
	})
}

// Guards against bytes that grow with the square of a step's size: each start stored the progress of the whole step.
func TestBytesOfStartDoNotGrowWithStep(t *testing.T) {
	bytesPerStart := func(tasks int) int {
		sim := newSimulation(3, 8)
		sim.takeOver()
		sim.submit("j", manyTasks(tasks, true))
		bytes := 0
		for len(sim.startCounts) < tasks {
			sim.run(simTick)
			if storing := sim.owner.cell.storing; storing != nil {
				bytes += store.RecordsSize(storing.Records)
			}
		}
		return bytes / tasks
	}
	small, large := bytesPerStart(jobrecord.PartTasks), bytesPerStart(16*jobrecord.PartTasks)
	if large > small*5/4 {
		t.Errorf("a start stores %d bytes in a step of %d tasks, and %d in one of %d", large, 16*jobrecord.PartTasks, small, jobrecord.PartTasks)
	}
}

// Guards against progress that is lost or read from the wrong record after the program was upgraded: earlier builds stored that of all
// tasks under one key.
func TestProgressInOneRecordIsReadAndContinued(t *testing.T) {
	Convey("Given the progress of 300 tasks in one record, as earlier builds stored it", t, func() {
		const tasks = 300
		sim := newSimulation(4, 4)
		sim.submit("j", manyTasks(tasks, false))
		earlier := jobrecord.Group{NextRun: 1, Tasks: make([]jobrecord.Task, tasks)}
		for i := range earlier.Tasks {
			earlier.Tasks[i] = jobrecord.Task{Done: i%3 > 0, LastRun: 1}
		}
		value, err := recordcodec.Encode(&earlier)
		So(err, ShouldBeNil)
		key := jobrecord.GroupKey(jobs.GroupID{Job: "j"})
		sim.progressEnd++
		sim.records[key] = store.Record{Key: key, Value: value, Offset: sim.progressEnd}
		sim.taskRunTime = 200 * time.Millisecond
		sim.takeOver()
		Convey("only the unfinished ones are started, also by later owners, and all records are deleted in the end", func() {
			sim.statusRetention = time.Second
			for range 20 {
				sim.run(100 * time.Millisecond)
				sim.takeOver()
			}
			sim.run(2 * time.Second)
			So(sim.violations, ShouldBeEmpty)
			So(len(sim.done), ShouldEqual, tasks/3)
			for task := range sim.startCounts {
				So(task.Index%3, ShouldEqual, 0)
			}
			So(len(sim.startCounts), ShouldEqual, tasks/3)
			sim.run(4 * time.Second)
			So(sim.progressOf("j"), ShouldBeEmpty)
		})
	})
}

// Guards against a task whose checkpoint alone is too large for a record.
func TestCheckpointThatNoRecordHoldsIsNotKept(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.recordLimit = 2500
	o := sim.takeOver()
	sim.taskRunTime = time.Minute
	sim.submit("j", testSpec(1))
	sim.run(time.Second)
	for _, r := range o.cell.workers["w0"].runs {
		o.cell.adoptCheckpoint(r, "kept")
		o.cell.adoptCheckpoint(r, strings.Repeat("x", sim.recordLimit/2+1))
		if r.task.checkpoint != "kept" || o.cell.metrics.LargeCheckpoints.Get() != 1 {
			t.Errorf("the checkpoint has %d bytes", len(r.task.checkpoint))
		}
	}
	if sim.running() != 1 {
		t.Errorf("%d tasks run", sim.running())
	}
}

func TestMergeOfGroupRecords(t *testing.T) {
	id := jobs.GroupID{Job: "j"}
	part := func(first, tasks, run int) store.Record {
		record := jobrecord.Group{NextRun: run, Tasks: make([]jobrecord.Task, tasks)}
		for i := range record.Tasks {
			record.Tasks[i].LastRun = run
		}
		value, err := recordcodec.Encode(&record)
		if err != nil {
			t.Fatal(err)
		}
		key := jobrecord.GroupPartKey(id, first)
		if first < 0 {
			key = jobrecord.GroupKey(id)
		}
		return store.Record{Key: key, Value: value, Offset: store.Offset(run)}
	}
	for _, c := range []struct {
		name    string
		records []store.Record
		want    string // the last run of each task
		unfit   int
	}{
		{"one record", []store.Record{part(-1, 6, 1)}, "111111", 0},
		{"parts after one record", []store.Record{part(-1, 6, 1), part(2, 2, 3)}, "113311", 0},
		{"one record after parts, as an earlier build writes it", []store.Record{part(2, 2, 3), part(-1, 6, 4)}, "444444", 0},
		{"a part that was divided", []store.Record{part(0, 6, 1), part(3, 3, 2), part(0, 3, 3)}, "333222", 0},
		{"a division of which the store has the first records only", []store.Record{part(0, 6, 1), part(3, 3, 2)}, "111222", 0},
		{"a divided part that is whole again", []store.Record{part(3, 3, 1), part(0, 3, 2), part(0, 6, 3)}, "333333", 0},
		{"missing parts", []store.Record{part(2, 2, 1)}, "001100", 0},
		{"records that do not fit", []store.Record{part(4, 3, 1), part(0, 0, 2), part(0, 2, 3)}, "330000", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var stored storedGroups
			for _, r := range c.records {
				if err := stored.add(id, r); err != nil {
					t.Fatal(err)
				}
			}
			merged, unfit := stored.merge(id, 6)
			var got strings.Builder
			for _, task := range merged.Tasks {
				fmt.Fprint(&got, task.LastRun)
			}
			if got.String() != c.want || len(unfit) != c.unfit {
				t.Errorf("got %s and %d that do not fit, want %s and %d", got.String(), len(unfit), c.want, c.unfit)
			}
		})
	}
}
