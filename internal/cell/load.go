package cell

import (
	"sort"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/packed"
	"cactuswall.example/cactuswall/internal/pressure"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

// Apply takes in a record of the jobs topic, in the order of the topic.
func (c *Cell) Apply(r store.Record) {
	kind, id := jobrecord.ParseKey(r.Key)
	switch {
	case kind == jobrecord.KindJob && len(r.Value) > 0:
		var record jobrecord.Job
		if err := packed.Decode(r.Value, &record); err != nil {
			c.unreadable(r, err)
			return
		}
		c.AddJob(id.Job, r.Key, record)
	case kind == jobrecord.KindCancel && len(r.Value) > 0:
		c.Cancel(id.Job)
	case kind == jobrecord.KindUnknown:
		c.unreadable(r, nil)
	}
}

func (c *Cell) unreadable(r store.Record, err error) {
	c.counts.Unreadable.Inc()
	c.log.Warn("record passed over", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
}

// Load takes in everything that former owners stored. Ends are taken in before cancellations, so that a job that
// ended first stays so.
func (c *Cell) Load(jobRecords, progress []store.Record) {
	sort.SliceStable(jobRecords, func(i, j int) bool { return jobRecords[i].Offset < jobRecords[j].Offset })
	listed := make(map[jobs.ID]bool)
	for _, r := range jobRecords {
		if kind, id := jobrecord.ParseKey(r.Key); kind == jobrecord.KindJob {
			listed[id.Job] = true
			c.Apply(r)
		}
	}
	for _, r := range progress {
		c.loadProgress(r, listed)
	}
	for _, r := range jobRecords {
		if kind, _ := jobrecord.ParseKey(r.Key); kind != jobrecord.KindJob {
			c.Apply(r)
		}
	}
	for _, j := range c.jobs {
		c.settleLoaded(j)
	}
	c.dropEnded()
}

// loadProgress takes in a record of progress. listed are the jobs with a record, readable or not.
func (c *Cell) loadProgress(r store.Record, listed map[jobs.ID]bool) {
	if len(r.Value) == 0 {
		return
	}
	kind, id := jobrecord.ParseKey(r.Key)
	j := c.jobs[id.Job]
	switch {
	case kind == jobrecord.KindOutcome && j != nil:
		var outcome jobrecord.Outcome
		if err := packed.Decode(r.Value, &outcome); err != nil {
			c.unreadable(r, err)
			return
		}
		j.ended, j.visible, j.outcome, j.endedAtMS = true, true, outcome.State, outcome.AtMS
	case kind == jobrecord.KindGroup && j != nil:
		var record jobrecord.Group
		if err := packed.Decode(r.Value, &record); err != nil {
			c.unreadable(r, err)
			return
		}
		c.loadGroup(j, id, record, r)
	case (kind == jobrecord.KindOutcome || kind == jobrecord.KindGroup) && !listed[id.Job]:
		// The job's own records go first, so a former owner was deleting it.
		c.deletions = append(c.deletions, r.Key)
	case r.Key == jobrecord.PressuresKey:
		var snapshot pressure.Snapshot
		if err := packed.Decode(r.Value, &snapshot); err != nil {
			c.unreadable(r, err)
			return
		}
		c.pressures.Restore(snapshot)
	default:
		c.unreadable(r, nil)
	}
}

func (c *Cell) loadGroup(j *job, id jobs.GroupID, record jobrecord.Group, r store.Record) {
	if id.Step >= len(j.record.Spec.Steps) || len(record.Tasks) != j.record.Spec.Steps[id.Step].Count {
		c.unreadable(r, nil)
		return
	}
	g := c.group(j, id)
	g.nextRun, g.left = record.NextRun, 0
	for i := range record.Tasks {
		stored := &record.Tasks[i]
		t := g.tasks[i]
		t.done, t.failures, t.lastRun, t.checkpoint = stored.Done, stored.Failures, stored.LastRun, stored.Checkpoint
		if !t.done {
			g.left++
		}
		if t.lastRun > 0 {
			g.started, j.started = true, true
		}
		for _, storedRun := range stored.Runs {
			c.loadRun(t, storedRun)
		}
	}
}

// loadRun takes in a run that a former owner may have started. Whether it runs is for its worker to say.
func (c *Cell) loadRun(t *task, stored jobrecord.Run) {
	w := c.workers[stored.Worker]
	if w == nil {
		w = c.addWorker(workercall.Worker{ID: stored.Worker, Service: t.group.job.record.Service})
		w.listed = false
	}
	r := &run{task: t, number: stored.Number, worker: w, born: stored.Born, state: runUncertain, since: c.now, pace: fullPace}
	t.runs = append(t.runs, r)
	w.runs[workercall.Run{Task: t.id, Number: r.number}] = r
	w.used = w.used.Plus(t.group.step.Room())
}

// settleLoaded brings a job's steps up to date with its tasks.
func (c *Cell) settleLoaded(j *job) {
	for occurrence := range j.opened {
		c.markReady(j, occurrence)
	}
	if j.ended || j.cancelled {
		c.stopAll(j, stopCancelled)
		return
	}
	for _, g := range j.groups {
		c.checkBudget(g)
	}
	c.checkComplete(j)
}

// dropEnded shortens the list of open groups.
func (c *Cell) dropEnded() {
	kept := c.open[:0]
	for _, g := range c.open {
		if g.left > 0 && g.job.live() {
			kept = append(kept, g)
		}
	}
	c.open = kept
}

// recordOf returns the stored form of a group's progress.
func recordOf(g *group) *jobrecord.Group {
	record := &jobrecord.Group{NextRun: g.nextRun, Tasks: make([]jobrecord.Task, len(g.tasks))}
	for i, t := range g.tasks {
		stored := jobrecord.Task{Done: t.done, Failures: t.failures, LastRun: t.lastRun, Checkpoint: t.checkpoint}
		for _, r := range t.runs {
			stored.Runs = append(stored.Runs, jobrecord.Run{Number: r.number, Worker: r.worker.info.ID, Born: r.born})
		}
		record.Tasks[i] = stored
	}
	return record
}

// fullPace is the pace of a run that was not ordered otherwise, in percent.
const fullPace = 100

// addWorker makes the row of a worker.
func (c *Cell) addWorker(info workercall.Worker) *worker {
	w := &worker{info: info, listed: true, runs: make(map[workercall.Run]*run)}
	w.lapsed = c.forgotten
	c.workers[info.ID] = w
	c.sorted = nil
	return w
}

// Workers takes in the list of the workers' entries. Workers that are not on it are gone from the store.
func (c *Cell) Workers(list []workercall.Worker) {
	listed := make(map[string]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		c.workerListed(info)
	}
	for id, w := range c.workers {
		if !listed[id] && w.listed {
			c.workerUnlisted(w)
		}
	}
	c.health.SetFleet(len(list))
}

func (c *Cell) workerListed(info workercall.Worker) {
	w := c.workers[info.ID]
	if w == nil {
		c.log.Info("worker listed", zap.String("worker", info.ID), zap.String("domain", info.Domain),
			zap.String("rack", info.Rack), zap.Strings("labels", info.Labels), zap.Int64("born", info.Born))
		c.addWorker(info)
		c.waiting = true
		return
	}
	if info.Born != 0 && w.info.Born != 0 && info.Born < w.info.Born {
		return // an entry of a former life
	}
	if w.info.Born != 0 && info.Born != 0 && info.Born != w.info.Born {
		c.newLife(w, "entry")
	}
	if info.Draining && !w.info.Draining {
		c.log.Info("worker leaves", zap.String("worker", info.ID), zap.Duration("remaining", info.Remaining))
	}
	if w.info.Address != info.Address {
		w.dead = false
	}
	draining := w.info.Draining && info.Born == w.info.Born
	w.info, w.listed = info, true
	w.info.Draining = info.Draining || draining
}

func (c *Cell) workerUnlisted(w *worker) {
	w.listed = false
	c.log.Info("worker gone from the list", zap.String("worker", w.info.ID), zap.Int("runs", len(w.runs)),
		zap.Duration("lapsed_in", w.lapsed-c.now))
	if len(w.runs) == 0 {
		c.forgetWorker(w)
	}
}

// newLife gives up everything of a worker's former life.
func (c *Cell) newLife(w *worker, seenBy string) {
	c.log.Info("worker started anew", zap.String("worker", w.info.ID), zap.String("seen_by", seenBy), zap.Int("runs", len(w.runs)))
	for _, r := range w.sortedRuns() {
		c.loseRun(r, "new_life")
	}
	w.fenced, w.hasTime, w.dead, w.failing = false, false, false, 0
	w.seen, w.stored, w.granted, w.nextHold = 0, 0, 0, c.now
	w.lapsed = max(c.now, c.forgotten)
	w.info.Draining = false
}
