// Package sizing learns how much the tasks of a job take and how long they run, since declared sizes and
// run times are often far off.
//
// What is learnt comes from reports that lag. Until enough runs are known the declaration counts.
package sizing

import (
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/units"
)

const (
	// keptRuns is the number of recent runs of a kind that count.
	keptRuns = 32
	// minRuns is the number of runs before an estimate replaces the declaration.
	minRuns = 5
	// minReports is the number of reports on a finished run before its peak counts, earlyReports the number
	// after which the peak of an open run counts.
	minReports   = 3
	earlyReports = 10
	// firstMarginPercent is added to the highest peak while few runs are known, leastMarginPercent is the
	// least that is added when settledRuns are.
	firstMarginPercent = 20
	leastMarginPercent = 5
	settledRuns        = 16
	// runMarginPercent is added to the peak of one run when its reservation is changed.
	runMarginPercent = 10
	// shrinkPercent is how much larger than enough a reservation must be before it is made smaller.
	shrinkPercent = 10
	// maxShrink and maxGrowth bound the estimate as a part and as a multiple of the declaration.
	maxShrink = 4
	maxGrowth = 4
	// outgrownPercent is the part of a reservation above which a run counts as having outgrown it.
	outgrownPercent = 98
	// maxOpenRuns bounds the runs whose peaks are followed at once.
	maxOpenRuns = 1 << 16
)

// Learner holds what is known of each kind. Its methods are not safe for concurrent use.
type Learner struct {
	kinds map[string]*history
	open  map[platform.RunID]*peak
}

// peak is the highest usage of one open run.
type peak struct {
	usage   units.Resources
	reports int
}

// history is a ring of the recent runs of a kind.
type history struct {
	peaks    []units.Resources
	runTimes []time.Duration
	nextPeak int
	nextTime int
	// sizeEstimate and timeEstimate are kept up to date with the rings; zero while too little is known.
	sizeEstimate units.Resources
	timeEstimate time.Duration
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner {
	return &Learner{kinds: make(map[string]*history), open: make(map[platform.RunID]*peak)}
}

// Observe takes the measured usage of an open run. It reports whether the estimate for its kind changed.
func (l *Learner) Observe(run platform.RunID, kind string, usage units.Resources) bool {
	p := l.open[run]
	if p == nil {
		if len(l.open) >= maxOpenRuns {
			return false
		}
		p = &peak{}
		l.open[run] = p
	}
	p.usage = Max(p.usage, usage)
	p.reports++
	if p.reports != earlyReports {
		return false
	}
	l.history(kind).addPeak(p.usage)
	return true
}

// Shrunk returns the reservation that is enough for an open run, and whether it is clearly smaller than
// the present one. It is only known after some reports on the run and on others of its kind.
func (l *Learner) Shrunk(run platform.RunID, kind string, reserved units.Resources) (units.Resources, bool) {
	p, h := l.open[run], l.kinds[kind]
	if p == nil || h == nil || p.reports < earlyReports || h.sizeEstimate.IsZero() {
		return reserved, false
	}
	enough := Max(h.sizeEstimate, p.usage.Times(100+runMarginPercent).DividedBy(100))
	enough = units.Resources{
		MilliProcessors: min(enough.MilliProcessors, reserved.MilliProcessors),
		MemoryMiB:       min(enough.MemoryMiB, reserved.MemoryMiB),
		Accelerators:    reserved.Accelerators,
	}
	return enough, !reserved.Fits(enough.Times(100 + shrinkPercent).DividedBy(100))
}

func (l *Learner) history(kind string) *history {
	h := l.kinds[kind]
	if h == nil {
		h = &history{}
		l.kinds[kind] = h
	}
	return h
}

// Ended drops an open run. finished says that it ran to its end; runTime is how long all of its work
// takes, or zero when that is not known.
func (l *Learner) Ended(run platform.RunID, kind string, finished bool, runTime time.Duration) {
	p := l.open[run]
	delete(l.open, run)
	if !finished {
		return
	}
	h := l.history(kind)
	if p != nil && p.reports >= minReports {
		h.addPeak(p.usage)
	}
	if runTime > 0 {
		h.addRunTime(runTime)
	}
}

// Keep drops what is known of kinds that are not wanted any more.
func (l *Learner) Keep(wanted func(kind string) bool) {
	for kind := range l.kinds {
		if !wanted(kind) {
			delete(l.kinds, kind)
		}
	}
}

// Size returns what a task of a kind is to reserve. Accelerators stay as declared.
func (l *Learner) Size(kind string, declared units.Resources) units.Resources {
	h := l.kinds[kind]
	if h == nil || h.sizeEstimate.IsZero() {
		return declared
	}
	return units.Resources{
		MilliProcessors: bounded(h.sizeEstimate.MilliProcessors, declared.MilliProcessors),
		MemoryMiB:       bounded(h.sizeEstimate.MemoryMiB, declared.MemoryMiB),
		Accelerators:    declared.Accelerators,
	}
}

// RunTime returns how long all the work of a task of a kind takes.
func (l *Learner) RunTime(kind string, declared time.Duration) time.Duration {
	if h := l.kinds[kind]; h != nil && h.timeEstimate > 0 {
		return h.timeEstimate
	}
	return declared
}

func (h *history) addPeak(usage units.Resources) {
	if len(h.peaks) < keptRuns {
		h.peaks = append(h.peaks, usage)
	} else {
		h.peaks[h.nextPeak] = usage
		h.nextPeak = (h.nextPeak + 1) % keptRuns
	}
	if len(h.peaks) < minRuns {
		return
	}
	var highest, sum units.Resources
	for _, p := range h.peaks {
		highest = Max(highest, p)
		sum = sum.Add(p)
	}
	mean := sum.DividedBy(int64(len(h.peaks)))
	h.sizeEstimate = units.Resources{
		MilliProcessors: h.withMargin(highest.MilliProcessors, mean.MilliProcessors),
		MemoryMiB:       h.withMargin(highest.MemoryMiB, mean.MemoryMiB),
	}
}

// withMargin adds a margin to the highest peak: a fixed one while few runs are known, later as much as the
// highest peak lies above the mean.
func (h *history) withMargin(highest, mean int64) int64 {
	if len(h.peaks) < settledRuns {
		return highest * (100 + firstMarginPercent) / 100
	}
	return highest + max(highest-mean, highest*leastMarginPercent/100)
}

func (h *history) addRunTime(runTime time.Duration) {
	if len(h.runTimes) < keptRuns {
		h.runTimes = append(h.runTimes, runTime)
	} else {
		h.runTimes[h.nextTime] = runTime
		h.nextTime = (h.nextTime + 1) % keptRuns
	}
	if len(h.runTimes) < minRuns {
		return
	}
	var longest time.Duration
	for _, r := range h.runTimes {
		longest = max(longest, r)
	}
	h.timeEstimate = longest
}

func bounded(estimate, declared int64) int64 {
	return min(max(estimate, declared/maxShrink), declared*maxGrowth)
}

// Max returns the larger of a and b in each dimension.
func Max(a, b units.Resources) units.Resources {
	return units.Resources{
		MilliProcessors: max(a.MilliProcessors, b.MilliProcessors),
		MemoryMiB:       max(a.MemoryMiB, b.MemoryMiB),
		Accelerators:    max(a.Accelerators, b.Accelerators),
	}
}
