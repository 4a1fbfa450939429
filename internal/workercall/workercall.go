// Package workercall defines workers, the orders sent to them and their replies, independent of the wire format. It also
// defines the reasons for which an order can fail.
package workercall

import (
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Worker is the entry that a worker publishes about itself in the store.
type Worker struct {
	ID      string
	Service string
	Address string
	Domain  string // failure domain
	// Draining is set once the worker has announced that it is shutting down.
	Draining bool
	// Remaining is the minimum time until a draining worker shuts down; 0 if unknown.
	Remaining time.Duration
	Capacity  jobs.Resources
	Labels    []string
	// Rack is the label that identifies the worker's rack, or empty.
	Rack string
	// Born is the start time of the worker process, in Unix milliseconds; 0 if unknown.
	Born int64
	// Sequence increases with each entry published by one worker process.
	Sequence int64
}

// Target is the worker process that an order is sent to.
type Target struct {
	ID      string
	Address string
}

// Run identifies one run of a task.
type Run struct {
	Task jobs.TaskID
	// Number starts at 1 and increases with each start of the task.
	Number int
}

// Start orders a worker to run a task.
type Start struct {
	Run
	Payload    string
	Checkpoint string
	// Until is when the lease on everything that runs on the worker expires, on the worker's own clock.
	Until  time.Duration
	Token  int64
	Ticket string
}

// Hold asks a worker for its running and ended runs, and extends the lease on them.
type Hold struct {
	Token int64
	// Acknowledged is the sequence number up to which the worker may discard ended runs.
	Acknowledged int64
	// Until is the new expiry of the lease, on the worker's own clock; 0 leaves it unchanged.
	Until time.Duration
	// Wait is how long the worker may wait for a run to end before it replies.
	Wait time.Duration
}

// Running is a run in progress on a worker.
type Running struct {
	Run
	Checkpoint string
	Percent    int
	// Tail is the tail latency of a task that serves requests, measured over about half a second.
	Tail time.Duration
	// MilliCPU is the CPU use of any other task, averaged over about half a second.
	MilliCPU int
}

// How is the way in which a run ended.
type How int

// The ways in which a run ends.
const (
	// Unknown is an ending that the platform's documentation does not list.
	Unknown How = iota
	Done
	Failed
	Stopped
	Lapsed
	// Broken means that another member of the gang ended.
	Broken
	// Alone means that the other members of the gang did not start in time.
	Alone
)

// String returns the name used in logs and metrics.
func (h How) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if h < 0 || int(h) >= len(names) {
		return names[0]
	}
	return names[h]
}

// End reports that a run has ended.
type End struct {
	// Sequence numbers the ended runs of one worker process from 1.
	Sequence int64
	Run
	How        How
	Checkpoint string
}

// Report is a worker's reply to a Hold.
type Report struct {
	// Clock is the worker's own clock when it replied.
	Clock time.Duration
	// Born is the start time of the process that replied, in Unix milliseconds; 0 if unknown.
	Born    int64
	Running []Running
	Ended   []End
}

// Answer is a worker's reply to any other order.
type Answer struct {
	Clock time.Duration
	Born  int64
}

// Reasons for rejected or failed orders.
const (
	// ReasonFenced means that the worker has seen a higher fencing token.
	ReasonFenced = verdict.Reason("worker_fenced")
	// ReasonOld means that the run is not newer than one that was stopped or ended on the worker.
	ReasonOld = verdict.Reason("worker_old_run")
	// ReasonLate means that the lease in the order has already expired.
	ReasonLate = verdict.Reason("worker_late_order")
	// ReasonNoRoom means that the worker lacks free resources for the task.
	ReasonNoRoom = verdict.Reason("worker_no_room")
	// ReasonTicket means that the order's ticket is missing or invalid.
	ReasonTicket = verdict.Reason("worker_ticket")
	// ReasonUnhealthy means that the worker rejected the order and did nothing.
	ReasonUnhealthy = verdict.Reason("worker_unhealthy")
	// ReasonOtherLife means that the worker has restarted: another process than the expected one replied.
	ReasonOtherLife = verdict.Reason("worker_other_life")
	// ReasonBadOrder means that the worker rejected the order as malformed.
	ReasonBadOrder = verdict.Reason("worker_bad_order")
	// ReasonUnreachable means that the order did not reach the worker.
	ReasonUnreachable = verdict.Reason("worker_unreachable")
	// ReasonNoAnswer means that the order may have been executed, or may still be.
	ReasonNoAnswer = verdict.Reason("worker_no_answer")
	// ReasonWithdrawn means that the order was not sent because it was no longer needed.
	ReasonWithdrawn = verdict.Reason("order_withdrawn")
	// ReasonUnexpected means that the worker's reply was not one of the known replies.
	ReasonUnexpected = verdict.Reason("worker_unexpected_answer")
)
