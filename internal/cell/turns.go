package cell

import (
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/drain"
	"cactuswall.example/cactuswall/internal/urgency"
)

// shareOf returns what the group competes in with late groups.
func shareOf(g *group) urgency.Share {
	return urgency.Share{Priority: g.job.record.Priority, BestEffort: g.step.BestEffort}
}

// promoteLate moves late groups before all others of their priority where late work is behind its part. groups are sorted, and
// oldest holds the oldest late group of each share.
func (c *Cell) promoteLate(groups []*group, oldest map[urgency.Share]*group) {
	if !c.shares.Due() {
		return
	}
	promotions := c.shares.Promotions()
	begin, promoted := 0, 0 // of the priority: the index of the first group, and the number of those that were moved there
	for i, g := range groups {
		if i > 0 && !urgency.SamePriority(&groups[i-1].rank, &g.rank) {
			begin, promoted = i, 0
		}
		if !g.rank.IsLate() {
			continue
		}
		share := shareOf(g)
		promote, first := promotions.Promote(share, &g.rank, oldest[share] == g)
		if !promote {
			continue
		}
		to := begin + promoted
		if first {
			to = begin
		}
		copy(groups[to+1:i+1], groups[to:i])
		groups[to] = g
		promoted++
	}
}

// oldestLate returns the oldest late group of each share.
func oldestLate(groups []*group) map[urgency.Share]*group {
	var oldest map[urgency.Share]*group
	var last *group // the oldest one of the share that was last looked up
	for _, g := range groups {
		if !g.rank.IsLate() {
			continue
		}
		share := shareOf(g)
		if last == nil || shareOf(last) != share {
			if oldest == nil {
				oldest = make(map[urgency.Share]*group)
			}
			last = oldest[share]
		}
		if last == nil || g.receivedAt.Before(last.receivedAt) {
			last = g
			oldest[share] = g
		}
	}
	return oldest
}

// roundTurns accounts for whose turn it was in a placement round.
type roundTurns struct {
	cell *Cell
	// shares holds the work of late groups and of those before them; nil if no late group waits.
	shares map[urgency.Share]*urgency.Round
	// oldest holds the oldest late group of each share.
	oldest map[urgency.Share]*group
	// last holds the share that was last looked up in shares, for ordinary and for best-effort tasks.
	last [2]struct {
		share urgency.Share
		round *urgency.Round
	}
	// blocked is the first group without room, if it may have workers kept free.
	blocked *group
}

// takeTurns promotes late groups and returns the account of the round.
func (c *Cell) takeTurns(groups []*group) roundTurns {
	t := roundTurns{cell: c, oldest: oldestLate(groups)}
	switch {
	case len(t.oldest) > 0:
		c.promoteLate(groups, t.oldest)
	case c.shares.Empty():
		return t
	case !c.backlog.Present(c.now):
		c.shares = urgency.Shares{}
		return t
	}
	t.shares = make(map[urgency.Share]*urgency.Round)
	return t
}

// placed notes that a number of the group's tasks were placed. The first useful group without room, once as much processor
// capacity as it requests has gone to groups behind it, has workers kept free: otherwise small tasks take each bit of room that
// becomes free, and a large one waits as long as they come.
func (t *roundTurns) placed(v *placementView, g *group, count int) {
	t.add(g, count)
	switch {
	case t.blocked == nil && g.waitReason == waitRoom && g.mayKeepFree():
		t.blocked = g
		if count > 0 {
			g.overtaken = 0
		}
		if g.overtaken >= g.requestedMilliCPU() {
			t.cell.noteKeepsFree(g)
			t.cell.keepWorkersFree(v, g)
			if share := shareOf(g); t.oldest[share] == g {
				t.shares[share].OldestHeld = true
			}
		}
	case t.blocked != nil && count > 0:
		t.blocked.overtaken += count * g.step.Requested().MilliCPU
	}
}

// mayKeepFree reports whether workers may be kept free for the group once others have overtaken it.
func (g *group) mayKeepFree() bool {
	return g.measuresDrain() && g.rank.Class() != urgency.Expired && g.step.MaxPerWorker == 0 && g.step.Requested().MilliCPU > 0
}

// requestedMilliCPU returns the processor capacity that the group's waiting tasks request, at most that of a round.
func (g *group) requestedMilliCPU() int {
	return min(g.toStart, maxStartsPerRound) * g.step.Requested().MilliCPU
}

func (c *Cell) noteKeepsFree(g *group) {
	if g.keepsFree {
		return
	}
	g.keepsFree = true
	c.metrics.KeptFree.Inc()
	if t := g.firstToStart(c.now); t != nil {
		c.log.Info("workers kept free for a step", taskField(t.id), zap.Duration("waited", c.now-max(t.waitingSince, g.readyAt)),
			zap.String("needs", g.step.Summary()), zap.Int("overtaken_milli_cpu", g.overtaken))
	}
}

// notReached accounts for groups that the round did not come to.
func (t *roundTurns) notReached(groups []*group) {
	if t.shares == nil {
		return
	}
	for _, g := range groups {
		t.add(g, 0)
	}
}

func (t *roundTurns) add(g *group, count int) {
	if t.shares == nil {
		return
	}
	r := t.round(shareOf(g))
	work := drain.TaskWork(g.step)
	if g.job.beganLate {
		r.Add(&g.rank, 0, float64(g.toStart)*work) // all of it was counted
		return
	}
	if count > 0 && g.rank.IsLate() {
		// The whole job counts: from now on it has begun, so that the rest of it comes before new work.
		r.Add(&g.rank, float64(count)*work+g.job.remainingWork(), 0)
		if t.oldest[shareOf(g)] == g {
			r.BeganOldest = true
		} else {
			r.BeganOther = true
		}
		g.job.beganLate = true
		t.cell.metrics.LateStarts.Inc()
		return
	}
	r.Add(&g.rank, float64(count)*work, float64(g.toStart)*work)
}

// round returns the account of a share. The groups of a share mostly follow each other, so that it is rarely looked up.
func (t *roundTurns) round(share urgency.Share) *urgency.Round {
	kind := 0
	if share.BestEffort {
		kind = 1
	}
	if last := &t.last[kind]; last.round != nil && last.share == share {
		return last.round
	}
	r := t.shares[share]
	if r == nil {
		r = &urgency.Round{}
		t.shares[share] = r
	}
	t.last[kind].share, t.last[kind].round = share, r
	return r
}

// settle ends the round.
func (t *roundTurns) settle() {
	for share, r := range t.shares {
		t.cell.shares.Settle(share, *r)
	}
}
