package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

// An occurrence of a job is opened, that is, its groups are created, when it is due. A job that is not scheduled has one, which is due at
// once. What is open of jobs with many tasks is limited, since the tasks of all that callers may submit do not fit into memory:
//
//   - A scheduled job with many tasks in all of its occurrences is a bounded job. Its occurrences are opened only as earlier ones are
//     begun, and closed once they have ended. Of a closed occurrence only its number is kept, in memory and in the store.
//   - A job with many tasks in one occurrence is a large job. Its occurrences are opened only as far as the open tasks of all large jobs
//     stay within a limit, in the order in which the jobs were added. Its groups are removed once its end is stored.
const (
	// maxKeptTasks is the number of tasks in all occurrences of a job above which the job is bounded. It must not be raised: the stored
	// progress of a bounded job is read as such.
	maxKeptTasks = 2000
	// maxWaitingTasks and maxOpenTasks limit the tasks of the open occurrences of all bounded jobs: those that may be started and have
	// no run, and all. Each job with occurrences to open has an equal share, and may have one occurrence open in any case.
	maxWaitingTasks = 4000
	maxOpenTasks    = 40_000
	// minLargeTasks is the number of tasks in one occurrence from which on a job is large, and maxLargeTasks the limit on the open tasks
	// of large jobs. One of them may be open in any case.
	minLargeTasks = 200
	maxLargeTasks = 100_000
	// maxEndedRanges is the largest number of ranges of closed occurrences. An occurrence that would begin another one stays open.
	maxEndedRanges = 10_000
	// endedRangeBytes is the largest size of a stored range, and endedRecordBytes that of the rest of their record.
	endedRangeBytes  = 11
	endedRecordBytes = 64
	// openInterval is the interval at which it is checked whether a bounded job may open further occurrences.
	openInterval = 20 * time.Millisecond
)

// neverDue is later than all times at which occurrences are due.
var neverDue = time.Unix(1<<40, 0)

// occurrence is an occurrence of a job.
type occurrence struct {
	job    *job
	number int
}

// isBounded reports whether a job with a spec is bounded.
func isBounded(s *jobs.Spec) bool {
	return s.OccurrenceCount > 0 && s.OccurrenceCount > maxKeptTasks/tasksPerOccurrence(s)
}

// isLarge reports whether a job with a spec is large.
func isLarge(s *jobs.Spec) bool { return tasksPerOccurrence(s) >= minLargeTasks }

func tasksPerOccurrence(s *jobs.Spec) int {
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Count
	}
	return tasks
}

// openShare is what a bounded job may still open.
type openShare struct {
	waiting, tasks int // number of tasks, see maxWaitingTasks and maxOpenTasks
	// first is set while the job has no unfinished occurrence open.
	first bool
}

// share returns what a job may open.
func (c *Cell) share(j *job) openShare {
	sharers := max(1, c.sharers)
	s := openShare{waiting: maxWaitingTasks / sharers, tasks: maxOpenTasks / sharers, first: true}
	for _, g := range j.groupList {
		s.tasks -= len(g.tasks)
		if g.ready {
			s.waiting -= g.toStart
		}
		s.first = s.first && g.unfinished == 0
	}
	return s
}

// take reports whether another occurrence may be opened, and accounts for it.
func (s *openShare) take(spec *jobs.Spec) bool {
	waiting, tasks := 0, tasksPerOccurrence(spec)
	for i := range spec.Steps {
		if len(spec.Steps[i].DependsOn) == 0 {
			waiting += spec.Steps[i].Count
		}
	}
	s.waiting, s.tasks = s.waiting-waiting, s.tasks-tasks
	may := s.first || s.waiting >= 0 && s.tasks >= 0
	s.first = false
	return may
}

// openDue opens the job's occurrences that are due, those of a bounded job as far as its share allows.
func (c *Cell) openDue(j *job) {
	spec := &j.record.Spec
	var share openShare
	if j.bounded {
		share = c.share(j)
	}
	j.heldBack = false
	for {
		j.nextToOpen = j.closed.next(j.nextToOpen)
		if j.nextToOpen >= spec.Occurrences() {
			return
		}
		if due := spec.DueAt(j.nextToOpen); !due.IsZero() && c.wall.Before(due) {
			return
		}
		if !j.isOpen(j.nextToOpen) && (j.bounded && !share.take(spec) || j.large && !c.mayOpenLarge(j)) {
			j.heldBack = true
			c.logHeldBack(j)
			return
		}
		c.open(j, j.nextToOpen)
		c.markReady(j, j.nextToOpen)
		j.nextToOpen++
	}
}

// mayOpenLarge reports whether an occurrence of a large job may be opened. Those that no worker can run any task of are left out, so that
// they hold up no others; if there are several cells, workers may come from another one.
func (c *Cell) mayOpenLarge(j *job) bool {
	if c.largeHeldBack || c.cellCount == 1 && !c.hasWorkerFor(j) {
		return false
	}
	c.largeHeldBack = c.largeTasks > 0 && c.largeTasks+tasksPerOccurrence(&j.record.Spec) > maxLargeTasks
	return !c.largeHeldBack
}

// workerNeed is what a worker must have for a task, if it has nothing else to run.
type workerNeed struct {
	service, label string
	request        jobs.Resources
}

// hasWorkerFor reports whether a worker could run a task of a step of the job that depends on no other, if it had nothing else to run.
func (c *Cell) hasWorkerFor(j *job) bool {
	service := c.platformServiceOf(j)
	for i := range j.record.Spec.Steps {
		step := &j.record.Spec.Steps[i]
		if len(step.DependsOn) > 0 {
			continue
		}
		need := workerNeed{service: service, label: step.RequiredLabel, request: step.Requested()}
		met, known := c.needsMet[need]
		if !known {
			for _, w := range c.workers {
				met = met || w.listed && w.info.Capacity.Contains(need.request) && meetsConstraints(w, step, service, 0)
			}
			c.needsMet[need] = met
		}
		if met {
			return true
		}
	}
	return false
}

// isOpen reports whether groups of an occurrence exist.
func (j *job) isOpen(number int) bool {
	for step := range j.record.Spec.Steps {
		if j.groups[jobs.GroupID{Job: j.id, Occurrence: number, Step: step}] != nil {
			return true
		}
	}
	return false
}

// open creates the groups of an occurrence that do not exist.
func (c *Cell) open(j *job, number int) {
	for step := range j.record.Spec.Steps {
		c.ensureGroup(j, jobs.GroupID{Job: j.id, Occurrence: number, Step: step})
	}
}

// logHeldBack logs, once for each owner, that occurrences of a job are due and are not opened yet.
func (c *Cell) logHeldBack(j *job) {
	if j.heldBackLogged {
		return
	}
	j.heldBackLogged = true
	c.log.Info("occurrences held back", zap.String("job", string(j.id)), zap.Int("next", j.nextToOpen),
		zap.Int("occurrences", j.record.Spec.Occurrences()), zap.Int("open_groups", len(j.groupList)), zap.Int("sharers", c.sharers),
		zap.Int("large_tasks", c.largeTasks))
}

// openAllDue opens the occurrences that are due, and drops jobs of which all were opened from unopenedJobs. Until the next one is
// due, or may be opened, it does nothing.
func (c *Cell) openAllDue() {
	heldBackDue := c.heldBackUntil != 0 && c.now >= c.heldBackUntil
	if len(c.unopenedJobs) == 0 || c.wall.Before(c.nextOccurrence) && !heldBackDue {
		return
	}
	c.nextOccurrence, c.heldBackUntil = neverDue, 0
	c.sharers, c.largeHeldBack, c.needsMet = 0, false, make(map[workerNeed]bool)
	for _, j := range c.unopenedJobs {
		if j.bounded && j.live() && !c.wall.Before(j.nextDue()) {
			c.sharers++
		}
	}
	remaining := c.unopenedJobs[:0]
	for _, j := range c.unopenedJobs {
		if !j.live() {
			continue
		}
		c.openDue(j)
		if j.nextToOpen >= j.record.Spec.Occurrences() {
			c.completeJobIfDone(j) // all others may have ended before
			continue
		}
		remaining = append(remaining, j)
		if j.heldBack {
			c.heldBackUntil = c.now + openInterval
		} else if due := j.nextDue(); due.Before(c.nextOccurrence) {
			c.nextOccurrence = due
		}
	}
	clear(c.unopenedJobs[len(remaining):])
	c.unopenedJobs = remaining
}

// nextDue returns when the first occurrence is due that was not opened.
func (j *job) nextDue() time.Time { return j.record.Spec.DueAt(j.nextToOpen) }

// noteOccurrenceEnd has an occurrence of a bounded job closed with the next round if all of its tasks are done.
func (c *Cell) noteOccurrenceEnd(j *job, number int) {
	if j.bounded && j.live() && j.hasEnded(number) {
		c.toClose = append(c.toClose, occurrence{j, number})
	}
}

// hasEnded reports whether an occurrence is open and all of its tasks are done.
func (j *job) hasEnded(number int) bool {
	for step := range j.record.Spec.Steps {
		if g := j.groups[jobs.GroupID{Job: j.id, Occurrence: number, Step: step}]; g == nil || g.unfinished > 0 {
			return false
		}
	}
	return true
}

// closeOccurrences closes the occurrences that have ended, and removes the groups of large jobs that have, once they have no runs any
// more.
func (c *Cell) closeOccurrences() {
	var changed []*job
	c.toClose = slices.DeleteFunc(c.toClose, func(o occurrence) bool {
		j := o.job
		if c.jobs[j.id] != j || !j.live() || !j.hasEnded(o.number) {
			return true
		}
		if j.hasRunsIn(o.number) || !j.closed.add(o.number, c.maxEndedRanges()) {
			return false
		}
		c.removeGroups(j, o.number)
		if !slices.Contains(changed, j) {
			changed = append(changed, j)
		}
		return true
	})
	for _, j := range changed {
		j.groupList = slices.DeleteFunc(j.groupList, func(g *group) bool { return g.closed })
		c.markOccurrencesDirty(j)
	}
	c.endedLarge = slices.DeleteFunc(c.endedLarge, func(j *job) bool {
		if j.runs > 0 {
			return false
		}
		if c.jobs[j.id] == j {
			for _, g := range j.groupList {
				c.removeGroup(j, g)
			}
			j.groupList = nil
		}
		return true
	})
}

// hasRunsIn reports whether a run of an occurrence may still be on a worker.
func (j *job) hasRunsIn(number int) bool {
	for step := range j.record.Spec.Steps {
		g := j.groups[jobs.GroupID{Job: j.id, Occurrence: number, Step: step}]
		if slices.ContainsFunc(g.tasks, func(t *task) bool { return len(t.runs) > 0 }) {
			return true
		}
	}
	return false
}

// removeGroups removes the groups of an occurrence, apart from their places in job.groupList. Their progress is deleted after the
// record of the job's closed occurrences is stored.
func (c *Cell) removeGroups(j *job, number int) {
	for step := range j.record.Spec.Steps {
		c.removeGroup(j, j.groups[jobs.GroupID{Job: j.id, Occurrence: number, Step: step}])
	}
}

// removeGroup removes a group from its job, apart from its place in job.groupList, and has its progress deleted with the next round.
func (c *Cell) removeGroup(j *job, g *group) {
	g.closed = true
	c.countTasks(j, -len(g.tasks))
	c.deletions = append(c.deletions, g.progressKeys()...)
	c.interference.Forget(jobrecord.GroupKey(g.id))
	delete(j.groups, g.id)
}

// countTasks counts tasks of a job that are in memory from now on or, if negative, are not any more.
func (c *Cell) countTasks(j *job, tasks int) {
	c.taskCount += tasks
	if j.large {
		c.largeTasks += tasks
	}
}

// maxEndedRanges returns the largest number of ranges for which a record has room.
func (c *Cell) maxEndedRanges() int {
	if c.settings.MaxRecordBytes == 0 {
		return maxEndedRanges
	}
	return min(maxEndedRanges, max(1, (c.settings.MaxRecordBytes-endedRecordBytes)/endedRangeBytes))
}

// markOccurrencesDirty has the closed occurrences of a job stored with the next round.
func (c *Cell) markOccurrencesDirty(j *job) {
	if !slices.Contains(c.dirtyOccurrences, j) {
		c.dirtyOccurrences = append(c.dirtyOccurrences, j)
	}
}

// addOccurrences adds the closed occurrences of jobs to a round.
func (r *Round) addOccurrences(c *Cell) {
	for _, j := range c.dirtyOccurrences {
		if c.jobs[j.id] == j {
			r.occurrences = append(r.occurrences, j)
			r.addRecord(c, jobrecord.OccurrencesKey(j.id), &jobrecord.Occurrences{Ended: j.closed.ranges})
		}
	}
	c.dirtyOccurrences = nil
}

// loadOccurrences restores the closed occurrences of a job.
func (c *Cell) loadOccurrences(j *job, r store.Record) {
	var record jobrecord.Occurrences
	err := recordcodec.Decode(r.Value, &record)
	if err == nil {
		j.closed, err = newOccurrenceSet(record.Ended, j.record.Spec.Occurrences())
	}
	if err != nil {
		c.skipUnreadable(r, err)
		return
	}
	j.bounded, j.started, j.begun = true, true, true
}

// resumeOccurrences marks the steps of the open occurrences of a loaded job as ready if they are due and their dependencies done, and has
// those that have ended closed.
func (c *Cell) resumeOccurrences(j *job) {
	var numbers []int
	for _, g := range j.groupList {
		numbers = append(numbers, g.id.Occurrence)
	}
	slices.Sort(numbers)
	for _, number := range slices.Compact(numbers) {
		if j.bounded || j.large {
			c.open(j, number) // of some steps there may be no progress
		}
		if due := j.record.Spec.DueAt(number); due.IsZero() || !c.wall.Before(due) {
			c.markReady(j, number)
		}
		c.noteOccurrenceEnd(j, number)
	}
}
