package jobs

import (
	"github.com/gravitational/trace"
)

// Limits on a job's spec. The platform documents the limit on the payload; the others limit the memory that a single
// job can use in a node.
const (
	MaxPayloadBytes = 4000 // in bytes
	MaxSteps        = 256
	MaxTasks        = 20_000 // in all steps together
	MaxOccurrences  = 100_000
)

// Validate returns an error that describes the first invalid field of the spec.
func (s *Spec) Validate() error {
	switch {
	case len(s.Payload) > MaxPayloadBytes:
		return trace.BadParameter("payload has %d bytes, maximum is %d", len(s.Payload), MaxPayloadBytes)
	case len(s.Steps) == 0:
		return trace.BadParameter("job has no steps")
	case len(s.Steps) > MaxSteps:
		return trace.BadParameter("job has %d steps, maximum is %d", len(s.Steps), MaxSteps)
	case s.OccurrenceCount < 0 || s.OccurrenceCount > MaxOccurrences || s.Interval < 0:
		return trace.BadParameter("schedule has a negative interval, or a number of occurrences that is negative or above the maximum")
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.checkStep(i); err != nil {
			return trace.Wrap(err)
		}
		tasks += s.Steps[i].Count
	}
	if tasks > MaxTasks {
		return trace.BadParameter("job has %d tasks, maximum is %d", tasks, MaxTasks)
	}
	return nil
}

// checkStep returns an error that describes the first invalid field of a step.
func (s *Spec) checkStep(i int) error {
	step := &s.Steps[i]
	if step.Count < 1 || step.Count > MaxTasks {
		return trace.BadParameter("step %d has %d tasks, must have at least 1 and at most the maximum for a job", i, step.Count)
	}
	if step.Request.MilliCPU < 0 || step.Request.MemoryMB < 0 || step.Request.GPU < 0 || step.Estimate < 0 {
		return trace.BadParameter("step %d has a negative resource request or estimate", i)
	}
	if step.MaxPerWorker < 0 || step.MaxUnavailable < 0 || step.TargetTailLatency < 0 {
		return trace.BadParameter("step %d has a negative latency target, or a negative limit on tasks per worker or on unavailable tasks", i)
	}
	for _, earlier := range step.DependsOn {
		if earlier < 0 || earlier >= i {
			return trace.BadParameter("step %d depends on step %d, which is not an earlier step", i, earlier)
		}
	}
	return nil
}
