package cell

import (
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

// Round is the result of one Plan. Its records have to be stored before its start orders are sent.
type Round struct {
	number  int // counts the calls of Plan
	Records []store.Record
	starts  []*run      // runs to start once the records are stored
	parts   []groupPart // parts of groups whose progress is among the records
	jobs    []*job      // jobs whose outcome is among the records
	// occurrences are the jobs whose closed occurrences are among the records.
	occurrences []*job
	// deletions are the keys of the records that the round deletes.
	deletions []string
	// endsSeen is, for each worker, the sequence number of the last run end whose effect is in the round and that may be
	// acknowledged then.
	endsSeen map[*worker]int64
}

// Empty reports whether the round has nothing to store and nothing to do afterwards.
func (r *Round) Empty() bool {
	return len(r.Records) == 0 && len(r.starts) == 0 && len(r.endsSeen) == 0
}

// Plan places waiting tasks, relocates runs and returns what has to be stored. Unless the round is empty, the owner
// calls RoundStored, PostponeStarts or RoundNotStored for it before the next Plan.
func (c *Cell) Plan() *Round {
	if !c.withholdRound() {
		if c.needsPlacement {
			c.needsPlacement = false
			c.place()
		}
		c.relocate()
		c.treatStragglers()
	}
	c.plannedRounds++
	round := &Round{number: c.plannedRounds, starts: c.pendingStarts}
	c.pendingStarts = nil
	c.closeOccurrences()
	for _, g := range c.dirtyGroups {
		round.addGroup(c, g)
	}
	for _, j := range c.dirtyJobs {
		j.dirty = false
		round.jobs = append(round.jobs, j)
		round.addRecord(c, jobrecord.OutcomeKey(j.id), &jobrecord.Outcome{State: j.outcome, AtMS: j.endedAtMS})
	}
	round.addOccurrences(c)
	c.addInterferenceSnapshot(round)
	for _, key := range c.deletions {
		round.Records = append(round.Records, store.Record{Key: key})
	}
	round.deletions = c.deletions
	c.dirtyGroups, c.dirtyJobs, c.deletions = nil, nil, nil
	for _, w := range c.due.unstoredEnds() {
		end := w.lastStorableEnd()
		if end <= w.lastEndStored {
			continue
		}
		if round.endsSeen == nil {
			round.endsSeen = make(map[*worker]int64)
		}
		round.endsSeen[w] = end
	}
	if !round.Empty() {
		c.storing = round
	}
	return round
}

func (r *Round) addRecord(c *Cell, key string, record any) {
	encoded, err := recordcodec.Encode(record)
	if err != nil {
		c.log.Error("failed to encode record", zap.String("key", key), zap.Error(err))
		return
	}
	r.Records = append(r.Records, store.Record{Key: key, Value: encoded})
}

// addInterferenceSnapshot adds a snapshot of the learned interference coefficients to a round that stores something
// anyway, at most once per interferenceSaveInterval.
func (c *Cell) addInterferenceSnapshot(round *Round) {
	if len(round.Records) == 0 || c.now-c.interferenceSavedAt < interferenceSaveInterval {
		return
	}
	c.interferenceSavedAt = c.now
	maxBytes := 0
	if c.settings.MaxRecordBytes > 0 {
		maxBytes = max(1, c.settings.MaxRecordBytes-(&store.Record{Key: jobrecord.InterferenceKey}).Size())
	}
	snapshot := c.interference.Snapshot(maxBytes)
	round.addRecord(c, jobrecord.InterferenceKey, &snapshot)
}

// RoundStored is called once a round's records are stored. It returns the start orders of the round, without those of
// runs that were removed or are to be stopped.
func (c *Cell) RoundStored(round *Round) []StartOrder {
	c.storedRound, c.storing = round.number, nil
	for w, seen := range round.endsSeen {
		// lastEndSeen is lower than seen if the worker has restarted since Plan.
		w.lastEndStored = max(w.lastEndStored, min(seen, w.lastEndSeen))
		w.renewBy(c.now)
	}
	for _, j := range round.jobs {
		c.markEndStored(j)
	}
	var starts []StartOrder
	for _, r := range round.starts {
		if r.state != runPlaced || r.stopRequested || r.worker.runs[workercall.Run{Task: r.task.id, Number: r.number}] != r {
			continue
		}
		starts = append(starts, c.startOrder(r))
	}
	return starts
}

// RoundNotStored is called if the records of a round, or the last of them, were certainly not stored. The records and start orders go into
// the next round. Records that were stored all the same are true: no run was started, and no end acknowledged, because of them.
func (c *Cell) RoundNotStored(round *Round) {
	c.storing = nil
	for _, r := range round.starts {
		if r.state == runPlaced && !r.stopRequested {
			c.pendingStarts = append(c.pendingStarts, r)
		}
		c.markTaskDirty(r.task)
	}
	for _, p := range round.parts {
		c.markPartDirty(p)
	}
	for _, j := range round.jobs {
		c.markJobDirty(j)
	}
	for _, j := range round.occurrences {
		c.markOccurrencesDirty(j)
	}
	c.deletions = append(c.deletions, round.deletions...)
}

// PostponeStarts is called instead of RoundStored if the records are stored, but the owner's claim does not allow
// start orders now. The start orders go into the next round.
func (c *Cell) PostponeStarts(round *Round) {
	starts := round.starts
	round.starts = nil
	c.RoundStored(round)
	for _, r := range starts {
		if r.state == runPlaced && !r.stopRequested {
			c.pendingStarts = append(c.pendingStarts, r)
			c.markTaskDirty(r.task)
		}
	}
}
