// Package placedelay decides whether a task waits for a slot at its preferred place, the rack of its data or, for a gang
// that is sensitive to racks, one rack for all members, or starts elsewhere at once. It compares the expected finish
// times, with what other tasks lose by the longer run elsewhere added. It responds to the load of the place, through the expected
// time until a slot there becomes free, and to the load elsewhere, through the share of the capacity there that is in use.
// It reads no clock; points in time are readings of one clock of the caller.
package placedelay

import (
	"math"
	"time"
)

const (
	// OverrunFactor times the estimate of a wait, plus Grace, is when the wait ends although no slot became free. With 1.5
	// and run times that were known within a half, many tasks gave up just before the slot became free, and ended up to 1.4
	// times as late as with a fixed wait (trials with the simulation of the property test). A wait whose estimate rises
	// ends earlier, by the next decision.
	OverrunFactor = 3
	// Grace is added to the longest wait: slots are looked for in rounds, at most 100 ms apart, and the end of a run is
	// known to the owner only after the worker's next report.
	Grace = 200 * time.Millisecond
	// maxLoad limits the load that is used for the loss of other tasks, which would grow without bound near 1.
	maxLoad = 0.95
)

// Choice is one decision to be made for a task, or for a gang as a whole.
type Choice struct {
	// RunTime is the expected run time at the preferred place. Elsewhere it is Factor times as long.
	RunTime time.Duration
	Factor  float64
	// Slot is the expected time until the task gets a slot at the preferred place, those that wait ahead of it considered.
	// It is valid if HasSlot is set.
	Slot    time.Duration
	HasSlot bool
	// Limit is the time within which the task should end, so that its job meets its objective; valid if HasLimit is set.
	Limit    time.Duration
	HasLimit bool
	// Elsewhere describes the slots among which is the one where the task would start now.
	Elsewhere Group
}

// Group is a group of slots, such as the slots of a rack, of the size that the task needs.
type Group struct {
	Free int     // slots that are free now, that of the task included
	Load float64 // share of the capacity that was in use lately, from 0 to 1
}

// lossRate returns what other tasks lose for each second that a slot of the group is in use, in seconds. A task that
// arrives meanwhile is delayed if the other free slots are in use as well, which with the load u has about the probability
// u to the power of their number, and its delay adds to that of the tasks behind it, 1/(1-u) in all. Without this, tasks
// that start elsewhere push tasks from their own racks, which push others: with the factor 3, loads from about 0.6 grew
// into a lasting backlog in which most tasks ran elsewhere (trials with the simulation of the property test).
func (g *Group) lossRate() float64 {
	load := min(max(g.Load, 0), maxLoad)
	return math.Pow(load, float64(max(1, g.Free))) / (1 - load)
}

// Reason is why a task does not wait. Its values are written to metrics and to the log.
type Reason string

// The reasons. Waits means that the task waits.
const (
	Waits     Reason = ""
	Sooner    Reason = "sooner"    // it is expected to end sooner elsewhere, losses of other tasks included
	NoSlot    Reason = "no_slot"   // no slot at the place is expected to become free
	Objective Reason = "objective" // its job would probably miss its objective at the place, but not elsewhere
	Overdue   Reason = "overdue"   // it waited, and the slot did not become free when expected
	Bound     Reason = "bound"     // its waits would be longer in total than MaxTotal
)

// gain returns by how much more a start elsewhere costs than one at the preferred place now: the longer run time, and what
// other tasks lose by the difference. The place is taken to be in as much demand as the slots elsewhere.
func (c *Choice) gain() time.Duration {
	return scale(c.RunTime, (c.Factor-1)*(1+c.Elsewhere.lossRate()))
}

// MaxTotal returns the limit of the total time that a task may ever wait, whatever the load: what it can gain at most.
func (c *Choice) MaxTotal() time.Duration {
	return scale(c.RunTime, (c.Factor-1)*(1+maxLoad/(1-maxLoad)))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// Wait is the record of one task's waits for its preferred place. The zero value is that of a task that has not waited.
type Wait struct {
	waiting         bool
	since, deadline time.Duration // of the present wait
	estimate        time.Duration // of the newest wait, when it began
	ended           time.Duration // total length of the former waits
	// allowance is the largest gain that the place has had at a decision, the limit of the total time of the waits. Waits that
	// were worth while when the load elsewhere was higher are not held against the task.
	allowance time.Duration
	overdue   bool // a wait ended because no slot became free when expected
}

// Waiting reports whether the task waits, by the newest decision.
func (w *Wait) Waiting() bool { return w.waiting }

// Total returns the total time of the task's waits.
func (w *Wait) Total(now time.Duration) time.Duration {
	if w.waiting {
		return w.ended + now - w.since
	}
	return w.ended
}

// Deadline returns when the present wait ends although no slot became free.
func (w *Wait) Deadline() time.Duration { return w.deadline }

// Estimate returns how long the newest wait was expected to last when it began.
func (w *Wait) Estimate() time.Duration { return w.estimate }

// Decide returns Waits if the task should wait for its preferred place although it could start elsewhere now, and otherwise
// why not. The caller asks again in each round in which the task could start elsewhere, and starts it there unless Decide
// returns Waits. After Overdue the task never waits again.
func (w *Wait) Decide(now time.Duration, c *Choice) Reason {
	reason := w.reason(now, c)
	if reason != Waits {
		w.End(now)
		return reason
	}
	if !w.waiting {
		w.waiting, w.since, w.estimate = true, now, c.Slot
		w.deadline = now + min(scale(c.Slot, OverrunFactor)+Grace, w.allowance-w.ended)
	}
	return Waits
}

func (w *Wait) reason(now time.Duration, c *Choice) Reason {
	if w.waiting && now >= w.deadline {
		w.overdue = true
	}
	gain := c.gain()
	w.allowance = max(w.allowance, gain)
	switch {
	case w.overdue:
		return Overdue
	case !c.HasSlot:
		return NoSlot
	case c.Slot >= gain:
		return Sooner
	case w.Total(now)+c.Slot > w.allowance:
		return Bound
	case c.HasLimit && scale(c.RunTime, c.Factor) <= c.Limit && scale(c.Slot, OverrunFactor)+c.RunTime > c.Limit:
		return Objective
	}
	return Waits
}

// End ends the present wait, if there is one: the task starts, or need not start any more.
func (w *Wait) End(now time.Duration) {
	if w.waiting {
		w.ended += now - w.since
		w.waiting = false
	}
}
