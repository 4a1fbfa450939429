package cell

import (
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
)

// maxLoggedSteps is the maximum number of steps that a log line describes. Most jobs have fewer.
const maxLoggedSteps = 6

// stepSummaries describes the first steps of a job for the log.
func stepSummaries(s *jobs.Spec) []string {
	described := make([]string, 0, min(maxLoggedSteps, len(s.Steps)))
	for i := range s.Steps[:min(maxLoggedSteps, len(s.Steps))] {
		described = append(described, s.Steps[i].Summary())
	}
	return described
}

// criticalPaths returns for each step the estimated run time of the longest chain of dependent steps that begins with
// it.
func criticalPaths(s *jobs.Spec) []time.Duration {
	paths := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		paths[i] += s.Steps[i].Estimate
		for _, dep := range s.Steps[i].DependsOn {
			paths[dep] = max(paths[dep], paths[i])
		}
	}
	return paths
}

// estimate computes the job's objective, which is the critical path times CriticalPathFactor plus DeadlineSlackMS of
// the job's record, and its total CPU work in milli-CPU seconds.
func (j *job) estimate() {
	longest := time.Duration(0)
	for step, path := range j.criticalPath {
		longest = max(longest, path)
		s := &j.record.Spec.Steps[step]
		j.work += float64(s.Count) * float64(s.Request.MilliCPU) * s.Estimate.Seconds()
	}
	j.objective = time.Duration(float64(longest)*j.record.CriticalPathFactor) + time.Duration(j.record.DeadlineSlackMS)*time.Millisecond
}

// hasRuns reports whether a run of the job may still be on a worker.
func (j *job) hasRuns() bool {
	for _, g := range j.groups {
		for _, t := range g.tasks {
			if len(t.runs) > 0 {
				return true
			}
		}
	}
	return false
}

// task returns a task of the job, or nil if the job has no such task or its occurrence is not due yet.
func (j *job) task(id jobs.TaskID) *task {
	g := j.groups[id.Group()]
	if g == nil || id.Index < 0 || id.Index >= len(g.tasks) {
		return nil
	}
	return g.tasks[id.Index]
}
