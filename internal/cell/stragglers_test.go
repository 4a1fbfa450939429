package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/workercall"
)

// speculativeSpec is testSpec with steps that permit copies.
func speculativeSpec(counts ...int) jobs.Spec {
	spec := testSpec(counts...)
	for i := range spec.Steps {
		spec.Steps[i].Speculative = true
	}
	return spec
}

// newStragglerSimulation returns a simulation whose owner has learned the run times of tasks.
func newStragglerSimulation(seed uint64, workers int) *simulation {
	sim := newSimulation(seed, workers)
	sim.takeOver()
	sim.run(500 * time.Millisecond)
	for i := range 3 {
		sim.submit(jobs.ID(fmt.Sprint("learn", i)), testSpec(16))
	}
	sim.run(4 * time.Second)
	return sim
}

// startSlow submits a job whose tasks take slowFactor times as long as normal, and returns its first task.
func (sim *simulation) startSlow(id jobs.ID, spec jobs.Spec) jobs.TaskID {
	sim.slowRate = 1
	sim.submit(id, spec)
	sim.run(200 * time.Millisecond)
	sim.slowRate = 0
	for _, s := range sim.workers {
		for task, r := range s.running {
			if task.Job == id {
				r.endsAt = r.startedAt + slowFactor*sim.taskRunTime
			}
		}
	}
	return jobs.TaskID{Job: id}
}

// workersRunning returns the workers on which a task runs.
func (sim *simulation) workersRunning(task jobs.TaskID) []*simWorker {
	var on []*simWorker
	for _, s := range sim.sortedWorkers() {
		if s.running[task] != nil {
			on = append(on, s)
		}
	}
	return on
}

// task returns a task as the newest owner has it.
func (sim *simulation) task(id jobs.TaskID) *task { return sim.owner.cell.jobs[id.Job].task(id) }

// startCopied starts a job with one slow task and runs the simulation until a copy of the task runs. It returns the workers
// of the first run and of the copy.
func (sim *simulation) startCopied(id jobs.ID, spec jobs.Spec) (task jobs.TaskID, first, second *simWorker) {
	task = sim.startSlow(id, spec)
	first = sim.workersRunning(task)[0]
	sim.runUntil(func() bool { return len(sim.workersRunning(task)) == 2 })
	on := sim.workersRunning(task)
	return task, first, on[1-slices.Index(on, first)]
}

// runUntil runs the simulation until a condition holds.
func (sim *simulation) runUntil(condition func() bool) {
	for end := sim.now + 10*time.Second; !condition(); sim.run(simTick) {
		if sim.now > end {
			panic("the condition does not hold after 10 s")
		}
	}
}

// finish lets a run end at the next tick.
func (s *simWorker) finish(task jobs.TaskID) { s.running[task].endsAt = s.sim.now }

// Guards against jobs that are late because of one slow task, and against copies where none are wanted.
func TestCopies(t *testing.T) {
	Convey("Given a task that takes seven times as long as normal", t, func() {
		sim := newStragglerSimulation(51, 4)
		Convey("a copy of it is started on another worker, succeeds first, and the first run is stopped", func() {
			task := sim.startSlow("j", speculativeSpec(1))
			sim.run(1500 * time.Millisecond)
			So(sim.startCounts[task], ShouldEqual, 2)
			sim.run(time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.workersRunning(task), ShouldBeEmpty)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("both runs are stored before the copy is started", func() {
			task := sim.startSlow("j", speculativeSpec(1))
			sim.appendTime = 700 * time.Millisecond
			sim.runUntil(func() bool { return len(sim.workersRunning(task)) == 2 })
			var stored jobrecord.Group
			So(recordcodec.Decode(sim.records[jobrecord.GroupKey(task.Group())].Value, &stored), ShouldBeNil)
			So(stored.Tasks[0].Runs, ShouldHaveLength, 2)
			So(stored.Tasks[0].Runs[0].Worker, ShouldNotEqual, stored.Tasks[0].Runs[1].Worker)
		})
		for _, c := range []struct {
			situation string
			change    func(spec *jobs.Spec)
		}{
			{"it uses the processor time that others leave", func(spec *jobs.Spec) { spec.Steps[0].BestEffort = true }},
			{"it belongs to a gang", func(spec *jobs.Spec) { spec.Steps[0].Gang = true }},
			{"a failure would be its last", func(*jobs.Spec) { sim.maxAttempts = 1 }},
			{"no other worker has its label", func(spec *jobs.Spec) {
				sim.workers["w0"].info.Labels = append(sim.workers["w0"].info.Labels, "only")
				spec.Steps[0].RequiredLabel = "only"
			}},
		} {
			Convey("it runs once if "+c.situation, func() {
				spec := speculativeSpec(1)
				c.change(&spec)
				task := sim.startSlow("j", spec)
				sim.run(8 * time.Second)
				So(sim.state("j"), ShouldEqual, jobs.Completed)
				So(sim.startCounts[task], ShouldEqual, 1)
			})
		}
		Convey("it never runs twice at once if its step permits no copies", func() {
			task := sim.startSlow("j", testSpec(1))
			for range 800 {
				sim.run(simTick)
				So(len(sim.workersRunning(task)), ShouldBeLessThanOrEqualTo, 1)
			}
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("it runs once while the owner is short of processor time", func() {
			task := sim.startSlow("j", speculativeSpec(1))
			for range 400 {
				sim.owner.processor.loopDelay = 300 * time.Millisecond
				sim.run(simTick)
			}
			So(sim.startCounts[task], ShouldEqual, 1)
		})
		Convey("it runs once while the other workers are needed by best-effort tasks", func() {
			task := sim.startSlow("j", speculativeSpec(1))
			sim.taskRunTime = time.Minute
			spec := testSpec(31) // with the task all processors are in use, and no task waits
			spec.Steps[0].BestEffort = true
			sim.submit("effort", spec)
			sim.run(4 * time.Second)
			So(sim.task(jobs.TaskID{Job: "effort", Index: 30}).runs, ShouldNotBeEmpty)
			So(sim.startCounts[task], ShouldEqual, 1)
		})
		Convey("it runs once while a task waits that needs a whole worker", func() {
			spread := testSpec(8)
			spread.Steps[0].LongRunning, spread.Steps[0].MaxPerWorker = true, 2
			sim.submit("spread", spread)
			sim.run(200 * time.Millisecond)
			whole := testSpec(1)
			whole.Steps[0].Request.MilliCPU = 4000
			sim.submit("whole", whole)
			task := sim.startSlow("j", speculativeSpec(1))
			sim.run(4 * time.Second)
			So(sim.task(jobs.TaskID{Job: "whole"}).runs, ShouldBeEmpty)
			So(sim.startCounts[task], ShouldEqual, 1)
		})
		Convey("the number of copies of its job is limited", func() {
			sim := newStragglerSimulation(59, 24)
			long := testSpec(150) // so many runs that the cell may have more copies
			long.Steps[0].LongRunning = true
			sim.submit("long", long)
			sim.run(time.Second)
			So(sim.owner.cell.maxCopies(), ShouldBeGreaterThan, maxJobCopies)
			sim.startSlow("j", speculativeSpec(12))
			// Run times of one job that are all long are normal, so that only the limit is left to test.
			sim.owner.cell.jobs["j"].groups[jobs.GroupID{Job: "j"}].knownRunTimes().ended = slices.Repeat([]time.Duration{800 * time.Millisecond}, maxSiblings)
			most := 0
			for range 200 {
				sim.run(simTick)
				copies := 0
				for i := range 12 {
					if len(sim.workersRunning(jobs.TaskID{Job: "j", Index: i})) > 1 {
						copies++
					}
				}
				most = max(most, copies)
			}
			So(most, ShouldEqual, maxJobCopies)
		})
	})
	Convey("Tasks that take as long as normal are not copied", t, func() {
		sim := newStragglerSimulation(52, 4)
		for i := range 10 {
			sim.submit(jobs.ID(fmt.Sprint("j", i)), speculativeSpec(6, 6))
			sim.run(2 * time.Second)
		}
		sim.run(2 * time.Second)
		for task, starts := range sim.startCounts {
			So(fmt.Sprint(task.Key(), " ", starts), ShouldEqual, fmt.Sprint(task.Key(), " ", 1))
		}
	})
	Convey("Jobs whose estimates are wrong by a factor of up to 2.5 get no copies, and no worker is taken for slow", t, func() {
		sim := newStragglerSimulation(54, 6)
		for i := range 60 {
			sim.taskRunTime = []time.Duration{320, 450, 800, 1250, 2000}[sim.random.IntN(5)] * time.Millisecond
			sim.submit(jobs.ID(fmt.Sprint("j", i)), speculativeSpec(5, 5))
			sim.run(420 * time.Millisecond)
		}
		for _, starts := range sim.startCounts {
			So(starts, ShouldEqual, 1)
		}
		So(sim.owner.cell.metrics.SlowWorkers.Get(), ShouldEqual, 0)
	})
	Convey("Tasks of a step that all take longer than estimated are not copied", t, func() {
		sim := newStragglerSimulation(53, 4)
		sim.startSlow("j", speculativeSpec(6))
		sim.run(9 * time.Second)
		So(sim.state("j"), ShouldEqual, jobs.Completed)
		for i := range 6 {
			So(sim.startCounts[jobs.TaskID{Job: "j", Index: i}], ShouldEqual, 1)
		}
	})
}

// Guards against copies and restarts that cost more than they gain: of the jobs on a cell with stragglers and a slow worker,
// more must be on time, and no more runs started anew than were slow.
func TestMoreJobsAreOnTimeWithNewRunsOfStragglers(t *testing.T) {
	play := func(treated, speculative bool) (onTime int, sim *simulation) {
		sim = newSimulation(71, 12)
		sim.slowRate, sim.workers["w3"].slow = 1.0/30, true
		sim.takeOver()
		sim.run(500 * time.Millisecond)
		begun := make(map[jobs.ID]time.Duration)
		for step := range 8000 {
			if step%40 == 0 && step < 6000 {
				id := jobs.ID(fmt.Sprint("j", step))
				spec := testSpec(5, 5)
				for i := range spec.Steps {
					spec.Steps[i].Speculative = speculative
				}
				begun[id] = sim.now
				sim.submit(id, spec)
			}
			if !treated {
				sim.owner.cell.stragglers.checkedAt = sim.now + time.Hour
			}
			sim.run(simTick)
			for id, at := range begun {
				if sim.state(id) == jobs.Completed {
					delete(begun, id)
					if sim.now-at <= sim.owner.cell.jobs[id].objective {
						onTime++
					}
				}
			}
		}
		return onTime, sim
	}
	Convey("Given jobs of two steps on a cell with stragglers and a slow worker", t, func() {
		untreated, _ := play(false, true)
		for _, speculative := range []bool{true, false} {
			onTime, sim := play(true, speculative)
			So(onTime, ShouldBeGreaterThan, untreated)
			starts := 0
			for _, count := range sim.startCounts {
				starts += count
			}
			So(starts-len(sim.startCounts), ShouldBeBetween, 0, sim.slowStarts)
			So(sim.violations, ShouldBeEmpty)
			t.Logf("speculative %v: %d on time instead of %d, %d starts of %d tasks, %d slow", speculative, onTime, untreated, starts, len(sim.startCounts), sim.slowStarts)
		}
	})
}

// Guards against faults while a task has two runs: a task that is lost, done twice, or started too often.
func TestFailuresWithTwoRuns(t *testing.T) {
	Convey("Given a task with a copy", t, func() {
		sim := newStragglerSimulation(54, 4)
		task, first, second := sim.startCopied("j", speculativeSpec(1))
		Reset(func() { So(sim.violations, ShouldBeEmpty) })
		Convey("if the worker of the copy is lost, the first run goes on", func() {
			second.up = false
			sim.run(500 * time.Millisecond)
			So(first.running[task], ShouldNotBeNil)
			first.finish(task)
			sim.run(time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.startCounts[task], ShouldEqual, 2)
		})
		Convey("if the worker of the copy restarts, the first run goes on", func() {
			sim.restartWorker(second.info.ID)
			sim.run(300 * time.Millisecond)
			So(first.running[task], ShouldNotBeNil)
			sim.run(7 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
		})
		Convey("if the worker of the first run is lost, the copy goes on", func() {
			first.up = false
			sim.run(4 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.startCounts[task], ShouldEqual, 2)
		})
		Convey("if both runs succeed at once, the job completes once and nothing runs on", func() {
			first.finish(task)
			second.finish(task)
			sim.run(time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.running(), ShouldEqual, 0)
			So(sim.owner.cell.workers[first.info.ID].reserved, ShouldResemble, jobs.Resources{})
			So(sim.owner.cell.workers[second.info.ID].reserved, ShouldResemble, jobs.Resources{})
		})
		Convey("if the first run fails, this counts as an attempt while the copy goes on", func() {
			first.end(task, workercall.Failed)
			sim.run(150 * time.Millisecond)
			So(sim.task(task).failures, ShouldEqual, 1)
			So(sim.workersRunning(task), ShouldResemble, []*simWorker{second})
			sim.run(3 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.startCounts[task], ShouldEqual, 2)
		})
		Convey("if all runs fail, no run is started after the last attempt has failed", func() {
			first.end(task, workercall.Failed)
			second.end(task, workercall.Failed)
			sim.failRate = 1
			sim.run(10 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Failed)
			So(sim.startCounts[task], ShouldEqual, 3)
		})
		Convey("if the job is cancelled, both runs are stopped and it stays cancelled", func() {
			sim.cancel("j")
			sim.run(500 * time.Millisecond)
			So(sim.workersRunning(task), ShouldBeEmpty)
			sim.takeOver()
			sim.run(2 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Cancelled)
			So(sim.startCounts[task], ShouldEqual, 2)
		})
		Convey("a new owner knows both runs, starts no third, and stops the other when one succeeds", func() {
			second.running[task].endsAt = sim.now + time.Minute // not by itself before the new owner knows it
			sim.owner.ended = true
			sim.takeOver()
			sim.run(500 * time.Millisecond)
			So(sim.task(task).runs, ShouldHaveLength, 2)
			second.finish(task)
			sim.run(time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.workersRunning(task), ShouldBeEmpty)
			So(sim.startCounts[task], ShouldEqual, 2)
		})
		Convey("a new owner reads the success of one run that ended without an owner", func() {
			sim.owner.ended = true
			second.finish(task)
			sim.run(300 * time.Millisecond)
			sim.takeOver()
			sim.run(time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.workersRunning(task), ShouldBeEmpty)
		})
		Convey("a new owner stops the run that the former one had not stopped when it stored the success of the other", func() {
			sim := newStragglerSimulation(61, 4)
			task, first, second := sim.startCopied("j", speculativeSpec(1, 1))
			sim.taskRunTime = time.Minute // of the second step, so that the job has not ended
			first.unreachableBy[sim.owner] = true
			second.finish(task)
			sim.run(300 * time.Millisecond)
			So(first.running[task], ShouldNotBeNil)
			sim.owner.ended = true
			sim.takeOver()
			sim.run(500 * time.Millisecond)
			So(sim.workersRunning(task), ShouldBeEmpty)
			So(sim.state("j"), ShouldEqual, jobs.Running)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("the success of a run that was abandoned counts, and the other run is stopped", func() {
			first.unreachableBy[sim.owner] = true
			second.running[task].endsAt += time.Minute
			first.running[task].endsAt = sim.now + 3*time.Second
			sim.run(8 * time.Second) // the lease of the first run has expired
			So(sim.task(task).runs, ShouldHaveLength, 1)
			delete(first.unreachableBy, sim.owner)
			sim.run(time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.workersRunning(task), ShouldBeEmpty)
		})
	})
	Convey("A start of the copy that comes late finds that the success of the task is not acknowledged yet", t, func() {
		late := 0
		for seed := uint64(60); seed < 80; seed++ {
			sim := newStragglerSimulation(seed, 4)
			task := sim.startSlow("j", speculativeSpec(1))
			first := sim.workersRunning(task)[0]
			sim.runUntil(func() bool { return len(sim.task(task).runs) != 1 })
			if sim.task(task).done {
				continue
			}
			second := sim.task(task).runs[1]
			sim.delayRate = 1
			sim.runUntil(func() bool { return second.state != runPlaced })
			sim.delayRate = 0
			sim.workers[second.worker.info.ID].unreachableBy[sim.owner] = true
			first.finish(task)
			sim.run(500 * time.Millisecond)
			So(sim.state("j"), ShouldEqual, jobs.Completed) // the job does not wait
			So(sim.ackedDone[task], ShouldBeFalse)
			sim.run(12 * time.Second)
			So(sim.ackedDone[task], ShouldBeTrue)
			So(sim.violations, ShouldBeEmpty)
			if sim.startCounts[task] > 1 {
				late++
			}
		}
		So(late, ShouldBeGreaterThan, 0)
	})
}

// Guards against a checkpoint of one run that replaces a later one of the other, so that work is done again.
func TestCheckpointsOfTwoRuns(t *testing.T) {
	Convey("Of the checkpoints of two runs, that of the run that has got furthest is kept", t, func() {
		sim := newStragglerSimulation(55, 4)
		spec := speculativeSpec(1)
		spec.Steps[0].Checkpoints = true
		task, first, second := sim.startCopied("j", spec)
		second.running[task].startedAt, second.running[task].endsAt = sim.now, sim.now+5*time.Second
		first.running[task].startedAt, first.running[task].endsAt = sim.now-8*time.Second, sim.now+12*time.Second // 40%
		seen := 0
		for sim.state("j") == jobs.Running {
			sim.run(simTick)
			if at := int(sim.task(task).checkpointPercent); !sim.task(task).done {
				So(at, ShouldBeGreaterThanOrEqualTo, seen)
				seen = at
			}
		}
		So(seen, ShouldBeGreaterThan, 80)
		So(sim.violations, ShouldBeEmpty)
	})
}

// Guards against runs that are stopped without need, and against two runs at once of a task that permits no copies.
func TestRestartsOfStragglers(t *testing.T) {
	Convey("Given a task that takes seven times as long as normal and permits no copies", t, func() {
		sim := newStragglerSimulation(56, 4)
		Reset(func() { So(sim.violations, ShouldBeEmpty) })
		Convey("it starts again on another worker if it has only just begun", func() {
			sim.taskRunTime *= 4
			spec := testSpec(1)
			spec.Steps[0].Estimate *= 4
			task := sim.startSlow("j", spec)
			first := sim.workersRunning(task)[0]
			sim.run(3 * time.Second)
			So(sim.startCounts[task], ShouldEqual, 2)
			So(sim.workersRunning(task), ShouldNotContain, first)
			sim.run(4 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.task(task).failures, ShouldEqual, 0)
		})
		Convey("it continues from its checkpoint on another worker, once", func() {
			sim.taskRunTime *= 4
			spec := testSpec(1)
			spec.Steps[0].Estimate, spec.Steps[0].Checkpoints = 4*spec.Steps[0].Estimate, true
			task := sim.startSlow("j", spec)
			first := sim.workersRunning(task)[0]
			first.running[task].from = 30
			sim.runUntil(func() bool { return sim.startCounts[task] == 2 })
			So(sim.workersRunning(task), ShouldHaveLength, 1)
			So(sim.workersRunning(task)[0].running[task].from, ShouldBeGreaterThanOrEqualTo, 30)
			sim.run(4 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.startCounts[task], ShouldEqual, 2)
		})
		Convey("it goes on if much of it is done", func() {
			sim.taskRunTime *= 4
			spec := testSpec(1)
			spec.Steps[0].Estimate *= 4
			task := sim.startSlow("j", spec)
			sim.workersRunning(task)[0].running[task].from = 30
			sim.run(3 * time.Second)
			So(sim.startCounts[task], ShouldEqual, 1)
		})
	})
}

// Guards against tasks that are placed on slow workers while others have room, and against workers that are avoided for good.
func TestSlowWorkers(t *testing.T) {
	Convey("Given a worker on which all tasks take seven times as long", t, func() {
		sim := newStragglerSimulation(57, 4)
		slow := sim.workers["w0"]
		slow.slow = true
		sim.submit("j", testSpec(16))
		sim.run(3 * time.Second)
		So(sim.owner.cell.now, ShouldBeLessThan, sim.owner.cell.workers["w0"].slowUntil)
		starts := func() int {
			count := slow.endCount
			sim.submit(jobs.ID(fmt.Sprint("more", sim.now)), testSpec(8))
			sim.run(300 * time.Millisecond)
			return int(slow.endCount-count) + len(slow.running)
		}
		Convey("new tasks start elsewhere while others have room, and there if none has", func() {
			before := len(slow.running)
			So(starts(), ShouldBeLessThanOrEqualTo, before)
			sim.submit("many", testSpec(30))
			sim.run(200 * time.Millisecond)
			So(len(slow.running), ShouldBeGreaterThan, before)
		})
		Convey("it is used again once its tasks take as long as others", func() {
			slow.slow = false
			sim.run(20 * time.Second)
			So(starts(), ShouldBeGreaterThan, 0)
		})
		Convey("its next incarnation is not slow", func() {
			sim.restartWorker("w0")
			sim.run(500 * time.Millisecond)
			So(sim.owner.cell.workers["w0"].slowUntil, ShouldBeLessThanOrEqualTo, sim.owner.cell.now)
		})
	})
	Convey("A worker that has just started is avoided for the time that its entry names, also when the entry is read again", t, func() {
		sim := newSimulation(58, 2)
		sim.workers["w0"].info.ColdLeft, sim.workers["w0"].info.Sequence = 3*time.Second, 1
		sim.takeOver()
		sim.run(500 * time.Millisecond)
		sim.submit("cold", testSpec(4))
		sim.run(200 * time.Millisecond)
		So(sim.workers["w0"].running, ShouldBeEmpty)
		sim.run(3 * time.Second)
		sim.submit("warm", testSpec(4))
		sim.run(200 * time.Millisecond)
		So(sim.workers["w0"].running, ShouldNotBeEmpty)
	})
}
