// Package cell schedules the jobs of one cell onto its workers. Its inputs are stored jobs and cancellations, worker
// reports and the current time; its outputs are records to store and orders to send to workers. It does no I/O and
// reads no clock itself.
package cell

import (
	"time"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/pressure"
	"cactuswall.example/cactuswall/internal/workercall"
)

// runState is the progress of a run as the owner knows it.
type runState int

const (
	// runPlaced: a worker is chosen; the run has to be stored before its start order is sent.
	runPlaced runState = iota
	// runStartSent: a start order was sent and has not been answered yet.
	runStartSent
	// runUncertain: the start order was not answered, or a former owner sent it.
	runUncertain
	// runRunning: the worker has confirmed that the task runs.
	runRunning
)

// run is one attempt to run a task.
type run struct {
	task        *task
	number      int
	worker      *worker
	incarnation int64 // incarnation of the worker, as its start time in Unix milliseconds; 0 when unknown
	state       runState
	// stateSince is when the run entered its state.
	stateSince time.Duration
	// runningSince is when the run was first known to be running; 0 for never.
	runningSince time.Duration
	// startInDoubt is set while an unanswered start order may still take effect; startRuledOut once none can.
	startInDoubt, startRuledOut bool
	attempts                    int // start orders sent
	// probe is set when the run was placed to test a worker on which other tasks had failed.
	probe bool
	// stopRequested is set once the run has to be stopped, for stopReason.
	stopRequested   bool
	stopReason      stopReason
	stopSentAt      time.Duration // when the newest stop order was sent; 0 for never
	stopInFlight    bool          // a stop order is sent and not answered
	progressPercent int
	pace            int // ordered speed, in percent of full speed
	tailLatency     time.Duration
	milliCPU        int
	// reading is the newest latency reading of a service task.
	reading *pressure.Reading
	// slowSince is since when a best-effort run has been limited to slowPace or less; 0 while it is not.
	slowSince time.Duration
	// overTargetSince is since when a service run has been over its latency target; 0 while it is not.
	overTargetSince time.Duration
}

type stopReason string

const (
	stopJobCancelled   stopReason = "job_cancelled"
	stopRedundantCopy  stopReason = "copy_not_needed"
	stopRunUnknown     stopReason = "run_not_known"
	stopGangIncomplete stopReason = "gang_incomplete"
	stopThrottled      stopReason = "crawling"
	stopWorkerDraining stopReason = "worker_leaves"
	stopJobFailed      stopReason = "job_failed"
)

// task is the state of one task of a group.
type task struct {
	id            jobs.TaskID
	group         *group
	done          bool
	failures      int
	lastRunNumber int
	checkpoint    string
	runs          []*run
	// notBefore is the earliest time of the next start after a failure.
	notBefore time.Duration
	// waitingSince is since when the task has been ready to run without a run.
	waitingSince time.Duration
	avoidWorker  string // worker on which the task last failed, or that it was relocated from
	relocations  int    // how often the task was relocated because it was throttled
}

func (t *task) needsRun() bool { return !t.done && len(t.runs) == 0 }

// group is the tasks of one step in one occurrence of a job.
type group struct {
	id          jobs.GroupID
	job         *job
	step        *jobs.Step
	tasks       []*task
	unfinished  int // number of tasks that are not done
	nextGangRun int // run number of the next start of a gang
	// lastFailedGangRun is the newest run number of a gang whose failure was counted.
	lastFailedGangRun int
	// ready is set once all steps that this one depends on are done, at readyAt.
	ready   bool
	readyAt time.Duration
	started bool // a task of the group was started
	dirty   bool // its record has to be stored
	// lastLoggedWait is how long a task had waited when the reason was last logged.
	lastLoggedWait time.Duration
	// finishedAt is when the last task of the group was done; it is used for the step change metric.
	finishedAt time.Duration
}

// job is the state of one accepted job.
type job struct {
	id     jobs.ID
	record jobrecord.Job
	// recordKeys are the keys under which copies of the job are stored.
	recordKeys []string
	groups     map[jobs.GroupID]*group
	// criticalPath is, for each step, the estimated run time of the longest chain of dependent steps that begins with
	// it.
	criticalPath []time.Duration
	// objective is the target time from arrival to completion; work is the estimated CPU use, in milli-CPU seconds.
	objective time.Duration
	work      float64
	cancelled bool
	outcome   jobs.State
	ended     bool
	endedAtMS int64
	endStored bool // the outcome is stored, so callers may see it
	dirty     bool // the outcome has to be stored
	started   bool
	addedAt   time.Duration
	// openedOccurrences is the number of occurrences that have groups.
	openedOccurrences int
	// deleting is set while the job's records are being deleted.
	deleting bool
}

// live reports whether tasks of the job may still be started.
func (j *job) live() bool { return !j.ended && !j.cancelled }

// worker is the state of one incarnation of a worker: the time from one start of its process to the next.
type worker struct {
	info workercall.Worker
	// listed is set while the store has an entry for the worker.
	listed bool
	// tokenAccepted is set once this incarnation has accepted the owner's fencing token.
	tokenAccepted bool
	// dead is set once another incarnation has answered at the worker's address, so that this one has ended.
	dead     bool
	runs     map[workercall.Run]*run
	reserved jobs.Resources
	// clock is the worker's clock as read at local time clockAt.
	clock      time.Duration
	clockAt    time.Duration
	clockKnown bool
	// grantedUntil is the latest lease end that was sent in an order, on the worker's clock.
	grantedUntil time.Duration
	// leaseExpiresBy is the latest local time at which the worker's lease has expired and its tasks have stopped.
	leaseExpiresBy time.Duration
	// lastReport is when the newest report arrived; failingSince is since when holds have failed (0: they do not).
	lastReport   time.Duration
	failingSince time.Duration
	// lastEndSeen is the sequence number of the last run end that was processed; lastEndStored that of the last one
	// whose effect is stored.
	lastEndSeen, lastEndStored int64
	holdInFlight               bool // a hold order is sent and not answered
	nextHold                   time.Duration
	// refusingUntil is until when no start orders are sent after the worker refused one.
	refusingUntil time.Duration
	// pacingPending is set when a report has brought measurements that paceWorker has not used yet.
	pacingPending bool
	// unknownRuns are runs that the worker reports but that this owner does not know; they are to be stopped.
	unknownRuns []workercall.Run
	// leaseExpired is set once the runs were abandoned because the lease had expired.
	leaseExpired bool
}

func (w *worker) target() workercall.Target {
	return workercall.Target{ID: w.info.ID, Address: w.info.Address}
}

// clockNow estimates the worker's clock at local time now.
func (w *worker) clockNow(now time.Duration) time.Duration { return w.clock + now - w.clockAt }
