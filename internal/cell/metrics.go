package cell

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics are the metrics of a node about the cells that it owns. Histograms are in seconds.
type Metrics struct {
	set           *metrics.Set
	counters      counterCache
	DuplicateJobs *metrics.Counter // job records whose job was already known
	// FencedOwners counts the owners on this node that ended because a newer owner had fenced them or because it was
	// unknown whether their progress was stored.
	FencedOwners      *metrics.Counter
	UnreadableRecords *metrics.Counter // stored records, also of workers, that could not be decoded or do not fit their job
	UnknownCells      *metrics.Counter // jobs whose record names a cell that does not exist
	UnknownRuns       *metrics.Counter // runs in worker reports that the owner does not know, in each report again
	SlowWorkers       *metrics.Counter // times that a worker became slow: all of its tasks take much longer than normal
	// StepDelay is the time from the end of a step to the first start order of a step that depends on it. With several
	// dependencies it is measured from the first listed one that ended under this owner.
	StepDelay *metrics.Histogram
	// PlacementWait is the time from when a task became ready, or its last run was removed, to its placement.
	PlacementWait *metrics.Histogram
	// waits are parts of PlacementWait, by waitReason.
	waits [waitReasons]*metrics.Histogram
	// LateStarts counts the jobs that were begun when they were late, and KeptFree the steps for which workers were kept free.
	LateStarts, KeptFree *metrics.Counter
	LargeCheckpoints     *metrics.Counter // checkpoints that were not kept because of their size, in each report again
	// StartLatency is the time from the creation of a start order to the worker's answer that the task runs.
	StartLatency *metrics.Histogram
}

// NewMetrics registers the metrics in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:               set,
		DuplicateJobs:     set.NewCounter("cactuswall_cell_duplicate_jobs_total"),
		FencedOwners:      set.NewCounter("cactuswall_cell_fenced_total"),
		UnreadableRecords: set.NewCounter("cactuswall_cell_unreadable_records_total"),
		UnknownCells:      set.NewCounter("cactuswall_cell_unknown_cells_total"),
		UnknownRuns:       set.NewCounter("cactuswall_cell_foreign_runs_total"),
		SlowWorkers:       set.NewCounter("cactuswall_cell_slow_workers_total"),
		StepDelay:         set.NewHistogram("cactuswall_cell_step_change_seconds"),
		PlacementWait:     set.NewHistogram("cactuswall_cell_waiting_seconds"),
		waits:             newWaitHistograms(set),
		LateStarts:        set.NewCounter("cactuswall_cell_late_starts_total"),
		KeptFree:          set.NewCounter("cactuswall_cell_kept_free_total"),
		LargeCheckpoints:  set.NewCounter("cactuswall_cell_large_checkpoints_total"),
		StartLatency:      set.NewHistogram("cactuswall_cell_starting_seconds"),
	}
}

// countFailedStart counts a start order that was refused, not answered or not sent, by reason.
func (c *Metrics) countFailedStart(reason string) {
	c.counters.get(c.set, "cactuswall_cell_starts_refused_total", "reason", reason).Inc()
}

// countPastLimits counts a start of a best-effort task beyond one of its limits: "services" near their targets, or "processors" in
// use.
func (c *Metrics) countPastLimits(limit string) {
	c.counters.get(c.set, "cactuswall_cell_starts_past_limits_total", "limit", limit).Inc()
}

// countWithheldStart counts a start that was withheld because of an evacuation, by reason. Outdated requests are counted once
// for each round.
func (c *Metrics) countWithheldStart(reason string) {
	c.counters.get(c.set, "cactuswall_cell_starts_withheld_total", "reason", reason).Inc()
}

// countRackDecision counts the first decision about a wait for a rack: "wait", or the reason why a task did not wait.
func (c *Metrics) countRackDecision(decision string) {
	c.counters.get(c.set, "cactuswall_cell_rack_decisions_total", "decision", decision).Inc()
}

// observeRackWait records how long a task has waited for its rack in all when a wait ended, by how it ended.
func (c *Metrics) observeRackWait(end string, waited time.Duration) {
	c.set.GetOrCreateHistogram(fmt.Sprintf("%s{end=%q}", "cactuswall_cell_rack_wait_seconds", end)).Update(waited.Seconds())
}

// countEndedRun counts the end of a run, by how it ended.
func (c *Metrics) countEndedRun(how string) {
	c.counters.get(c.set, "cactuswall_cell_runs_ended_total", "how", how).Inc()
}

// countAbandonedRun counts a run that was abandoned, by reason.
func (c *Metrics) countAbandonedRun(reason string) {
	c.counters.get(c.set, "cactuswall_cell_runs_lost_total", "reason", reason).Inc()
}

// countFormerLease counts a worker whose runs were abandoned before it had accepted the owner's token, by where the end of its lease
// was known from: the former owner, or the wait for all leases of former owners.
func (c *Metrics) countFormerLease(known bool) {
	from := "wait"
	if known {
		from = "former_owner"
	}
	c.counters.get(c.set, "cactuswall_cell_former_leases_total", "from", from).Inc()
}

// countCopy counts a copy of a task's run, when it is placed and when a run of the task succeeds, by result.
func (c *Metrics) countCopy(result string) {
	c.counters.get(c.set, "cactuswall_cell_copies_total", "result", result).Inc()
}

// countRestart counts a straggler that is stopped in order to restart its task, and the result once the task succeeds.
func (c *Metrics) countRestart(result string) {
	c.counters.get(c.set, "cactuswall_cell_straggler_restarts_total", "result", result).Inc()
}

// countDelayedRestart counts a start that was delayed because those before it came to nothing, by the reason of the last one.
func (c *Metrics) countDelayedRestart(reason string) {
	c.counters.get(c.set, "cactuswall_cell_restarts_delayed_total", "reason", reason).Inc()
}

// countCorrection counts a difference that the audit of the indexes found, by kind.
func (c *Metrics) countCorrection(kind string) {
	c.counters.get(c.set, "cactuswall_cell_index_corrections_total", "kind", kind).Inc()
}

// countStop counts a run that was ordered to stop, by reason. A run that the owner does not know is counted,
// as stopRunUnknown, with each stop order; any other run is counted once.
func (c *Metrics) countStop(reason string) {
	c.counters.get(c.set, "cactuswall_cell_stops_total", "reason", reason).Inc()
}
