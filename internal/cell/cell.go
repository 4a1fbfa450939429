package cell

import (
	"sort"
	"time"

	"github.com/google/btree"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/cpuinterference"
	"cactuswall.example/cactuswall/internal/drain"
	"cactuswall.example/cactuswall/internal/evacuation"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/overload"
	"cactuswall.example/cactuswall/internal/quarantine"
	"cactuswall.example/cactuswall/internal/queue"
	"cactuswall.example/cactuswall/internal/urgency"
)

// Settings are the configurable limits of a cell.
type Settings struct {
	MaxLease        time.Duration // length of the leases on workers, which is also the longest that a worker accepts
	StatusRetention time.Duration // how long the state of an ended job is kept
	MaxRecordBytes  int           // largest record that the store takes, with its key; 0 for no limit
	MaxOverTarget   time.Duration // longest time without a break that a service may be over its latency target; 0 for no limit
	// MaxEvacuationAge is the longest time since the evacuated failure domains were confirmed after which tasks may be started; 0
	// for no limit.
	MaxEvacuationAge time.Duration
	// RemoteRackFactor is how many times as long a task takes on another rack than that of its data, and a gang that is
	// sensitive to racks on several. Up to 1, racks make no difference, and no task waits for one.
	RemoteRackFactor float64
}

// Cell is the in-memory state of one cell while this process owns it. It is not safe for concurrent use.
//
// Points in time of type time.Duration are readings of a local clock that keeps running during system suspend, unless
// the field says that they are on the worker's clock; 0 means never. Fields that end in MS are Unix milliseconds.
type Cell struct {
	settings Settings
	epoch    int64 // of this owner; part of its fencing tokens
	// number is the number of the cell, and cellCount that of the cells that exist.
	number, cellCount int
	inactive          bool // see SetActive
	log               *zap.Logger
	metrics           *Metrics
	config            *queue.Config // nil until SetConfig is called
	jobs              map[jobs.ID]*job
	// foreign holds the jobs that belong to other cells.
	foreign map[jobs.ID]*foreignJob
	// guests are the jobs of other cells of which tasks belong to this one.
	guests map[jobs.ID]*job
	// tasksElsewhere are the assignments of tasks that SetTasks was last called with.
	tasksElsewhere map[string]cellmap.TaskAssignment
	// loaded is set by Load, at loadedAt. Until then workers are only told the fencing token and their leases renewed,
	// since it is not known what should run on them.
	loaded   bool
	loadedAt time.Duration
	// earlyCancels holds the cancellations of jobs that have not been added yet.
	earlyCancels map[jobs.ID]bool
	workers      map[string]*worker
	workersByID  []*worker // sorted by ID; nil when it has to be rebuilt
	health       *quarantine.Table
	// interference estimates how much best-effort tasks slow down services on the same worker.
	interference        *cpuinterference.Learner
	interferenceSavedAt time.Duration // when a snapshot of interference was last stored
	relocationCheckedAt time.Duration // when relocate last ran
	// formerLeasesEnd is when every lease that a former owner extended has expired on all workers.
	formerLeasesEnd time.Duration
	// formerLeases are the leases as the former owner knows them, and those on workers that were removed under this owner. Where
	// they say nothing, formerLeasesEnd holds.
	formerLeases LeaseEnds
	// leaseLimit is the time by which the leases that this owner extends may end, see setLeaseLimit. stated are the workers, by ID,
	// whose leases it may not extend.
	leaseLimit time.Duration
	stated     map[string]statedLease
	// evacuations are the evacuated failure domains, nil for none. withheldSince is since when rounds have placed nothing because
	// they were not confirmed, or 0.
	evacuations   *evacuation.View
	withheldSince time.Duration
	// needsPlacement is set when the next Plan has to look for workers for waiting tasks.
	needsPlacement bool
	// load limits start and renewal orders to what the owner has processor time for; unansweredStarts is the number of
	// start orders without a call of StartAnswered.
	load    *overload.Controller
	backlog urgency.Backlog
	// newestJobAt is when the newest job was added.
	newestJobAt time.Duration
	// shares accounts for late work among other work.
	shares urgency.Shares
	// drain measures how waiting work is begun, and shapes are the capacities of all workers seen, by service.
	drain            *drain.Meter
	shapes           map[string][]jobs.Resources
	unansweredStarts int
	nextRetry        time.Duration // when placement is tried again; 0 if no retry is due
	// dirtyGroups and dirtyJobs have changes that are not stored yet.
	dirtyGroups   []*group
	dirtyJobs     []*job
	deletions     []string // keys of progress records that the next round deletes
	pendingStarts []*run   // placed runs that the next round stores, to be started then
	groupCount    int      // number of groups that were created
	taskCount     int      // number of tasks in memory
	// waiting contains the ready groups with tasks to start, of jobs that may still run. It may contain others, which
	// the next placement removes. It is in the order of the newest placement round.
	waiting      []*group
	reports      int64 // number of reports whose runs were compared to the known ones
	due          dueQueue
	view         placementView // memory of newPlacementView
	rackDelay    rackDelay
	unopenedJobs []*job // jobs with occurrences that were not opened
	// nextOccurrence is at or before the wall time when the next occurrence of unopenedJobs is due, apart from those that are held
	// back. If any is, this is checked again at heldBackUntil.
	nextOccurrence time.Time
	heldBackUntil  time.Duration
	// sharers is the number of bounded jobs that had occurrences to open when this was last checked.
	sharers int
	// largeTasks is the number of tasks of large jobs in memory. largeHeldBack is set once one was held back in the present check, in
	// which needsMet are the results of hasWorkerFor.
	needsMet         map[workerNeed]bool
	largeTasks       int
	largeHeldBack    bool
	endedLarge       []*job              // large jobs that have ended and whose groups are to be removed
	toClose          []occurrence        // of bounded jobs; they have ended
	dirtyOccurrences []*job              // jobs whose closed occurrences have to be stored
	endedJobs        *btree.BTreeG[*job] // jobs whose outcome is stored, by endedBefore
	now              time.Duration       // current reading of the local clock, set by SetTime
	wall             time.Time           // current wall time, set by SetTime
	roundTime        time.Duration       // set by SetRoundTime
	stragglers       stragglers
	auditor          auditor
	// storing is the round that is being stored; nil if none is.
	storing *Round
	// plannedRounds is the number of calls of Plan, and storedRound the number of the newest round that was stored.
	plannedRounds, storedRound int
}

// probeBackoff holds the time from the quarantine of a worker to its first probe and the longest time between two
// probes. Both are short: worker faults usually pass within seconds, and until it is probed, a quarantined worker stays
// empty while tasks wait.
var probeBackoff = quarantine.ProbeBackoff{First: 2 * time.Second, Max: 30 * time.Second}

// endedJobsDegree is the degree of the tree of ended jobs.
const endedJobsDegree = 32

// New returns an empty cell for a new owner: cell 0, unless SetCell names another. epoch is the owner's epoch, and
// formerLeasesEnd is when all leases from former owners have expired.
func New(s Settings, epoch int64, formerLeasesEnd time.Duration, log *zap.Logger, metrics *Metrics) *Cell {
	return &Cell{
		settings: s, epoch: epoch, cellCount: 1, formerLeasesEnd: formerLeasesEnd, log: log, metrics: metrics,
		formerLeases: LeaseEnds{Others: formerLeasesEnd, Workers: make(map[string]WorkerLease)},
		leaseLimit:   noLeaseLimit, stated: make(map[string]statedLease),
		jobs: make(map[jobs.ID]*job), foreign: make(map[jobs.ID]*foreignJob), guests: make(map[jobs.ID]*job), earlyCancels: make(map[jobs.ID]bool), workers: make(map[string]*worker),
		load: overload.NewController(), health: quarantine.NewTable(probeBackoff), interference: cpuinterference.NewLearner(),
		needsMet: make(map[workerNeed]bool), endedJobs: btree.NewG(endedJobsDegree, endedBefore), drain: drain.NewMeter(), shapes: make(map[string][]jobs.Resources), stragglers: newStragglers(),
	}
}

// SetTime sets the current time for the calls that follow: now is the reading of a local clock that keeps running
// during system suspend, wall the wall time.
func (c *Cell) SetTime(now time.Duration, wall time.Time) { c.now, c.wall = now, wall }

// ObserveDelay records by how much the owner's process delays orders and their answers. The owner calls it in each
// iteration of its loop. While the delay is long, workers are asked less often for reports and fewer tasks are started.
func (c *Cell) ObserveDelay(delay time.Duration) { c.load.Observe(delay, c.now) }

// SetRoundTime sets how long it takes from the Plan of a round until the owner handles the result of storing it. It is
// logged with waiting tasks.
func (c *Cell) SetRoundTime(d time.Duration) { c.roundTime = d }

// SetSettings replaces the settings. They apply from the next call on.
func (c *Cell) SetSettings(s Settings) { c.settings = s }

// SetConfig replaces the queue configuration, which maps each queue to the platform service whose workers run its jobs,
// and has waiting tasks placed again.
func (c *Cell) SetConfig(config *queue.Config) {
	c.config = config
	c.needsPlacement = true
}

// addJob adds a job that was read from the jobs topic; key is the key of its record there. Only the first record of a
// job ID is used. Of a duplicate only the key is kept, so that the record is deleted with the job.
func (c *Cell) addJob(id jobs.ID, key string, record jobrecord.Job) {
	if j := c.jobs[id]; j != nil {
		c.metrics.DuplicateJobs.Inc()
		j.addKey(key)
		return
	}
	j := &job{
		id: id, record: record, recordKeys: []string{key}, groups: make(map[jobs.GroupID]*group),
		criticalPath: criticalPaths(&record.Spec), addedAt: c.now, bounded: isBounded(&record.Spec),
		large: isLarge(&record.Spec),
	}
	j.estimate()
	c.jobs[id], c.newestJobAt = j, c.now
	c.auditor.jobs = append(c.auditor.jobs, j)
	if c.earlyCancels[id] {
		delete(c.earlyCancels, id)
		j.cancelled = true
	}
	limited := j.bounded || j.large
	if !limited { // the others are opened by Tick, after their progress is loaded
		c.openDue(j)
	}
	if limited || record.Spec.OccurrenceCount > 0 {
		c.unopenedJobs = append(c.unopenedJobs, j)
		c.nextOccurrence = time.Time{} // the next walk computes it
	}
	c.log.Info("job added", zap.String("job", string(id)), zap.String("queue", record.Queue),
		zap.Int("steps", len(record.Spec.Steps)), zap.Strings("needs", stepSummaries(&record.Spec)),
		zap.Int64("received_ms", record.ReceivedMS), zap.Int("occurrences", record.Spec.OccurrenceCount))
}

// ensureGroup returns a group of a job, creating it if it does not exist. Tasks of another cell's job belong there until they are
// assigned to this cell.
func (c *Cell) ensureGroup(j *job, id jobs.GroupID) *group {
	if g := j.groups[id]; g != nil {
		return g
	}
	step := &j.record.Spec.Steps[id.Step]
	g := &group{id: id, job: j, step: step, unfinished: step.Count, toStart: step.Count, tasks: make([]*task, step.Count), dirtyParts: make([]bool, partCount(step.Count)),
		nextGangRun: 1, sequence: c.groupCount, receivedAt: receivedAt(j, id.Occurrence)}
	c.groupCount++
	tasks := make([]task, step.Count)
	for i := range g.tasks {
		tasks[i] = task{id: id.Task(i), group: g, elsewhere: j.guest}
		g.tasks[i] = &tasks[i]
	}
	if j.guest {
		g.toStart = 0
	}
	j.groups[id] = g
	j.groupList = append(j.groupList, g)
	c.countTasks(j, len(g.tasks))
	return g
}

// markReady marks the groups of an occurrence as ready to run if their dependencies are all done.
func (c *Cell) markReady(j *job, occurrence int) {
	for step := range j.record.Spec.Steps {
		g := j.groups[jobs.GroupID{Job: j.id, Occurrence: occurrence, Step: step}]
		if g != nil && !g.ready && c.dependenciesDone(g) {
			c.setReady(g)
		}
	}
}

// setReady marks a group as ready to run.
func (c *Cell) setReady(g *group) {
	g.ready, g.readyAt = true, c.now
	for _, t := range g.tasks {
		t.waitingSince = c.now
	}
	c.addWaiting(g)
	c.needsPlacement = true
}

// dependenciesDone reports whether the steps that the group's step depends on are done in the same occurrence.
func (c *Cell) dependenciesDone(g *group) bool {
	for _, dep := range g.step.DependsOn {
		depGroup := g.job.groups[jobs.GroupID{Job: g.id.Job, Occurrence: g.id.Occurrence, Step: dep}]
		if depGroup == nil || depGroup.unfinished > 0 {
			return false
		}
	}
	return true
}

// cancel applies a cancellation that was read from the jobs topic: it ends the job and has its runs stopped. For a job
// that has not been added yet the cancellation is kept until then. A job that has ended keeps its outcome.
func (c *Cell) cancel(id jobs.ID) {
	j := c.jobs[id]
	if f := c.foreign[id]; f != nil {
		f.cancelled = true
		if j == nil {
			return
		}
	}
	if j == nil {
		c.earlyCancels[id] = true
		return
	}
	if j.cancelled || j.ended {
		j.cancelled = j.cancelled || j.endStored // see CancelledElsewhere
		return
	}
	j.cancelled = true
	c.log.Info("job cancelled", zap.String("job", string(id)))
	c.endJob(j, jobs.Cancelled)
	c.stopJobRuns(j, stopJobCancelled)
}

// endJob ends a job with the given outcome. Status returns the outcome once it is stored.
func (c *Cell) endJob(j *job, state jobs.State) {
	if j.ended {
		return
	}
	j.ended, j.outcome, j.endedAtMS = true, state, c.wall.UnixMilli()
	c.markJobDirty(j)
	for id := range j.groups {
		c.interference.Forget(jobrecord.GroupKey(id))
	}
	c.log.Info("job ended", zap.String("job", string(j.id)), zap.Stringer("state", state),
		zap.Duration("after", c.now-j.addedAt))
}

// stopJobRuns has all runs of a job stopped.
func (c *Cell) stopJobRuns(j *job, reason stopReason) {
	for _, g := range j.groups {
		for _, t := range g.tasks {
			for _, r := range t.runs {
				c.stopRun(r, reason)
			}
		}
	}
}

// stopRun requests that a run be stopped. A run without a start order is removed at once.
func (c *Cell) stopRun(r *run, reason stopReason) {
	if r.stopRequested {
		return
	}
	r.stopRequested, r.stopReason = true, reason
	r.worker.mayHaveUnresolved = true
	r.worker.touch()
	if r.state == runPlaced {
		c.removeRun(r)
	}
}

// removeRun removes a run that is not running and cannot start any more, and releases its resources. If the task is not
// done, it waits for placement again.
func (c *Cell) removeRun(r *run) {
	t := r.task
	r.worker.deleteRun(r)
	r.worker.settledRound, t.settledRound = c.plannedRounds+1, c.plannedRounds+1
	if !t.done && len(t.runs) == 0 {
		t.waitingSince = c.now
	}
	if j := t.group.job; j.runs == 0 && r.runningSince > 0 && !r.stopRequested {
		j.idleSince = c.now
	}
	c.addWaiting(t.group)
	c.needsPlacement = true
	c.markTaskDirty(t)
}

func (c *Cell) markJobDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirtyJobs = append(c.dirtyJobs, j)
	}
}

// Tick performs the actions that depend on time alone: it opens the occurrences that have become due,
// abandons the runs of workers whose leases have expired and requests placement if a retry is due. The owner calls it
// before TakeOrders and Plan.
func (c *Cell) Tick() {
	c.openAllDue()
	c.expireLeases()
	if c.nextRetry != 0 && c.now >= c.nextRetry {
		c.nextRetry, c.needsPlacement = 0, true
	}
}

// Status returns the state of a job. The outcome of a job that has ended is returned only once it is stored. known is
// false for a job that was not added or was deleted after Settings.StatusRetention.
func (c *Cell) Status(id jobs.ID) (state jobs.State, known bool) {
	j := c.jobs[id]
	switch {
	case j == nil:
		return jobs.Queued, false
	case j.ended && j.endStored:
		return j.outcome, true
	case j.cancelled:
		return jobs.Cancelled, true
	case j.started:
		return jobs.Running, true
	}
	return jobs.Queued, true
}

// PendingJobs returns, by queue name, the number of jobs that have neither ended nor been cancelled and of which no
// task is known to have run: start orders may be refused.
func (c *Cell) PendingJobs() map[string]int {
	pending := make(map[string]int)
	for _, j := range c.jobs {
		if j.live() && !j.begun {
			pending[j.record.Queue]++
		}
	}
	return pending
}

// sortedWorkers returns the workers sorted by ID. The slice is cached until a worker is added or removed.
func (c *Cell) sortedWorkers() []*worker {
	if c.workersByID == nil {
		c.workersByID = make([]*worker, 0, len(c.workers))
		for _, w := range c.workers {
			c.workersByID = append(c.workersByID, w)
		}
		sort.Slice(c.workersByID, func(i, j int) bool { return c.workersByID[i].info.ID < c.workersByID[j].info.ID })
	}
	return c.workersByID
}

// WorkerCount returns the number of workers, those included that are no longer registered but may still run a task.
func (c *Cell) WorkerCount() int { return len(c.workers) }

func (c *Cell) removeWorker(w *worker) {
	c.keepLease(w)
	delete(c.workers, w.info.ID)
	c.health.RemoveWorker(w.info.ID)
	w.due.removed = true
	w.touch()
	c.workersByID = nil
}
