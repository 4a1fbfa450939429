// Package cell holds the tables of one cell and the systems over them: it takes in what workers report and what
// callers want, and says what to store and which orders to give. It has no clock and no network of its own.
package cell

import (
	"time"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/pressure"
	"cactuswall.example/cactuswall/internal/workercall"
)

// runState is how far a run has come, as the owner knows it.
type runState int

const (
	// runPlaced: the run is to be stored before its start is sent.
	runPlaced runState = iota
	// runSent: a start was sent and has no answer yet.
	runSent
	// runUncertain: a start has no answer, or a former owner sent it.
	runUncertain
	// runRunning: the worker has said that the task runs.
	runRunning
)

// run is one start of a task.
type run struct {
	task   *task
	number int
	worker *worker
	born   int64 // life of the worker that the run belongs to; 0 when it is not known
	state  runState
	// since is when the run came into its state.
	since time.Duration
	// began is when the run was first known to run.
	began time.Duration
	// doubt is set while an unanswered start may still be carried out; settled once none can be any more.
	doubt, settled bool
	attempts       int // starts sent for this run
	// probe is set when the run was placed to try a worker that had failed others.
	probe bool
	// stop is set once the run is to be stopped; why says for what.
	stop     bool
	why      stopReason
	stopSent time.Duration // when the newest stop was sent; 0 for never
	stopping bool          // a stop is under way
	percent  int
	pace     int // ordered share of its speed, in percent
	tail     time.Duration
	milliCPU int
	// reading is the newest reading of a serving run.
	reading *pressure.Reading
	// slow is since when a filling run works at crawlPace or less; 0 while it does not.
	slow time.Duration
	// over is since when a serving run is over its target; 0 while it is not.
	over time.Duration
}

type stopReason string

const (
	stopCancelled stopReason = "job_cancelled"
	stopCopy      stopReason = "copy_not_needed"
	stopUnknown   stopReason = "run_not_known"
	stopGang      stopReason = "gang_incomplete"
	stopCrawling  stopReason = "crawling"
	stopLeaving   stopReason = "worker_leaves"
	stopFailedJob stopReason = "job_failed"
)

// task is one task of a group.
type task struct {
	id         jobs.TaskID
	group      *group
	done       bool
	failures   int
	lastRun    int
	checkpoint string
	runs       []*run
	// notBefore delays the next start after a refusal or failure.
	notBefore time.Duration
	// waiting is since when the task could run and does not.
	waiting time.Duration
	avoid   string // worker on which the task failed or crawled last
	moves   int    // how often it was moved because it crawled
}

func (t *task) idle() bool { return !t.done && len(t.runs) == 0 }

// group is the tasks of one step in one occurrence.
type group struct {
	id      jobs.GroupID
	job     *job
	step    *jobs.Step
	tasks   []*task
	left    int // tasks that are not done
	nextRun int // for gangs
	// failedRun is the run of a gang whose failure was counted last.
	failedRun int
	// ready is set once all earlier steps are done; readyAt is when that was.
	ready   bool
	readyAt time.Duration
	started bool // a task of it was started
	dirty   bool // its record must be written
	// explained is how long a task had waited when the log last said why.
	explained time.Duration
	// lastEnd is when the last task of the steps before ended, for the figure of the step change.
	lastEnd time.Duration
}

// job is one accepted job.
type job struct {
	id     jobs.ID
	record jobrecord.Job
	// keys are those under which copies of the job are stored.
	keys   []string
	groups map[jobs.GroupID]*group
	// chain is the estimated time of the longest chain from each step on.
	chain []time.Duration
	// objective is the time in which the job should be done, work the processor time that it was said to need.
	objective time.Duration
	work      float64
	cancelled bool
	outcome   jobs.State
	ended     bool
	endedAtMS int64
	visible   bool // the end is stored
	dirty     bool // the outcome must be written
	started   bool
	arrived   time.Duration
	// opened is the number of occurrences that have groups.
	opened int
	// forgetting is set while its records are being deleted.
	forgetting bool
}

// live tells whether tasks of the job may still be started.
func (j *job) live() bool { return !j.ended && !j.cancelled }

// worker is one life of a worker.
type worker struct {
	info workercall.Worker
	// listed is set while the store has an entry for the worker.
	listed bool
	// fenced is set once this life has answered an order with the owner's token.
	fenced bool
	dead   bool
	runs   map[workercall.Run]*run
	used   jobs.Resources
	// clock of the worker at local time clockAt.
	clock   time.Duration
	clockAt time.Duration
	hasTime bool
	// granted is the latest end of a lease that an order named, on the worker's clock.
	granted time.Duration
	// lapsed is when everything on the worker has lapsed at the latest, in local time.
	lapsed time.Duration
	// reported is when the newest report arrived, failing since when reports fail (0: they do not).
	reported time.Duration
	failing  time.Duration
	// seen is the last end taken in, stored the last one whose effect is stored.
	seen, stored int64
	holding      bool // a hold is under way
	nextHold     time.Duration
	// refusing delays new starts after a refusal.
	refusing time.Duration
	// figures is set when a report brought new figures that pacing has not seen.
	figures bool
	// foreign are runs to stop that no table row stands for.
	foreign []workercall.Run
	// expired is set once the runs were given up because the lease has lapsed.
	expired bool
}

func (w *worker) target() workercall.Target {
	return workercall.Target{ID: w.info.ID, Address: w.info.Address}
}

// clockNow is the worker's clock at local time now, as far as it is known.
func (w *worker) clockNow(now time.Duration) time.Duration { return w.clock + now - w.clockAt }
