package cell

import (
	"cmp"
	"slices"
	"time"

	"cactuswall.example/cactuswall/internal/urgency"
)

// addWaiting adds a group to those that the next placement considers, unless it has no task that may start.
func (c *Cell) addWaiting(g *group) {
	if !g.waiting && g.mayStart() {
		g.waiting, g.waitingAt = true, len(c.waiting)
		c.waiting = append(c.waiting, g)
	}
}

// mayStart reports whether the group is ready and has tasks to start, and its job may still run.
func (g *group) mayStart() bool { return g.ready && g.toStart > 0 && g.job.live() }

// sortWaiting removes the groups without a task that may start from Cell.waiting, sorts the others by their urgency and,
// among equally urgent ones, by their creation, and returns them. Most of them are in order from the round before.
func (c *Cell) sortWaiting() []*group {
	c.waiting = slices.DeleteFunc(c.waiting, func(g *group) bool {
		g.waiting = g.mayStart()
		return !g.waiting
	})
	becameLate, scarce := false, c.scarce()
	for _, g := range c.waiting {
		item := c.urgencyItem(g, scarce)
		rank := item.Rank()
		waited := g.waitReason == waitRoom || g.waitReason == waitTurn
		becameLate = becameLate || waited && g.rank.Class() == urgency.OnTime && rank.Class() != urgency.OnTime
		g.rank = rank
	}
	if becameLate {
		c.backlog.BecameLate(c.now)
	}
	slices.SortFunc(c.waiting, func(a, b *group) int {
		if order := urgency.Compare(&a.rank, &b.rank); order != 0 {
			return order
		}
		return cmp.Compare(a.sequence, b.sequence)
	})
	for i, g := range c.waiting {
		g.waitingAt = i
	}
	return c.waiting
}

// scarce reports whether there is more work than capacity or start orders for it.
func (c *Cell) scarce() bool { return c.load.Overloaded(c.now) || c.backlog.Present(c.now) }

// urgencyItem returns what the urgency package needs to order a waiting group. scarce is the result of Cell.scarce.
func (c *Cell) urgencyItem(g *group, scarce bool) urgency.Item {
	j := g.job
	return urgency.Item{
		Priority: j.record.Priority, LongRunning: g.step.LongRunning, Interrupted: g.interrupted(), Age: c.age(g), Remaining: j.criticalPath[g.id.Step],
		Objective: j.objective, JobCPU: j.work, NewestFirst: !j.started && scarce,
		FinishFirst: j.started && scarce, HasObjective: j.hasObjective(),
	}
}

// interrupted reports whether a long-running task of the group ran before and has to be started again.
func (g *group) interrupted() bool {
	if !g.step.LongRunning {
		return false
	}
	for _, t := range g.tasks {
		if t.needsRun() && t.lastRunNumber > 0 {
			return true
		}
	}
	return false
}

// age returns the time since the job was received or, if later, since the occurrence was due. It uses wall time, so
// that it includes the time under former owners.
func (c *Cell) age(g *group) time.Duration { return max(0, c.wall.Sub(g.receivedAt)) }

// receivedAt returns when a job was received or, if later, when an occurrence was due.
func receivedAt(j *job, occurrence int) time.Time {
	received := time.UnixMilli(j.record.ReceivedMS)
	if due := j.record.Spec.DueAt(occurrence); due.After(received) {
		return due
	}
	return received
}
