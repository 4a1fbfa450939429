// Package workercall defines workers, the orders sent to them (start, stop, pace and renew) and their replies,
// independent of the wire format. It also defines the reasons for which an order can fail.
package workercall

import (
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Worker is the entry that a worker publishes about itself in the store.
type Worker struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string // name of the failure domain in which the worker runs
	// Draining is set once the worker has announced that it is shutting down.
	Draining bool
	// TimeToShutdown is the minimum time between the publication of the entry and the shutdown of a draining worker; 0 if
	// unknown.
	TimeToShutdown time.Duration
	// ColdLeft is for how long after the publication of the entry the worker is slow because it has just started.
	ColdLeft time.Duration
	Capacity jobs.Resources
	Labels   []string
	// Rack is the label that identifies the worker's rack, or empty.
	Rack string
	// StartedAtMS is the start time of the worker process, in Unix milliseconds; 0 if unknown.
	StartedAtMS int64
	// Sequence increases with each entry published by one worker process.
	Sequence int64
	// Assignment is the version of the worker's assignment to its cell (see package cellmap). The node sets it.
	Assignment int64
}

// Target is the worker that an order is sent to: its ID and its address, of the form host:port.
type Target struct {
	ID      string
	Address string
	// StartedAtMS is the incarnation that the order is meant for, as its start time in Unix milliseconds. No other incarnation
	// must get the order. If it is 0 the incarnation is not known, and any may get it.
	StartedAtMS int64
}

// Run identifies one run of a task.
type Run struct {
	Task jobs.TaskID
	// Number starts at 1 and increases with each start of the task.
	Number int
}

// Start orders a worker to run a task. Checkpoint is the checkpoint to continue from, or empty to start from the
// beginning. Token is the owner's fencing token. Ticket is the ticket that the advice service issued for the order, or
// empty.
type Start struct {
	Run
	Payload    string
	Checkpoint string
	// LeaseExpiry is the new expiry of the lease on all runs of the worker, on the worker's own clock.
	LeaseExpiry time.Duration
	Token       int64
	Ticket      string
}

// RenewRequest asks a worker for its running and ended runs, and extends the lease on its runs. The platform calls
// the order hold. Token is the owner's fencing token.
type RenewRequest struct {
	Token int64
	// Acknowledged is the sequence number up to which the worker may discard ended runs.
	Acknowledged int64
	// LeaseExpiry is the new expiry of the lease, on the worker's own clock; 0 leaves it unchanged.
	LeaseExpiry time.Duration
	// Wait is how long the worker may wait for a run to end before it replies.
	Wait time.Duration
}

// RunStatus is a run in progress on a worker. Checkpoint is its latest checkpoint, or empty. Percent is its progress;
// for a task of a LongRunning step it is 100 while the task serves requests.
type RunStatus struct {
	Run
	Checkpoint string
	Percent    int
	// TailLatency is the tail latency of a task that serves requests, measured over about half a second.
	TailLatency time.Duration
	// MilliCPU is the CPU use of a task that serves no requests, in thousandths of a core, averaged over about half a
	// second.
	MilliCPU int
}

// EndReason tells in which way a run ended.
type EndReason int

// The ways in which a run ends.
const (
	// Unknown is an ending that the platform's documentation does not list.
	Unknown EndReason = iota
	// Done means that the task completed.
	Done
	// Failed means that the run failed.
	Failed
	// Stopped means that an order stopped the run.
	Stopped
	// LeaseExpired means that the worker stopped the run because its lease had expired.
	LeaseExpired
	// GangMemberEnded means that another member of the gang ended.
	GangMemberEnded
	// GangIncomplete means that the other members of the gang did not start in time.
	GangIncomplete
)

// String returns the name used in logs and metrics, which is "unknown" for values not listed above.
func (r EndReason) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if r < 0 || int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

// EndedRun reports that a run has ended.
type EndedRun struct {
	// Sequence numbers the ended runs of one worker process from 1.
	Sequence int64
	Run
	Reason     EndReason
	Checkpoint string
}

// Report is a worker's reply to a RenewRequest.
type Report struct {
	// Clock is the worker's own clock when it replied.
	Clock time.Duration
	// StartedAtMS is the start time of the process that replied, in Unix milliseconds; 0 if unknown.
	StartedAtMS int64
	Running     []RunStatus
	Ended       []EndedRun
}

// Reply is a worker's reply to any order but a RenewRequest. Clock and StartedAtMS are as in Report.
type Reply struct {
	Clock       time.Duration
	StartedAtMS int64
}

// Reasons for rejected or failed orders. The verdict of the error tells whether the order may have been executed.
const (
	// ReasonFenced means that the worker has seen a higher fencing token.
	ReasonFenced = verdict.Reason("worker_fenced")
	// ReasonStaleRun means that the run is not newer than one that was stopped or ended on the worker.
	ReasonStaleRun = verdict.Reason("worker_old_run")
	// ReasonLeaseExpired means that the lease in the order has already expired.
	ReasonLeaseExpired = verdict.Reason("worker_late_order")
	// ReasonNoCapacity means that the worker lacks free resources for the task.
	ReasonNoCapacity = verdict.Reason("worker_no_room")
	// ReasonInvalidTicket means that the order's ticket is missing or invalid.
	ReasonInvalidTicket = verdict.Reason("worker_ticket")
	// ReasonUnhealthy means that the worker answered that it is overloaded or unavailable, and did nothing.
	ReasonUnhealthy = verdict.Reason("worker_unhealthy")
	// ReasonWorkerRestarted means that the worker has restarted: another process than the expected one replied.
	ReasonWorkerRestarted = verdict.Reason("worker_other_life")
	// ReasonMalformedOrder means that the worker rejected the order as malformed.
	ReasonMalformedOrder = verdict.Reason("worker_bad_order")
	// ReasonUnreachable means that the order did not reach the worker.
	ReasonUnreachable = verdict.Reason("worker_unreachable")
	// ReasonNoAnswer means that no reply was received: the order may have been executed, or may be executed later.
	ReasonNoAnswer = verdict.Reason("worker_no_answer")
	// ReasonWithdrawn means that the order was not sent because it was no longer needed.
	ReasonWithdrawn = verdict.Reason("order_withdrawn")
	// ReasonUnexpected means that the worker's reply was not understood.
	ReasonUnexpected = verdict.Reason("worker_unexpected_answer")
)
