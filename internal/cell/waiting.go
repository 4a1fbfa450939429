package cell

import (
	"time"

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
	exclusionTokenNotAccepted = "token_not_taken"
	exclusionSilent           = "silent" // it does not answer, or its newest report is too old
	exclusionDraining         = "leaving"
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

// logWaiting logs why a task of a group has to wait, at doubling intervals.
func (c *Cell) logWaiting(v *placementView, t *task) {
	g := t.group
	waited := c.now - max(t.waitingSince, g.readyAt)
	if waited < max(firstWaitLog, 2*g.lastLoggedWait) || v.waitLogs >= maxWaitLogs {
		return
	}
	g.lastLoggedWait = waited
	v.waitLogs++
	counts := c.countExclusions(v, t)
	c.log.Info("step waiting for resources", taskField(t.id), zap.Duration("waited", waited), zap.String("needs", g.step.Summary()),
		zap.Object("workers", counts))
}

// countExclusions counts the workers by the reason why they were not chosen for a task.
func (c *Cell) countExclusions(v *placementView, t *task) exclusions {
	counts := make(exclusions)
	platformService, perWorker := c.platformServiceOf(t.group.job), c.runsPerWorker(t.group)
	next := 0 // index of the next candidate; the candidates are in the order of the workers
	for _, w := range c.sortedWorkers() {
		i := -1
		if next < len(v.workers) && v.workers[next] == w {
			i = next
			next++
		}
		counts[c.exclusionReason(v, w, i, t.group.step, platformService, perWorker)]++
	}
	return counts
}

// exclusionReason returns why a worker was not chosen for a task of a step. If several reasons apply, it returns the
// first in the order of its cases, which is enough for the log. i is the worker's index among the candidates, or -1 if
// it does not accept tasks now; platformService is the platform service whose workers run the job's tasks, perWorker the
// result of runsPerWorker.
func (c *Cell) exclusionReason(v *placementView, w *worker, i int, step *jobs.Step, platformService string, perWorker map[*worker]int) string {
	switch {
	case !w.listed || w.dead:
		return exclusionNotListed
	case w.info.Service != platformService:
		return exclusionService
	case !w.tokenAccepted || !w.clockKnown:
		return exclusionTokenNotAccepted
	case w.info.Draining:
		return exclusionDraining
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
