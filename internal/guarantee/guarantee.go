// Package guarantee records violations of the scheduler's guarantees to its users, such as that
// no task runs twice at once. It counts each violation in a metric and reports the latest one.
package guarantee

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// ID identifies a guarantee. It is used as a metric label.
type ID string

// The guarantees.
const (
	// Capacity: no worker is committed beyond its processors, memory or accelerators.
	Capacity ID = "capacity"
	// SingleRun: no task runs in two places at once.
	SingleRun ID = "single_run"
	// ResumesFromCheckpoint: evicted tasks resume from their newest confirmed checkpoint.
	ResumesFromCheckpoint ID = "resumed"
	// CompleteResponses: each caller gets the complete response to its own request.
	CompleteResponses ID = "whole_answers"
	// NotRun: a request that was rejected with the verdict "not run" did not run.
	NotRun ID = "not_run"
	// AtMostOnce: a non-idempotent request runs at most once.
	AtMostOnce ID = "at_most_once"
	// LeavingEndpoints: an endpoint that is leaving receives no new requests after a few seconds.
	LeavingEndpoints ID = "leaving_endpoints"
	// GracefulStop: a planned stop does not interrupt requests in flight.
	GracefulStop ID = "graceful_stop"
	// Configuration: an accepted manifest is active within MaxManifestDelay and never reverts.
	Configuration ID = "configuration"
	// Deadline: batch tasks end before their deadline.
	Deadline ID = "deadline"
	// Urgent: urgent tasks start within MaxUrgentStartDelay.
	Urgent ID = "urgent"
	// Latency: services answer within their latency target.
	Latency ID = "latency"
)

const (
	// MaxUrgentStartDelay is the maximum time from when an urgent task becomes ready to be placed until a worker
	// confirms its start.
	MaxUrgentStartDelay = 5200 * time.Millisecond
	// MaxManifestDelay is the maximum time from the publication of a manifest until it is active.
	MaxManifestDelay = 4 * time.Second
)

// Definition describes a guarantee and whether a node can detect a violation.
type Definition struct {
	ID ID
	// Text is the guarantee in one sentence.
	Text string
	// Detectable is true if a node detects violations at run time. The other guarantees are checked by tests
	// only.
	Detectable bool
}

// Definitions returns all guarantees in the order in which Report lists them.
func Definitions() []Definition {
	return []Definition{
		{Capacity, "no worker is committed beyond its capacity", true},
		{SingleRun, "no task runs twice at once", true},
		{ResumesFromCheckpoint, "evicted work resumes from its newest checkpoint", true},
		{CompleteResponses, "each caller gets the whole answer to its own request", false},
		{NotRun, "a request refused as not run did not run", false},
		{AtMostOnce, "a non-idempotent request runs at most once", false},
		{LeavingEndpoints, "a leaving endpoint receives no new work after a few seconds", false},
		{GracefulStop, "a planned stop cuts off no request in flight", true},
		{Configuration, "an accepted manifest is in force within 4 s and never reverts", true},
		{Deadline, "batch tasks end before their deadline", true},
		{Urgent, "urgent work starts within 5.2 s", true},
		{Latency, "services answer within their latency target", true},
	}
}

// Violations holds the violations of one guarantee since the node started.
type Violations struct {
	Definition
	// Count is the number of violations.
	Count uint64
	// LastAt is the time of the last violation, or zero if there was none.
	LastAt time.Time
	// LastSubject names the task, worker or other item of the last violation.
	LastSubject string
}

// Recorder collects the violations that a node has detected since it started. Its methods are safe for
// concurrent use.
type Recorder struct {
	counters map[ID]*metrics.Counter
	mu       sync.Mutex
	records  map[ID]*Violations
}

// NewRecorder returns a recorder without violations. It registers a counter in set for each detectable
// guarantee.
func NewRecorder(set *metrics.Set) *Recorder {
	b := &Recorder{counters: make(map[ID]*metrics.Counter), records: make(map[ID]*Violations)}
	for _, d := range Definitions() {
		b.records[d.ID] = &Violations{Definition: d}
		if d.Detectable {
			b.counters[d.ID] = set.GetOrCreateCounter(fmt.Sprintf("cactuswall_promises_broken_total{promise=%q}", string(d.ID)))
		}
	}
	return b
}

// RecordViolation records a violation of a detectable guarantee at a time. by names what violated it, such as
// a task or a worker. Guarantees that are not detectable are ignored.
func (rec *Recorder) RecordViolation(id ID, by string, at time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := rec.records[id]
	if r == nil || !r.Detectable {
		return
	}
	r.Count++
	r.LastAt = at
	r.LastSubject = by
	rec.counters[id].Inc()
}

// Report returns a copy of all records, in the order of Definitions.
func (rec *Recorder) Report() []Violations {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	definitions := Definitions()
	report := make([]Violations, len(definitions))
	for i, d := range definitions {
		report[i] = *rec.records[d.ID]
	}
	return report
}
