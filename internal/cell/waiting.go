package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/quarantine"
)

// firstWaitLog is how long a step waits before the reason is logged. Each further line follows when the wait has
// doubled, so that a step that waits for a day causes about 16 lines.
const firstWaitLog = 2 * time.Second

// maxWaitLogs is the maximum number of such lines per round. The other steps follow in later rounds.
const maxWaitLogs = 4

// Reasons why a worker was not chosen for a task. The values are log keys.
const (
	exclusionNotListed        = "not_listed"
	exclusionEntryOutdated    = "entry_outdated" // it has restarted, and its new entry has not been read
	exclusionTokenNotAccepted = "token_not_taken"
	exclusionSilent           = "silent" // it does not answer, or its newest report is too old
	exclusionDraining         = "leaving"
	exclusionEvacuated        = "evacuated" // its failure domain is evacuated
	exclusionCordoned         = "cordoned"  // it is to be handed over to another cell
	exclusionRefusing         = "refusing"
	exclusionQuarantine       = "quarantined"
	exclusionService          = "other_service"
	exclusionLabel            = "label"
	exclusionMaxPerWorker     = "tasks_of_step"
	exclusionResources        = "room"
	exclusionServiceTargets   = "services_near_target" // a best-effort task could push a service over its target
	exclusionOther            = "other"                // for other tasks: none of these, e.g. must not probe the worker
	exclusionNoSpareCPU       = "processor_in_use"     // for best-effort tasks: none of these; usually too little spare CPU
)

// exclusions counts workers by the reason why they were not chosen for a task.
type exclusions map[string]int

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e exclusions) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	for reason, count := range e {
		enc.AddInt(reason, count)
	}
	return nil
}

// waitReason is why a task was not placed in a round.
type waitReason int

const (
	waitNone    waitReason = iota // it was placed in the first round after it became ready
	waitRoom                      // no worker was found for it or for an earlier task of its group
	waitTurn                      // the round placed as many tasks as it may
	waitBackoff                   // it failed, and the time until its next attempt had not passed
	waitRack                      // it waits for a slot on its rack, see package placedelay
	waitReasons                   // number of reasons
)

// newWaitHistograms registers the histograms of the time to placement by the last reason of the wait.
func newWaitHistograms(set *metrics.Set) (waits [waitReasons]*metrics.Histogram) {
	for reason, name := range []string{"none", "room", "turn", "backoff", "rack"} {
		waits[reason] = set.NewHistogram(fmt.Sprintf("cactuswall_cell_waiting_reason_seconds{reason=%q}", name))
	}
	return waits
}

// observeWait records the time until the placement of a task.
func (c *Metrics) observeWait(reason waitReason, waited time.Duration) {
	c.PlacementWait.Update(waited.Seconds())
	c.waits[reason].Update(waited.Seconds())
}

// Workload is the number of things that an owner handles, and the limits that it has set itself.
type Workload struct {
	WaitingTasks int // tasks that are ready and have no run
	Runs         int
	Workers      int
	Jobs, Tasks  int // in memory, whatever their state
	// TasksElsewhere and TasksWithoutWorkers are the numbers of tasks of the cell's jobs that belong to other cells, and that wait while
	// the cell has no registered worker, as of the last complete audit.
	TasksElsewhere, TasksWithoutWorkers int
	LeaseWaits                          LeaseWaits
	StartLimit                          int           // start orders that may be unanswered at a time
	RenewalRest                         time.Duration // from a report to the next renewal order
}

// Workload counts the cell's waiting tasks, runs and workers.
func (c *Cell) Workload() Workload {
	load := Workload{Workers: len(c.workers), Jobs: len(c.jobs), Tasks: c.taskCount, StartLimit: c.load.StartLimit(), RenewalRest: c.load.Rest(),
		TasksElsewhere: c.auditor.blocked.elsewhere, TasksWithoutWorkers: c.auditor.blocked.withoutWorkers, LeaseWaits: c.leaseWaits()}
	for _, w := range c.workers {
		load.Runs += len(w.runs)
	}
	for _, g := range c.waiting {
		if g.mayStart() {
			load.WaitingTasks += g.toStart
		}
	}
	return load
}

// waitLogDue returns how long a task has waited. due is true if that has to be logged, which is noted for the group.
func (c *Cell) waitLogDue(t *task) (waited time.Duration, due bool) {
	g := t.group
	waited = c.now - max(t.waitingSince, g.readyAt)
	if waited < max(firstWaitLog, 2*g.lastLoggedWait) {
		return waited, false
	}
	g.lastLoggedWait = waited
	return waited, true
}

// logWaiting logs, at doubling intervals, why no worker was found for a task, and how old the reports are from which the
// resources in use on full workers are known.
func (c *Cell) logWaiting(v *placementView, t *task) {
	t.group.waitReason = waitRoom
	if v.waitLogs >= maxWaitLogs {
		return
	}
	waited, due := c.waitLogDue(t)
	if !due {
		return
	}
	v.waitLogs++
	counts, ages := c.countExclusions(v, t)
	fields := []zap.Field{taskField(t.id), zap.Duration("waited", waited), zap.String("needs", t.group.step.Summary()),
		zap.Object("workers", counts), zap.Duration("round_time", c.roundTime), zap.Stringer("class", t.group.rank.Class())}
	if len(ages) > 0 {
		slices.Sort(ages)
		fields = append(fields, zap.Duration("report_age_median", ages[len(ages)/2]), zap.Duration("report_age_oldest", ages[len(ages)-1]))
	}
	c.log.Info("step waiting for resources", fields...)
}

// maxTurnLines is the maximum number of lines that waitForTurn logs for one round.
const maxTurnLines = 8

// waitForTurn records that the tasks of the groups from index first on wait because the round has placed as many tasks
// as it may. For some of them it logs this, at doubling intervals.
func (c *Cell) waitForTurn(groups []*group, first int) {
	lines := 0
	for i, g := range groups[first:] {
		t := g.firstToStart(c.now)
		if t == nil {
			continue // all tasks were placed, or wait for another reason
		}
		g.waitReason = waitTurn
		if lines < maxTurnLines && c.logTurn(groups, first+i, t) {
			lines++
		}
	}
}

// firstToStart returns the group's first task that may be placed at the given time, or nil.
func (g *group) firstToStart(now time.Duration) *task {
	for _, t := range g.tasks {
		if t.needsRun() && now >= t.notBefore {
			return t
		}
	}
	return nil
}

// logTurn logs, at doubling intervals, that a task of the group with index i waits for a later round. It reports whether
// it has logged a line.
func (c *Cell) logTurn(groups []*group, i int, t *task) bool {
	waited, due := c.waitLogDue(t)
	if !due {
		return false
	}
	before, total := 0, 0
	for k, g := range groups {
		if k == i {
			before = total
		}
		total += g.toStart
	}
	c.log.Info("step waiting for its turn", taskField(t.id), zap.Duration("waited", waited), zap.Int("position", before+1),
		zap.Int("waiting_tasks", total), zap.Duration("round_time", c.roundTime), zap.Stringer("class", groups[i].rank.Class()))
	return true
}

// countExclusions counts the workers by the reason why they were not chosen for a task. ages are the ages of the newest
// reports of the workers without enough free resources.
func (c *Cell) countExclusions(v *placementView, t *task) (counts exclusions, ages []time.Duration) {
	counts = make(exclusions)
	platformService, perWorker := c.platformServiceOf(t.group.job), c.runsPerWorker(t.group)
	next := 0 // index of the next candidate; the candidates are in the order of the workers
	for _, w := range c.sortedWorkers() {
		i := -1
		if next < len(v.workers) && v.workers[next] == w {
			i = next
			next++
		}
		reason := c.exclusionReason(v, w, i, t.group.step, platformService, perWorker)
		counts[reason]++
		if reason == exclusionResources {
			ages = append(ages, c.now-w.lastReport)
		}
	}
	return counts, ages
}

// exclusionReason returns why a worker was not chosen for a task of a step. If several reasons apply, it returns the
// first in the order of its cases, which is enough for the log. i is the worker's index among the candidates, or -1 if
// it does not accept tasks now; platformService is the platform service whose workers run the job's tasks, perWorker the
// result of runsPerWorker.
func (c *Cell) exclusionReason(v *placementView, w *worker, i int, step *jobs.Step, platformService string, perWorker map[*worker]int) string {
	switch {
	case !w.listed || w.dead:
		return exclusionNotListed
	case w.entryOutdated:
		return exclusionEntryOutdated
	case w.info.Service != platformService:
		return exclusionService
	case !w.reconciled || !w.clockKnown:
		return exclusionTokenNotAccepted
	case w.info.Draining:
		return exclusionDraining
	case c.evacuated(w):
		return exclusionEvacuated
	case w.cordoned:
		return exclusionCordoned
	case c.now < w.refusingUntil:
		return exclusionRefusing
	case c.health.State(w.info.ID, c.wall) == quarantine.Quarantined:
		return exclusionQuarantine
	case i < 0:
		return exclusionSilent
	case !v.candidates[i].Free.Contains(step.Requested()):
		return exclusionResources
	case step.RequiredLabel != "" && !hasLabel(w, step.RequiredLabel):
		return exclusionLabel
	case step.MaxPerWorker > 0 && perWorker[w] >= step.MaxPerWorker:
		return exclusionMaxPerWorker
	case step.BestEffort && !c.fitsBesideServices(v, i, step):
		return exclusionServiceTargets
	case step.BestEffort:
		return exclusionNoSpareCPU
	}
	return exclusionOther
}
