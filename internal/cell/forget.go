package cell

import (
	"slices"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/store"
)

// maxExpiredJobs limits the number of jobs that one Expire returns.
const maxExpiredJobs = 100

// Expired is a set of ended jobs whose state does not have to be kept any longer.
type Expired struct {
	// Records delete the jobs and their cancellations. They must be stored before the jobs' progress is deleted: a job
	// without progress would be run again.
	Records []store.Record
	jobs    []jobs.ID
}

// Expire returns the jobs that can be deleted now. Each job is returned once, until Forgotten or Keep is called for it.
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

// Forgotten is called once the deletions are stored. The progress of the jobs is deleted with the next round.
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

// Keep is called when the deletions were not stored. Expire returns the jobs again later.
func (c *Cell) Keep(expired *Expired) {
	for _, id := range expired.jobs {
		if j := c.jobs[id]; j != nil {
			j.deleting = false
		}
	}
}

// addKey adds a key under which a copy of the job is stored.
func (j *job) addKey(key string) {
	if !slices.Contains(j.recordKeys, key) {
		j.recordKeys = append(j.recordKeys, key)
	}
}
