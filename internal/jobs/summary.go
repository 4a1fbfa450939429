package jobs

import (
	"fmt"
	"strings"
)

// Summary returns a short description of the step for logs, for example "3x 500m 256MB gang est=2s": the number of
// tasks, the resources that each requests, and the properties and constraints that are set.
func (s *Step) Summary() string {
	parts := []string{fmt.Sprintf("%dx %dm %dMB", s.Count, s.Request.MilliCPU, s.Request.MemoryMB)}
	if s.Request.GPU > 0 {
		parts = append(parts, fmt.Sprintf("%dgpu", s.Request.GPU))
	}
	for _, property := range []struct {
		set  bool
		word string
	}{
		{s.Gang, "gang"}, {s.LongRunning, "lasting"}, {s.BestEffort, "fills"}, {s.Speculative, "speculative"},
		{s.Checkpoints, "saves"}, {s.RackSensitive, "rack-sensitive"},
		{s.RequiredLabel != "", "label=" + s.RequiredLabel}, {s.DataRack != "", "data=" + s.DataRack},
		{s.Image != "", "image=" + s.Image}, {s.MaxPerWorker > 0, fmt.Sprintf("per-worker=%d", s.MaxPerWorker)},
		{s.HasMaxUnavailable, fmt.Sprintf("away=%d", s.MaxUnavailable)}, {s.TargetTailLatency > 0, "tail=" + s.TargetTailLatency.String()},
		{s.Estimate > 0, "est=" + s.Estimate.String()},
	} {
		if property.set {
			parts = append(parts, property.word)
		}
	}
	return strings.Join(parts, " ")
}
