// Package workercall describes workers and the orders they take, as the product uses them.
package workercall

import (
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Worker is what a worker says of itself in the store.
type Worker struct {
	ID      string
	Service string
	Address string
	Domain  string // failure domain
	// Draining is set once the worker has announced that it leaves.
	Draining bool
	// Remaining is the least time that a draining worker has left; 0 when it did not say.
	Remaining time.Duration
	Capacity  jobs.Resources
	Labels    []string
	// Rack is the label that names the worker's rack, or empty.
	Rack string
	// Born is the start of this life of the worker, in Unix milliseconds; 0 when it did not say.
	Born int64
	// Sequence rises with the entries of one life.
	Sequence int64
}

// Target is the address of one life of a worker.
type Target struct {
	ID      string
	Address string
}

// Run is one start of a task.
type Run struct {
	Task jobs.TaskID
	// Number rises with each start of the task, from 1.
	Number int
}

// Start orders a worker to run a task.
type Start struct {
	Run
	Payload    string
	Checkpoint string
	// Until is the end of the lease of everything that runs on the worker, on the worker's own clock.
	Until  time.Duration
	Token  int64
	Ticket string
}

// Hold asks a worker what runs and what has ended, and extends the lease.
type Hold struct {
	Token int64
	// Acknowledged is the number of the last end that the worker may forget.
	Acknowledged int64
	// Until extends the lease, on the worker's own clock; 0 leaves it.
	Until time.Duration
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Running is a task that runs on a worker.
type Running struct {
	Run
	Checkpoint string
	Percent    int
	// Tail is the tail of the response times of a task that serves, over about half a second.
	Tail time.Duration
	// MilliCPU is what any other task used over about half a second.
	MilliCPU int
}

// How a run ended.
type How int

// The ways in which a run ends.
const (
	// Unknown is an ending that the platform's pages do not name.
	Unknown How = iota
	Done
	Failed
	Stopped
	Lapsed
	// Broken: another member of the gang ended.
	Broken
	// Alone: the other members of the gang did not come in time.
	Alone
)

// String returns the name for logs and metrics.
func (h How) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if h < 0 || int(h) >= len(names) {
		return names[0]
	}
	return names[h]
}

// End is the end of a run.
type End struct {
	// Sequence counts the ends of one life of the worker from 1.
	Sequence int64
	Run
	How        How
	Checkpoint string
}

// Report is a worker's answer to a hold.
type Report struct {
	// Clock is the worker's own clock when it answered.
	Clock time.Duration
	// Born is the start of the life that answered; 0 when it did not say.
	Born    int64
	Running []Running
	Ended   []End
}

// Answer is a worker's answer to any other order.
type Answer struct {
	Clock time.Duration
	Born  int64
}

// Reasons of refused or failed orders.
const (
	// ReasonFenced: the worker has seen a higher token.
	ReasonFenced = verdict.Reason("worker_fenced")
	// ReasonOld: the run is not newer than one that was stopped or ended there.
	ReasonOld = verdict.Reason("worker_old_run")
	// ReasonLate: the lease of the order has passed.
	ReasonLate = verdict.Reason("worker_late_order")
	// ReasonNoRoom: the worker has no room.
	ReasonNoRoom = verdict.Reason("worker_no_room")
	// ReasonTicket: the order's ticket is missing or not valid.
	ReasonTicket = verdict.Reason("worker_ticket")
	// ReasonUnhealthy: the worker refused the order and did nothing.
	ReasonUnhealthy = verdict.Reason("worker_unhealthy")
	// ReasonOtherLife: another life of the worker answered.
	ReasonOtherLife = verdict.Reason("worker_other_life")
	// ReasonBadOrder: the worker does not accept the order's form.
	ReasonBadOrder = verdict.Reason("worker_bad_order")
	// ReasonUnreachable: the order did not reach the worker.
	ReasonUnreachable = verdict.Reason("worker_unreachable")
	// ReasonNoAnswer: the order may have been carried out, or may be later.
	ReasonNoAnswer = verdict.Reason("worker_no_answer")
	// ReasonWithdrawn: the order was not sent, since it was not wanted any more.
	ReasonWithdrawn = verdict.Reason("order_withdrawn")
	// ReasonUnexpected: the answer is not one that workers are known to give.
	ReasonUnexpected = verdict.Reason("worker_unexpected_answer")
)
