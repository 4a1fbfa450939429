package cell

import (
	"math"
	"strings"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/recordcodec"
)

// checkNextSteps checks that each task of an owner that may decide has a next step, and that its audit has found nothing
// unless the test has changed an index.
func (sim *simulation) checkNextSteps(o *simOwner) {
	if !sim.mayDecide(o) || sim.correctionsExpected || len(sim.nextStepViolations) > 0 {
		return
	}
	reported := len(sim.violations)
	if o.cell.auditor.found > 0 {
		sim.violation("the audit of cell %d has found %d differences: %v", o.home.number, o.cell.auditor.found, corrections(o.cell))
	}
	for _, t := range o.cell.tasksWithoutNextStep() {
		sim.violation("task %v of cell %d has no next step: done %v, elsewhere %v, %d runs", t.id, o.home.number, t.done, t.elsewhere, len(t.runs))
	}
	sim.nextStepViolations = sim.violations[reported:]
}

// tasksWithoutNextStep returns the tasks for which nothing is going to happen, and those of jobs that the audit misses.
func (c *Cell) tasksWithoutNextStep() (missed []*task) {
	audited := make(map[*job]bool, len(c.auditor.jobs))
	for _, j := range c.auditor.jobs {
		audited[j] = true
	}
	for _, j := range c.jobs {
		for _, g := range j.groups {
			for _, t := range g.tasks {
				if c.nextStep(t).kind == nextNone || !j.endStored && !audited[j] {
					missed = append(missed, t)
				}
			}
		}
	}
	return missed
}

// corrections returns the counted differences by kind.
func corrections(c *Cell) map[string]uint64 {
	counts := make(map[string]uint64)
	for _, kind := range []string{wrongUnfinished, wrongToStart, wrongReady, wrongWaiting, wrongPlacement, wrongBackoff, wrongElsewhere,
		wrongDone, wrongPending, wrongUnresolved, wrongWorkerDue, wrongDirty, wrongOutcome, wrongJobEnd, wrongOccurrence, wrongNoNextStep} {
		if n := c.metrics.counters.get(c.metrics.set, "cactuswall_cell_index_corrections_total", "kind", kind).Get(); n > 0 {
			counts[kind] = n
		}
	}
	return counts
}

// removal takes something out of a running cell.
type removal struct {
	name, kind string
	// spec is the job that is submitted; the default is a step of one task. cells is the number of cells, 1 by default.
	spec  func(*jobs.Spec)
	cells int
	// waits is set if no worker takes tasks before the removal. Otherwise it happens once at first returns true.
	waits  bool
	at     func(*Cell, *job) bool
	remove func(*simulation, *Cell, *job)
	// runs reports whether the job goes on; by default, whether all its tasks were started.
	runs func(*simulation) bool
	// within is the time until then, at most a second by default. A run on a lost worker has to wait for its lease.
	within time.Duration
}

func longRunning(s *jobs.Spec) { s.Steps[0].LongRunning = true }

func twoSteps(s *jobs.Spec) { *s = testSpec(1, 1) }

func firstGroup(j *job) *group { return j.groups[jobs.GroupID{Job: j.id}] }

func secondGroup(j *job) *group { return j.groups[jobs.GroupID{Job: j.id, Step: 1}] }

func jobEnded(c *Cell, j *job) bool { return j.ended }

func hasRun(state runState) func(*Cell, *job) bool {
	return func(_ *Cell, j *job) bool {
		runs := firstGroup(j).tasks[0].runs
		return len(runs) > 0 && runs[0].state == state
	}
}

func runningAndStored(c *Cell, j *job) bool { return hasRun(runRunning)(c, j) && c.storing == nil }

// firstStepStored reports whether the store has it that the task of the first step is done.
func firstStepStored(sim *simulation) bool {
	var record jobrecord.Group
	err := recordcodec.Decode(sim.records[jobrecord.GroupKey(jobs.GroupID{Job: "j"})].Value, &record)
	return err == nil && record.Tasks[0].Done
}

func completed(sim *simulation) bool { return sim.state("j").Final() }

var removals = []removal{
	{name: "tasks to start counted as none", kind: wrongToStart, waits: true, remove: func(_ *simulation, c *Cell, j *job) {
		firstGroup(j).toStart = 0
	}},
	{name: "group dropped from the waiting ones", kind: wrongWaiting, waits: true, remove: func(_ *simulation, c *Cell, j *job) {
		c.waiting, firstGroup(j).waiting = nil, false
	}},
	{name: "group dropped, its flag still set", kind: wrongWaiting, waits: true, remove: func(_ *simulation, c *Cell, j *job) {
		c.waiting = nil
	}},
	{name: "no placement due", kind: wrongPlacement, waits: true, remove: func(_ *simulation, c *Cell, j *job) {
		c.needsPlacement, c.nextRetry = false, 0
	}},
	{name: "placement due in an hour", kind: wrongPlacement, waits: true, remove: func(_ *simulation, c *Cell, j *job) {
		c.needsPlacement, c.nextRetry = false, c.now+time.Hour
	}},
	{name: "task not placed for an hour", kind: wrongBackoff, waits: true, remove: func(_ *simulation, c *Cell, j *job) {
		firstGroup(j).tasks[0].notBefore = c.now + time.Hour
	}},
	{name: "first step not ready", kind: wrongReady, waits: true, remove: func(_ *simulation, c *Cell, j *job) {
		firstGroup(j).ready = false
	}},
	{name: "second step not ready", kind: wrongReady, spec: twoSteps, at: hasRun(runRunning), remove: func(sim *simulation, c *Cell, j *job) {
		for _, w := range c.workers {
			w.cordoned = true
		}
		for !secondGroup(j).ready {
			sim.run(simTick)
		}
		secondGroup(j).ready = false
	}},
	{name: "finished step counted as unfinished", kind: wrongUnfinished, spec: twoSteps, at: hasRun(runRunning), remove: func(_ *simulation, c *Cell, j *job) {
		firstGroup(j).unfinished++
	}, within: 2 * time.Second},
	{name: "task elsewhere without an assignment", kind: wrongElsewhere, spec: longRunning, waits: true, remove: func(_ *simulation, c *Cell, j *job) {
		c.setElsewhere(firstGroup(j).tasks[0], true)
	}},
	{name: "assigned task of another cell's job not here", kind: wrongElsewhere, spec: longRunning, cells: 2, waits: true, remove: func(sim *simulation, c *Cell, j *job) {
		other := sim.cells[1].owner.cell
		c.setElsewhere(firstGroup(j).tasks[0], true)
		assigned := map[string]cellmap.TaskAssignment{firstGroup(j).tasks[0].id.Key(): {Cell: 1}}
		c.SetTasks(assigned)
		other.SetTasks(assigned)
		other.setElsewhere(firstGroup(other.jobs["j"]).tasks[0], true)
	}},
	{name: "long-running task marked as done", kind: wrongDone, spec: longRunning, waits: true, remove: func(_ *simulation, c *Cell, j *job) {
		c.markDone(firstGroup(j).tasks[0])
	}},
	{name: "start dropped before its round is stored", kind: wrongPending, at: hasRun(runPlaced), remove: func(_ *simulation, c *Cell, j *job) {
		c.storing.starts = nil
	}},
	{name: "uncertain start not looked at", kind: wrongUnresolved, at: hasRun(runUncertain), remove: func(sim *simulation, c *Cell, j *job) {
		for _, w := range c.workers {
			delete(sim.workers[w.info.ID].unreachableBy, sim.owner)
			w.mayHaveUnresolved, w.failingSince, w.nextRenewal = false, 0, c.now
		}
	}},
	{name: "worker dropped from the queues of due workers", kind: wrongWorkerDue, at: runningAndStored, remove: func(sim *simulation, c *Cell, j *job) {
		w := firstGroup(j).tasks[0].runs[0].worker
		c.due.settle()
		c.due.renewals.update(w, &w.due.renewalAt, 0, false)
		c.due.leases.update(w, &w.due.leasesAt, 0, false)
		sim.events, w.renewalInFlight = nil, false // nothing else has the queues look at the worker: no answer and no list
		sim.owner.detached["list"] = true
		sim.workers[w.info.ID].up = false
		sim.startCounts = make(map[jobs.TaskID]int)
	}, within: 8 * time.Second},
	{name: "changed group not stored", kind: wrongDirty, spec: twoSteps, at: hasRun(runRunning), remove: func(_ *simulation, c *Cell, j *job) {
		firstGroup(j).dirty = true
	}, runs: firstStepStored, within: 2 * time.Second},
	{name: "outcome not stored", kind: wrongOutcome, at: jobEnded, remove: func(_ *simulation, c *Cell, j *job) {
		c.dirtyJobs, c.storing.jobs, j.dirty = nil, nil, false
	}, runs: completed},
	{name: "outcome not stored, its flag still set", kind: wrongOutcome, at: jobEnded, remove: func(_ *simulation, c *Cell, j *job) {
		c.dirtyJobs, c.storing.jobs, j.dirty = nil, nil, true
	}, runs: completed},
	{name: "job with finished tasks not ended", kind: wrongJobEnd, at: jobEnded, remove: func(_ *simulation, c *Cell, j *job) {
		c.dirtyJobs, c.storing.jobs, j.dirty, j.ended = nil, nil, false, false
	}, runs: completed},
	{name: "occurrence dropped", kind: wrongOccurrence, spec: func(s *jobs.Spec) {
		s.OccurrenceCount, s.StartAt, s.Interval = 2, time.UnixMilli(startUnixMS).Add(time.Hour+13*time.Second), time.Second
	}, at: func(_ *Cell, j *job) bool { return j.nextToOpen == 1 }, remove: func(_ *simulation, c *Cell, j *job) {
		c.unopenedJobs = nil
	}, within: 2 * time.Second},
}

// TestAuditFindsWhatWasRemoved takes each flag, counter or timer out once. Without the audit, the job stands still.
func TestAuditFindsWhatWasRemoved(t *testing.T) {
	for i := range removals {
		t.Run(removals[i].name, func(t *testing.T) {
			t.Parallel()
			if removals[i].play(t, false) {
				t.Errorf("the job goes on without the audit, so that its removal shows nothing")
			}
			if !removals[i].play(t, true) {
				t.Errorf("the job stands still")
			}
		})
	}
}

// play submits the job, takes out what is to be removed and reports whether the job goes on in time.
func (r *removal) play(t *testing.T, audited bool) bool {
	sim := newCellsSimulation(1, max(1, r.cells), 2*max(1, r.cells))
	sim.correctionsExpected = true
	sim.run(12 * time.Second)
	c := sim.owner.cell
	for _, w := range c.workers {
		w.cordoned = r.waits
		if strings.Contains(r.kind, wrongUnresolved) { // the start order gets lost
			sim.workers[w.info.ID].unreachableBy[sim.owner] = true
		}
	}
	spec := testSpec(1)
	if r.spec != nil {
		r.spec(&spec)
	}
	sim.submit("j", spec)
	for i := 0; c.jobs["j"] == nil || r.waits && i < 30 || !r.waits && !r.at(c, c.jobs["j"]); i++ {
		sim.run(simTick)
		if i > 500 {
			t.Fatal("the removal does not come to pass")
		}
	}
	for _, home := range sim.cells {
		if !audited {
			home.owner.cell.auditor.at = time.Duration(math.MaxInt64)
		}
	}
	r.remove(sim, c, c.jobs["j"])
	for _, w := range c.workers {
		w.cordoned = false
	}
	within := max(time.Second, r.within)
	if !audited {
		within += 2 * time.Second
	}
	sim.run(within)
	if found := sim.foundOf(r.kind); audited && found == 0 {
		t.Errorf("the audit has not found it; it has found %v", corrections(c))
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
	if r.runs != nil {
		return r.runs(sim)
	}
	return len(sim.startCounts) == spec.Occurrences()*len(spec.Steps)
}

// foundOf returns how many differences of a kind the owners have found.
func (sim *simulation) foundOf(kind string) (found uint64) {
	for _, home := range sim.cells {
		found += corrections(home.owner.cell)[kind]
	}
	return found
}
