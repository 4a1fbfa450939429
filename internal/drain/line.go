package drain

import (
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
)

const (
	// callerPatience is how long a caller waits for a response, its further attempts included. A refused job that has not
	// come again after that does not hold back others.
	callerPatience = 3 * time.Second
	// lineRetention is how long the time of the first attempt is remembered.
	lineRetention = time.Minute
	// maxLine bounds the memory.
	maxLine = 4096
)

// Line holds the jobs that were refused, in the order of their first attempt, so that older jobs are let in before newer
// ones. It is not safe for concurrent use.
type Line struct {
	jobs  map[jobs.ID]*refusedJob
	order []*refusedJob // by the first attempt
}

type refusedJob struct {
	id       jobs.ID
	pool     Pool
	priority int
	work     float64
	first    time.Duration // time of the first attempt
	until    time.Duration // until when it counts as ahead of newer jobs
}

// NewLine returns an empty Line.
func NewLine() *Line { return &Line{jobs: make(map[jobs.ID]*refusedJob)} }

// Ahead returns the work of a pool, of the same or a higher priority, that arrived before a job and may still come.
func (l *Line) Ahead(id jobs.ID, priority int, now time.Duration) func(Pool) float64 {
	first := now
	if r := l.jobs[id]; r != nil {
		first = r.first
	}
	return func(pool Pool) float64 {
		ahead := 0.0
		for i := len(l.order) - 1; i >= 0 && now-l.order[i].first < callerPatience; i-- {
			if r := l.order[i]; r.id != id && r.first < first && now < r.until && r.pool == pool && r.priority <= priority {
				ahead += r.work
			}
		}
		return ahead
	}
}

// Refused records that a job was refused with a Retry-After.
func (l *Line) Refused(id jobs.ID, j *Job, after, now time.Duration) {
	l.removeOld(now)
	r := l.jobs[id]
	if r == nil {
		if len(l.order) >= maxLine {
			return
		}
		r = &refusedJob{id: id, first: now}
		l.jobs[id] = r
		l.order = append(l.order, r)
	}
	r.pool, r.priority, r.work = PoolOf(j), j.Priority, WorkOf(j.Spec)
	if r.until = min(now+after+minSpread, r.first+callerPatience); after >= callerPatience {
		r.until = now // the caller will have given up
	}
}

// Accepted records that a job was accepted.
func (l *Line) Accepted(id jobs.ID) {
	if r := l.jobs[id]; r != nil {
		r.until = 0
	}
}

func (l *Line) removeOld(now time.Duration) {
	n := 0
	for n < len(l.order) && now-l.order[n].first > lineRetention {
		delete(l.jobs, l.order[n].id)
		n++
	}
	l.order = l.order[n:]
}

// PoolOf returns the pool of the first step of a job.
func PoolOf(j *Job) Pool {
	return KindOf(j.Service, j.Queue, j.Priority, &j.Spec.Steps[0]).Pool
}

// WorkOf returns the estimated work of a job.
func WorkOf(spec *jobs.Spec) float64 {
	work := 0.0
	for i := range spec.Steps {
		work += float64(spec.Steps[i].Count) * TaskWork(&spec.Steps[i])
	}
	return work
}
