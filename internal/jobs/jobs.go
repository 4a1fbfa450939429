// Package jobs holds jobs as callers describe them, and the names of their tasks.
package jobs

import (
	"strconv"
	"time"
)

// ID names a job. Callers choose it.
type ID string

// TaskID names one task of a job.
type TaskID struct {
	Job ID
	// Occurrence counts the runs of a scheduled job from 0; it is 0 for all other jobs.
	Occurrence int
	Step       int
	Index      int
}

// Key returns the name as one string, for tables.
func (t TaskID) Key() string {
	return string(t.Job) + "/" + strconv.Itoa(t.Occurrence) + "/" + strconv.Itoa(t.Step) + "/" + strconv.Itoa(t.Index)
}

// Group names the tasks of one step in one occurrence.
func (t TaskID) Group() GroupID {
	return GroupID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}

// GroupID names the tasks of one step in one occurrence of a job.
type GroupID struct {
	Job        ID
	Occurrence int
	Step       int
}

// Task returns the name of the group's task with that index.
func (g GroupID) Task(index int) TaskID {
	return TaskID{Job: g.Job, Occurrence: g.Occurrence, Step: g.Step, Index: index}
}

// Resources is room on a worker: thousandths of a core, MB and whole accelerators.
type Resources struct {
	MilliCPU int
	MemoryMB int
	GPU      int
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU + o.MilliCPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU - o.MilliCPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Holds tells whether o fits into r.
func (r Resources) Holds(o Resources) bool {
	return o.MilliCPU <= r.MilliCPU && o.MemoryMB <= r.MemoryMB && o.GPU <= r.GPU
}

// Step is one step of a job: a number of equal tasks.
type Step struct {
	Count int
	// Request is what each task asks for.
	Request Resources
	// Estimate is the caller's rough figure for the time that a task takes.
	Estimate time.Duration
	// After lists the steps whose tasks must all have finished first.
	After          []int
	SavesProgress  bool
	Gang           bool
	RackSensitive  bool
	RequiredLabel  string
	DataRack       string
	MaxPerWorker   int // 0: no bound
	Speculative    bool
	Lasting        bool
	Image          string
	TargetTail     time.Duration // 0: serves nobody
	Fills          bool          // runs on the processor time that other tasks leave
	MaxUnavailable int           // 0 with HasUnavailable unset: no bound
	// HasUnavailable tells whether the caller bounded the tasks that may be away.
	HasUnavailable bool
}

// Room is what a worker must have free for one task of the step: tasks that fill count with their memory alone.
func (s *Step) Room() Resources {
	if s.Fills {
		return Resources{MemoryMB: s.Request.MemoryMB, GPU: s.Request.GPU}
	}
	return s.Request
}

// Spec is a job as its caller described it.
type Spec struct {
	// Payload is opaque; workers are given it with each start.
	Payload string
	Steps   []Step
	// Times is the number of occurrences; 0 for a job that runs once, at once.
	Times    int
	StartAt  time.Time
	Interval time.Duration
}

// Occurrences is the number of times that the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Times) }

// Due is the time at which an occurrence may start; the zero time for a job that runs at once.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Times == 0 {
		return time.Time{}
	}
	return s.StartAt.Add(time.Duration(occurrence) * s.Interval)
}

// Lasting tells whether the job runs until it is cancelled.
func (s *Spec) Lasting() bool {
	for i := range s.Steps {
		if s.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// LongestChain is the estimated time of the longest chain of steps from step on, that step included.
func (s *Spec) LongestChain(step int) time.Duration {
	longest := time.Duration(0)
	for later := step + 1; later < len(s.Steps); later++ {
		for _, earlier := range s.Steps[later].After {
			if earlier == step {
				longest = max(longest, s.LongestChain(later))
			}
		}
	}
	return s.Steps[step].Estimate + longest
}

// State is a job's state as callers see it.
type State int

// The states of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// Ended tells whether the state is final.
func (s State) Ended() bool { return s >= Completed }

// String returns the state's name for logs.
func (s State) String() string {
	names := [...]string{"queued", "running", "completed", "failed", "cancelled"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}
