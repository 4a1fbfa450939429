package cell

import (
	"slices"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/store"
)

// maxExpiredJobs is the maximum number of jobs that one call of ExpireJobs returns.
const maxExpiredJobs = 100

// ExpiredJobs is a set of ended jobs that are to be deleted. The owner stores Records and then calls ExpiredDeleted or,
// if they could not be stored, ExpiredNotDeleted.
type ExpiredJobs struct {
	// Records are deletions, that is records without a value, of the jobs and their cancellations in the jobs topic.
	// They must be stored before the jobs' progress is deleted: a job without progress would be run again.
	Records []store.Record
	jobs    []jobs.ID
}

// ExpireJobs returns jobs that ended at least Settings.StatusRetention ago and have no runs. A job is returned again
// only after a call of ExpiredNotDeleted. The jobs that ended first come first.
func (c *Cell) ExpireJobs() *ExpiredJobs {
	expired := &ExpiredJobs{}
	c.endedJobs.Ascend(func(j *job) bool {
		if len(expired.jobs) >= maxExpiredJobs || c.wall.UnixMilli()-j.endedAtMS < c.settings.StatusRetention.Milliseconds() {
			return false
		}
		if j.deleting || j.guest || j.hasRuns() {
			return true
		}
		j.deleting = true
		expired.jobs = append(expired.jobs, j.id)
		for _, key := range append([]string{jobrecord.CancelKey(j.id)}, j.recordKeys...) {
			expired.Records = append(expired.Records, store.Record{Key: key})
		}
		return true
	})
	return expired
}

// markEndStored marks the outcome of an ended job as stored.
func (c *Cell) markEndStored(j *job) {
	if j.endStored {
		return
	}
	j.endStored = true
	c.endedJobs.ReplaceOrInsert(j)
	if j.large {
		c.endedLarge = append(c.endedLarge, j)
	}
}

// endedBefore orders ended jobs by the time of their end and by ID.
func endedBefore(a, b *job) bool {
	if a.endedAtMS != b.endedAtMS {
		return a.endedAtMS < b.endedAtMS
	}
	return a.id < b.id
}

// ExpiredDeleted is called once expired.Records are stored. It removes the jobs; their progress records are deleted
// with the next round.
func (c *Cell) ExpiredDeleted(expired *ExpiredJobs) {
	for _, id := range expired.jobs {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		c.removeJob(j)
	}
}

// removeJob removes an ended job. Its progress is deleted with the next round.
func (c *Cell) removeJob(j *job) {
	c.deletions = append(c.deletions, jobrecord.OutcomeKey(j.id))
	for _, g := range j.groups {
		c.deletions = append(c.deletions, g.progressKeys()...)
		c.countTasks(j, -len(g.tasks))
	}
	if j.bounded {
		c.deletions = append(c.deletions, jobrecord.OccurrencesKey(j.id))
	}
	delete(c.jobs, j.id)
	c.endedJobs.Delete(j)
}

// ExpiredNotDeleted is called if storing expired.Records failed. A later ExpireJobs returns the jobs again.
func (c *Cell) ExpiredNotDeleted(expired *ExpiredJobs) {
	for _, id := range expired.jobs {
		if j := c.jobs[id]; j != nil {
			j.deleting = false
		}
	}
}

// addKey adds the key of a record of the job, unless it is known already.
func (j *job) addKey(key string) {
	if !slices.Contains(j.recordKeys, key) {
		j.recordKeys = append(j.recordKeys, key)
	}
}
