package cell

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
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
		{"an index for which there is no sum", []store.Record{part(math.MaxInt, 2, 1), part(0, 2, 2), part(0, 7, 3)}, "220000", 2},
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

// storedTasks returns the progress of all tasks of a job as the store has it. Tasks of closed occurrences and of an ended job are done.
func storedTasks(t *testing.T, spec *jobs.Spec, id jobs.ID, records map[string]store.Record) map[jobs.TaskID]jobrecord.Task {
	var groups storedGroups
	var closed occurrenceSet
	ended := false
	for _, key := range sortedKeysOf(records) {
		kind, group := jobrecord.ParseKey(key)
		switch {
		case group.Job != id:
		case kind == jobrecord.KindOutcome:
			ended = true
		case kind == jobrecord.KindGroup:
			if err := groups.add(group, records[key]); err != nil {
				t.Fatal(err)
			}
		case kind == jobrecord.KindOccurrences:
			var record jobrecord.Occurrences
			if err := recordcodec.Decode(records[key].Value, &record); err != nil {
				t.Fatal(err)
			}
			closed.ranges = record.Ended
		}
	}
	tasks := make(map[jobs.TaskID]jobrecord.Task)
	for occurrence := range spec.Occurrences() {
		group := jobs.GroupID{Job: id, Occurrence: occurrence}
		merged, _ := groups.merge(group, spec.Steps[0].Count)
		for i, task := range merged.Tasks {
			if ended || closed.contains(occurrence) {
				task = jobrecord.Task{Done: true}
			}
			tasks[group.Task(i)] = task
		}
	}
	return tasks
}

// Guards against progress that is lost if only the first records of a round are stored, because its owner ends between two appends, and
// against records that are not stored again after the store has rejected a round.
func TestRoundStoredInPartLosesNothing(t *testing.T) {
	for name, spec := range map[string]func(*simulation) jobs.Spec{
		"a step of many tasks": func(*simulation) jobs.Spec { return manyTasks(300, false) },
		"many occurrences":     func(sim *simulation) jobs.Spec { return sim.scheduled(110, 20, time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(7, 8)
			sim.recordLimit, sim.rejectRate, sim.taskRunTime = 300, 0.3, 300*time.Millisecond
			sim.takeOver()
			spec := spec(sim)
			spec.Steps[0].Checkpoints = true // so that records of tasks with progress grow
			sim.failRate, sim.maxAttempts = 0.2, 20
			rounds, checked := 0, 0
			sim.planned = func(records []store.Record) {
				rounds++
				checkPrefixes(t, sim, &spec, records)
				for ; checked < len(sim.rejections); checked++ {
					checkPlannedAgain(t, sim.rejections[checked], records)
				}
			}
			sim.submit("j", spec)
			sim.run(2 * time.Second)
			if rounds < 20 || checked < 5 {
				t.Errorf("%d rounds were checked, of which %d were rejected", rounds, checked)
			}
		})
	}
}

// checkPlannedAgain checks that a round has the records of a former one that was rejected. Records with a part of the tasks of a part may
// have been joined.
func checkPlannedAgain(t *testing.T, rejected, records []store.Record) {
	t.Helper()
	for _, r := range rejected {
		kind, _ := jobrecord.ParseKey(r.Key)
		if kind == jobrecord.KindLearned || kind == jobrecord.KindGroup && jobrecord.FirstTask(r.Key)%jobrecord.PartTasks != 0 {
			continue
		}
		if !slices.ContainsFunc(records, func(again store.Record) bool { return again.Key == r.Key }) {
			t.Fatalf("the record of %s was rejected and is not stored again", r.Key)
		}
	}
}

// checkPrefixes checks that each task has its former or its next progress after only the first records of a round are stored.
func checkPrefixes(t *testing.T, sim *simulation, spec *jobs.Spec, records []store.Record) {
	t.Helper()
	before := storedTasks(t, spec, "j", sim.records)
	stored, states := maps.Clone(sim.records), []map[jobs.TaskID]jobrecord.Task{before}
	every := 1
	if spec.Occurrences() > 1 {
		every += len(records) / 8 // which keeps the test short
	}
	for i, r := range records {
		r.Offset = sim.progressEnd + store.Offset(i+1)
		if stored[r.Key] = r; len(r.Value) == 0 {
			delete(stored, r.Key)
		}
		if (i+1)%every == 0 || i == len(records)-1 {
			states = append(states, storedTasks(t, spec, "j", stored))
		}
	}
	after := states[len(states)-1]
	for i, state := range states {
		for id, task := range state {
			if !reflect.DeepEqual(task, before[id]) && !reflect.DeepEqual(task, after[id]) && (!task.Done || !after[id].Done) {
				t.Fatalf("in state %d of %d, with %d records, task %v has the progress %+v, before the round %+v, after it %+v", i, len(states), len(records), id, task, before[id], after[id])
			}
		}
	}
}
