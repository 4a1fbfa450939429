// Package task holds the tasks of one failure domain and derives their specs from the manifest.
//
// A task is one instance of a service or one of the tasks of a batch job.
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

// Spec is the part of a task that is derived from the manifest.
type Spec struct {
	// ID is SERVICE/DOMAIN/INDEX for a service instance and JOB@VERSION/INDEX for a batch task. VERSION is
	// the version of the first manifest that named the job, so a job that later reuses the name gets other
	// IDs.
	ID string
	// Service is the service's name, or empty for a batch task.
	Service string
	// Job is the job's name, or empty for a service instance.
	Job string
	// Index numbers the task within its service or job.
	Index int
	Team  string
	// Size is the declared size. For a batch task, it counts against the team's quota.
	Size units.Resources
	// Slots is the number of requests that a service instance handles concurrently.
	Slots    int
	Priority manifest.Priority
	// RunTime is the declared run time of a batch task alone on a worker. It is zero for a service instance.
	RunTime time.Duration
	// Deadline is the wall-clock time by which a batch task should finish. It is zero for a service instance.
	Deadline time.Time
	// Checkpoints is set if a batch task can be resumed from a checkpoint.
	Checkpoints bool
	// MaxFailures is the number of failed attempts after which a batch task is not started again. Up to
	// MaxFailures failures on quarantined workers are not counted.
	MaxFailures  int
	OnDomainLoss manifest.OnDomainLoss
}

// IsService reports whether the task is a service instance.
func (s *Spec) IsService() bool { return s.Service != "" }

// DefaultMaxFailures is the limit on failed attempts of a task whose job does not set one.
const DefaultMaxFailures = 3

// Origin records where and when a job first appeared in an active manifest.
type Origin struct {
	Published time.Time
	// Home is the failure domain that the job belongs to.
	Home string
	// Version is the version of that manifest.
	Version uint64
}

// SpecsForDomain returns the specs of all tasks that m assigns to domain, sorted by ID. origins holds the
// origin of each job by name.
func SpecsForDomain(m *manifest.Manifest, origins map[string]Origin, domain string) []Spec {
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
		for i := range failuredomain.EvenShare(s.Instances, index, len(domains)) {
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
	maxFailures := j.MaxFailures
	if maxFailures == 0 {
		maxFailures = DefaultMaxFailures
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
			MaxFailures:  maxFailures,
			OnDomainLoss: j.OnDomainLoss,
		}
	}
	return specs
}

// FindBatchSpec returns the spec of the batch task with the ID, whichever failure domain is its home. It
// returns false if the manifest does not contain the task.
func FindBatchSpec(m *manifest.Manifest, origins map[string]Origin, id string) (Spec, bool) {
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

// State is the state of a task as known to this node.
type State string

// The states of a task.
const (
	// Waiting tasks have no open attempt and have not ended.
	Waiting State = "waiting"
	// Placing tasks have a placement that is not yet accepted in the log.
	Placing State = "placing"
	// Placed tasks have an accepted placement on a worker that belongs to another node, or that this node has
	// not fenced yet by sending it a new fencing token.
	Placed State = "placed"
	// Starting tasks have an accepted placement whose start the worker has not confirmed yet. They already
	// hold their reservation.
	Starting State = "starting"
	Running  State = "running"
	// Stopping tasks have been asked to stop, and their end is not confirmed yet.
	Stopping State = "stopping"
	// Finished, Failed and Cancelled are final: the task is not started again.
	Finished  State = "finished"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	// Transferred tasks were transferred to another failure domain.
	Transferred State = "departed"
)

// States lists every state.
var States = []State{Waiting, Placing, Placed, Starting, Running, Stopping, Finished, Failed, Cancelled, Transferred}

// Final reports whether the state is final: this failure domain does not start the task again.
func (s State) Final() bool {
	return s == Finished || s == Failed || s == Cancelled || s == Transferred
}

// Task is a task with its state, as held in a Table.
type Task struct {
	Spec
	table *Table
	State State
	// Attempt is the number of the newest attempt, from 1, or 0 if there was none.
	Attempt uint32
	// Worker is the worker of the open attempt, or empty.
	Worker string
	// Reason says why the task waits, or why its last attempt ended.
	Reason string
	// Since is when the task entered its state.
	Since time.Time
	// Progress is the fraction of the work that is done, from 0 to 1, as last reported.
	Progress float64
	// Checkpoint is the newest confirmed checkpoint, or empty.
	Checkpoint string
	// Usage is the measured resource usage, as last reported.
	Usage units.Resources
	// Failures and Evictions are the numbers of failed and evicted attempts.
	Failures  int
	Evictions int
	// NotBefore is the earliest time of the next attempt, after a failure. Zero means no delay.
	NotBefore time.Time
	// Address is the address at which a service instance serves requests, or empty.
	Address string
	// Shard is the shard that the task belongs to.
	Shard uint32
	// Reserved is the reservation of the open attempt, or zero if it is the declared size.
	Reserved units.Resources
	// ObservedNeed is the observed need of this task where it exceeds the estimate for its kind, or zero.
	ObservedNeed units.Resources
	// RequestedReservation is the reservation requested from the worker and not confirmed yet, or zero.
	RequestedReservation units.Resources
	// ResizedAt is when the worker last answered a resize request.
	ResizedAt time.Time
	// WaitingSince is when the task started to wait for its newest placement: when it entered the Waiting state
	// or, if that is later, when its delay ended.
	WaitingSince time.Time
	// AvoidWorker is a worker that the task was moved away from. The task is not placed there before AvoidUntil.
	AvoidWorker string
	AvoidUntil  time.Time
	// OverQuota is set if the placement of the open attempt exceeds the team's quota because other placements
	// were accepted in the log before it.
	OverQuota bool
	// StartedAt is when this node first saw the open attempt running, and StartProgress its progress then.
	StartedAt     time.Time
	StartProgress float64
	// WasThrottled is set if the open attempt was throttled. The run time of the attempt is then not used to
	// estimate the run time of the kind.
	WasThrottled bool
	// RateAt and RateProgress are the time and progress at the start of the interval over which the rate of
	// progress is measured.
	RateAt       time.Time
	RateProgress float64
	// EvictionReason is the reason for which the open attempt is being evicted, as stored in its end record. It
	// is empty if the attempt is not being evicted.
	EvictionReason string
	// EvictionDeadline is when the attempt is stopped even if the requested checkpoint has not been written.
	EvictionDeadline time.Time
	// PreviousCheckpoint is the newest checkpoint at the time when another one was requested.
	PreviousCheckpoint string
	// EvictionsPendingUntil is the time before which no more tasks are evicted for this one, because evictions
	// for it were already requested. Zero means none.
	EvictionsPendingUntil time.Time
	// TransferAfter is the earliest time of the next transfer to another shard.
	TransferAfter time.Time
	// Throttle is the fraction of its reservation that the open attempt is limited to. Zero means no limit.
	Throttle float64
	// Withdrawn is set when the active manifest no longer contains the task.
	Withdrawn bool
	// ConfirmedAt is when the worker first confirmed the open attempt.
	ConfirmedAt time.Time
	// StartUncertain is set if a start request may have taken effect without being confirmed.
	StartUncertain bool
	// CallInFlight is set while a start or stop call to the worker is in flight.
	CallInFlight bool
	// NextStopAt is the earliest time at which the stop request is sent to the worker again.
	NextStopAt time.Time
	// EndingAttempt is the attempt whose end record was sent to the log under the token EndingToken, or 0.
	EndingAttempt uint32
	EndingToken   platform.Offset
}

// Kind returns the name of the task's service or job. Estimates are kept by kind, so that they are reused when
// a later manifest changes the service or names the job again.
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

// IsServiceInstance reports whether an ID is that of a service instance. Names of services and jobs contain no at sign.
func IsServiceInstance(id string) bool { return !strings.Contains(id, "@") }

// Evicting reports whether the open attempt is being evicted.
func (t *Task) Evicting() bool { return t.EvictionReason != "" }

// DiffersFromGroup reports whether the scheduler has to consider the task separately from the others of its
// group, because the task needs more resources than the estimate for its kind or avoids a worker.
func (t *Task) DiffersFromGroup(now time.Time) bool {
	return !t.ObservedNeed.IsZero() || now.Before(t.AvoidUntil)
}

// ResetAttempt resets the fields that only apply to an open attempt.
func (t *Task) ResetAttempt() {
	t.Worker = ""
	t.Address = ""
	t.EndingAttempt = 0
	t.ConfirmedAt = time.Time{}
	t.StartUncertain = false
	t.RequestedReservation = units.Resources{}
	t.OverQuota = false
	t.StartedAt = time.Time{}
	t.EvictionReason = ""
	t.WasThrottled = false
	t.Throttle = 0
	t.NextStopAt = time.Time{}
}

// RunID returns the identifier of the task's newest attempt.
func (t *Task) RunID() platform.RunID { return platform.RunID{Task: t.ID, Attempt: t.Attempt} }
