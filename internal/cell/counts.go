package cell

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Counts are the metrics of a cell's owner.
type Counts struct {
	set           *metrics.Set
	DuplicateJobs *metrics.Counter
	Fenced        *metrics.Counter
	Unreadable    *metrics.Counter
	ForeignRuns   *metrics.Counter
	// StepChange is the time from the end of a step's last task to the first start of the next step.
	StepChange *metrics.Histogram
	// Waiting is how long tasks waited for resources after they were ready.
	Waiting *metrics.Histogram
	// Starting is the time from sending a start order to the worker's answer that the task runs.
	Starting *metrics.Histogram
}

// NewCounts registers the metrics in a set.
func NewCounts(set *metrics.Set) *Counts {
	return &Counts{
		set:           set,
		DuplicateJobs: set.NewCounter("cactuswall_cell_duplicate_jobs_total"),
		Fenced:        set.NewCounter("cactuswall_cell_fenced_total"),
		Unreadable:    set.NewCounter("cactuswall_cell_unreadable_records_total"),
		ForeignRuns:   set.NewCounter("cactuswall_cell_foreign_runs_total"),
		StepChange:    set.NewHistogram("cactuswall_cell_step_change_seconds"),
		Waiting:       set.NewHistogram("cactuswall_cell_waiting_seconds"),
		Starting:      set.NewHistogram("cactuswall_cell_starting_seconds"),
	}
}

// countRefusedStart counts a start order that was refused or not answered, by reason.
func (c *Counts) countRefusedStart(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cactuswall_cell_starts_refused_total{reason=%q}", reason)).Inc()
}

// countEndedRun counts the end of a run, by how it ended.
func (c *Counts) countEndedRun(how string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cactuswall_cell_runs_ended_total{how=%q}", how)).Inc()
}

// countAbandonedRun counts a run that was abandoned, by reason.
func (c *Counts) countAbandonedRun(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cactuswall_cell_runs_lost_total{reason=%q}", reason)).Inc()
}

// countStop counts a run that was ordered to stop, by reason.
func (c *Counts) countStop(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cactuswall_cell_stops_total{reason=%q}", reason)).Inc()
}
