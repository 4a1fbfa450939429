package cellnode

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cell"
)

const (
	// latenessWindow is the time over which the delays of the event loop are averaged.
	latenessWindow = time.Second
	// An owner is late from the first window on in which the mean delay of the events or of the flushes is at least
	// lateDelay, or the mean scheduling latency at least lateSchedLatency. It is on time again after a window in which
	// these are below onTimeDelay and onTimeSchedLatency.
	lateDelay          = 100 * time.Millisecond
	onTimeDelay        = 50 * time.Millisecond
	lateSchedLatency   = 15 * time.Millisecond
	onTimeSchedLatency = 8 * time.Millisecond
	// recentWindow is the time over which recentSchedLatency averages.
	recentWindow = 250 * time.Millisecond
	// orderHops is the number of times that a goroutine has to be scheduled between a decision and the handling of the
	// worker's answer, apart from the event loop.
	orderHops = 5
)

// ownerMetrics are the metrics of a node about the event loop of its owners. Histograms are in seconds.
type ownerMetrics struct {
	eventDelay    *metrics.Histogram // from when an event is posted, e.g. a worker's answer was received, to when it runs
	flushDuration *metrics.Histogram
	loopDelay     *metrics.Histogram // from when a flush is due to when it begins
	roundDuration *metrics.Histogram // from when a round is planned to when the owner handles the result of storing it
	// waitingTasks and schedLatency, in nanoseconds, are those of the last window of any of the owners.
	waitingTasks, schedLatency atomic.Int64
	// startLimit is the number of start orders that may be unanswered at a time.
	startLimit atomic.Int64
}

// newOwnerMetrics registers the metrics in a set. owners returns the owners that run on the node.
func newOwnerMetrics(set *metrics.Set, owners func() []*owner) *ownerMetrics {
	m := &ownerMetrics{
		eventDelay:    set.NewHistogram("cactuswall_owner_event_delay_seconds"),
		flushDuration: set.NewHistogram("cactuswall_owner_flush_seconds"),
		loopDelay:     set.NewHistogram("cactuswall_owner_loop_delay_seconds"),
		roundDuration: set.NewHistogram("cactuswall_owner_round_seconds"),
	}
	sum := func(value func(*owner) float64) func() float64 {
		return func() (total float64) {
			for _, o := range owners() {
				total += value(o)
			}
			return total
		}
	}
	newest := func(value func() float64) func() float64 {
		return func() float64 {
			if len(owners()) == 0 {
				return 0
			}
			return value()
		}
	}
	set.NewGauge("cactuswall_owner_queued_events", sum(func(o *owner) float64 { return float64(len(o.events)) }))
	set.NewGauge("cactuswall_owner_starts_in_flight", sum(func(o *owner) float64 { return float64(o.startsInFlight.Load()) }))
	set.NewGauge("cactuswall_owner_tasks_elsewhere", sum(func(o *owner) float64 { return float64(o.lateness.tasksElsewhere.Load()) }))
	set.NewGauge("cactuswall_owner_tasks_without_workers", sum(func(o *owner) float64 { return float64(o.lateness.tasksWithoutWorkers.Load()) }))
	set.NewGauge("cactuswall_owner_jobs", sum(func(o *owner) float64 { return float64(o.lateness.jobs.Load()) }))
	set.NewGauge("cactuswall_owner_tasks", sum(func(o *owner) float64 { return float64(o.lateness.tasks.Load()) }))
	set.NewGauge("cactuswall_owner_runs_out_of_touch", sum(func(o *owner) float64 { return float64(o.lateness.runsOutOfTouch.Load()) }))
	set.NewGauge("cactuswall_owner_lease_wait_seconds", func() (longest float64) {
		for _, o := range owners() {
			longest = max(longest, (time.Duration(o.lateness.leasesEnd.Load()) - boottime.Now()).Seconds())
		}
		return longest
	})
	set.NewGauge("cactuswall_owner_waiting_tasks", newest(func() float64 { return float64(m.waitingTasks.Load()) }))
	set.NewGauge("cactuswall_owner_start_limit", newest(func() float64 { return float64(m.startLimit.Load()) }))
	set.NewGauge("cactuswall_owner_sched_latency_seconds", newest(func() float64 { return time.Duration(m.schedLatency.Load()).Seconds() }))
	return m
}

// lateness averages the delays of an event loop over windows of latenessWindow and logs when the owner becomes late and
// when it is on time again. It is used by one goroutine, apart from the atomic fields.
type lateness struct {
	tasksElsewhere, tasksWithoutWorkers atomic.Int64 // as of the last window
	jobs, tasks                         atomic.Int64 // in memory, as of the last window
	// runsOutOfTouch is the number of runs that wait for the end of a lease, as of the last window, and leasesEnd when the last of
	// these leases ends, in nanoseconds on the clock of package boottime.
	runsOutOfTouch, leasesEnd atomic.Int64
	// formerLeaseRuns is the number of these runs that are on workers which this owner has never reached.
	formerLeaseRuns int
	metrics         *ownerMetrics
	log             *zap.Logger
	sched           func() time.Duration // returns the mean scheduling latency since its last call
	windowStart     time.Time
	lateSince       time.Time // start of the first window of the present late period; zero while on time
	roundBegan      time.Time // when storing of the present round began; zero while none is stored
	sums            delaySums // of the current window
	recent          recentSchedLatency
}

// delaySums are numbers of events, flushes and rounds, and the sums of their delays and durations.
type delaySums struct {
	events, flushes, rounds                             int
	eventDelay, flushDuration, loopDelay, roundDuration time.Duration
}

// begin begins the first window.
func (l *lateness) begin(now time.Time) {
	l.windowStart = now
	l.sched()
}

// orderDelay returns by how much an order and its answer are delayed in this process at present. loopDelay is the delay
// of the present flush.
func (l *lateness) orderDelay(loopDelay time.Duration) time.Duration {
	return max(0, loopDelay, orderHops*l.recent.at(time.Now()))
}

// eventRuns records that an event that was posted at the given time runs now.
func (l *lateness) eventRuns(postedAt time.Time) {
	delay := time.Since(postedAt)
	l.metrics.eventDelay.Update(delay.Seconds())
	l.sums.events++
	l.sums.eventDelay += delay
}

// flushed records a flush that was due, began and ended at the given times.
func (l *lateness) flushed(due, began, ended time.Time) {
	delay, duration := max(0, began.Sub(due)), ended.Sub(began)
	l.metrics.loopDelay.Update(delay.Seconds())
	l.metrics.flushDuration.Update(duration.Seconds())
	l.sums.flushes++
	l.sums.loopDelay += delay
	l.sums.flushDuration += duration
}

// roundStored records that the result of storing the present round is handled now.
func (l *lateness) roundStored() {
	duration := time.Since(l.roundBegan)
	l.roundBegan = time.Time{}
	l.metrics.roundDuration.Update(duration.Seconds())
	l.sums.rounds++
	l.sums.roundDuration += duration
}

// windowEnded reports whether the current window is over.
func (l *lateness) windowEnded(now time.Time) bool { return now.Sub(l.windowStart) >= latenessWindow }

// endWindow begins a new window. It logs a line if the owner has become late or is on time again, and returns the time
// that a round took: the mean in the window or, if longer, the time that the present one has taken.
func (l *lateness) endWindow(now time.Time, load cell.Workload) (roundTime time.Duration) {
	s := &l.sums
	eventDelay, loopDelay, sched := mean(s.eventDelay, s.events), mean(s.loopDelay, s.flushes), l.sched()
	roundTime = mean(s.roundDuration, s.rounds)
	if !l.roundBegan.IsZero() {
		roundTime = max(roundTime, now.Sub(l.roundBegan))
	}
	l.tasksElsewhere.Store(int64(load.TasksElsewhere))
	l.tasksWithoutWorkers.Store(int64(load.TasksWithoutWorkers))
	l.jobs.Store(int64(load.Jobs))
	l.tasks.Store(int64(load.Tasks))
	l.noteLeaseWaits(load.LeaseWaits)
	l.metrics.waitingTasks.Store(int64(load.WaitingTasks))
	l.metrics.schedLatency.Store(int64(sched))
	l.metrics.startLimit.Store(int64(load.StartLimit))
	fields := []zap.Field{
		zap.Duration("sched_latency", sched), zap.Duration("event_delay", eventDelay), zap.Duration("loop_delay", loopDelay),
		zap.Duration("flush", mean(s.flushDuration, s.flushes)), zap.Duration("round_time", roundTime),
		zap.Int("events", s.events), zap.Int("flushes", s.flushes), zap.Int("rounds", s.rounds),
		zap.Int("waiting_tasks", load.WaitingTasks), zap.Int("runs", load.Runs), zap.Int("workers", load.Workers), zap.Int("jobs", load.Jobs), zap.Int("tasks", load.Tasks),
		zap.Int("start_limit", load.StartLimit), zap.Duration("renewal_rest", load.RenewalRest),
		zap.Duration("window", now.Sub(l.windowStart)),
	}
	delay := max(eventDelay, loopDelay)
	switch {
	case l.lateSince.IsZero() && (delay >= lateDelay || sched >= lateSchedLatency):
		l.lateSince = l.windowStart
		l.log.Warn("owner late", fields...)
	case !l.lateSince.IsZero() && delay < onTimeDelay && sched < onTimeSchedLatency:
		l.log.Info("owner on time again", append(fields, zap.Duration("late_for", l.windowStart.Sub(l.lateSince)))...)
		l.lateSince = time.Time{}
	}
	l.windowStart, l.sums = now, delaySums{}
	return roundTime
}

// noteLeaseWaits records what waits for leases on workers out of touch. It logs when runs begin to wait for leases that former
// owners extended, and when none does any more.
func (l *lateness) noteLeaseWaits(waits cell.LeaseWaits) {
	l.runsOutOfTouch.Store(int64(waits.Runs))
	l.leasesEnd.Store(int64(boottime.Now() + waits.Longest))
	switch {
	case l.formerLeaseRuns == 0 && waits.OfFormerOwners > 0:
		l.log.Info("runs wait for leases of former owners", zap.Int("runs", waits.OfFormerOwners), zap.Duration("leases_end_in", waits.Longest))
	case l.formerLeaseRuns > 0 && waits.OfFormerOwners == 0:
		l.log.Info("no run waits for leases of former owners", zap.Int("runs_before", l.formerLeaseRuns))
	}
	l.formerLeaseRuns = waits.OfFormerOwners
}

// mean returns the mean of count durations with the given sum, or 0 if there are none.
func mean(sum time.Duration, count int) time.Duration { return sum / time.Duration(max(1, count)) }
