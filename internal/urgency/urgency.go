// Package urgency orders the work that waits for free capacity. It compares two items by their priority, age, estimated
// remaining time and objective. Under overload, serving by deadline alone makes every job late: capacity goes to jobs that
// can no longer meet their objective, so jobs that still can are served first; and jobs that still can are begun when they
// are about to be late, so the newest are begun first while there is more work than capacity (see Backlog).
package urgency

import (
	"cmp"
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

// String returns the name of the class that is used in logs.
func (c Class) String() string {
	switch c {
	case OnTime:
		return "on_time"
	case Late:
		return "late"
	}
	return "expired"
}

const (
	// lateFactor times the objective is the age from which on callers consider a job's result worthless. A job that is
	// expected to be older than that when it ends is Expired.
	lateFactor = 3
	// estimateFactor scales the estimated remaining time when a job is classified. Estimates are rough: a job is still
	// worth starting when the time left is a little shorter than its estimate.
	estimateFactor = 0.8
	// doubtFactor times the estimated remaining time is the slack that a late job needs at least to be begun before other late
	// ones. Jobs begun with less were often done just after their limit, so that their capacity was lost; the order by slack
	// alone prefers exactly these.
	doubtFactor = 0.25
)

// Item is a step of a job that waits for capacity.
type Item struct {
	// Priority is the priority of the job's queue; 0 is the highest.
	Priority int
	// LongRunning is set for long-running tasks. They hold their capacity for good, so they come after the tasks that can
	// still be on time, and before all others of their priority.
	LongRunning bool
	// Interrupted is set if a long-running task of the step ran before and runs no more. Its users are without service.
	Interrupted bool
	// NewestFirst is set for a job of which nothing was started while there is more work than capacity or start orders for
	// it. Jobs are then better begun early or not at all: begun in the order of their slack, each would be begun when it is
	// about to be late.
	NewestFirst bool
	// FinishFirst is set for a job of which something was started while there is more work than capacity. If it becomes late it
	// still comes before jobs of which nothing was started: what it has used would be lost.
	FinishFirst bool
	// HasObjective is set if the configuration gives the job's queue both parts of an objective, so that its classes say what a
	// result is worth. Without it, FinishFirst has no effect and an Expired item comes last in its priority only.
	HasObjective bool
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
// lateFactor times the objective. It is negative if the estimated remaining time exceeds the time left. class is the
// item's class.
func (i *Item) slack(class Class) time.Duration {
	limit := i.Objective
	if class == Late {
		limit *= lateFactor
	}
	return limit - i.Age - i.Remaining
}

// stage is the position of an item within its priority.
type stage int8

// The stages, in the order in which they are served.
const (
	stageOnTime stage = iota
	stageFinish       // late, but begun: see Item.FinishFirst
	stageNewest       // on time, see Item.NewestFirst
	stageLongRunning
	stageLate
	stageDoubtful // late, and done in time only if it takes no longer than estimated: see doubtFactor
	stageExpired
)

// Rank is the position of an item at one time, computed once for many comparisons.
type Rank struct {
	interrupted  bool
	worthless    bool // Expired, with Item.HasObjective
	hasObjective bool
	stage        stage
	priority     int
	class        Class
	work         float64       // Item.JobCPU of an Expired item, otherwise 0
	slack        time.Duration // of an item that is not Expired, otherwise 0
}

// Rank returns the item's rank.
func (i *Item) Rank() Rank {
	r := Rank{interrupted: i.Interrupted, priority: i.Priority, class: i.Class(), hasObjective: i.HasObjective}
	if r.class == Expired {
		r.work, r.stage, r.worthless = i.JobCPU, stageExpired, i.HasObjective
		return r
	}
	r.slack = i.slack(r.class)
	switch {
	case i.LongRunning:
		r.stage = stageLongRunning
	case r.class == OnTime && i.NewestFirst:
		r.stage = stageNewest
	case r.class == OnTime:
		r.stage = stageOnTime
	case i.HasObjective && r.slack < time.Duration(float64(i.Remaining)*doubtFactor):
		r.stage = stageDoubtful
	case i.HasObjective && i.FinishFirst:
		r.stage = stageFinish
	default:
		r.stage = stageLate
	}
	return r
}

// Class returns the class of the item's job.
func (r *Rank) Class() Class { return r.class }

// Worthless reports whether the result of the item's job will be too late to be worth anything, by the objective of its queue.
func (r *Rank) Worthless() bool { return r.worthless }

// Interrupted reports whether the item is an interrupted long-running task.
func (r *Rank) Interrupted() bool { return r.interrupted }

// Compare returns a negative number if a is served before b, a positive one if b is served before a, and otherwise 0.
// Interrupted long-running tasks come before everything else: they are few, and a backlog of other work must not keep
// them away. Jobs whose results are worth nothing come after everything else, so that they take no capacity that a useful job of
// any priority could use. Then the higher priority, which has the lower number, comes first even when its job is late, since
// tasks of priority 0 may preempt those of other priorities.
func Compare(a, b *Rank) int {
	switch {
	case a.interrupted && !b.interrupted:
		return -1
	case b.interrupted && !a.interrupted:
		return 1
	case a.worthless && !b.worthless:
		return 1
	case b.worthless && !a.worthless:
		return -1
	case a.priority != b.priority:
		return cmp.Compare(a.priority, b.priority)
	case a.stage != b.stage:
		return cmp.Compare(a.stage, b.stage)
	case a.stage == stageNewest:
		return cmp.Compare(b.slack, a.slack)
	case a.stage == stageExpired:
		return cmp.Compare(a.work, b.work)
	}
	return cmp.Compare(a.slack, b.slack)
}

// Before reports whether a is served before b.
func Before(a, b *Item) bool {
	x, y := a.Rank(), b.Rank()
	return Compare(&x, &y) < 0
}

// backlogTime is how long there is taken to be more work than capacity after a job became late because of it. It is longer
// than most jobs take, so that those begun meanwhile can end.
const backlogTime = 5 * time.Second

// Backlog tells whether there is more work than capacity. Points in time are readings of one clock of the caller.
type Backlog struct {
	lateAt time.Duration
	late   bool
}

// BecameLate notes that a job that could have been on time became late while it waited for capacity.
func (b *Backlog) BecameLate(now time.Duration) { b.lateAt, b.late = now, true }

// Present reports whether a job became late in the last backlogTime.
func (b *Backlog) Present(now time.Duration) bool { return b.late && now-b.lateAt < backlogTime }
