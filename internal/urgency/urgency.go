// Package urgency orders the work that waits for room. Under overload, serving by deadline alone makes every job late,
// since the room goes to jobs that cannot be on time any more; so those that can come first.
package urgency

import (
	"time"
)

// Class tells what a job can still reach.
type Class int

// The classes, in the order in which they are served.
const (
	// OnTime: the job can meet its objective.
	OnTime Class = iota
	// Late: the job has missed its objective and is still worth something.
	Late
	// Hopeless: the job is worth nothing to its caller in time; it is finished when there is room.
	Hopeless
)

const (
	// lateFactor times the objective is when a job's end stops being worth something, by the users' rules.
	lateFactor = 3
	// chance is the part of the remaining work that may be missing from the time left for a job to be worth
	// starting: estimates are rough.
	chance = 0.8
)

// Item is a step of a job that waits.
type Item struct {
	Priority int
	// Lasting tasks serve users and come before all others of their priority.
	Lasting bool
	// Age is the time since the job arrived, Remaining the estimated time of the longest chain of work left,
	// Objective the time in which the job should be done.
	Age, Remaining, Objective time.Duration
	// Work is the processor time that the job still needs; it breaks ties in favour of the smaller.
	Work float64
}

// Class returns what the item's job can still reach.
func (i *Item) Class() Class {
	needed := i.Age + time.Duration(float64(i.Remaining)*chance)
	switch {
	case i.Lasting || needed <= i.Objective:
		return OnTime
	case needed <= lateFactor*i.Objective:
		return Late
	}
	return Hopeless
}

// slack is the time that the item may still wait.
func (i *Item) slack() time.Duration {
	limit := i.Objective
	if i.Class() == Late {
		limit *= lateFactor
	}
	return limit - i.Age - i.Remaining
}

// Before tells whether a comes before b. A priority that may preempt comes first even when it is late.
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
