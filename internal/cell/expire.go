package cell

import (
	"slices"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/store"
)

// maxExpiredJobs is the maximum number of jobs that one call of Expire returns.
const maxExpiredJobs = 100

// Expired is a set of ended jobs that are to be deleted. The owner stores Records and then calls Forgotten or, if they
// could not be stored, Keep.
type Expired struct {
	// Records are deletions, that is records without a value, of the jobs and their cancellations in the jobs topic.
	// They must be stored before the jobs' progress is deleted: a job without progress would be run again.
	Records []store.Record
	jobs    []jobs.ID
}

// Expire returns jobs that ended at least Settings.KeepStatus ago and have no runs. A job is returned again only after
// a call of Keep.
func (c *Cell) Expire() *Expired {
	expired := &Expired{}
	for id, j := range c.jobs {
		if len(expired.jobs) >= maxExpiredJobs {
			break
		}
		if j.deleting || !j.ended || !j.endStored ||
			c.wall.UnixMilli()-j.endedAtMS < c.settings.KeepStatus.Milliseconds() || j.hasRuns() {
			continue
		}
		j.deleting = true
		expired.jobs = append(expired.jobs, id)
		for _, key := range append([]string{jobrecord.CancelKey(id)}, j.recordKeys...) {
			expired.Records = append(expired.Records, store.Record{Key: key})
		}
	}
	return expired
}

// Forgotten is called once expired.Records are stored. It removes the jobs; their progress records are deleted with the
// next round.
func (c *Cell) Forgotten(expired *Expired) {
	for _, id := range expired.jobs {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		c.deletions = append(c.deletions, jobrecord.OutcomeKey(id))
		for group := range j.groups {
			c.deletions = append(c.deletions, jobrecord.GroupKey(group))
		}
		delete(c.jobs, id)
	}
}

// Keep is called if storing expired.Records failed. A later Expire returns the jobs again.
func (c *Cell) Keep(expired *Expired) {
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
