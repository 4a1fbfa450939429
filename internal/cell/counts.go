package cell

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Counts are the counters and histograms of a cell's owner.
type Counts struct {
	set           *metrics.Set
	DuplicateJobs *metrics.Counter
	Fenced        *metrics.Counter
	Unreadable    *metrics.Counter
	ForeignRuns   *metrics.Counter
	// StepChange is the time from the end of a step's last task to the first start of the next step.
	StepChange *metrics.Histogram
	// Waiting is how long tasks waited for room.
	Waiting *metrics.Histogram
	// Starting is the time from placing a task to the worker's word that it runs.
	Starting *metrics.Histogram
}

// NewCounts registers the counters in a set.
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

// refused counts a start that was refused, by reason.
func (c *Counts) refused(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cactuswall_cell_starts_refused_total{reason=%q}", reason)).Inc()
}

// ended counts the end of a run, by how it ended.
func (c *Counts) ended(how string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cactuswall_cell_runs_ended_total{how=%q}", how)).Inc()
}

// lost counts runs that were given up, by reason.
func (c *Counts) lost(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cactuswall_cell_runs_lost_total{reason=%q}", reason)).Inc()
}

// stopped counts runs that were ordered to stop, by reason.
func (c *Counts) stopped(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("cactuswall_cell_stops_total{reason=%q}", reason)).Inc()
}
