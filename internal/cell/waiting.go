package cell

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cactuswall.example/cactuswall/internal/quarantine"
)

// waitLogged is how long a step waits until the log says why. The time doubles with each line, so a step that waits all
// day writes a dozen.
const waitLogged = 2 * time.Second

// Reasons why a worker is not given a task.
const (
	exclusionAbsent     = "not_listed"
	exclusionNotOwned   = "token_not_taken"
	exclusionSilent     = "silent"
	exclusionLeaving    = "leaving"
	exclusionRefusing   = "refusing"
	exclusionQuarantine = "quarantined"
	exclusionService    = "other_service"
	exclusionLabel      = "label"
	exclusionBound      = "tasks_of_step"
	exclusionRoom       = "room"
	exclusionServices   = "services_near_target"
	exclusionOther      = "other"
	exclusionUnspent    = "processor_in_use"
)

// exclusions counts workers by the reason for which they were not given a task.
type exclusions map[string]int

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e exclusions) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	for reason, count := range e {
		enc.AddInt(reason, count)
	}
	return nil
}

// explainWaiting logs why a task of a group waits, at times that double.
func (c *Cell) explainWaiting(f *floor, t *task) {
	g := t.group
	waited := c.now - max(t.waiting, g.readyAt)
	if waited < max(waitLogged, 2*g.explained) {
		return
	}
	g.explained = waited
	counts := make(exclusions)
	for _, w := range c.sortedWorkers() {
		counts[c.exclusion(f, w, t)]++
	}
	c.log.Info("step waits for room", taskField(t.id), zap.Duration("waited", waited), zap.String("needs", g.step.Summary()),
		zap.Object("workers", counts))
}

// exclusion tells why a worker is not given a task; it is for logs, so the first reason counts.
func (c *Cell) exclusion(f *floor, w *worker, t *task) string {
	step := t.group.step
	i := f.index(w)
	switch {
	case !w.listed || w.dead:
		return exclusionAbsent
	case w.info.Service != c.serviceOf(t.group.job):
		return exclusionService
	case !w.fenced || !w.hasTime:
		return exclusionNotOwned
	case w.info.Draining:
		return exclusionLeaving
	case c.now < w.refusing:
		return exclusionRefusing
	case c.health.State(w.info.ID, c.wall) == quarantine.Quarantined:
		return exclusionQuarantine
	case i < 0:
		return exclusionSilent
	case !f.views[i].Free.Holds(step.Room()):
		return exclusionRoom
	case step.RequiredLabel != "" && !hasLabel(w, step.RequiredLabel):
		return exclusionLabel
	case step.MaxPerWorker > 0 && c.groupOn(t.group)[w] >= step.MaxPerWorker:
		return exclusionBound
	case step.Fills && !c.mayFill(f, i, step):
		return exclusionServices
	case step.Fills:
		return exclusionUnspent
	}
	return exclusionOther
}

// index returns the row of a worker, or -1 when it may not be given work now.
func (f *floor) index(w *worker) int {
	for i, row := range f.rows {
		if row == w {
			return i
		}
	}
	return -1
}
