// Package jobrecord defines the records of jobs and of their progress as they are kept in the store, and the keys under
// which they are stored. Package recordcodec encodes the records.
package jobrecord

import (
	"strconv"
	"strings"

	"cactuswall.example/cactuswall/internal/jobs"
)

// Topics in the store. Each cell has a partition of ProgressTopic and of ClaimsTopic, by its number. The other topics have
// one partition: the jobs of all cells are in one order, so that the first record of a job settles its cell.
const (
	JobsTopic     = "keyed.jobs"
	CellsTopic    = "keyed.cells" // see package cellmap
	ProgressTopic = "keyed.progress"
	ClaimsTopic   = "keyed.lead"
)

// Job is an accepted job with the settings that its queue had when it was accepted; see queue.Queue for their meaning.
// DeadlineSlackMS is in milliseconds.
type Job struct {
	Queue    string
	Service  string
	Priority int
	// MaxAttempts is the maximum number of failed runs of a task.
	MaxAttempts        int
	CriticalPathFactor float64
	DeadlineSlackMS    int64
	// ReceivedMS is when the request was received, in Unix milliseconds.
	ReceivedMS int64
	Spec       jobs.Spec
}

// Outcome is the final state of a job and when it was reached.
type Outcome struct {
	State jobs.State
	AtMS  int64 // Unix milliseconds
}

// PartTasks is the number of tasks of a group from which on its progress is stored in several records, one for each part of so many
// tasks. The size of a record then does not grow with that of the step, nor does what each start and each end stores.
const PartTasks = 128

// Group is the progress of tasks of one step in one occurrence of a job: of all of them, or of those from an index on that the key
// of the record gives. Where records overlap, the one with the higher offset holds.
type Group struct {
	// NextRun is the number of the next run of a gang member.
	NextRun int
	Tasks   []Task
}

// Occurrences are the occurrences of a scheduled job that have ended and whose groups have no records any more.
type Occurrences struct {
	// Ended is sorted; its ranges neither overlap nor touch.
	Ended []OccurrenceRange
}

// OccurrenceRange is the occurrences from From to before To.
type OccurrenceRange struct {
	From, To int
}

// Task is the progress of one task.
type Task struct {
	Done       bool   // the task has completed
	Failures   int    // number of failed runs
	LastRun    int    // number of the latest run; 0: none
	Checkpoint string // latest checkpoint; empty: none
	// Runs lists the runs that may be in progress: each is stored before its start order is sent.
	Runs []Run
}

// Run is a run of a task that may be in progress on a worker.
type Run struct {
	Number int
	Worker string
	// WorkerStartedAtMS is the start time of the worker process that was given the run, in Unix milliseconds; 0 if
	// unknown.
	WorkerStartedAtMS int64
}

// Key prefixes, one for each kind of record.
const (
	jobPrefix     = "s/"
	cancelPrefix  = "c/"
	outcomePrefix = "j/"
	groupPrefix   = "g/"
	endedPrefix   = "o/"
	learnedPrefix = "l/"
)

// InterferenceKey is the key of the record of how much tasks of one image slow down those of another, as measured by
// owners.
const InterferenceKey = learnedPrefix + "pressures"

// JobKey is the key under which a job of a cell is stored. writer must be different for each record, so that a record that
// is stored later, for a repeated request, neither replaces the first one nor comes before another.
func JobKey(id jobs.ID, writer string, cell int) string {
	key := jobPrefix + string(id) + "/" + writer
	if cell == 0 {
		return key // as earlier builds wrote it
	}
	return key + "/" + strconv.Itoa(cell)
}

// JobPrefix returns what the keys of all records of a job begin with.
func JobPrefix(id jobs.ID) string { return jobPrefix + string(id) + "/" }

// JobCell returns the cell that the key of a job names.
func JobCell(key string) int {
	_, _, cell := splitJobKey(key)
	return cell
}

// WithWriter returns the key of the same job in the same cell for another writer, which is added to the first one.
func WithWriter(key, writer string) string {
	id, first, cell := splitJobKey(key)
	return JobKey(id, first+"."+writer, cell)
}

// splitJobKey splits the key of a job. A cell that cannot be read is 0.
func splitJobKey(key string) (id jobs.ID, writer string, cell int) {
	text, rest, _ := strings.Cut(strings.TrimPrefix(key, jobPrefix), "/")
	writer, number, _ := strings.Cut(rest, "/")
	cell, err := strconv.Atoi(number)
	if err != nil || cell < 0 {
		cell = 0
	}
	return jobs.ID(text), writer, cell
}

// CancelKey is the key of the cancellation of a job.
func CancelKey(id jobs.ID) string { return cancelPrefix + string(id) }

// OutcomeKey is the key of the outcome of a job.
func OutcomeKey(id jobs.ID) string { return outcomePrefix + string(id) }

// OccurrencesKey is the key of the ended occurrences of a job.
func OccurrencesKey(id jobs.ID) string { return endedPrefix + string(id) }

// GroupKey is the key of the progress of a group of tasks.
func GroupKey(g jobs.GroupID) string {
	return groupPrefix + string(g.Job) + "/" + strconv.Itoa(g.Occurrence) + "/" + strconv.Itoa(g.Step)
}

// GroupPartKey is the key of the progress of tasks of a group from an index on, of a group that has several records.
func GroupPartKey(g jobs.GroupID, first int) string { return GroupKey(g) + "/" + strconv.Itoa(first) }

// FirstTask returns the index of the first task whose progress is stored under the key of a group.
func FirstTask(key string) int {
	parts := strings.Split(key[len(groupPrefix):], "/")
	if len(parts) < 4 {
		return 0
	}
	first, _ := strconv.Atoi(parts[3]) // ParseKey has checked it
	return first
}

// Kind is the kind of a record, which determines the prefix of its key.
type Kind int

// The kinds of records. KindUnknown stands for keys that cannot be parsed.
const (
	KindUnknown Kind = iota
	KindJob
	KindCancel
	KindOutcome
	KindGroup
	KindOccurrences
	// KindLearned is the kind of the record under InterferenceKey, which does not belong to a job.
	KindLearned
)

// ParseKey returns the kind of record that is stored under a key, and the group of tasks it belongs to. For kinds other
// than KindGroup only the job of the group is set.
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
	case endedPrefix:
		return KindOccurrences, jobs.GroupID{Job: jobs.ID(rest)}
	case learnedPrefix:
		return KindLearned, jobs.GroupID{}
	}
	return KindUnknown, jobs.GroupID{}
}

// parseGroup parses the part of a group's key that follows the prefix.
func parseGroup(text string) (Kind, jobs.GroupID) {
	parts := strings.Split(text, "/")
	if len(parts) < 3 || len(parts) > 4 {
		return KindUnknown, jobs.GroupID{}
	}
	var numbers [3]int // occurrence, step and, of a part, its first task
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return KindUnknown, jobs.GroupID{}
		}
		numbers[i] = number
	}
	return KindGroup, jobs.GroupID{Job: jobs.ID(parts[0]), Occurrence: numbers[0], Step: numbers[1]}
}
