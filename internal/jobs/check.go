package jobs

import (
	"github.com/gravitational/trace"
)

// Bounds of a job's description. The platform bounds the payload; the others keep one job from filling a node.
const (
	MaxPayload     = 4000 // bytes, of the platform's page
	MaxSteps       = 256
	MaxTasks       = 20_000
	MaxOccurrences = 100_000
)

// Check returns an error that names the first fault of a job's description.
func (s *Spec) Check() error {
	switch {
	case len(s.Payload) > MaxPayload:
		return trace.BadParameter("the payload has %d bytes, %d are allowed", len(s.Payload), MaxPayload)
	case len(s.Steps) == 0:
		return trace.BadParameter("the job has no steps")
	case len(s.Steps) > MaxSteps:
		return trace.BadParameter("the job has %d steps, %d are allowed", len(s.Steps), MaxSteps)
	case s.Times < 0 || s.Times > MaxOccurrences || s.Interval < 0:
		return trace.BadParameter("the schedule is out of range")
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.checkStep(i); err != nil {
			return trace.Wrap(err)
		}
		tasks += s.Steps[i].Count
	}
	if tasks > MaxTasks {
		return trace.BadParameter("the job has %d tasks, %d are allowed", tasks, MaxTasks)
	}
	return nil
}

func (s *Spec) checkStep(i int) error {
	step := &s.Steps[i]
	if step.Count < 1 || step.Count > MaxTasks {
		return trace.BadParameter("step %d has %d tasks", i, step.Count)
	}
	if step.Request.MilliCPU < 0 || step.Request.MemoryMB < 0 || step.Request.GPU < 0 || step.Estimate < 0 {
		return trace.BadParameter("step %d asks for less than nothing", i)
	}
	if step.MaxPerWorker < 0 || step.MaxUnavailable < 0 || step.TargetTail < 0 {
		return trace.BadParameter("step %d has a negative bound", i)
	}
	for _, earlier := range step.After {
		if earlier < 0 || earlier >= i {
			return trace.BadParameter("step %d comes after step %d, which is not an earlier one", i, earlier)
		}
	}
	return nil
}
