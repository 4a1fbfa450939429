package cell

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/cpuinterference"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

// ApplyJobRecord processes a record of the jobs topic: a job or a cancellation. Of jobs that belong to other cells only
// the cell is kept. Deletions of the cell's own jobs are ignored. Records have to be passed in the order of their offsets. After Load, the owner passes each record that was stored later.
func (c *Cell) ApplyJobRecord(r store.Record) {
	kind, id := jobrecord.ParseKey(r.Key)
	switch {
	case kind == jobrecord.KindJob && len(r.Value) == 0:
		delete(c.foreign, id.Job)
	case kind == jobrecord.KindJob && c.isForeign(id.Job, r):
	case kind == jobrecord.KindJob:
		record, err := decodeJob(r.Value)
		if err != nil {
			c.skipUnreadable(r, err)
			return
		}
		c.addJob(id.Job, r.Key, *record)
	case kind == jobrecord.KindCancel && len(r.Value) > 0:
		c.cancel(id.Job)
	case kind == jobrecord.KindUnknown:
		c.skipUnreadable(r, nil)
	}
}

// decodeJob decodes and checks the record of a job. A job that cannot have been accepted is as unreadable as one that cannot
// be decoded: it must not reach the tables, whose code relies on what was checked.
func decodeJob(value []byte) (*jobrecord.Job, error) {
	var record jobrecord.Job
	if err := recordcodec.Decode(value, &record); err != nil {
		return nil, err
	}
	return &record, record.Spec.Validate()
}

// skipUnreadable logs and counts a record that could not be decoded or does not fit its job. err is nil if the cause is
// not a decoding error.
func (c *Cell) skipUnreadable(r store.Record, err error) {
	c.metrics.UnreadableRecords.Inc()
	c.log.Warn("skipping unreadable record", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
}

// Load restores the state that former owners stored. jobRecords are the newest records of the jobs topic, which Load
// sorts by offset in place; progress are those of the progress topic. It is called once, after the first call of
// SetWorkers. Outcomes are loaded before cancellations, so that a job that ended before it was cancelled keeps its
// outcome. All workers are ordered to report again, since earlier reports were not compared with the state.
func (c *Cell) Load(jobRecords, progress []store.Record) {
	c.loaded, c.loadedAt = true, c.now
	for _, w := range c.workers {
		w.nextRenewal = c.now
		w.touch()
	}
	sort.SliceStable(jobRecords, func(i, j int) bool { return jobRecords[i].Offset < jobRecords[j].Offset })
	recorded := make(map[jobs.ID]bool)
	for _, r := range jobRecords {
		if kind, id := jobrecord.ParseKey(r.Key); kind == jobrecord.KindJob {
			recorded[id.Job] = true
			c.ApplyJobRecord(r)
		}
	}
	c.applyTasks(true)
	var groups storedGroups
	for _, r := range progress {
		c.loadProgress(r, recorded, &groups)
	}
	for _, id := range groups.ids {
		c.loadGroup(id, &groups)
	}
	for _, r := range jobRecords {
		if kind, _ := jobrecord.ParseKey(r.Key); kind != jobrecord.KindJob {
			c.ApplyJobRecord(r)
		}
	}
	for _, j := range c.jobs {
		c.resumeJob(j)
	}
}

// loadProgress loads a progress record; those of groups are collected. recorded contains the jobs that have a record, readable or
// not.
func (c *Cell) loadProgress(r store.Record, recorded map[jobs.ID]bool, groups *storedGroups) {
	if len(r.Value) == 0 {
		return
	}
	kind, id := jobrecord.ParseKey(r.Key)
	j := c.jobs[id.Job]
	switch {
	case kind == jobrecord.KindOutcome && j != nil:
		var outcome jobrecord.Outcome
		if err := recordcodec.Decode(r.Value, &outcome); err != nil {
			c.skipUnreadable(r, err)
			return
		}
		j.ended, j.outcome, j.endedAtMS = true, outcome.State, outcome.AtMS
		c.markEndStored(j)
	case kind == jobrecord.KindGroup && j != nil:
		if err := groups.add(id, r); err != nil {
			c.skipUnreadable(r, err)
		}
	case kind == jobrecord.KindOccurrences && j != nil:
		c.loadOccurrences(j, r)
	case (kind == jobrecord.KindOutcome || kind == jobrecord.KindGroup || kind == jobrecord.KindOccurrences) && !recorded[id.Job]:
		// Job records are deleted before progress records, so a former owner was deleting this job.
		c.deletions = append(c.deletions, r.Key)
	case r.Key == jobrecord.InterferenceKey:
		var snapshot cpuinterference.Snapshot
		if err := recordcodec.Decode(r.Value, &snapshot); err != nil {
			c.skipUnreadable(r, err)
			return
		}
		c.interference.Restore(snapshot)
	default: // an unknown kind of key, or progress of a job that has a record but was not added
		c.skipUnreadable(r, nil)
	}
}

// loadGroup restores the progress of a group and its runs. Records that do not fit the steps of the job are skipped.
func (c *Cell) loadGroup(id jobs.GroupID, stored *storedGroups) {
	j := c.jobs[id.Job]
	if j.closed.contains(id.Occurrence) { // the records of a former owner's last round were not all stored
		for _, part := range stored.records[id] {
			c.deletions = append(c.deletions, part.key)
		}
		return
	}
	tasks := 0
	if id.Step < len(j.record.Spec.Steps) {
		tasks = j.record.Spec.Steps[id.Step].Count
	}
	record, unfit := stored.merge(id, tasks)
	for _, part := range unfit {
		c.skipUnreadable(store.Record{Key: part.key, Offset: part.offset}, nil)
	}
	if len(unfit) == len(stored.records[id]) {
		return
	}
	g := c.ensureGroup(j, id)
	for _, part := range stored.records[id] {
		g.noteKey(part.key)
	}
	g.nextGangRun, g.unfinished, g.toStart = record.NextRun, 0, 0
	for i := range record.Tasks {
		stored := &record.Tasks[i]
		t := g.tasks[i]
		t.done, t.failures = stored.Done, stored.Failures
		if stored.LastRun >= t.lastRunNumber { // otherwise the task came from another cell later
			t.lastRunNumber, t.checkpoint = stored.LastRun, stored.Checkpoint
		}
		if !t.done {
			g.unfinished++
		}
		j.begun = j.begun || t.done || t.failures > 0 || t.checkpoint != ""
		if t.needsRun() {
			g.toStart++
		}
		if t.lastRunNumber > 0 {
			g.started, j.started = true, true
		}
		for _, storedRun := range stored.Runs {
			c.loadRun(t, storedRun)
		}
		t.resumeSeries()
	}
}

// loadRun restores a run that a former owner may have started. The run is uncertain until its worker reports.
func (c *Cell) loadRun(t *task, stored jobrecord.Run) {
	w := c.workers[stored.Worker]
	if w == nil {
		w = c.addWorker(workercall.Worker{ID: stored.Worker, Service: t.group.job.record.Service})
		w.listed = false // addRun touches the worker
	}
	r := &run{
		task: t, number: stored.Number, worker: w, incarnation: stored.WorkerStartedAtMS, state: runUncertain, stateSince: c.now,
		pace: fullPace,
	}
	if t.group.step.BestEffort {
		r.pace = unknownPace
	}
	w.addRun(r)
	c.copyLoaded(r)
}

// resumeJob marks the steps of a loaded job as ready if their dependencies are done. If the job has ended or was
// cancelled, resumeJob has the remaining runs stopped. Otherwise resumeJob ends the job if a task has used all its
// attempts or all tasks are done.
func (c *Cell) resumeJob(j *job) {
	c.resumeOccurrences(j)
	if j.ended || j.cancelled {
		// stopJobCancelled is also the reason if the job has completed or failed.
		c.stopJobRuns(j, stopJobCancelled)
		return
	}
	for _, g := range j.groups {
		c.failJobIfExhausted(g)
	}
	c.completeJobIfDone(j)
}

// fullPace is the pace of a run without a pace order, in percent.
const fullPace = 100

// addWorker adds a worker that has an entry in the store or to which a stored run refers. Until the worker reports, its
// lease is assumed to last for as long as former owners may have extended it.
func (c *Cell) addWorker(info workercall.Worker) *worker {
	w := &worker{info: info, listed: true, runs: make(map[workercall.Run]*run), due: dueState{queue: &c.due}, handedOver: c.loaded && info.Assignment > 0}
	w.touch()
	w.setCold(c.now + info.ColdLeft)
	w.formerLeaseEnd, w.failureRate = c.formerLeaseEnd(info.ID, info.StartedAtMS), c.health.FailureRate(info.ID)
	w.leaseExpiresBy = w.formerLeaseEnd
	c.workers[info.ID] = w
	c.workersByID = nil
	return w
}

// SetWorkers updates the workers from the complete list of their entries in the store. A worker without an entry gets
// no more tasks and is removed once it has no runs.
func (c *Cell) SetWorkers(list []workercall.Worker) {
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
	c.health.SetWorkerCount(len(list))
}

// workerListed adds or updates the worker of an entry in the store.
func (c *Cell) workerListed(info workercall.Worker) {
	c.noteShape(&info)
	w := c.workers[info.ID]
	if w == nil {
		c.log.Info("worker registered", zap.String("worker", info.ID), zap.String("domain", info.FailureDomain),
			zap.String("rack", info.Rack), zap.Strings("labels", info.Labels), zap.Int64("born", info.StartedAtMS))
		c.addWorker(info)
		c.needsPlacement = true
		return
	}
	if info.StartedAtMS != 0 && w.info.StartedAtMS != 0 && info.StartedAtMS < w.info.StartedAtMS {
		return // an entry of an earlier incarnation
	}
	if w.info.StartedAtMS != 0 && info.StartedAtMS != 0 && info.StartedAtMS != w.info.StartedAtMS {
		c.handleNewIncarnation(w, "entry")
	}
	if info.Draining && !w.info.Draining {
		c.log.Info("worker draining", zap.String("worker", info.ID), zap.Duration("remaining", info.TimeToShutdown))
	}
	if w.info.Address != info.Address {
		w.dead = false // the other incarnation answered at the former address
	}
	w.touch()
	// An incarnation that was draining stays so, even if a later entry does not say so.
	draining := w.info.Draining && info.StartedAtMS == w.info.StartedAtMS
	c.observeCold(w, &info)
	c.learnIncarnation(w, info.StartedAtMS)
	w.info, w.listed = info, true
	if w.entryOutdated {
		w.entryOutdated, c.needsPlacement = false, true
	}
	w.info.Draining = info.Draining || draining
}

// workerUnlisted handles a worker whose entry is no longer in the store.
func (c *Cell) workerUnlisted(w *worker) {
	w.listed = false
	w.touch()
	c.log.Info("worker no longer registered", zap.String("worker", w.info.ID), zap.Int("runs", len(w.runs)),
		zap.Duration("lapsed_in", w.leaseExpiresBy-c.now))
	if len(w.runs) == 0 {
		c.removeWorker(w)
	}
}

// handleNewIncarnation abandons the runs that a worker which has restarted had reported, and resets the worker's state.
// The orders for the others may have reached the new incarnation: those without an answer are stopped there, the others
// are kept until it reports. seenBy says for the log how the restart was noticed: by an entry in the store, a report or a
// refusal.
func (c *Cell) handleNewIncarnation(w *worker, seenBy string) {
	c.log.Info("worker restarted", zap.String("worker", w.info.ID), zap.String("seen_by", seenBy), zap.Int("runs", len(w.runs)))
	leaseExpiresBy := max(c.now, c.formerLeasesEnd)
	for _, r := range w.sortedRuns() {
		switch {
		case r.state == runPlaced || r.listedIn > 0 && !r.startInDoubt:
			c.abandonRun(r, "new_life")
			continue
		case r.state == runStartSent || r.startInDoubt:
			c.doubtRun(r)
		default:
			r.awaitReport(c.now)
		}
		leaseExpiresBy = max(leaseExpiresBy, claim.LeasesExpiredBy(c.now, min(c.settings.MaxLease, claim.MaxGrantedLease)))
	}
	w.tokenAccepted, w.clockKnown, w.reconciled, w.dead, w.failingSince = false, false, false, false, 0
	w.lastEndSeen, w.lastEndStored, w.lastEndAcked, w.ackInFlight, w.heldEnds = 0, 0, 0, 0, nil
	w.unansweredStarts, w.silent = 0, false
	w.grantedUntil, w.inheritedEnd, w.nextRenewal = 0, 0, c.now
	c.health.RemoveWorker(w.info.ID) // the failures were those of the former incarnation
	w.failureRate, w.lastFailure = 0, 0
	w.forgetSpeed()
	w.leaseExpiresBy, w.leaseExpired = leaseExpiresBy, false
	w.formerLeaseEnd, w.restarted = c.formerLeasesEnd, true
	w.touch()
	w.info.Draining = false
}

// awaitReport keeps a run whose start order was answered, or was sent by a former owner, until the next incarnation of its
// worker reports: either that incarnation got the order, or the run ended with the former one.
func (r *run) awaitReport(now time.Duration) {
	r.incarnation, r.startRuledOut, r.stopInFlight, r.stopSentAt = 0, r.attempts > 0, false, 0
	r.setState(runUncertain, now)
}

// doubtRun has a run whose start order may reach the next incarnation of its worker stopped there, at once or when the
// order in flight remains unanswered.
func (c *Cell) doubtRun(r *run) {
	r.incarnation, r.startInDoubt, r.startRuledOut, r.stopInFlight, r.stopSentAt = 0, true, false, false, 0
	r.attempts = maxStartAttempts
	if r.state != runStartSent {
		r.setState(runUncertain, c.now)
		c.stopRun(r, stopRunUnknown)
	}
}

// ofFormerIncarnation reports whether the worker has restarted after the run's start order was created.
func (r *run) ofFormerIncarnation() bool { return r.startInDoubt && r.incarnation == 0 }
