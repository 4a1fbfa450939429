// Package straggler decides what to do about a run that takes much longer than its task normally does: start a copy of the
// task on another worker, stop the run and start the task again elsewhere, or neither. A step waits for its slowest task,
// so one such run can make a job late. The package also learns the run times that the decision is based on, measures the
// speed of runs and of workers, and learns how often copies help. It does no I/O and reads no clock.
package straggler

import "time"

// Action is what is done about a run.
type Action int

// The actions.
const (
	// Wait means that the run goes on alone.
	Wait Action = iota
	// Copy means that another run of the task is started. The first one to succeed counts.
	Copy
	// Restart means that the run is stopped and the task then started on another worker.
	Restart
)

const (
	// MinElapsed is how long a run must have been running before it is judged. Before that, the time of a start order and
	// of a report is a large part of what is known of the run.
	MinElapsed = 600 * time.Millisecond
	// minElapsedShare times the normal run time is how long it must have been running as well.
	minElapsedShare = 0.4
	// StartDelay is the time from the decision until a new run makes progress: a round is stored, and an order is sent.
	StartDelay = 200 * time.Millisecond
	// StopDelay is the time until the end of a run that is stopped is confirmed, before which its task must not start.
	StopDelay = 300 * time.Millisecond
	// minSaving is the least time that a new run must be expected to save.
	minSaving = 700 * time.Millisecond
	// copyRatio and restartRatio are how many times as long as a new run the present one must be expected to take at least.
	// A restart gives up the present run, so it takes more.
	copyRatio    = 1.8
	restartRatio = 3.0
	// minCopyGain and minRestartGain are the least gains of worth. A copy costs a start and its work, or that of the other
	// run, is wasted.
	minCopyGain    = 0.1
	minRestartGain = 0.15
)

// Case is a run that may be a straggler.
type Case struct {
	Elapsed   time.Duration // since the run was first known to be running
	Remaining time.Duration // expected until the run ends
	Normal    time.Duration // normal run time of the task on a healthy worker; 0 if unknown
	// Rerun is the expected run time of a new run, which may start from a checkpoint.
	Rerun time.Duration
	// After is the expected time of the steps that wait for the task's step.
	After time.Duration
	// Age is the time since the job arrived, Objective the time from its arrival within which it should be done; 0 if there
	// is none.
	Age, Objective time.Duration
	// Success is the share of new runs that are expected to be as fast as Rerun says.
	Success float64
	// MayCopy and MayRestart tell which actions the step permits.
	MayCopy, MayRestart bool
}

// Decision is an action and the worth that it is expected to gain for the job, from 0 to 1.
type Decision struct {
	Action Action
	Gain   float64
}

// Decide returns what to do about a run. A copy is preferred to a restart, since the present run goes on.
func Decide(c Case) Decision {
	if c.Normal <= 0 || c.Rerun <= 0 || c.Objective <= 0 || c.Elapsed < MinElapsed ||
		c.Elapsed < time.Duration(minElapsedShare*float64(c.Normal)) {
		return Decision{}
	}
	if c.MayCopy {
		if gain := c.gain(c.Rerun+StartDelay, copyRatio); gain >= minCopyGain {
			return Decision{Action: Copy, Gain: gain}
		}
	}
	if c.MayRestart {
		if gain := c.gain(c.Rerun+StartDelay+StopDelay, restartRatio); gain >= minRestartGain {
			return Decision{Action: Restart, Gain: gain}
		}
	}
	return Decision{}
}

// gain returns the worth that the job gains if the task is done after the time anew instead of Remaining, or 0 if the
// difference is too small to rely on.
func (c *Case) gain(anew time.Duration, ratio float64) float64 {
	if c.Remaining-anew < minSaving || float64(c.Remaining) < ratio*float64(anew) {
		return 0
	}
	return c.Success * (Worth(c.Age+anew+c.After, c.Objective) - Worth(c.Age+c.Remaining+c.After, c.Objective))
}

const (
	// surelyOnTime is the share of the objective up to which an expected end is taken to be on time. Later steps may be
	// delayed as well.
	surelyOnTime = 0.8
	// lateWorth is the worth of a result just after the objective.
	lateWorth = 0.3
	// worthless times the objective is when a result has lost all its worth.
	worthless = 3.0
)

// Worth returns the expected worth, from 0 to 1, of a job that is expected to be done at an age.
func Worth(age, objective time.Duration) float64 {
	share := float64(age) / float64(objective)
	switch {
	case share <= surelyOnTime:
		return 1
	case share <= 1:
		return 1 - (1-lateWorth)*(share-surelyOnTime)/(1-surelyOnTime)
	case share < worthless:
		return lateWorth * (worthless - share) / (worthless - 1)
	}
	return 0
}
