package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// auditPeriod is the time in which the audit checks all jobs once, and auditInterval the minimum time between two parts.
	auditPeriod   = 800 * time.Millisecond
	auditInterval = 20 * time.Millisecond
	// maxAuditTasks is the number of tasks after which one part of the audit ends.
	maxAuditTasks = 8192
)

// Kinds of differences between the state and what is derived from it. The values are written to metrics and to the log.
const (
	wrongUnfinished = "unfinished"    // group.unfinished
	wrongToStart    = "to_start"      // group.toStart
	wrongReady      = "ready"         // group.ready is not set, although its turn has come
	wrongWaiting    = "waiting"       // the group is missing from Cell.waiting
	wrongPlacement  = "placement"     // no placement is due
	wrongBackoff    = "backoff"       // task.notBefore is too late
	wrongElsewhere  = "elsewhere"     // task.elsewhere
	wrongDone       = "done"          // a long-running task is marked as done
	wrongPending    = "pending_start" // a placed run is missing from Cell.pendingStarts
	wrongUnresolved = "unresolved"    // worker.mayHaveUnresolved
	wrongWorkerDue  = "worker_due"    // the worker's place in Cell.due
	wrongDirty      = "dirty"         // a changed group is missing from Cell.dirtyGroups
	wrongOutcome    = "outcome"       // the outcome of an ended job is not going to be stored
	wrongJobEnd     = "job_end"       // a job whose tasks are done has not ended
	wrongOccurrence = "occurrence"    // an occurrence is due and has no groups
	wrongNoNextStep = "no_next_step"  // none of these; nothing is put right
)

// auditor derives the indexes of a cell again from its state, some jobs at a time.
type auditor struct {
	// jobs are the jobs of the cell whose end is not stored, and may be others, which the audit removes.
	jobs []*job
	next int           // index of the job to be checked next
	at   time.Duration // when the last part was checked
	// began is when the audit last began with the first job.
	began time.Duration
	// found is the number of differences.
	found   int
	blocked blockedTasks
}

// audit derives what is to be started, looked at again or stored from the state for some of the jobs, compares that with
// the indexes and puts these right. Each job is checked within auditPeriod if audit is called often enough. The owner must have
// loaded the state, and its claim must allow decisions.
func (c *Cell) audit() {
	a := &c.auditor
	elapsed := min(c.now-a.at, auditPeriod)
	if elapsed < auditInterval {
		return
	}
	a.at = c.now
	if a.next >= len(a.jobs) && c.now-a.began >= auditPeriod {
		c.endAudit(a.began)
		a.next, a.began = 0, c.now
		c.auditWorkers()
		c.auditAssignments()
	}
	count := 1 + int(time.Duration(len(a.jobs))*elapsed/auditPeriod)
	for tasks := 0; count > 0 && a.next < len(a.jobs) && tasks < maxAuditTasks; count-- {
		j := a.jobs[a.next]
		if j.endStored {
			last := len(a.jobs) - 1
			a.jobs[a.next], a.jobs[last] = a.jobs[last], nil
			a.jobs = a.jobs[:last]
			continue
		}
		a.next++
		tasks += c.auditJob(j)
	}
	c.auditPlacement()
}

// corrected counts and logs a difference. The fields say where it was.
func (c *Cell) corrected(kind string, where ...zap.Field) {
	c.auditor.found++
	c.metrics.countCorrection(kind)
	c.log.Warn("index corrected", append(where, zap.String("kind", kind))...)
}

func groupField(g *group) zap.Field { return taskField(g.id.Task(0)) }

// auditPlacement checks that placement is due while tasks wait for it.
func (c *Cell) auditPlacement() {
	if c.placementDue() {
		return
	}
	for _, g := range c.waiting {
		if g.mayStart() {
			c.corrected(wrongPlacement, groupField(g))
			c.needsPlacement = true
			return
		}
	}
}

// auditWorkers checks the places of the workers in the queue of due workers.
func (c *Cell) auditWorkers() {
	for _, w := range c.sortedWorkers() {
		if !w.due.touched && c.due.outdated(w) {
			c.corrected(wrongWorkerDue, zap.String("worker", w.info.ID))
			w.touch()
		}
	}
}

// outdated reports whether the place of a worker in the queue differs from what settle computes.
func (q *dueQueue) outdated(w *worker) bool {
	d := &w.due
	return q.renewals.outdated(d.renewalAt, w.nextRenewal, w.renewable() && !w.renewalInFlight) ||
		q.leases.outdated(d.leasesAt, w.leaseExpiresBy, len(w.runs) > 0) ||
		!d.inPending && w.pending() || !d.inUnstored && w.hasUnstoredEnds()
}

// outdated reports whether update would change something for a worker; place is its index in the heap, plus 1.
func (h *dueHeap) outdated(place int, at time.Duration, member bool) bool {
	return (place > 0) != member || member && h.entries[place-1].at != at
}

// auditAssignments checks that the tasks that are assigned to other cells do not run here, and those assigned to this cell do.
func (c *Cell) auditAssignments() {
	found := c.auditor.found
	for key, assignment := range c.tasksElsewhere {
		t := c.assignedTask(key)
		if t == nil || t.leaving || t.elsewhere != (assignment.Cell == c.number) {
			continue
		}
		c.corrected(wrongElsewhere, taskField(t.id))
	}
	if c.auditor.found > found {
		c.applyTasks(false)
	}
}

// auditJob checks a job and returns its number of tasks.
func (c *Cell) auditJob(j *job) (tasks int) {
	if j.ended && !slices.Contains(c.dirtyJobs, j) && (c.storing == nil || !slices.Contains(c.storing.jobs, j)) {
		c.corrected(wrongOutcome, zap.String("job", string(j.id)))
		j.dirty = false
		c.markJobDirty(j)
	}
	if !j.live() {
		return 1
	}
	finished, notReady, mayBeReady := 0, 0, j.guest
	for _, g := range j.groupList {
		tasks += len(g.tasks)
		c.auditGroup(g)
		if g.unfinished == 0 {
			finished++
		}
		if !g.ready {
			notReady++
		}
		mayBeReady = mayBeReady || !g.ready && len(g.step.DependsOn) == 0
	}
	if notReady > 0 && (finished > 0 || mayBeReady) {
		c.auditReady(j)
	}
	c.auditEnd(j, finished)
	return tasks
}

// auditReady checks that the groups of a job whose turn has come are ready.
func (c *Cell) auditReady(j *job) {
	for _, g := range j.groupList {
		arrived := j.guest && slices.ContainsFunc(g.tasks, (*task).needsRun) // its cell has found it ready
		if !g.ready && (arrived || c.dependenciesDone(g)) {
			c.corrected(wrongReady, groupField(g))
			c.setReady(g)
		}
	}
}

// auditEnd checks that a job has its occurrences, and ends with its tasks; finished is its number of finished groups. Both are up
// to the cell of the job.
func (c *Cell) auditEnd(j *job, finished int) {
	if j.guest {
		return
	}
	if j.nextToOpen < j.record.Spec.Occurrences() {
		scheduled := slices.Contains(c.unopenedJobs, j)
		if !c.wall.Before(j.nextDue()) && (!scheduled || !j.heldBack) {
			c.corrected(wrongOccurrence, zap.String("job", string(j.id)))
			c.openDue(j)
			if !scheduled {
				c.unopenedJobs = append(c.unopenedJobs, j)
			}
			c.nextOccurrence, c.heldBackUntil = time.Time{}, 0
		}
		return
	}
	if finished == len(j.groupList) {
		c.completeJobIfDone(j)
	}
	if j.ended {
		c.corrected(wrongJobEnd, zap.String("job", string(j.id)))
	}
}

// auditGroup checks the counters and flags of a group and its tasks.
func (c *Cell) auditGroup(g *group) {
	unfinished, toStart, elsewhere := 0, 0, false
	for _, t := range g.tasks {
		if t.done || t.elsewhere || t.notBefore > c.now {
			c.auditTask(t)
		}
		switch {
		case t.done:
			continue
		case len(t.runs) > 0:
			c.auditRuns(t)
		case t.elsewhere:
			elsewhere = true
		default:
			toStart++
		}
		unfinished++
	}
	if g.unfinished != unfinished {
		c.corrected(wrongUnfinished, groupField(g), zap.Int("was", g.unfinished), zap.Int("now", unfinished))
		g.unfinished = unfinished
	}
	if g.toStart != toStart {
		c.corrected(wrongToStart, groupField(g), zap.Int("was", g.toStart), zap.Int("now", toStart))
		g.toStart = toStart
		c.needsPlacement = true
	}
	if g.mayStart() && !c.isWaiting(g) {
		c.corrected(wrongWaiting, groupField(g))
		g.waiting = false
		c.addWaiting(g)
		c.needsPlacement = true
	}
	if elsewhere && !g.job.guest {
		c.noteElsewhere(g)
	}
	if g.dirty && !slices.Contains(c.dirtyGroups, g) {
		c.corrected(wrongDirty, groupField(g))
		g.dirty = false
		c.markGroupDirty(g)
	}
}

// auditTask checks the flags of a task and the time before which it is not placed.
func (c *Cell) auditTask(t *task) {
	switch {
	case t.done && t.group.step.LongRunning:
		c.corrected(wrongDone, taskField(t.id))
		t.done = false
		t.group.unfinished++
		if t.needsRun() {
			t.group.toStart++
		}
		c.markTaskDirty(t)
	case t.elsewhere && !c.belongsElsewhere(t):
		c.corrected(wrongElsewhere, taskField(t.id))
		c.setElsewhere(t, false)
	case t.needsRun() && t.notBefore > c.now+maxRetryDelay:
		c.corrected(wrongBackoff, taskField(t.id))
		t.notBefore = c.now
	}
}

// auditRuns checks that the runs of a task have a next step. No run is taken for ended.
func (c *Cell) auditRuns(t *task) {
	known := false
	for _, r := range t.runs {
		w := r.worker
		switch next := c.nextStepOfRun(r); {
		case next.kind != nextNone:
		case r.state == runPlaced:
			c.corrected(wrongPending, taskField(t.id), zap.Int("run", r.number), zap.String("worker", w.info.ID))
			c.pendingStarts = append(c.pendingStarts, r)
			c.markTaskDirty(t)
		case r.unresolved() && !w.mayHaveUnresolved:
			c.corrected(wrongUnresolved, taskField(t.id), zap.Int("run", r.number), zap.String("worker", w.info.ID))
			w.mayHaveUnresolved = true
			w.touch()
		}
		known = known || !w.due.removed && c.nextStepOfRun(r).kind != nextNone
	}
	if !known {
		c.corrected(wrongNoNextStep, taskField(t.id), zap.Int("run", t.lastRunNumber))
	}
}
