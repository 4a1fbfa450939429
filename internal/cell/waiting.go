package cell

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cactuswall.example/cactuswall/internal/quarantine"
)

// firstWaitLog is how long a step waits before the reason is logged. Each further line follows when the wait has
// doubled, so that a step that waits for a day causes about 16 lines.
const firstWaitLog = 2 * time.Second

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
	exclusionOther            = "other"                // none of the others, e.g. the task must not probe the worker
	exclusionNoSpareCPU       = "processor_in_use"     // any other reason, for a best-effort task
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
	if waited < max(firstWaitLog, 2*g.lastLoggedWait) {
		return
	}
	g.lastLoggedWait = waited
	counts := make(exclusions)
	for _, w := range c.sortedWorkers() {
		counts[c.exclusionReason(v, w, t)]++
	}
	c.log.Info("step waiting for resources", taskField(t.id), zap.Duration("waited", waited), zap.String("needs", g.step.Summary()),
		zap.Object("workers", counts))
}

// exclusionReason returns why a worker was not chosen for a task. If several reasons apply, it returns the first in the
// order of its cases, which is enough for the log.
func (c *Cell) exclusionReason(v *placementView, w *worker, t *task) string {
	step := t.group.step
	i := v.index(w)
	switch {
	case !w.listed || w.dead:
		return exclusionNotListed
	case w.info.Service != c.platformServiceOf(t.group.job):
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
	case step.MaxPerWorker > 0 && c.runsPerWorker(t.group)[w] >= step.MaxPerWorker:
		return exclusionMaxPerWorker
	case step.BestEffort && !c.fitsBesideServices(v, i, step):
		return exclusionServiceTargets
	case step.BestEffort:
		return exclusionNoSpareCPU
	}
	return exclusionOther
}

// index returns the index of a worker among the candidates, or -1 if it does not accept tasks now.
func (v *placementView) index(w *worker) int {
	for i, candidate := range v.workers {
		if candidate == w {
			return i
		}
	}
	return -1
}
