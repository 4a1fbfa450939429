package cell

import (
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/packed"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

// Round is what one plan decided. Its records are to be stored before its starts are sent.
type Round struct {
	Records []store.Record
	runs    []*run
	groups  []*group
	jobs    []*job
	// deletions are the keys among the records that are to be dropped.
	deletions []string
	ends      map[*worker]int64
}

// Empty tells whether the round has nothing to store and nothing to do after.
func (r *Round) Empty() bool { return len(r.Records) == 0 && len(r.runs) == 0 && len(r.ends) == 0 }

// Plan places waiting tasks and returns what has to be stored.
func (c *Cell) Plan() *Round {
	if c.waiting {
		c.waiting = false
		c.place()
	}
	c.relocate()
	round := &Round{runs: c.starts, ends: make(map[*worker]int64)}
	c.starts = nil
	for _, g := range c.dirtyGroups {
		g.dirty = false
		round.groups = append(round.groups, g)
		round.add(c, jobrecord.GroupKey(g.id), recordOf(g))
	}
	for _, j := range c.dirtyJobs {
		j.dirty = false
		round.jobs = append(round.jobs, j)
		round.add(c, jobrecord.OutcomeKey(j.id), &jobrecord.Outcome{State: j.outcome, AtMS: j.endedAtMS})
	}
	c.keepPressures(round)
	for _, key := range c.deletions {
		round.Records = append(round.Records, store.Record{Key: key})
	}
	round.deletions = c.deletions
	c.dirtyGroups, c.dirtyJobs, c.deletions = nil, nil, nil
	for _, w := range c.workers {
		if w.seen > w.stored {
			round.ends[w] = w.seen
		}
	}
	return round
}

func (r *Round) add(c *Cell, key string, record any) {
	encoded, err := packed.Encode(record)
	if err != nil {
		c.log.Error("record could not be encoded", zap.String("key", key), zap.Error(err))
		return
	}
	r.Records = append(r.Records, store.Record{Key: key, Value: encoded})
}

// keepPressures adds what was learnt to a round that stores something anyway, at times.
func (c *Cell) keepPressures(round *Round) {
	if len(round.Records) == 0 || c.now-c.kept < keepEvery {
		return
	}
	c.kept = c.now
	snapshot := c.pressures.Snapshot()
	round.add(c, jobrecord.PressuresKey, &snapshot)
}

// Stored takes in that a round's records are stored and returns its starts.
func (c *Cell) Stored(round *Round) []StartOrder {
	for w, seen := range round.ends {
		w.stored = max(w.stored, min(seen, w.seen))
		w.nextHold = min(w.nextHold, c.now)
	}
	for _, j := range round.jobs {
		j.visible = true
	}
	var starts []StartOrder
	for _, r := range round.runs {
		if r.state != runPlaced || r.stop || r.worker.runs[workercall.Run{Task: r.task.id, Number: r.number}] != r {
			continue
		}
		starts = append(starts, c.startOrder(r))
	}
	return starts
}

// Return takes a round back that was certainly not stored. Its starts and records go into the next one.
func (c *Cell) Return(round *Round) {
	for _, r := range round.runs {
		if r.state == runPlaced && !r.stop {
			c.starts = append(c.starts, r)
		}
		c.touch(r.task.group)
	}
	for _, g := range round.groups {
		c.touch(g)
	}
	for _, j := range round.jobs {
		c.touchJob(j)
	}
	c.deletions = append(c.deletions, round.deletions...)
}

// Postpone takes back the starts of a round that is stored, because the claim does not permit them now.
func (c *Cell) Postpone(round *Round) {
	starts := round.runs
	round.runs = nil
	c.Stored(round)
	for _, r := range starts {
		if r.state == runPlaced && !r.stop {
			c.starts = append(c.starts, r)
			c.touch(r.task.group)
		}
	}
}
