// Package urgency orders the work that waits for free capacity. It compares two items by their priority, age, estimated
// remaining time and objective. Under overload, serving by deadline alone makes every job late, because capacity goes to
// jobs that can no longer meet their objective; jobs that still can are therefore served first.
package urgency

import (
	"time"
)

// Class says whether a job can still finish within its objective, late but with a result that is worth something, or
// only too late.
type Class int

// The classes, in the order in which they are served.
const (
	// OnTime means that the job can still meet its objective.
	OnTime Class = iota
	// Late means that the job will miss its objective, but that its result is still worth something.
	Late
	// Expired means that the result will be too late to be worth anything to the caller: the job has expired. It runs
	// when there is free capacity.
	Expired
)

const (
	// lateFactor times the objective is the age from which on callers consider a job's result worthless. A job that is
	// expected to be older than that when it ends is Expired.
	lateFactor = 3
	// estimateFactor scales the estimated remaining time when a job is classified. Estimates are rough: a job is still
	// worth starting when the time left is a little shorter than its estimate.
	estimateFactor = 0.8
)

// Item is a step of a job that waits for capacity.
type Item struct {
	// Priority is the priority of the job's queue; 0 is the highest.
	Priority int
	// LongRunning is set for long-running tasks, which serve users and come before all others of their priority.
	LongRunning bool
	// Age is the time since the job arrived, Remaining the estimated time of the critical path of its remaining work,
	// Objective the time within which the job should be done, counted from its arrival.
	Age, Remaining, Objective time.Duration
	// JobCPU is the estimated CPU work of the whole job, finished steps included, in milli-CPU seconds (thousandths of
	// a core, times seconds). Of two Expired items, the one whose job has less CPU work comes first.
	JobCPU float64
}

// Class returns the class of the item's job.
func (i *Item) Class() Class {
	needed := i.Age + time.Duration(float64(i.Remaining)*estimateFactor)
	switch {
	case i.LongRunning || needed <= i.Objective:
		return OnTime
	case needed <= lateFactor*i.Objective:
		return Late
	}
	return Expired
}

// slack returns how long the item can still wait before its job misses its limit: the objective or, for a Late item,
// lateFactor times the objective. It is negative if the estimated remaining time exceeds the time left.
func (i *Item) slack() time.Duration {
	limit := i.Objective
	if i.Class() == Late {
		limit *= lateFactor
	}
	return limit - i.Age - i.Remaining
}

// Before reports whether a is served before b. The higher priority, which has the lower number, comes first even when
// its job is late, since tasks of priority 0 may preempt those of other priorities.
func Before(a, b *Item) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.LongRunning != b.LongRunning {
		return a.LongRunning
	}
	if x, y := a.Class(), b.Class(); x != y {
		return x < y
	}
	if a.Class() == Expired {
		return a.JobCPU < b.JobCPU
	}
	return a.slack() < b.slack()
}
