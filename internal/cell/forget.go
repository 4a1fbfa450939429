package cell

import (
	"slices"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/store"
)

// maxForgotten bounds the jobs that are forgotten at once.
const maxForgotten = 100

// Expired are ended jobs whose state need not be told any more.
type Expired struct {
	// Records delete the jobs and their cancellations. They are to be stored before the jobs' progress goes: a job
	// without progress would be run again.
	Records []store.Record
	jobs    []jobs.ID
}

// Expire returns the jobs that can be forgotten now. Each is returned once, until Forgotten or Keep is called for it.
func (c *Cell) Expire() *Expired {
	expired := &Expired{}
	for id, j := range c.jobs {
		if len(expired.jobs) >= maxForgotten {
			break
		}
		if j.forgetting || !j.ended || !j.visible || c.wall.UnixMilli()-j.endedAtMS < c.settings.KeepStatus.Milliseconds() || j.running() {
			continue
		}
		j.forgetting = true
		expired.jobs = append(expired.jobs, id)
		for _, key := range append([]string{jobrecord.CancelKey(id)}, j.keys...) {
			expired.Records = append(expired.Records, store.Record{Key: key})
		}
	}
	return expired
}

// Forgotten takes in that the deletions are stored. The progress of the jobs is deleted with the next round.
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

// Keep takes jobs back whose deletions were not stored; they are returned again later.
func (c *Cell) Keep(expired *Expired) {
	for _, id := range expired.jobs {
		if j := c.jobs[id]; j != nil {
			j.forgetting = false
		}
	}
}

// addKey notes a key under which a copy of the job is stored.
func (j *job) addKey(key string) {
	if !slices.Contains(j.keys, key) {
		j.keys = append(j.keys, key)
	}
}
