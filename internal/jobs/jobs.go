// Package jobs defines jobs as callers specify them, the identifiers of their tasks, and the states of a job. It also
// validates job specs.
package jobs

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// ID identifies a job. It is chosen by the caller.
type ID string

// TaskID identifies one task of a job. Step is the index of the step in the job's spec, Index that of the task in the
// step.
type TaskID struct {
	Job ID
	// Occurrence is the number of the occurrence of a scheduled job, counted from 0. It is 0 for all other jobs.
	Occurrence int
	Step       int
	Index      int
}

// Key returns the ID as text of the form job/occurrence/step/index.
func (t TaskID) Key() string {
	return string(t.Job) + "/" + strconv.Itoa(t.Occurrence) + "/" + strconv.Itoa(t.Step) + "/" + strconv.Itoa(t.Index)
}

// ParseTaskKey returns the ID of which Key returned the text.
func ParseTaskKey(text string) (TaskID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 4 {
		return TaskID{}, trace.BadParameter("%q is not the key of a task", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskID{}, trace.BadParameter("%q is not the key of a task", text)
		}
		numbers[i] = number
	}
	return TaskID{Job: ID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Group returns the ID of the group that the task belongs to.
func (t TaskID) Group() GroupID {
	return GroupID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}

// GroupID identifies the tasks of one step in one occurrence of a job.
type GroupID struct {
	Job        ID
	Occurrence int
	Step       int
}

// Task returns the ID of the group's task with the given index.
func (g GroupID) Task(index int) TaskID {
	return TaskID{Job: g.Job, Occurrence: g.Occurrence, Step: g.Step, Index: index}
}

// Resources is an amount of worker resources: thousandths of a core, MB of memory and whole GPUs.
type Resources struct {
	MilliCPU int
	MemoryMB int
	GPU      int
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU + o.MilliCPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Sub returns r minus o, which may have negative fields.
func (r Resources) Sub(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU - o.MilliCPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Contains reports whether o fits into r.
func (r Resources) Contains(o Resources) bool {
	return o.MilliCPU <= r.MilliCPU && o.MemoryMB <= r.MemoryMB && o.GPU <= r.GPU
}

// Step is one step of a job: a number of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Request is the resources that each task requests.
	Request Resources
	// Estimate is the caller's rough estimate of the run time of a task.
	Estimate time.Duration
	// DependsOn lists the indexes of the steps whose tasks must all finish first.
	DependsOn         []int
	Checkpoints       bool          // a new run of a task can continue from a checkpoint of an earlier one
	Gang              bool          // the tasks must run at the same time
	RackSensitive     bool          // a gang runs faster with all its tasks on one rack
	RequiredLabel     string        // label that a worker must have; empty: none
	DataRack          string        // label of the rack that holds the tasks' data; empty: none
	MaxPerWorker      int           // maximum number of tasks of the step on one worker; 0: unlimited
	Speculative       bool          // a task may have two runs at a time, of which the first to succeed counts
	LongRunning       bool          // the tasks run until the job is cancelled
	Image             string        // name of the program that the tasks run
	TargetTailLatency time.Duration // target for the tail latency of tasks that serve requests; 0: does not serve requests
	BestEffort        bool          // runs on CPU time that other tasks leave idle
	MaxUnavailable    int           // only valid if HasMaxUnavailable is set
	// HasMaxUnavailable is set if the caller limited the number of tasks that may be unavailable at once.
	HasMaxUnavailable bool
}

// Requested returns the resources that a worker must have free for one task of the step. Tasks that run on idle CPU
// time need no free CPU.
func (s *Step) Requested() Resources {
	if s.BestEffort {
		return Resources{MemoryMB: s.Request.MemoryMB, GPU: s.Request.GPU}
	}
	return s.Request
}

// Spec is a job as specified by its caller.
type Spec struct {
	// Payload is opaque; it is passed to the worker with each start.
	Payload string
	Steps   []Step
	// OccurrenceCount is the number of occurrences of a scheduled job; 0 for a job that runs once, immediately. StartAt is
	// when the first occurrence is due, Interval the time between two occurrences; they are only used if OccurrenceCount
	// is not 0.
	OccurrenceCount int
	StartAt         time.Time
	Interval        time.Duration
}

// Occurrences returns the number of occurrences of the job, which is 1 for a job that is not scheduled.
func (s *Spec) Occurrences() int { return max(1, s.OccurrenceCount) }

// DueAt returns the time from which an occurrence may start; the zero time for a job that runs immediately.
func (s *Spec) DueAt(occurrence int) time.Time {
	if s.OccurrenceCount == 0 {
		return time.Time{}
	}
	if s.Interval > 0 && time.Duration(occurrence) > math.MaxInt64/s.Interval {
		return s.StartAt.Add(math.MaxInt64) // some 292 years later
	}
	return s.StartAt.Add(time.Duration(occurrence) * s.Interval)
}

// LongRunning reports whether the job runs until it is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns the estimated duration of the critical path that starts with the given step, that step included.
func (s *Spec) CriticalPath(step int) time.Duration {
	longest := time.Duration(0)
	for later := step + 1; later < len(s.Steps); later++ {
		for _, earlier := range s.Steps[later].DependsOn {
			if earlier == step {
				longest = max(longest, s.CriticalPath(later))
			}
		}
	}
	return s.Steps[step].Estimate + longest
}

// State is the state of a job as reported to callers.
type State int

// The states of a job. Completed and all later states are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// Final reports whether the state is final.
func (s State) Final() bool { return s >= Completed }

// String returns the name of the state used in logs.
func (s State) String() string {
	names := [...]string{"queued", "running", "completed", "failed", "cancelled"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}
