// Package cell schedules the jobs of one cell onto its workers. A cell is the set of jobs and workers that are
// scheduled by one owner at a time; the owner, in package cellnode, calls this package. Its inputs are stored jobs and
// cancellations, worker reports and the current time; its outputs are records to store and orders to send to workers.
// It does no I/O and reads no clock itself.
package cell

import (
	"time"

	"cactuswall.example/cactuswall/internal/cpuinterference"
	"cactuswall.example/cactuswall/internal/drain"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/straggler"
	"cactuswall.example/cactuswall/internal/urgency"
	"cactuswall.example/cactuswall/internal/workercall"
)

// runState is the progress of a run as the owner knows it.
type runState int

const (
	// runPlaced: a worker is chosen; the run has to be stored before its start order is sent.
	runPlaced runState = iota
	// runStartSent: a start order was created and has not been answered yet.
	runStartSent
	// runUncertain: it is not known whether the task runs, because the start order was not answered or may have been
	// sent by a former owner, because the worker answered with workercall.ReasonStaleRun, or because a stop order was
	// carried out.
	runUncertain
	// runRunning: the worker has confirmed that the task runs.
	runRunning
)

// run is one attempt to run a task.
type run struct {
	task        *task
	number      int // counts the runs of a task from 1; the members of a gang start with the same number
	worker      *worker
	incarnation int64 // incarnation of the worker, as its start time in Unix milliseconds; 0 when unknown
	state       runState
	// stateSince is when the run entered its state.
	stateSince time.Duration
	// runningSince is when the run was first known to be running; 0 for never.
	runningSince time.Duration
	// startInDoubt is set once a start order may take effect later because it was not answered; startRuledOut once no
	// start order can take effect any more.
	startInDoubt, startRuledOut bool
	attempts                    int // start orders sent
	// repeatWithheld is set once the start order was not repeated because of an evacuation.
	repeatWithheld bool
	// probe is set when the run was placed to test a worker on which other tasks had failed.
	probe bool
	// stopRequested is set once the run has to be stopped, for stopReason.
	stopRequested   bool
	stopReason      stopReason
	stopSentAt      time.Duration // when the newest stop order was sent; 0 for never
	stopInFlight    bool          // a stop order is sent and not answered
	listedIn        int64         // number, by Cell.reports, of the newest report that lists the run as running
	progressPercent int           // as last reported; servingPercent for a long-running task that is serving
	pace            int           // ordered speed, in percent of full speed
	tailLatency     time.Duration // of a service task, as last reported
	milliCPU        int           // CPU use, as last reported
	// reading is the newest latency measurement of a service task; nil for none.
	reading *cpuinterference.Reading
	// slowSince is since when a best-effort run has been limited to slowPace or less; 0 while it is not.
	slowSince time.Duration
	// overTargetSince is since when a service run has been over its latency target; 0 while it is not.
	overTargetSince time.Duration
	// progress measures the speed of the run, from the first report on; toJudge is set while the run is in stragglers.toJudge.
	progress straggler.Progress
	observed bool
	// normalUpTo is the longest normal run time of the task, as of the first report; 0 if it was not known.
	normalUpTo time.Duration
	toJudge    bool
	// ownResources is the result of hasOwnResources for the task's step.
	ownResources bool
	slow         bool // was seen to be slow, which counts once for the speed of its worker
	// pacedAt is when the pace was last ordered, or assumed for a run of a former owner; 0 for never.
	pacedAt time.Duration
	// crowded is set while a best-effort run is kept at crowdedPace since it was placed where too little CPU is unused.
	crowded bool
	// copied is set if the run was started while another run of the task was in progress.
	copied         bool
	fromCheckpoint bool // its start order named a checkpoint
}

// stopReason is why a run is stopped. Its values are written to metrics and to the log.
type stopReason string

const (
	stopJobCancelled   stopReason = "job_cancelled"   // the job was cancelled, or had ended under a former owner
	stopRedundantRun   stopReason = "copy_not_needed" // another run of the task succeeded
	stopRunUnknown     stopReason = "run_not_known"   // the owner does not know the run, or not whether it was started
	stopGangIncomplete stopReason = "gang_incomplete" // another member of the gang ended without success
	stopThrottled      stopReason = "crawling"        // relocated because it was slow next to a service
	stopWorkerDraining stopReason = "worker_leaves"   // relocated from a draining worker
	stopJobFailed      stopReason = "job_failed"      // a task of the job has used all its attempts
	stopEvacuated      stopReason = "evacuated"       // placed in a failure domain that is evacuated, and not started
	stopStraggler      stopReason = "straggler"       // restarted elsewhere because it took much longer than normal
)

// task is the state of one task of a group. The fields that each round and the audit read come first, so that they are in one
// cache line.
type task struct {
	runs []*run
	// notBefore is the earliest time of the next placement after a failure.
	notBefore time.Duration
	done      bool
	// elsewhere is set while the task belongs to another cell.
	elsewhere bool
	// leaving is set from the time when TakeStrandedTasks returns the task until its assignment is read or ReturnTask is called.
	leaving bool
	// copies and restarts count how often the task was copied and restarted as a straggler.
	copies, restarts uint8
	// vainStarts is the number of starts in a row that came to nothing, see noteVainStart.
	vainStarts uint8
	// checkpointPercent is the progress of the run that reported the checkpoint, at that time; 0 if unknown.
	checkpointPercent int8
	group             *group
	id                jobs.TaskID
	failures          int    // failed runs; for a gang, counted for its first task only
	lastRunNumber     int    // highest number of a run of the task; 0 for none
	checkpoint        string // newest one that a worker reported; empty for none
	// waitingSince is when the task became ready to run or, if later, when its last run was removed.
	waitingSince time.Duration
	// returnedAt is when no other cell was last found to have room for the task.
	returnedAt time.Duration
	// settledRound is the number of the first round that stores that the task's last run, which was removed, is gone.
	settledRound int
	avoidWorker  string // ID of the worker on which the task last failed, or from which it was relocated
	// rackWait is the task's wait for its rack; nil if none was decided on.
	rackWait *rackWait
	// pastLimits is set if the worker that was last chosen for the task was chosen without placementLimits.
	pastLimits  bool
	relocations int // how often the task was relocated because it was slow; for long-running tasks, see movesCountUntil
	// movesCountUntil is until when moves of a long-running task that could have stayed on its worker count: each for moveInterval, one
	// after the other.
	movesCountUntil time.Duration
	// restart is the last restart as a straggler whose result is not known; nil for none.
	restart *restartForecast
}

// needsRun reports whether the task has to be placed on a worker.
func (t *task) needsRun() bool { return !t.done && !t.elsewhere && len(t.runs) == 0 }

// group is the state of the tasks of one step in one occurrence of a job.
type group struct {
	id         jobs.GroupID
	job        *job
	step       *jobs.Step
	tasks      []*task
	unfinished int // number of tasks that are not done
	toStart    int // number of tasks for which needsRun holds
	// sequence numbers the groups of the cell in the order of their creation.
	sequence int
	// waiting is set while the group is in Cell.waiting. Its index there was waitingAt when a round last began.
	waiting   bool
	waitingAt int
	// firstConsidered is the index of the task that placement considers first: the one after the last placed one of those that end
	// repeatedly, so that all of them get their turn.
	firstConsidered int
	// rank is the group's rank in the latest placement round.
	rank urgency.Rank
	// receivedAt is when the job was received or, if later, when the occurrence was due, in wall time.
	receivedAt  time.Time
	nextGangRun int // run number of the next start of a gang
	// lastFailedGangRun is the newest run number of a gang whose failure was counted.
	lastFailedGangRun int
	// ready is set once all steps that this one depends on are done, at readyAt.
	ready   bool
	readyAt time.Duration
	closed  bool // its occurrence was closed, so that the job does not have the group any more
	started bool // a task of the group was started
	// refusals is the number of its start orders that workers refused, one after the other.
	refusals uint8
	// dirtyParts are the parts of the group whose progress has to be stored, by their number; dirty is set while there are any.
	dirtyParts []bool
	dirty      bool
	// extraKeys are keys under which progress of the group is stored that progressKeys does not derive from its parts.
	extraKeys []string
	// lastLoggedWait is how long a task had waited when the reason was last logged.
	lastLoggedWait time.Duration
	// waitReason is why tasks of the group were last not placed; waitNone once all were.
	waitReason waitReason
	// finishedAt is when the last task of the group was done, if this owner saw it; it is used for Metrics.StepDelay.
	finishedAt time.Duration
	// overtaken is the processor capacity, in thousandths of a core, that went to groups behind this one while it was the first
	// without room; keepsFree is set once workers were kept free for it.
	overtaken int
	keepsFree bool
	// drain measures the group's kind; nil until it is needed, see Cell.drainMeter.
	drain *drain.KindMeter
	// runTimes is nil until the run times of the group's tasks are needed.
	runTimes *groupRunTimes
}

// job is the state of one accepted job.
type job struct {
	id     jobs.ID
	record jobrecord.Job
	// recordKeys are the keys of the job's records in the jobs topic: the first one and its duplicates.
	recordKeys []string
	groups     map[jobs.GroupID]*group
	groupList  []*group // the groups in the order of their creation
	// criticalPath is, for each step, the estimated run time of the longest chain of dependent steps that begins with
	// it.
	criticalPath []time.Duration
	// objective is the target time from arrival to completion; work is the estimated CPU use, in milli-CPU seconds.
	objective time.Duration
	work      float64
	cancelled bool
	outcome   jobs.State // valid once ended is set
	ended     bool
	endedAtMS int64
	endStored bool          // the outcome is stored, so Status returns it
	dirty     bool          // the outcome has to be stored
	started   bool          // a start order for one of its tasks was created
	begun     bool          // one of its tasks is known to run or to have run
	refusals  uint8         // number of start orders that workers refused, one after the other
	addedAt   time.Duration // when this owner added the job
	// nextToOpen is the first occurrence that was not opened. Later ones may be open, if their progress was loaded.
	nextToOpen int
	// bounded and large say what of the job is limited, see openDue. closed are the closed occurrences of a bounded job. heldBack is set
	// while an occurrence is due that was not opened.
	bounded, large           bool
	closed                   occurrenceSet
	heldBack, heldBackLogged bool
	// beganLate is set once the job's work was counted as late work, see roundTurns.
	beganLate bool
	// runs is the number of runs of the job's tasks, and idleSince when the last one ended that was not stopped and left none; 0
	// for never. A job whose run was stopped does not begin to wait anew.
	runs      int
	idleSince time.Duration
	// deleting is set while the job's records are being deleted.
	deleting bool
	// guest is set if the job belongs to another cell and only some of its tasks, which are not elsewhere, to this one.
	guest bool
}

// live reports whether tasks of the job may still be started.
func (j *job) live() bool { return !j.ended && !j.cancelled }

// worker is the state of a worker. An incarnation of a worker is the time from one start of its process to the next;
// handleNewIncarnation resets the state when the next one begins.
type worker struct {
	info workercall.Worker
	// listed is set while the store has an entry for the worker.
	listed bool
	// entryOutdated is set while info is that of a former incarnation, because the entry of this one has not been read. It
	// may have other labels, another rack and another capacity.
	entryOutdated bool
	// tokenAccepted is set once this incarnation has accepted the owner's fencing token.
	tokenAccepted bool
	// reconciled is set once a report that this incarnation was ordered to give after Load was compared with the state.
	// Until then it gets no start, stop or pace orders.
	reconciled bool
	// dead is set once another incarnation has answered at the worker's address, so that this one has ended.
	dead bool
	runs map[workercall.Run]*run
	// services and bestEffort are the runs of tasks with a latency target and of best-effort tasks, sorted by lessRun. A
	// run may be in both.
	services, bestEffort []*run
	// utilizationLeft is, for each of services, the utilization between its own load with the expected interference and its latency
	// target, at least minUtilizationLeft. It is nil until it is needed, and after each change of what it depends on.
	utilizationLeft []float64
	reserved        jobs.Resources // requested by the tasks of all runs
	// expectedCPU is the CPU that all runs are expected to use, in milli-CPU.
	expectedCPU int
	failureRate float64       // recent share of failed runs, from 0 to 1, as the quarantine table has it
	lastFailure time.Duration // when a run was last reported as failed
	// mayHaveUnresolved is set if a run is unresolved; it may stay set when none is.
	mayHaveUnresolved bool
	// clock is the worker's clock as read at local time clockAt.
	clock      time.Duration
	clockAt    time.Duration
	clockKnown bool
	// grantedUntil is the latest lease end that this owner sent in an order, on the worker's clock.
	grantedUntil time.Duration
	// inheritedEnd is when the leases have ended that former owners may have extended until the worker accepted the token.
	inheritedEnd time.Duration
	// handedOver is set if the worker came to the cell under this owner and may have been in another one before.
	handedOver bool
	// leaseExpiresBy is the latest local time at which the worker's lease has expired and its tasks have stopped.
	leaseExpiresBy time.Duration
	// formerLeaseEnd is when the lease has ended by what former owners may have extended. restarted is set once a restart of the
	// worker was seen under this owner: what former owners knew of its lease says nothing of the new incarnation.
	formerLeaseEnd time.Duration
	restarted      bool
	// lastReport is when the newest report arrived; failingSince is since when renewal orders have failed, or 0.
	lastReport   time.Duration
	failingSince time.Duration
	// lastEndSeen is the sequence number of the last run end that was processed; lastEndStored that of the last one
	// whose effect is stored.
	lastEndSeen, lastEndStored int64
	// lastEndAcked is the last one that this incarnation knows to be stored, and ackInFlight the one that the renewal order in
	// flight says is.
	lastEndAcked, ackInFlight int64
	renewalInFlight           bool          // a renewal order is sent and not answered
	answerDueBy               time.Duration // when the answer to it is overdue
	nextRenewal               time.Duration // when the next renewal order is due
	// unansweredStarts is the number of unanswered start orders, lastSign when the worker last answered or, if later, when the first of
	// them was sent, and silent is set from when one remained without an answer until the worker answers. See Cell.hangs.
	unansweredStarts int
	lastSign         time.Duration
	silent           bool
	// refusingUntil is until when no tasks are placed on the worker after a start order was refused or did not reach
	// it.
	refusingUntil time.Duration
	// slowUntil is until when tasks take longer on the worker than on others: because it has just started, as coldUntil says,
	// or because of its speed.
	slowUntil time.Duration
	// pacingPending is set when a report has brought measurements that paceWorker has not used yet.
	pacingPending bool
	// unknownRuns are runs that the worker reports but that this owner does not know; they are to be stopped.
	unknownRuns []workercall.Run
	due         dueState
	// leaseExpired is set once the runs were abandoned because the lease had expired.
	leaseExpired bool
	// cordoned is set while no tasks are placed on the worker because it is to be handed over to another cell.
	cordoned bool
	// vacating is set while its long-running tasks move to other workers, too.
	vacating bool
	// settledRound is the number of the first round that stores that the last run which was removed is gone.
	settledRound int
	// speed is learned from the run times on the worker; coldUntil is until when it is slow because it has just started.
	speed     straggler.Speed
	coldUntil time.Duration
	// heldEnds are ends that must not be acknowledged yet.
	heldEnds []heldEnd
}

func (w *worker) target() workercall.Target {
	return workercall.Target{ID: w.info.ID, Address: w.info.Address, StartedAtMS: w.info.StartedAtMS}
}

// clockNow estimates the worker's clock at local time now.
func (w *worker) clockNow(now time.Duration) time.Duration { return w.clock + now - w.clockAt }
