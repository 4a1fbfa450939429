package cell

import (
	"time"

	"go.uber.org/zap"
)

// blockedTasks is what the audit has found about tasks that no round of this cell can start.
type blockedTasks struct {
	// elsewhere is the number of tasks of the cell's jobs that belong to other cells, as of the last complete audit, and
	// withoutWorkers that of tasks that wait while no worker is registered in the cell.
	elsewhere, withoutWorkers int
	counted                   int // tasks elsewhere in the present audit
	lines                     int // lines about them in the present audit
	// groups are those with tasks elsewhere, and missing notes since when the cell has no workers for waiting tasks.
	groups  map[*group]*blockedNote
	missing blockedNote
}

// blockedNote is since when something has been so, and when it was last logged and seen.
type blockedNote struct{ since, logged, seen time.Duration }

// due reports whether a line is to be logged: after firstWaitLog, then each time that the duration has doubled.
func (n *blockedNote) due(now time.Duration) bool {
	if lasted := now - n.since; lasted >= max(firstWaitLog, 2*n.logged) {
		n.logged = lasted
		return true
	}
	return false
}

// noteElsewhere counts the tasks of a group that belong to other cells, and logs the first of them at doubling intervals.
func (c *Cell) noteElsewhere(g *group) {
	s := &c.auditor.blocked
	var first *task
	count := 0
	for _, t := range g.tasks {
		if t.elsewhere {
			count++
			if first == nil {
				first = t
			}
		}
	}
	s.counted += count
	note := s.groups[g]
	if note == nil {
		if s.groups == nil {
			s.groups = make(map[*group]*blockedNote)
		}
		note = &blockedNote{since: c.now}
		s.groups[g] = note
	}
	note.seen = c.now
	if s.lines >= maxWaitLogs || !note.due(c.now) {
		return
	}
	s.lines++
	fields := []zap.Field{taskField(first.id), zap.Int("tasks", count), zap.Duration("known_for", c.now-note.since), zap.Bool("being_stored", first.leaving)}
	if assignment, assigned := c.tasksElsewhere[first.id.Key()]; assigned {
		fields = append(fields, zap.Int("to", assignment.Cell), zap.Int("last_run", assignment.LastRun))
	}
	c.log.Info("tasks belong to another cell", fields...)
}

// endAudit is called after the audit has checked all jobs, and logs at doubling intervals that tasks wait in a cell without workers.
// auditBegan is when it began.
func (c *Cell) endAudit(auditBegan time.Duration) {
	s := &c.auditor.blocked
	s.elsewhere, s.counted, s.lines = s.counted, 0, 0
	for g, note := range s.groups {
		if note.seen < auditBegan {
			delete(s.groups, g)
		}
	}
	s.withoutWorkers = c.waitingWithoutWorkers()
	switch {
	case s.withoutWorkers == 0:
		s.missing = blockedNote{}
	case s.missing.since == 0:
		s.missing.since = c.now
	case s.missing.due(c.now):
		c.log.Warn("tasks wait in a cell without workers", zap.Int("waiting_tasks", s.withoutWorkers),
			zap.Duration("known_for", c.now-s.missing.since), zap.Int("former_workers", len(c.workers)))
	}
}

// waitingWithoutWorkers returns the number of waiting tasks, or 0 if the cell has a registered worker.
func (c *Cell) waitingWithoutWorkers() (tasks int) {
	for _, w := range c.workers {
		if w.listed {
			return 0
		}
	}
	for _, g := range c.waiting {
		if g.mayStart() {
			tasks += g.toStart
		}
	}
	return tasks
}
