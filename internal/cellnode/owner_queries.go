package cellnode

import (
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/jobs"
)

// jobStatus is what an owner knows of a job.
type jobStatus struct {
	known bool
	state jobs.State
	// elsewhere is set if the job belongs to cell, whose owner knows its state.
	elsewhere bool
	cell      int
}

// status returns what the owner knows of a job. ok is false if the state is not loaded yet, or if the job is unknown and
// the latest read of the jobs topic is older than maxJobsReadAge.
func (o *owner) status(id jobs.ID) (s jobStatus, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded {
		return jobStatus{}, false
	}
	if s.cell, s.elsewhere = o.cell.CellOf(id); s.elsewhere {
		return s, true
	}
	s.cell = o.member.cell
	s.state, s.known = o.cell.Status(id)
	if !s.known && boottime.Now()-o.jobsReadAt > maxJobsReadAge {
		return jobStatus{}, false
	}
	return s, true
}

// maxJobsReadAge is the maximum age of the latest read of the jobs topic for which an owner may report a job as unknown, or the number
// of pending jobs.
const maxJobsReadAge = jobsReadWait + 500*time.Millisecond

// pending returns the number of accepted jobs of a queue that have not started, which may be maxPendingAge old. ok is
// false until the state is loaded, and while the owner cannot read the jobs that were accepted.
func (o *owner) pending(queue string) (count int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.loaded || boottime.Now()-o.jobsReadAt > maxJobsReadAge {
		return 0, false
	}
	if now := boottime.Now(); o.pendingJobs == nil || now-o.pendingAt > maxPendingAge {
		o.pendingJobs, o.pendingAt = o.cell.PendingJobs(), now
	}
	return o.pendingJobs[queue], true
}

// maxPendingAge is how long the counts of pending jobs of all queues are reused, since counting visits all jobs.
const maxPendingAge = 250 * time.Millisecond
