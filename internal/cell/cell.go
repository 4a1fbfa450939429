package cell

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/pressure"
	"cactuswall.example/cactuswall/internal/quarantine"
	"cactuswall.example/cactuswall/internal/queue"
	"cactuswall.example/cactuswall/internal/workercall"
)

// Settings are the bounds that a cell keeps.
type Settings struct {
	MaxHold    time.Duration // longest lease that workers grant
	KeepStatus time.Duration // how long ended jobs are kept
	Harm       time.Duration // for how long a service may be over its target on end
}

// Cell is the state of one cell while this process owns it. It is used by one goroutine at a time.
//
// Times are durations on a clock that counts suspension; wall times are Unix milliseconds.
type Cell struct {
	settings Settings
	token    int64
	log      *zap.Logger
	counts   *Counts
	config   *queue.Config
	jobs     map[jobs.ID]*job
	// early holds cancellations of jobs that are not known yet.
	early   map[jobs.ID]bool
	workers map[string]*worker
	sorted  []*worker // by ID; nil after a change
	health  *quarantine.Table
	// pressures is what is known of the disturbance of services.
	pressures *pressure.Learner
	kept      time.Duration // when it was stored last
	relocated time.Duration // when crawling runs were looked for last
	// forgotten is when leases that former owners extended have lapsed everywhere.
	forgotten time.Duration
	// waiting is set when a task may be waiting for room.
	waiting bool
	retry   time.Duration
	// dirtyGroups and dirtyJobs must be written.
	dirtyGroups []*group
	dirtyJobs   []*job
	deletions   []string
	starts      []*run
	open        []*group // groups with tasks that are not done, of live jobs
	scheduled   []*job   // live jobs with occurrences that are not open yet
	now         time.Duration
	wall        time.Time
}

// probes are short: the troubles of the platform's workers pass within seconds, and a worker that is not tried stays
// empty while tasks wait.
var probes = quarantine.Probes{First: 2 * time.Second, Longest: 30 * time.Second}

// New returns the cell of a new owner with a token. forgotten is when all leases of former owners have lapsed.
func New(s Settings, token int64, forgotten time.Duration, log *zap.Logger, counts *Counts) *Cell {
	return &Cell{
		settings: s, token: token, forgotten: forgotten, log: log, counts: counts,
		jobs: make(map[jobs.ID]*job), early: make(map[jobs.ID]bool), workers: make(map[string]*worker),
		health: quarantine.NewTable(probes), pressures: pressure.NewLearner(),
	}
}

// At sets the time for the calls that follow.
func (c *Cell) At(now time.Duration, wall time.Time) { c.now, c.wall = now, wall }

// SetSettings puts changed bounds in force.
func (c *Cell) SetSettings(s Settings) { c.settings = s }

// SetConfig puts a configuration in force.
func (c *Cell) SetConfig(config *queue.Config) {
	c.config = config
	c.waiting = true
}

// AddJob takes in an accepted job that is stored under a key. The first one of an ID wins; later copies change nothing.
func (c *Cell) AddJob(id jobs.ID, key string, record jobrecord.Job) {
	if j := c.jobs[id]; j != nil {
		c.counts.DuplicateJobs.Inc()
		j.addKey(key)
		return
	}
	j := &job{
		id: id, record: record, keys: []string{key}, groups: make(map[jobs.GroupID]*group),
		chain: chains(&record.Spec), arrived: c.now,
	}
	j.size()
	c.jobs[id] = j
	if c.early[id] {
		delete(c.early, id)
		j.cancelled = true
	}
	c.openOccurrences(j)
	if record.Spec.Times > 0 {
		c.scheduled = append(c.scheduled, j)
	}
	c.log.Info("job taken in", zap.String("job", string(id)), zap.String("queue", record.Queue),
		zap.Int("steps", len(record.Spec.Steps)), zap.Strings("needs", summaries(&record.Spec)),
		zap.Int64("received_ms", record.ReceivedMS), zap.Int("occurrences", record.Spec.Times))
}

// loggedSteps bounds the steps that are described in a log line; most jobs have fewer.
const loggedSteps = 6

// summaries describes the first steps of a job for logs.
func summaries(s *jobs.Spec) []string {
	described := make([]string, 0, min(loggedSteps, len(s.Steps)))
	for i := range s.Steps[:min(loggedSteps, len(s.Steps))] {
		described = append(described, s.Steps[i].Summary())
	}
	return described
}

// chains returns the estimated time of the longest chain from each step on.
func chains(s *jobs.Spec) []time.Duration {
	chain := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		chain[i] += s.Steps[i].Estimate
		for _, earlier := range s.Steps[i].After {
			chain[earlier] = max(chain[earlier], chain[i])
		}
	}
	return chain
}

// size works out the job's objective and its work.
func (j *job) size() {
	whole := time.Duration(0)
	for step, chain := range j.chain {
		whole = max(whole, chain)
		s := &j.record.Spec.Steps[step]
		j.work += float64(s.Count) * float64(s.Request.MilliCPU) * s.Estimate.Seconds()
	}
	j.objective = time.Duration(float64(whole)*j.record.Stretch) + time.Duration(j.record.LatencyMS)*time.Millisecond
}

// openOccurrences makes the groups of the occurrences that are due.
func (c *Cell) openOccurrences(j *job) {
	for j.opened < j.record.Spec.Occurrences() {
		due := j.record.Spec.Due(j.opened)
		if !due.IsZero() && c.wall.Before(due) {
			return
		}
		for step := range j.record.Spec.Steps {
			c.group(j, jobs.GroupID{Job: j.id, Occurrence: j.opened, Step: step})
		}
		occurrence := j.opened
		j.opened++
		c.markReady(j, occurrence)
	}
}

// group returns a group of a job and makes it if need be.
func (c *Cell) group(j *job, id jobs.GroupID) *group {
	if g := j.groups[id]; g != nil {
		return g
	}
	step := &j.record.Spec.Steps[id.Step]
	g := &group{id: id, job: j, step: step, left: step.Count, tasks: make([]*task, step.Count), nextRun: 1}
	for i := range g.tasks {
		g.tasks[i] = &task{id: id.Task(i), group: g}
	}
	j.groups[id] = g
	c.open = append(c.open, g)
	return g
}

// markReady finds the groups of an occurrence whose earlier steps are all done.
func (c *Cell) markReady(j *job, occurrence int) {
	for step := range j.record.Spec.Steps {
		g := j.groups[jobs.GroupID{Job: j.id, Occurrence: occurrence, Step: step}]
		if g == nil || g.ready || !c.earlierDone(g) {
			continue
		}
		g.ready, g.readyAt = true, c.now
		for _, t := range g.tasks {
			t.waiting = c.now
		}
		c.waiting = true
	}
}

func (c *Cell) earlierDone(g *group) bool {
	for _, earlier := range g.step.After {
		e := g.job.groups[jobs.GroupID{Job: g.id.Job, Occurrence: g.id.Occurrence, Step: earlier}]
		if e == nil || e.left > 0 {
			return false
		}
	}
	return true
}

// Cancel takes in a stored cancellation.
func (c *Cell) Cancel(id jobs.ID) {
	j := c.jobs[id]
	if j == nil {
		c.early[id] = true
		return
	}
	if j.cancelled || j.ended {
		return
	}
	j.cancelled = true
	c.log.Info("job cancelled", zap.String("job", string(id)))
	c.endJob(j, jobs.Cancelled)
	c.stopAll(j, stopCancelled)
}

// endJob ends a job; callers see the end once it is stored.
func (c *Cell) endJob(j *job, state jobs.State) {
	if j.ended {
		return
	}
	j.ended, j.outcome, j.endedAtMS = true, state, c.wall.UnixMilli()
	c.touchJob(j)
	for id := range j.groups {
		c.pressures.Forget(jobrecord.GroupKey(id))
	}
	c.log.Info("job ended", zap.String("job", string(j.id)), zap.Stringer("state", state),
		zap.Duration("after", c.now-j.arrived))
}

func (c *Cell) stopAll(j *job, why stopReason) {
	for _, g := range j.groups {
		for _, t := range g.tasks {
			for _, r := range t.runs {
				c.stopRun(r, why)
			}
		}
	}
}

// stopRun marks a run to be stopped. A run whose start was not handed out yet is dropped at once.
func (c *Cell) stopRun(r *run, why stopReason) {
	if r.stop {
		return
	}
	r.stop, r.why = true, why
	if r.state == runPlaced {
		c.dropRun(r)
	}
}

// dropRun forgets a run that certainly does not run and never will.
func (c *Cell) dropRun(r *run) {
	t := r.task
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if r.worker != nil {
		key := workercall.Run{Task: t.id, Number: r.number}
		if r.worker.runs[key] == r {
			delete(r.worker.runs, key)
			r.worker.used = r.worker.used.Minus(t.group.step.Room())
		}
	}
	if !t.done && len(t.runs) == 0 {
		t.waiting = c.now
	}
	c.waiting = true
	c.touch(t.group)
}

func (c *Cell) touch(g *group) {
	if !g.dirty {
		g.dirty = true
		c.dirtyGroups = append(c.dirtyGroups, g)
	}
}

func (c *Cell) touchJob(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirtyJobs = append(c.dirtyJobs, j)
	}
}

// Tick does what falls due by time alone.
func (c *Cell) Tick() {
	c.openDue()
	c.expireWorkers()
	if c.retry != 0 && c.now >= c.retry {
		c.retry, c.waiting = 0, true
	}
}

func (c *Cell) openDue() {
	kept := c.scheduled[:0]
	for _, j := range c.scheduled {
		if !j.live() {
			continue
		}
		c.openOccurrences(j)
		if j.opened < j.record.Spec.Occurrences() {
			kept = append(kept, j)
		}
	}
	c.scheduled = kept
}

// running tells whether a run of the job may still be on a worker.
func (j *job) running() bool {
	for _, g := range j.groups {
		for _, t := range g.tasks {
			if len(t.runs) > 0 {
				return true
			}
		}
	}
	return false
}

// Status returns the state of a job as far as it is stored; known is false for a job that was never taken in.
func (c *Cell) Status(id jobs.ID) (state jobs.State, known bool) {
	j := c.jobs[id]
	switch {
	case j == nil:
		return jobs.Queued, false
	case j.ended && j.visible:
		return j.outcome, true
	case j.cancelled:
		return jobs.Cancelled, true
	case j.started:
		return jobs.Running, true
	}
	return jobs.Queued, true
}

// Pending returns for each queue the number of accepted jobs of which no task was started.
func (c *Cell) Pending() map[string]int {
	pending := make(map[string]int)
	for _, j := range c.jobs {
		if j.live() && !j.started {
			pending[j.record.Queue]++
		}
	}
	return pending
}

// sortedWorkers returns the workers in the order of their IDs. The slice is kept until a worker comes or goes.
func (c *Cell) sortedWorkers() []*worker {
	if c.sorted == nil {
		c.sorted = make([]*worker, 0, len(c.workers))
		for _, w := range c.workers {
			c.sorted = append(c.sorted, w)
		}
		sort.Slice(c.sorted, func(i, j int) bool { return c.sorted[i].info.ID < c.sorted[j].info.ID })
	}
	return c.sorted
}

func (c *Cell) forgetWorker(w *worker) {
	delete(c.workers, w.info.ID)
	c.sorted = nil
}
