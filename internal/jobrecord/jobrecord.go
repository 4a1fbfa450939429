// Package jobrecord holds the stored forms of jobs and of their progress, and the keys they are stored under.
// Package packed encodes them.
package jobrecord

import (
	"strconv"
	"strings"

	"cactuswall.example/cactuswall/internal/jobs"
)

// Topics of the product. Each cell has one partition of each.
const (
	JobsTopic     = "keyed.jobs"
	ProgressTopic = "keyed.progress"
	ClaimsTopic   = "keyed.lead"
)

// Job is an accepted job, with what its queue said when it was accepted.
type Job struct {
	Queue    string
	Service  string
	Priority int
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int
	Stretch     float64
	LatencyMS   int64
	// ReceivedMS is when the request arrived, in Unix milliseconds.
	ReceivedMS int64
	Spec       jobs.Spec
}

// Outcome is the end of a job.
type Outcome struct {
	State jobs.State
	AtMS  int64 // Unix milliseconds
}

// Group is the progress of the tasks of one step in one occurrence.
type Group struct {
	// NextRun is the number that the next run of a member of a gang gets.
	NextRun int
	Tasks   []Task
}

// Task is the progress of one task.
type Task struct {
	Done bool
	// Failures counts the runs that ended as failed.
	Failures   int
	LastRun    int
	Checkpoint string
	// Runs may be running: each was stored before its start was sent.
	Runs []Run
}

// Run is a start of a task that may be running on a worker.
type Run struct {
	Number int
	Worker string
	// Born is the life of the worker that the run was started in, in Unix milliseconds; 0 when it is not known.
	Born int64
}

// Prefixes of the keys, by what is stored under them.
const (
	jobPrefix     = "s/"
	cancelPrefix  = "c/"
	outcomePrefix = "j/"
	groupPrefix   = "g/"
	learntPrefix  = "l/"
)

// PressuresKey is the key of what owners have learnt of pairs of images.
const PressuresKey = learntPrefix + "pressures"

// JobKey is the key under which a writer stores a job that it has accepted. Writers have keys of their own, so that
// a copy of a request that another node accepts later does not replace the first record.
func JobKey(id jobs.ID, writer string) string { return jobPrefix + string(id) + "/" + writer }

// CancelKey is the key of a job's cancellation.
func CancelKey(id jobs.ID) string { return cancelPrefix + string(id) }

// OutcomeKey is the key of a job's end.
func OutcomeKey(id jobs.ID) string { return outcomePrefix + string(id) }

// GroupKey is the key of a group's progress.
func GroupKey(g jobs.GroupID) string {
	return groupPrefix + string(g.Job) + "/" + strconv.Itoa(g.Occurrence) + "/" + strconv.Itoa(g.Step)
}

// Kind tells what is stored under a key.
type Kind int

// The kinds of keys.
const (
	KindUnknown Kind = iota
	KindJob
	KindCancel
	KindOutcome
	KindGroup
	// KindLearnt is no job's: what owners have learnt.
	KindLearnt
)

// ParseKey tells what is stored under a key and of which job. For progress the group is whole; for all other kinds
// only its job is set.
func ParseKey(key string) (Kind, jobs.GroupID) {
	if len(key) < len(jobPrefix) {
		return KindUnknown, jobs.GroupID{}
	}
	rest := key[len(jobPrefix):]
	switch key[:len(jobPrefix)] {
	case jobPrefix:
		id, _, _ := strings.Cut(rest, "/")
		return KindJob, jobs.GroupID{Job: jobs.ID(id)}
	case cancelPrefix:
		return KindCancel, jobs.GroupID{Job: jobs.ID(rest)}
	case outcomePrefix:
		return KindOutcome, jobs.GroupID{Job: jobs.ID(rest)}
	case groupPrefix:
		return parseGroup(rest)
	case learntPrefix:
		return KindLearnt, jobs.GroupID{}
	}
	return KindUnknown, jobs.GroupID{}
}

func parseGroup(text string) (Kind, jobs.GroupID) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return KindUnknown, jobs.GroupID{}
	}
	occurrence, errOccurrence := strconv.Atoi(parts[1])
	step, errStep := strconv.Atoi(parts[2])
	if errOccurrence != nil || errStep != nil || occurrence < 0 || step < 0 {
		return KindUnknown, jobs.GroupID{}
	}
	return KindGroup, jobs.GroupID{Job: jobs.ID(parts[0]), Occurrence: occurrence, Step: step}
}
