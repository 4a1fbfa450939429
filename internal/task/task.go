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
	// Placed tasks have an accepted placement on a worker of another node, or of a worker that this node
	// has not adopted yet.
	Placed State = "placed"
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

// States lists every state.
var States = []State{Waiting, Placing, Placed, Starting, Running, Stopping, Finished, Failed, Cancelled, Departed}

// Done reports whether the task will not be started again.
func (s State) Done() bool { return s == Finished || s == Failed || s == Cancelled || s == Departed }

// Task is one row of the table.
type Task struct {
	Spec
	table   *Table
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
	// Shard is the shard that the task belongs to.
	Shard uint32
	// Reserved is what the open attempt takes from its worker, or zero for the declared size.
	Reserved units.Resources
	// Needed is what the task has been seen to need beyond what its kind is known to need.
	Needed units.Resources
	// Resizing is the reservation that the worker was asked for and has not confirmed, or zero.
	Resizing units.Resources
	// ResizedAt is when the last resize was answered.
	ResizedAt time.Time
	// AskedAt is when the task last began to wait for a worker, before its newest placement.
	AskedAt time.Time
	// Avoid is a worker that the task was moved away from, until AvoidUntil.
	Avoid      string
	AvoidUntil time.Time
	// OverQuota is set when the placement was accepted after others had used the team's quota up.
	OverQuota bool
	// StartedAt is when this node first saw the open attempt run, and StartProgress what was done then.
	StartedAt     time.Time
	StartProgress float64
	// Slowed is set when the open attempt was throttled, so that its run time says nothing about its kind.
	Slowed bool
	// RateAt and RateProgress are the beginning of the interval over which the speed is measured.
	RateAt       time.Time
	RateProgress float64
	// EvictedFor is the task that the open attempt makes room for, or another reason to end it. Empty: none.
	EvictedFor string
	// EvictAfter is when the attempt is stopped even without the checkpoint that it was asked for.
	EvictAfter time.Time
	// CheckpointBefore is the newest checkpoint at the time when another one was asked for.
	CheckpointBefore string
	// ClearedUntil is set while tasks are evicted for this one, so that no more are.
	ClearedUntil time.Time
	// TransferAfter delays the next move to another shard.
	TransferAfter time.Time
	// Throttle is the share of its reservation that the open attempt is held to. Zero means all of it.
	Throttle float64
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

// Kind returns the name of the task's service or job. What is learnt of a kind outlives a release.
func (s *Spec) Kind() string {
	if s.Service != "" {
		return s.Service
	}
	return s.Job
}

// KindOf returns the kind of the task with the ID.
func KindOf(id string) string {
	if end := strings.IndexAny(id, "@/"); end >= 0 {
		return id[:end]
	}
	return id
}

// Evicting reports whether the open attempt is on its way to be evicted.
func (t *Task) Evicting() bool { return t.EvictedFor != "" }

// Special reports whether the task is not equal to the others of its kind for the scheduler.
func (t *Task) Special(now time.Time) bool {
	return !t.Needed.IsZero() || now.Before(t.AvoidUntil)
}

// EndAttempt clears what belongs to an open attempt only.
func (t *Task) EndAttempt() {
	t.Worker = ""
	t.Address = ""
	t.Ending = 0
	t.ConfirmedAt = time.Time{}
	t.StartUncertain = false
	t.Resizing = units.Resources{}
	t.OverQuota = false
	t.StartedAt = time.Time{}
	t.EvictedFor = ""
	t.Slowed = false
	t.Throttle = 0
	t.StopAfter = time.Time{}
}

// RunID returns the name of the task's newest attempt.
func (t *Task) RunID() platform.RunID { return platform.RunID{Task: t.ID, Attempt: t.Attempt} }
