// Package drain estimates when a new job would be begun and done, from the rate at which the owner of a cell begins waiting
// work, and decides whether it is accepted. It responds to one load: for longer than the objectives of jobs, more work arrives than
// there is capacity for. It does no I/O and reads no clock; points in time are readings of one clock of the caller.
//
// Work is counted in thousandths of a core times seconds of estimated run time, both where it waits and where it is begun, so
// that estimates that are wrong for a whole kind have no effect on the time that the kind waits.
package drain

import (
	"math/bits"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
)

// Pool is what tasks compete for: tasks of one pool can use the same capacity.
type Pool struct {
	Service    string `json:"service"`
	BestEffort bool   `json:"best_effort,omitempty"`
	Label      string `json:"label,omitempty"`
	GPU        bool   `json:"gpu,omitempty"`
}

// Kind is what tasks have in common that wait for the same reason.
type Kind struct {
	Pool
	Queue string `json:"queue"`
	// Priority is that of the queue; 0 is the highest.
	Priority int `json:"priority"`
	// Image is set for best-effort tasks, whose room depends on how much their image disturbs services.
	Image string `json:"image,omitempty"`
	Gang  bool   `json:"gang,omitempty"`
	// Size is the number of bits of the request.
	Size int `json:"size"`
}

// mbPerCore converts memory to the processor capacity that it stands for in Kind.Size: 4 GB a core, as on most VMs.
const mbPerCore = 4

// KindOf returns the kind of the tasks of a step.
func KindOf(service, queue string, priority int, step *jobs.Step) Kind {
	request := Request(step)
	k := Kind{
		Pool:  Pool{Service: service, BestEffort: step.BestEffort, Label: step.RequiredLabel, GPU: step.Request.GPU > 0},
		Queue: queue, Priority: priority, Gang: step.Gang, Size: bits.Len(uint(max(0, request.MilliCPU, request.MemoryMB/mbPerCore))),
	}
	if step.BestEffort {
		k.Image = step.Image
	}
	return k
}

// Request returns what must be free for a task of a step to be begun: for a member of a gang, the requests of all members; for
// a best-effort task the processor capacity that it would use.
func Request(step *jobs.Step) jobs.Resources {
	request := step.Request
	if step.Gang {
		request = jobs.Resources{MilliCPU: request.MilliCPU * step.Count, MemoryMB: request.MemoryMB * step.Count, GPU: request.GPU * step.Count}
	}
	return request
}

// TaskWork returns the estimated work of one task of a step.
func TaskWork(step *jobs.Step) float64 {
	return float64(step.Request.MilliCPU) * step.Estimate.Seconds()
}

// KindFigures is what the owner of a cell has measured of a kind.
type KindFigures struct {
	Kind
	// Backlog is the work that waits and can still be useful.
	Backlog float64 `json:"backlog"`
	// Began is the work begun in the measured window, Starts the number of tasks of which it consists, and Rate the upper
	// estimate of the work begun in a second.
	Began  float64 `json:"began"`
	Starts int     `json:"starts"`
	Rate   float64 `json:"rate"`
	// ShortMS is for how long, in milliseconds, tasks of the kind have found no worker in every round up to now; 0 if one
	// was found for the last. Shortest is the smallest request for which none was found.
	ShortMS  int64          `json:"short_ms,omitempty"`
	Shortest jobs.Resources `json:"shortest"`
	// RunRatio is the run time of the tasks that ended in the window, divided by their estimate; 0 if unknown.
	RunRatio float64 `json:"run_ratio,omitempty"`
}

// Figures are what the owner of a cell publishes.
type Figures struct {
	Kinds []KindFigures `json:"kinds,omitempty"`
	// Shapes are the different capacities of all workers that the owner has seen, by service. Complete is set once it knows
	// all workers.
	Shapes   map[string][]jobs.Resources `json:"shapes,omitempty"`
	Complete bool                        `json:"complete,omitempty"`
	// Age is how old the figures are. It is set by the reader.
	Age time.Duration `json:"-"`
}

// Short reports whether a kind has found no worker for long enough that jobs of it may be refused.
func (f *Figures) Short() bool {
	for i := range f.Kinds {
		if f.Kinds[i].short() {
			return true
		}
	}
	return false
}

// minShort is how long a kind must have found no worker. The slots of Meter's recentWindow then lie within the lack of
// capacity, so that their rate is that of the capacity and not that of the demand.
const minShort = (recentWindow + 1) * slot

func (k *KindFigures) short() bool { return k.ShortMS >= minShort.Milliseconds() }
