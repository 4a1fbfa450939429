package drain

import (
	"math"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
)

const (
	// usefulFactor times the objective is the age from which on the result of a job is worth nothing (see package urgency).
	usefulFactor = 3
	// defaultRunRatio and maxRunRatio limit the ratio of run time to estimate. Estimates are rough, and a job must not be
	// refused because of a few slow tasks.
	defaultRunRatio = 0.8
	maxRunRatio     = 2
	// minSpread is the least time over which the callers are spread that are refused at the same time. Retry-After has whole
	// seconds.
	minSpread = time.Second
	// MinRetryAfter is the shortest Retry-After.
	MinRetryAfter = time.Second
)

// Job is a new job as far as the decision depends on it.
type Job struct {
	Service, Queue string
	Priority       int
	Spec           *jobs.Spec
	// Objective is the time within which the job should be done.
	Objective time.Duration
	// Ahead returns the work of a pool that was refused before this job arrived and may still come; nil for none.
	Ahead func(Pool) float64
}

// Limit returns the age up to which the result of the job is worth something.
func (j *Job) Limit() time.Duration { return usefulFactor * j.Objective }

// CriticalPath returns the estimated run time of the longest chain of dependent steps of a job.
func CriticalPath(spec *jobs.Spec) time.Duration {
	steps := spec.Steps
	paths, longest := make([]time.Duration, len(steps)), time.Duration(0)
	for i := len(steps) - 1; i >= 0; i-- {
		paths[i] += steps[i].Estimate
		longest = max(longest, paths[i])
		for _, earlier := range steps[i].DependsOn {
			paths[earlier] = max(paths[earlier], paths[i])
		}
	}
	return longest
}

// Estimate says when a job would be begun and done in a cell.
type Estimate struct {
	// Known is false without a measured lack of capacity or without a measured rate: the job may be begun at once.
	Known      bool
	Wait, Done time.Duration
}

// Of returns the estimate for a job. The job is begun when the first of its steps is for which that is expected earliest.
func (f *Figures) Of(j *Job) Estimate {
	best, ratio := Estimate{}, 0.0
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		if len(step.DependsOn) > 0 {
			continue
		}
		kind := KindOf(j.Service, j.Queue, j.Priority, step)
		own := f.kind(kind)
		if own == nil || !own.short() || !Request(step).Contains(own.Shortest) {
			return Estimate{}
		}
		wait, known := f.wait(j, own)
		if !known {
			return Estimate{}
		}
		if !best.Known || wait < best.Wait {
			best, ratio = Estimate{Known: true, Wait: wait}, own.RunRatio
		}
	}
	if ratio == 0 {
		ratio = defaultRunRatio
	}
	ratio = min(maxRunRatio, max(defaultRunRatio, ratio))
	best.Done = best.Wait + time.Duration(float64(CriticalPath(j.Spec))*ratio)
	return best
}

func (f *Figures) kind(k Kind) *KindFigures {
	for i := range f.Kinds {
		if f.Kinds[i].Kind == k {
			return &f.Kinds[i]
		}
	}
	return nil
}

// wait returns how long work of the same or a higher priority in the pool of a kind takes to drain or, if that is shorter,
// work of the kind alone. known is false if nothing was begun.
func (f *Figures) wait(j *Job, own *KindFigures) (wait time.Duration, known bool) {
	backlog, rate := 0.0, 0.0
	for i := range f.Kinds {
		if k := &f.Kinds[i]; k.Pool == own.Pool && k.Priority <= own.Priority {
			backlog += k.Backlog
			rate += k.Rate
		}
	}
	if rate <= 0 {
		return 0, false
	}
	ahead := 0.0
	if j.Ahead != nil {
		ahead = j.Ahead(own.Pool)
	}
	seconds := (backlog + ahead) / rate
	if own.Rate > 0 {
		seconds = min(seconds, (own.Backlog+ahead)/own.Rate)
	}
	if seconds > maxSeconds {
		seconds = maxSeconds
	}
	return max(0, time.Duration(seconds*float64(time.Second))-f.Age), true
}

// maxSeconds keeps a time from overflowing.
const maxSeconds = 1e6

// Decision is what happens to a new job.
type Decision struct {
	Refused bool
	// Cell is the cell in which the job would be done first, and Estimate when; both are only valid if Known is set in
	// Estimate.
	Cell int
	Estimate
	// Late is, by cell, whether the job could not be done in time there.
	Late map[int]bool
	// Next is when there would be room for the job within its limit.
	Next time.Duration
}

// Decide decides on a job. cells holds the figures of the active cells, by number; nil if those of a cell are missing or too
// old. The job is refused only if it would be done too late in each of them.
func Decide(cells map[int]*Figures, j *Job) Decision {
	d := Decision{Refused: len(cells) > 0 && j.Objective > 0, Late: make(map[int]bool)}
	for cell, f := range cells {
		if f == nil {
			d.Refused = false
			continue
		}
		e := f.Of(j)
		late := e.Known && e.Done > j.Limit()
		d.Late[cell] = late
		if !late {
			d.Refused = false
		}
		if e.Known && (!d.Known || e.Done < d.Done || e.Done == d.Done && cell < d.Cell) {
			d.Cell, d.Estimate = cell, e
		}
	}
	if d.Refused {
		d.Next = d.Done - j.Limit()
	}
	return d
}

// RetryAfter returns the Retry-After for a refused job, in whole seconds: when there would be room, but at most the limit of the
// job, after which nothing that waits now waits usefully, plus a random part that spreads callers. random returns a number from 0
// up to, but not including, 1.
func (d *Decision) RetryAfter(j *Job, random func() float64) time.Duration {
	after := min(d.Next, j.Limit())
	after += time.Duration(random() * float64(max(minSpread, after/2)))
	return max(MinRetryAfter, time.Duration(math.Ceil(after.Seconds()))*time.Second)
}

// NeverFits returns the index of a step that requests more than each worker of its service that the owner of any cell has seen.
// found is false if there is none, or if that is not certain.
func NeverFits(cells map[int]*Figures, j *Job) (step int, found bool) {
	if len(cells) == 0 {
		return 0, false
	}
	for i := range j.Spec.Steps {
		if neverFits(cells, j.Service, j.Spec.Steps[i].Requested()) {
			return i, true
		}
	}
	return 0, false
}

func neverFits(cells map[int]*Figures, service string, request jobs.Resources) bool {
	seen := 0
	for _, f := range cells {
		if f == nil || !f.Complete {
			return false
		}
		for _, shape := range f.Shapes[service] {
			if shape.Contains(request) {
				return false
			}
			seen++
		}
	}
	return seen > 0
}

// Assume counts an accepted job as waiting, until the owner says what waits.
func (f *Figures) Assume(j *Job) {
	kind := KindOf(j.Service, j.Queue, j.Priority, &j.Spec.Steps[0])
	if k := f.kind(kind); k != nil {
		k.Backlog += WorkOf(j.Spec)
	}
}
