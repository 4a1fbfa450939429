// Package urgency orders the work that waits for free capacity. It compares two items by their priority, age, estimated
// remaining time and objective. Under overload, serving by deadline alone makes every job late, because capacity goes to
// jobs that can no longer meet their objective; jobs that still can are therefore served first.
package urgency

import (
	"time"
)

// Class says how much a job can still achieve in time.
type Class int

// The classes, in the order in which they are served.
const (
	// OnTime means that the job can still meet its objective.
	OnTime Class = iota
	// Late means that the job will miss its objective, but that its result is still worth something.
	Late
	// Hopeless means that the result will be too late to be worth anything to the caller; the job runs when there is
	// free capacity.
	Hopeless
)

const (
	// lateFactor times the objective is the age from which on a job's result is worth nothing, by the users' rules.
	lateFactor = 3
	// estimateFactor scales the estimated remaining time when a job is classified. Estimates are rough: a job is still
	// worth starting when the time left is a little shorter than its estimate.
	estimateFactor = 0.8
)

// Item is a step of a job that waits for capacity.
type Item struct {
	Priority int
	// Lasting is set for long-running tasks, which serve users and come before all others of their priority.
	Lasting bool
	// Age is the time since the job arrived, Remaining the estimated time of the critical path of its remaining work,
	// Objective the time within which the job should be done, counted from its arrival.
	Age, Remaining, Objective time.Duration
	// Work is the CPU time that the job still needs; between two Hopeless items the one with less comes first.
	Work float64
}

// Class returns the class of the item's job.
func (i *Item) Class() Class {
	needed := i.Age + time.Duration(float64(i.Remaining)*estimateFactor)
	switch {
	case i.Lasting || needed <= i.Objective:
		return OnTime
	case needed <= lateFactor*i.Objective:
		return Late
	}
	return Hopeless
}

// slack returns how long the item can still wait and finish within the limit of its class.
func (i *Item) slack() time.Duration {
	limit := i.Objective
	if i.Class() == Late {
		limit *= lateFactor
	}
	return limit - i.Age - i.Remaining
}

// Before reports whether a is served before b. The higher priority, which has the lower number, comes first even when
// its job is late, since it may preempt.
func Before(a, b *Item) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.Lasting != b.Lasting {
		return a.Lasting
	}
	if x, y := a.Class(), b.Class(); x != y {
		return x < y
	}
	if a.Class() == Hopeless {
		return a.Work < b.Work
	}
	return a.slack() < b.slack()
}
