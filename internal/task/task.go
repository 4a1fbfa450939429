// Package task holds the table of tasks of one failure domain and derives it from the manifest.
//
// A task is one instance of a service or one part of a batch job.
package task

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/units"
)

// Spec is what the manifest says of a task.
type Spec struct {
	// ID is SERVICE/DOMAIN/INDEX for a service instance and JOB@VERSION/INDEX for a batch task, where VERSION
	// is that of the first manifest that named the job. So a job whose name is used again later is a new one.
	ID string
	// Service is the service's name, or empty for a batch task.
	Service string
	// Job is the job's name, or empty for a service instance.
	Job string
	// Index numbers the task within its service or job.
	Index int
	Team  string
	Size  units.Resources
	// Slots counts the requests that a service instance works on at once.
	Slots    int
	Priority manifest.Priority
	RunTime  time.Duration
	// Deadline is the wall-clock time by which the task is to end. Zero for a service instance.
	Deadline     time.Time
	Checkpoints  bool
	MaxFailures  int
	OnDomainLoss manifest.OnDomainLoss
}

// IsService reports whether the task is a service instance.
func (s *Spec) IsService() bool { return s.Service != "" }

// DefaultMaxFailures bounds the failed attempts of a task whose job gives no bound.
const DefaultMaxFailures = 3

// Origin is where and when a job was first named by a manifest in force.
type Origin struct {
	Published time.Time
	Home      string
	// Version is that of the manifest.
	Version uint64
}

// Declared returns the specs of all tasks that belong to domain under m, in the order of their IDs.
// origins gives the origin of each job.
func Declared(m *manifest.Manifest, origins map[string]Origin, domain string) []Spec {
	var specs []Spec
	domains := m.DomainNames()
	for i := range m.Services {
		specs = append(specs, serviceSpecs(&m.Services[i], domains, domain)...)
	}
	for i := range m.Jobs {
		j := &m.Jobs[i]
		if origin := origins[j.Name]; origin.Home == domain {
			specs = append(specs, jobSpecs(j, origin)...)
		}
	}
	sort.Slice(specs, func(a, b int) bool { return specs[a].ID < specs[b].ID })
	return specs
}

func serviceSpecs(s *manifest.Service, domains []string, domain string) []Spec {
	var specs []Spec
	for index, name := range domains {
		if name != domain {
			continue
		}
		for i := range failuredomain.Share(s.Instances, index, len(domains)) {
			specs = append(specs, Spec{
				ID:      fmt.Sprintf("%s/%s/%d", s.Name, domain, i),
				Service: s.Name,
				Index:   i,
				Team:    s.Team,
				Size:    s.Size,
				Slots:   s.Slots,
			})
		}
	}
	return specs
}

func jobSpecs(j *manifest.Job, origin Origin) []Spec {
	failures := j.MaxFailures
	if failures == 0 {
		failures = DefaultMaxFailures
	}
	specs := make([]Spec, j.Tasks)
	for i := range specs {
		specs[i] = Spec{
			ID:           fmt.Sprintf("%s@%d/%d", j.Name, origin.Version, i),
			Job:          j.Name,
			Index:        i,
			Team:         j.Team,
			Size:         j.Size,
			Priority:     j.Priority,
			RunTime:      j.RunTime.Std(),
			Deadline:     origin.Published.Add(j.Deadline.Std()),
			Checkpoints:  j.Checkpoints,
			MaxFailures:  failures,
			OnDomainLoss: j.OnDomainLoss,
		}
	}
	return specs
}

// Find returns the spec of a batch task by its ID, wherever its home is. It returns false when the manifest
// does not name the task.
func Find(m *manifest.Manifest, origins map[string]Origin, id string) (Spec, bool) {
	name, rest, _ := strings.Cut(id, "@")
	for i := range m.Jobs {
		j := &m.Jobs[i]
		if j.Name != name {
			continue
		}
		version, index, _ := strings.Cut(rest, "/")
		number, err := strconv.Atoi(index)
		origin := origins[name]
		if err != nil || number < 0 || number >= j.Tasks || version != strconv.FormatUint(origin.Version, 10) {
			return Spec{}, false
		}
		return jobSpecs(j, origin)[number], true
	}
	return Spec{}, false
}

// State is the state of a task as this node knows it.
type State string

// The states of a task.
const (
	// Waiting tasks have no open attempt.
	Waiting State = "waiting"
	// Placing tasks have a placement that is not yet accepted in the log.
	Placing State = "placing"
	// Starting tasks have an accepted placement whose start is not yet confirmed. Their reservation holds.
	Starting State = "starting"
	Running  State = "running"
	// Stopping tasks have been asked to stop and are not yet confirmed as ended.
	Stopping State = "stopping"
	// Finished, Failed and Cancelled tasks are not started again.
	Finished  State = "finished"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	// Departed tasks were given to another failure domain.
	Departed State = "departed"
)

// Done reports whether the task will not be started again.
func (s State) Done() bool { return s == Finished || s == Failed || s == Cancelled || s == Departed }

// Task is one row of the table.
type Task struct {
	Spec
	State   State
	Attempt uint32
	// Worker is the worker of the open attempt, or empty.
	Worker string
	// Reason says why the task waits, or why its last attempt ended.
	Reason string
	// Since is when the task entered its state.
	Since time.Time
	// Progress is the share of the work that is done, from 0 to 1, as last reported.
	Progress float64
	// Checkpoint is the newest confirmed checkpoint, or empty.
	Checkpoint string
	// Usage is the measured usage, as last reported.
	Usage units.Resources
	// Failures counts failed attempts, Evictions evicted ones.
	Failures  int
	Evictions int
	// NotBefore delays the next attempt after a failure.
	NotBefore time.Time
	// Address is where a service instance answers requests, or empty.
	Address string
	// Withdrawn is set when the manifest in force no longer names the task.
	Withdrawn bool
	// ConfirmedAt is when the worker first confirmed the open attempt.
	ConfirmedAt time.Time
	// StartUncertain is set when a start may have taken effect although it was not confirmed.
	StartUncertain bool
	// Calling is set while a start or stop is under way.
	Calling bool
	// StopAfter is when the stop is next sent to the worker.
	StopAfter time.Time
	// Ending is the attempt whose end has been sent to the log under EndingToken, or 0.
	Ending      uint32
	EndingToken platform.Offset
}

// RunID returns the name of the task's newest attempt.
func (t *Task) RunID() platform.RunID { return platform.RunID{Task: t.ID, Attempt: t.Attempt} }

// Table holds the tasks of one failure domain by ID.
type Table struct {
	rows map[string]*Task
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: make(map[string]*Task)} }

// Get returns the task with the ID, or nil.
func (t *Table) Get(id string) *Task { return t.rows[id] }

// Len returns the number of tasks.
func (t *Table) Len() int { return len(t.rows) }

// All returns the tasks in the order of their IDs.
func (t *Table) All() []*Task {
	tasks := make([]*Task, 0, len(t.rows))
	for _, row := range t.rows {
		tasks = append(tasks, row)
	}
	sort.Slice(tasks, func(a, b int) bool { return tasks[a].ID < tasks[b].ID })
	return tasks
}

// Put adds a task or replaces the row with its ID.
func (t *Table) Put(row *Task) { t.rows[row.ID] = row }

// Remove drops the task with the ID.
func (t *Table) Remove(id string) { delete(t.rows, id) }

// Set moves the task to a state at a time with a reason.
func (t *Task) Set(state State, reason string, now time.Time) {
	if t.State != state {
		t.Since = now
	}
	t.State = state
	t.Reason = reason
}
