// Package sizing estimates the resource usage and run time of tasks from earlier runs, because declared
// sizes and run times are often inaccurate.
//
// Estimates are kept for each kind, that is, for each service or job. They are computed from usage reports,
// which lag behind the actual usage. The declared values are used until enough runs have been observed.
package sizing

import (
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/units"
)

const (
	// historySize is the maximum number of peaks, and of run times, in the history of a kind. A run that
	// finishes after minReportsRunning reports or more adds two peaks.
	historySize = 32
	// minSamples is the number of peaks required before the size estimate replaces the declared size, and of
	// run times before the run time estimate replaces the declared run time.
	minSamples = 5
	// minReportsFinished is the number of usage reports that a finished run needs for its peak to be recorded,
	// minReportsRunning the number after which the peak of a running one is recorded.
	minReportsFinished = 3
	minReportsRunning  = 10
	// initialMarginPercent is added to the highest peak while fewer than spreadMarginPeaks peaks are known.
	// After that the margin follows the spread of the peaks and is at least minMarginPercent.
	initialMarginPercent = 20
	minMarginPercent     = 5
	spreadMarginPeaks    = 16
	// singleRunMarginPercent is added to the usage of a run when its reservation is changed.
	singleRunMarginPercent = 10
	// shrinkThresholdPercent is the excess over the sufficient size above which a reservation is reduced.
	shrinkThresholdPercent = 10
	// A reservation that Size returns is at least declared/maxShrinkFactor and at most declared*maxGrowthFactor,
	// for processors and for memory.
	maxShrinkFactor = 4
	maxGrowthFactor = 4
	// overuseThresholdPercent is the percentage of a reservation above which a run has outgrown it.
	overuseThresholdPercent = 98
	// maxTrackedRuns is the maximum number of running tasks whose peaks are tracked.
	maxTrackedRuns = 1 << 16
)

// Learner holds the usage history of each kind and the peaks of running tasks. Its methods are not safe for
// concurrent use.
type Learner struct {
	kinds   map[string]*history
	running map[platform.RunID]*peak
}

// peak is the highest reported usage of a running task.
type peak struct {
	usage   units.Resources
	reports int
}

// history holds ring buffers of the peaks and run times of the recent runs of a kind.
type history struct {
	peaks            []units.Resources
	runTimes         []time.Duration
	nextPeakIndex    int
	nextRunTimeIndex int
	// sizeEstimate and runTimeEstimate are computed from the ring buffers; each is zero until its ring buffer
	// holds minSamples values.
	sizeEstimate    units.Resources
	runTimeEstimate time.Duration
}

// NewLearner returns a Learner without any history.
func NewLearner() *Learner {
	return &Learner{kinds: make(map[string]*history), running: make(map[platform.RunID]*peak)}
}

// Observe records the measured usage of a running task. It reports whether a peak was added to the history
// of the task's kind.
func (l *Learner) Observe(run platform.RunID, kind string, usage units.Resources) bool {
	p := l.running[run]
	if p == nil {
		if len(l.running) >= maxTrackedRuns {
			return false
		}
		p = &peak{}
		l.running[run] = p
	}
	p.usage = Max(p.usage, usage)
	p.reports++
	if p.reports != minReportsRunning {
		return false
	}
	l.history(kind).addPeak(p.usage)
	return true
}

// ReducedSize returns a sufficient reservation for a running task and whether the current one exceeds it by
// more than shrinkThresholdPercent in any dimension. It returns the current reservation and false until
// there are enough reports on this run and an estimate for its kind.
func (l *Learner) ReducedSize(run platform.RunID, kind string, reserved units.Resources) (units.Resources, bool) {
	p, h := l.running[run], l.kinds[kind]
	if p == nil || h == nil || p.reports < minReportsRunning || h.sizeEstimate.IsZero() {
		return reserved, false
	}
	sufficient := Max(h.sizeEstimate, p.usage.Times(100+singleRunMarginPercent).DividedBy(100))
	sufficient = units.Resources{
		MilliProcessors: min(sufficient.MilliProcessors, reserved.MilliProcessors),
		MemoryMiB:       min(sufficient.MemoryMiB, reserved.MemoryMiB),
		Accelerators:    reserved.Accelerators,
	}
	return sufficient, !reserved.Fits(sufficient.Times(100 + shrinkThresholdPercent).DividedBy(100))
}

func (l *Learner) history(kind string) *history {
	h := l.kinds[kind]
	if h == nil {
		h = &history{}
		l.kinds[kind] = h
	}
	return h
}

// EndRun stops tracking a run. Its peak and run time are added to the history only when finished is set,
// that is, when the run completed its work. runTime is the time that all of its work takes, or zero if
// unknown.
func (l *Learner) EndRun(run platform.RunID, kind string, finished bool, runTime time.Duration) {
	p := l.running[run]
	delete(l.running, run)
	if !finished {
		return
	}
	h := l.history(kind)
	if p != nil && p.reports >= minReportsFinished {
		h.addPeak(p.usage)
	}
	if runTime > 0 {
		h.addRunTime(runTime)
	}
}

// RetainKinds removes the history of every kind for which keep returns false.
func (l *Learner) RetainKinds(keep func(kind string) bool) {
	for kind := range l.kinds {
		if !keep(kind) {
			delete(l.kinds, kind)
		}
	}
}

// Size returns the reservation for a task of a kind: the estimate within bounds around the declared size, or
// the declared size itself when there is no estimate. Accelerators are always as declared.
func (l *Learner) Size(kind string, declared units.Resources) units.Resources {
	h := l.kinds[kind]
	if h == nil || h.sizeEstimate.IsZero() {
		return declared
	}
	return units.Resources{
		MilliProcessors: clampToDeclared(h.sizeEstimate.MilliProcessors, declared.MilliProcessors),
		MemoryMiB:       clampToDeclared(h.sizeEstimate.MemoryMiB, declared.MemoryMiB),
		Accelerators:    declared.Accelerators,
	}
}

// RunTime returns the estimated time for all the work of a task of a kind, or declared when there is no
// estimate.
func (l *Learner) RunTime(kind string, declared time.Duration) time.Duration {
	if h := l.kinds[kind]; h != nil && h.runTimeEstimate > 0 {
		return h.runTimeEstimate
	}
	return declared
}

func (h *history) addPeak(usage units.Resources) {
	if len(h.peaks) < historySize {
		h.peaks = append(h.peaks, usage)
	} else {
		h.peaks[h.nextPeakIndex] = usage
		h.nextPeakIndex = (h.nextPeakIndex + 1) % historySize
	}
	if len(h.peaks) < minSamples {
		return
	}
	var highest, sum units.Resources
	for _, p := range h.peaks {
		highest = Max(highest, p)
		sum = sum.Add(p)
	}
	mean := sum.DividedBy(int64(len(h.peaks)))
	h.sizeEstimate = units.Resources{
		MilliProcessors: h.addMargin(highest.MilliProcessors, mean.MilliProcessors),
		MemoryMiB:       h.addMargin(highest.MemoryMiB, mean.MemoryMiB),
	}
}

// addMargin adds a margin to the highest peak: a fixed percentage while few peaks are known, later the
// difference between the highest peak and the mean, with a minimum percentage.
func (h *history) addMargin(highest, mean int64) int64 {
	if len(h.peaks) < spreadMarginPeaks {
		return highest * (100 + initialMarginPercent) / 100
	}
	return highest + max(highest-mean, highest*minMarginPercent/100)
}

func (h *history) addRunTime(runTime time.Duration) {
	if len(h.runTimes) < historySize {
		h.runTimes = append(h.runTimes, runTime)
	} else {
		h.runTimes[h.nextRunTimeIndex] = runTime
		h.nextRunTimeIndex = (h.nextRunTimeIndex + 1) % historySize
	}
	if len(h.runTimes) < minSamples {
		return
	}
	var longest time.Duration
	for _, r := range h.runTimes {
		longest = max(longest, r)
	}
	h.runTimeEstimate = longest
}

func clampToDeclared(estimate, declared int64) int64 {
	return min(max(estimate, declared/maxShrinkFactor), declared*maxGrowthFactor)
}

// Max returns the element-wise maximum of a and b.
func Max(a, b units.Resources) units.Resources {
	return units.Resources{
		MilliProcessors: max(a.MilliProcessors, b.MilliProcessors),
		MemoryMiB:       max(a.MemoryMiB, b.MemoryMiB),
		Accelerators:    max(a.Accelerators, b.Accelerators),
	}
}
