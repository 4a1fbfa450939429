package cell

import (
	"slices"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/cpuinterference"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/urgency"
	"cactuswall.example/cactuswall/internal/workercall"
)

// newServicesSimulation returns a simulation of six workers, each with a service that is near its latency target and requests a
// share of the worker, in percent. The image "heavy" presses on the services, "harmless" does not.
func newServicesSimulation(percent int) *simulation {
	sim := newSimulation(1, 6)
	sim.serviceTail = 80 * time.Millisecond
	sim.takeOverWithEvidence()
	sim.run(11 * time.Second) // the leases of a former owner
	spec := testSpec(6)
	step := &spec.Steps[0]
	step.LongRunning, step.Image, step.TargetTailLatency, step.MaxPerWorker = true, "service", 100*time.Millisecond, 1
	step.Request.MilliCPU = 40 * percent
	sim.submit("services", spec)
	sim.run(3 * time.Second)
	sim.taskRunTime = 3 * time.Minute
	return sim
}

// takeOverWithEvidence starts an owner that knows how images interfere.
func (sim *simulation) takeOverWithEvidence() {
	sim.takeOver().cell.interference.Restore(cpuinterference.Snapshot{
		LowestTailMS: map[string]float64{"service": 20},
		Pairs: []cpuinterference.Pair{
			{ServiceImage: "service", BestEffortImage: "heavy", Mean: 1.5, Deviation: 0.01},
			{ServiceImage: "service", BestEffortImage: "harmless", Mean: 0, Deviation: 0.01},
		},
	})
}

// submitBestEffort submits a job of best-effort steps of an image.
func (sim *simulation) submitBestEffort(id jobs.ID, image string, counts ...int) {
	spec := testSpec(counts...)
	for i := range spec.Steps {
		spec.Steps[i].BestEffort, spec.Steps[i].Image = true, image
	}
	sim.submit(id, spec)
}

// idle advances the simulation by d and returns the longest time for which a job had nothing running.
func (sim *simulation) idle(id jobs.ID, d time.Duration) (longest time.Duration) {
	idle := time.Duration(0)
	for end := sim.now + d; sim.now < end; longest = max(longest, idle) {
		sim.run(simTick)
		idle += simTick
		for _, w := range sim.workers {
			for task := range w.running {
				if task.Job == id {
					idle = 0
				}
			}
		}
	}
	return longest
}

// runsOf returns the runs of a job as the owner knows them.
func (sim *simulation) runsOf(id jobs.ID) (runs []*run) {
	if j := sim.owner.cell.jobs[id]; j != nil {
		for _, g := range j.groups {
			for _, t := range g.tasks {
				runs = append(runs, t.runs...)
			}
		}
	}
	return runs
}

// stop has the runs of a job stopped, as relocate does.
func (sim *simulation) stop(id jobs.ID) {
	for _, r := range sim.runsOf(id) {
		sim.owner.cell.stopRun(r, stopThrottled)
	}
}

// otherServiceIsFull adds workers of another platform service whose room is taken.
func (sim *simulation) otherServiceIsFull() {
	for _, id := range []string{"x0", "x1", "x2", "x3", "x4", "x5", "x6", "x7", "x8", "x9"} {
		sim.addWorker(id)
		sim.workers[id].info.Service = "other"
	}
	sim.run(3 * time.Second)
	for _, w := range sim.owner.cell.workers {
		if w.info.Service == "other" {
			w.reserved.MilliCPU = w.info.Capacity.MilliCPU
		}
	}
}

// Guards against LOST: a job that was accepted had nothing running for 3 s or more while most of the room was free.
func TestJobRunsWhileMostRoomIsFree(t *testing.T) {
	const bound, always = 2 * time.Second, 10 * time.Second
	for _, c := range []struct {
		situation string
		percent   int // of the workers that services request
		prepare   func(sim *simulation)
		atMost    time.Duration // that the job has nothing running
		atLeast   time.Duration
	}{
		{"services near their targets", 25, func(sim *simulation) { sim.submitBestEffort("j", "heavy", 3) }, bound, 0},
		{"the first step is done", 25, func(sim *simulation) {
			sim.taskRunTime = 500 * time.Millisecond
			sim.submitBestEffort("j", "heavy", 1, 3)
			sim.idle("j", bound)
			sim.taskRunTime = time.Minute
		}, bound, 0},
		{"the run is stopped, again and again", 25, func(sim *simulation) {
			sim.submitBestEffort("j", "heavy", 1)
			sim.idle("j", 9*time.Second)
			for range 3 {
				sim.stop("j")
				sim.idle("j", 3*time.Second)
			}
			sim.stop("j")
		}, 500 * time.Millisecond, 0},
		{"processors in use by other best-effort tasks", 25, func(sim *simulation) {
			sim.submitSlack = time.Hour
			sim.submitBestEffort("others", "harmless", 60)
			sim.run(time.Second)
			sim.submitBestEffort("j", "harmless", 3)
		}, bound, 0},
		{"processors in use by others, jobs have become late, and the last one arrived 5 s ago", 25, func(sim *simulation) {
			sim.submitBestEffort("others", "harmless", 60)
			sim.run(time.Second)
			sim.submitBestEffort("j", "harmless", 3)
			sim.idle("j", arrivalsEndAfter)
		}, bound, 0},
		{"another service is full", 25, func(sim *simulation) {
			sim.otherServiceIsFull()
			sim.submitBestEffort("j", "heavy", 3)
		}, bound, 0},
		{"the owner changes", 25, func(sim *simulation) {
			sim.submitBestEffort("j", "heavy", 3)
			sim.run(time.Second)
			sim.takeOverWithEvidence()
		}, bound, 0},
		{"services near their targets, more than half requested", 60, func(sim *simulation) { sim.submitBestEffort("j", "heavy", 3) }, always, always},
		{"processors in use, more than half requested", 60, func(sim *simulation) {
			sim.submitBestEffort("others", "harmless", 60)
			sim.run(time.Second)
			sim.submitBestEffort("j", "harmless", 3)
		}, always, always},
	} {
		t.Run(c.situation, func(t *testing.T) {
			sim := newServicesSimulation(c.percent)
			c.prepare(sim)
			if idle := sim.idle("j", always); idle > c.atMost || idle < c.atLeast {
				t.Errorf("the job had nothing running for %v, want %v to %v", idle, c.atLeast, c.atMost)
			}
			if len(sim.violations) > 0 {
				t.Error(sim.violations)
			}
		})
	}
}

// Guards against more urgent work that loses its processor time, or its place in the order of urgency, to jobs that nothing ran of.
func TestJobWithoutSpareCPUTakesLittle(t *testing.T) {
	const objective = 10 * time.Second
	for _, c := range []struct {
		situation string
		age       time.Duration
		scarce    bool
		arrived   time.Duration // ago, the newest job
		want      placementLimits
	}{
		{"it can be on time", 0, false, 0, placementLimits{besideServices: true, withoutSpareCPU: true}},
		{"it can be on time, and others became late", 0, true, 0, placementLimits{besideServices: true}},
		{"it is late, and others became so", 2 * objective, true, 0, placementLimits{besideServices: true}},
		{"it is late, and no new jobs arrive", 2 * objective, true, arrivalsEndAfter, placementLimits{besideServices: true, withoutSpareCPU: true}},
		{"it is worthless, and others became late", 9 * objective, true, 0, placementLimits{besideServices: true, withoutSpareCPU: true}},
	} {
		t.Run(c.situation, func(t *testing.T) {
			cell, _, _ := riskWorld()
			g := bestEffortGroup(cell, "heavy")
			item := urgency.Item{Age: c.age, Objective: objective, HasObjective: true}
			g.rank = item.Rank()
			cell.newestJobAt = cell.now - c.arrived
			if c.scarce {
				cell.backlog.BecameLate(cell.now)
			}
			if got := cell.limitsOf(cell.newPlacementView(), g.tasks[0], g.job.record.Service); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			g.job.runs = 1
			if got := cell.limitsOf(cell.newPlacementView(), g.tasks[1], g.job.record.Service); got.withoutSpareCPU {
				t.Errorf("got %+v for a job of which a task runs", got)
			}
		})
	}
}

// Guards against jobs that keep others from their processor time because nothing ran of them, or never get theirs.
func TestCrowdedRunWaitsForUnusedCPU(t *testing.T) {
	for _, c := range []struct {
		situation string
		objective time.Duration // of a job that is a minute old while others become late
		want      int           // its pace, in percent, once a run beside it has ended
	}{
		{"the result is worth something", time.Hour, fullPace},
		{"the result is worthless", time.Second, crowdedPace},
	} {
		t.Run(c.situation, func(t *testing.T) {
			sim := newServicesSimulation(25)
			sim.submitSlack = time.Hour
			sim.submitBestEffort("others", "harmless", 60)
			sim.run(time.Second)
			sim.submitBestEffort("j", "harmless", 1)
			sim.run(4 * time.Second)
			if paces := append(sim.paces("j"), slices.Min(sim.paces("others"))); !slices.Equal(paces, []int{crowdedPace, fullPace}) {
				t.Fatalf("paces %v of the job and the slowest of the others, want %d and %d", paces, crowdedPace, fullPace)
			}
			item := urgency.Item{Age: time.Minute, Objective: c.objective, HasObjective: true}
			crowded := sim.runsOf("j")[0]
			crowded.task.group.rank = item.Rank()
			sim.owner.cell.backlog.BecameLate(sim.now)
			w := sim.workers[crowded.worker.info.ID]
			for _, task := range w.sortedTasks() {
				if task.Job == "others" {
					w.end(task, workercall.Done)
					break
				}
			}
			sim.run(4 * time.Second)
			if paces := sim.paces("j"); !slices.Equal(paces, []int{c.want}) {
				t.Errorf("paces %v once a run beside it has ended, want %d", paces, c.want)
			}
		})
	}
}

// paces returns the paces of a job's runs, in percent.
func (sim *simulation) paces(id jobs.ID) (paces []int) {
	for _, r := range sim.runsOf(id) {
		paces = append(paces, r.pace)
	}
	return paces
}
