// Package pacing throttles the best-effort tasks of one worker, so that the services beside them meet their latency
// targets. Its inputs are the utilization of each service and the interference coefficients of the images; its output is
// the pace of each best-effort task, in percent of full speed. Only tasks that interfere with a service near its limit
// are slowed down; all others run at full speed.
package pacing

import (
	"math"
)

const (
	// FullSpeed is full speed, in percent.
	FullSpeed = 100
	// usedLimitShare is the share of a service's limit up to which it may be utilized. The margin is for the service's
	// load, which can rise within a second or two.
	usedLimitShare = 0.94
	// deviationWeight times a coefficient's standard deviation is added to the coefficient.
	deviationWeight = 0.5
	// minContribution is the utilization that a task would have to add to a service at full speed to be slowed down
	// because of its expected interference with that service.
	minContribution = 0.015
	// maxKnownDeviation is the standard deviation up to which a coefficient is taken as known when paces are computed.
	// Package cpuinterference has its own threshold for comparing services.
	maxKnownDeviation = 0.2
	// maxRaise limits the rise of a pace in one call of Paces, in percentage points. A fall is not limited.
	maxRaise = 25
	// minChange is the smallest change of a pace, in percentage points, except for one to 0 or to full speed.
	minChange = 12
	// minPace is the lowest target pace, in percent, while the utilization of every service is under its limit. A pace
	// that differs from it by less than minChange is not changed.
	minPace = 10
	// While a service stays over its target in spite of the paces, the predicted interference is wrong, and tasks are
	// slowed down more the longer this lasts. The thresholds are shares of the time for which the service may be over
	// its target, compared with Service.OverTargetShare: from the first one on, the allowed interference is halved; from
	// the second one on, all tasks that are expected to interfere stop; from the third one on, all best-effort tasks stop.
	// Measurements are up to a second old and a change of pace takes a tenth of a second, so the last threshold leaves half
	// of the time.
	halveAfter           = 0.12
	stopInterferingAfter = 0.3
	stopAllAfter         = 0.45
)

// Service is a task with a latency target.
type Service struct {
	Image          string
	Utilization    float64 // derived from the measured tail latency, from 0 to 1
	OwnLoad        float64 // the part of Utilization that the service's own load causes
	MaxUtilization float64 // utilization at which the tail latency reaches the target
	// OverTargetShare is how long the service has been over its latency target, divided by the longest time for which it
	// may be over it (cell.Settings.MaxOverTarget); 0 if it is not over it.
	OverTargetShare float64
}

// BestEffortTask is a best-effort task.
type BestEffortTask struct {
	Image string
	// FullSpeedCPUShare is the share of the worker's CPU capacity that the task would use at full speed.
	FullSpeedCPUShare float64
	// Pace is the current pace, in percent of full speed.
	Pace int
}

// CoefficientFunc is a function that returns the interference coefficient of a service image and a best-effort image,
// and its standard deviation, as cpuinterference.Learner.Coefficient does. The coefficient times the CPU share of a task
// is the utilization that the task adds to the service.
type CoefficientFunc func(service, bestEffortImage string) (mean, deviation float64)

// Paces returns the new pace of each best-effort task of a worker, in percent of full speed and in the order of tasks.
// services are the services on the same worker. It calls coefficient once for successive tasks of the same image.
func Paces(services []Service, tasks []BestEffortTask, coefficient CoefficientFunc) []int {
	space := make([]float64, 2*len(tasks))
	targets, contributions := space[:len(tasks)], space[len(tasks):]
	for i := range targets {
		targets[i] = FullSpeed
	}
	overLimit := false
	for i := range services {
		s := &services[i]
		overLimit = overLimit || s.Utilization >= s.MaxUtilization
		limitForService(s, tasks, targets, contributions, coefficient)
	}
	paces := make([]int, len(tasks))
	for i := range tasks {
		paces[i] = nextPace(tasks[i].Pace, targets[i], overLimit)
	}
	return paces
}

// limitForService lowers targets, the target paces in percent by index of tasks, until the service is expected to stay
// under usedLimitShare of its limit. It lowers them further while the service stays over its target, and halves the
// paces of tasks with unknown coefficients if the known ones do not explain why the service is near its limit. It
// overwrites contributions, which is as long as tasks.
func limitForService(s *Service, tasks []BestEffortTask, targets, contributions []float64, coefficient CoefficientFunc) {
	if s.OverTargetShare >= stopAllAfter {
		clear(targets)
		return
	}
	expected, mean, deviation := 0.0, 0.0, 0.0
	unknown := false
	for i := range tasks {
		if i == 0 || tasks[i].Image != tasks[i-1].Image {
			mean, deviation = coefficient(s.Image, tasks[i].Image)
		}
		contributions[i] = (mean + deviationWeight*deviation) * tasks[i].FullSpeedCPUShare
		expected += contributions[i] * targets[i] / FullSpeed
		unknown = unknown || deviation > maxKnownDeviation
	}
	allowed := math.Max(0, s.MaxUtilization*usedLimitShare-s.OwnLoad)
	switch {
	case s.OverTargetShare >= stopInterferingAfter:
		allowed = 0
	case s.OverTargetShare >= halveAfter:
		allowed /= 2
	}
	if expected > allowed {
		factor := allowed / expected
		for i := range tasks {
			if contributions[i] >= minContribution {
				targets[i] *= factor
			}
		}
		return
	}
	if s.Utilization >= s.MaxUtilization*usedLimitShare && unknown {
		halveUnknown(s, tasks, targets, coefficient)
	}
}

// halveUnknown halves the pace of the tasks whose coefficient is not known. It is for a service that is near its limit
// although the known coefficients do not explain that.
func halveUnknown(s *Service, tasks []BestEffortTask, targets []float64, coefficient CoefficientFunc) {
	for i := range tasks {
		if _, deviation := coefficient(s.Image, tasks[i].Image); deviation > maxKnownDeviation {
			targets[i] = math.Min(targets[i], float64(tasks[i].Pace)/2)
		}
	}
}

// nextPace returns the pace that follows the current one on the way to a target pace, all in percent. overLimit says
// whether the utilization of any service on the worker has reached its limit; if not, the target is at least minPace.
func nextPace(current int, exactTarget float64, overLimit bool) int {
	target := int(math.Round(exactTarget))
	if !overLimit {
		target = max(target, minPace)
	}
	if target > current {
		target = min(target, current+maxRaise)
	}
	if target != FullSpeed && target != 0 && abs(target-current) < minChange {
		return current
	}
	return target
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
