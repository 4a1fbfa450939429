package cell

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/store"
)

const (
	// taskHandOverAfter is how long a long-running task must have waited for resources before it goes to another cell. By
	// then reserveWorkers has found no worker that could be emptied for it, or it takes long.
	taskHandOverAfter = 1500 * time.Millisecond
	// maxTaskHandOvers is the maximum number of tasks that go to another cell at a time.
	maxTaskHandOvers = 16
)

// TaskHandOver is a task that goes to another cell, with what the owner there needs to know.
type TaskHandOver struct {
	Task       jobs.TaskID
	LastRun    int
	Checkpoint string
	Need       cellmap.Need
}

// SetTasks sets the assignments of tasks to other cells than that of their job. Only long-running tasks are assigned, which
// never end by themselves, so that no cell has to learn of the end of a task in another one. CancelledElsewhere tells of the end of
// their jobs.
func (c *Cell) SetTasks(assigned map[string]cellmap.TaskAssignment) {
	c.tasksElsewhere = assigned
	if c.loaded {
		c.applyTasks(true)
	}
}

// applyTasks applies the assignments: the cell's own tasks that are assigned to other cells do not run here, and tasks of
// other cells' jobs that are assigned to this cell do. Unless the assignments were just read, tasks whose hand-over is being stored
// are left out: theirs are about to be replaced.
func (c *Cell) applyTasks(read bool) {
	for key, assignment := range c.tasksElsewhere {
		id, err := jobs.ParseTaskKey(key)
		if err != nil {
			c.metrics.UnreadableRecords.Inc()
			continue
		}
		here := assignment.Cell == c.number
		j := c.jobs[id.Job]
		if j == nil && here {
			j = c.addGuest(id.Job)
		}
		if j == nil {
			continue
		}
		t := c.taskOf(j, id)
		if t == nil || t.leaving && !read {
			continue
		}
		if t.leaving = false; t.elsewhere == here {
			if here && assignment.LastRun >= t.lastRunNumber {
				t.lastRunNumber, t.checkpoint = assignment.LastRun, assignment.Checkpoint
			}
			if here && !t.group.ready { // its cell has found it ready
				t.group.ready, t.group.readyAt = true, c.now
			}
			c.setElsewhere(t, !here)
		}
	}
	c.dropEndedGuests()
}

// addGuest adds a job of another cell, of which no task belongs to this cell yet. It returns nil if the record of the job has
// not been read, or the job was cancelled.
func (c *Cell) addGuest(id jobs.ID) *job {
	f := c.foreign[id]
	if f == nil || f.record == nil || f.cancelled {
		return nil
	}
	j := &job{
		id: id, record: *f.record, groups: make(map[jobs.GroupID]*group), criticalPath: criticalPaths(&f.record.Spec), addedAt: c.now,
		guest: true, started: true, begun: true,
	}
	j.estimate()
	c.jobs[id], c.guests[id] = j, j
	c.auditor.jobs = append(c.auditor.jobs, j)
	if !isBounded(&j.record.Spec) && !isLarge(&j.record.Spec) { // of the others, groups are created with their first task that is assigned
		c.openDue(j)
	}
	return j
}

// taskOf returns a task of a job, or nil if the job has no such long-running task.
func (c *Cell) taskOf(j *job, id jobs.TaskID) *task {
	if id.Step >= len(j.record.Spec.Steps) || !j.record.Spec.Steps[id.Step].LongRunning || id.Index >= j.record.Spec.Steps[id.Step].Count ||
		id.Occurrence >= j.record.Spec.Occurrences() {
		return nil
	}
	return c.ensureGroup(j, id.Group()).tasks[id.Index]
}

// assignedTask returns the task of an assignment, or nil if this cell does not have it.
func (c *Cell) assignedTask(key string) *task {
	id, err := jobs.ParseTaskKey(key)
	if err != nil || c.jobs[id.Job] == nil {
		return nil
	}
	return c.taskOf(c.jobs[id.Job], id)
}

// setElsewhere sets whether a task belongs to another cell.
func (c *Cell) setElsewhere(t *task, elsewhere bool) {
	needed := t.needsRun()
	t.elsewhere = elsewhere
	switch {
	case needed && !t.needsRun():
		t.group.toStart--
	case !needed && t.needsRun():
		t.group.toStart++
		t.waitingSince, t.notBefore = c.now, 0
		c.addWaiting(t.group)
		c.needsPlacement = true
	}
}

// needOf returns what a task of a step needs of a cell.
func needOf(step *jobs.Step) cellmap.Need {
	need := cellmap.Need{MilliCPU: int64(step.Request.MilliCPU), BestEffort: step.BestEffort}
	if step.RequiredLabel != "" {
		need.Labels = []string{step.RequiredLabel}
	}
	return need
}

// TakeStrandedTasks returns long-running tasks that have waited for resources for long or, in a cell that is not active, at all:
// its workers are in other cells. They do not run in this cell any more unless ReturnTask is called. Tasks that were returned come
// last, so that those that no cell has room for do not keep others here.
func (c *Cell) TakeStrandedTasks() []TaskHandOver {
	var tasks []*task
	patience := taskHandOverAfter
	if c.inactive {
		patience = 0
	}
	for _, g := range c.waiting {
		if !g.mayStart() || !g.step.LongRunning || g.step.Gang || g.waitReason != waitRoom {
			continue
		}
		for _, t := range g.tasks {
			since := max(t.waitingSince, t.returnedAt, g.readyAt)
			if t.needsRun() && c.now-since >= patience && c.storedRound >= t.settledRound {
				tasks = append(tasks, t)
			}
		}
	}
	slices.SortStableFunc(tasks, func(a, b *task) int { return cmp.Compare(a.returnedAt, b.returnedAt) })
	var stranded []TaskHandOver
	for _, t := range tasks[:min(len(tasks), maxTaskHandOvers)] {
		c.setElsewhere(t, true)
		t.leaving = true
		stranded = append(stranded, TaskHandOver{
			Task: t.id, LastRun: t.lastRunNumber, Checkpoint: t.checkpoint, Need: needOf(t.group.step),
		})
	}
	return stranded
}

// ReturnTask has a task that TakeStrandedTasks returned run in this cell again, since no cell has room for it or its assignment
// was not stored. The task has waited all the while.
func (c *Cell) ReturnTask(id jobs.TaskID) {
	j := c.jobs[id.Job]
	if j == nil {
		return
	}
	if t := c.taskOf(j, id); t != nil {
		since := t.waitingSince
		t.leaving = false
		c.setElsewhere(t, false)
		t.waitingSince, t.returnedAt = since, c.now
	}
}

// TaskHandedOver is called once the assignment of a task that TakeStrandedTasks returned is stored.
func (c *Cell) TaskHandedOver(id jobs.TaskID, to int) {
	j := c.jobs[id.Job]
	if j == nil {
		return
	}
	if t := c.taskOf(j, id); t != nil {
		c.log.Info("task leaves the cell", taskField(id), zap.Int("to", to), zap.Int("last_run", t.lastRunNumber), zap.Duration("waited", c.now-t.waitingSince))
	}
}

// CancelledElsewhere returns cancellations of jobs that have ended in this cell although tasks of them are assigned to others. Their
// owners read the jobs topic, but not the outcomes of this cell. They are returned until they are read. A later owner reads the outcome
// before the cancellation, so that the outcome has to be stored first.
func (c *Cell) CancelledElsewhere() []store.Record {
	var records []store.Record
	for key, assignment := range c.tasksElsewhere {
		id, err := jobs.ParseTaskKey(key)
		if err != nil || assignment.Cell == c.number {
			continue
		}
		if j := c.jobs[id.Job]; j == nil || j.guest || j.cancelled || j.deleting || !j.endStored {
			continue
		}
		record := store.Record{Key: jobrecord.CancelKey(id.Job), Value: []byte{1}}
		if !slices.ContainsFunc(records, func(r store.Record) bool { return r.Key == record.Key }) {
			records = append(records, record)
		}
	}
	return records
}

// EndedGuests returns the keys of the assignments of tasks whose jobs ended at least Settings.StatusRetention ago. Once they
// are deleted, the next SetTasks removes the jobs.
func (c *Cell) EndedGuests() (keys []string) {
	for key, assignment := range c.tasksElsewhere {
		id, err := jobs.ParseTaskKey(key)
		if err == nil && assignment.Cell == c.number && c.guestExpired(c.guests[id.Job]) {
			keys = append(keys, cellmap.TaskKey(id))
		}
	}
	return keys
}

func (c *Cell) guestExpired(j *job) bool {
	return j != nil && j.endStored && !j.hasRuns() && c.wall.UnixMilli()-j.endedAtMS >= c.settings.StatusRetention.Milliseconds()
}

// dropEndedGuests removes the jobs of other cells that have expired and of which no task is assigned to this cell any more.
// Their progress is deleted with the next round, their records by their own cell.
func (c *Cell) dropEndedGuests() {
	assigned := make(map[jobs.ID]bool)
	for key, assignment := range c.tasksElsewhere {
		if id, err := jobs.ParseTaskKey(key); err == nil && assignment.Cell == c.number {
			assigned[id.Job] = true
		}
	}
	for id, j := range c.guests {
		if assigned[id] || !c.guestExpired(j) {
			continue
		}
		c.removeJob(j)
		delete(c.guests, id)
	}
}
