// Package guarantee records violations of the scheduler's guarantees to its users ("promises"), such as that
// no task runs twice at once. It counts each violation in a metric and reports the latest one.
package guarantee

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Name identifies a promise. It is used as a metric label.
type Name string

// The promises.
const (
	// Capacity: no worker is committed beyond its processors, memory or accelerators.
	Capacity Name = "capacity"
	// SingleRun: no task runs in two places at once.
	SingleRun Name = "single_run"
	// Resumed: evicted tasks resume from their newest confirmed checkpoint.
	Resumed Name = "resumed"
	// WholeAnswers: each caller gets the complete response to its own request.
	WholeAnswers Name = "whole_answers"
	// NotRun: a request that was rejected with the verdict "not run" did not run.
	NotRun Name = "not_run"
	// AtMostOnce: a non-idempotent request runs at most once.
	AtMostOnce Name = "at_most_once"
	// LeavingEndpoints: an endpoint that is leaving receives no new requests after a few seconds.
	LeavingEndpoints Name = "leaving_endpoints"
	// GracefulStop: a planned stop does not interrupt requests in flight.
	GracefulStop Name = "graceful_stop"
	// Configuration: an accepted manifest is in force within ConfigurationBound and never reverts.
	Configuration Name = "configuration"
	// Deadline: batch tasks end before their deadline.
	Deadline Name = "deadline"
	// Urgent: urgent tasks start within UrgentStart.
	Urgent Name = "urgent"
	// Latency: services answer within their latency target.
	Latency Name = "latency"
)

const (
	// UrgentStart is the maximum time from when an urgent task becomes ready to be placed until a worker
	// confirms its start.
	UrgentStart = 5200 * time.Millisecond
	// ConfigurationBound is the maximum time from the publication of a manifest until it is in force.
	ConfigurationBound = 4 * time.Second
)

// Definition describes a promise and whether a node can detect a violation.
type Definition struct {
	Name Name
	// Text is the promise in one sentence.
	Text string
	// Watched is true if a node detects violations at run time. The other promises are checked by tests only.
	Watched bool
}

// Definitions returns all promises in the order in which Report lists them.
func Definitions() []Definition {
	return []Definition{
		{Capacity, "no worker is committed beyond its capacity", true},
		{SingleRun, "no task runs twice at once", true},
		{Resumed, "evicted work resumes from its newest checkpoint", true},
		{WholeAnswers, "each caller gets the whole answer to its own request", false},
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

// Record holds the violations of one promise since the node started.
type Record struct {
	Definition
	// Broken is the number of violations.
	Broken uint64
	// LastBroken is the time of the last violation, or zero if there was none.
	LastBroken time.Time
	// LastCase names the task, worker or other item of the last violation.
	LastCase string
}

// Book collects the violations that a node has detected since it started. Its methods are safe for concurrent
// use.
type Book struct {
	counters map[Name]*metrics.Counter
	mu       sync.Mutex
	records  map[Name]*Record
}

// NewBook returns a book without violations. It registers a counter in set for each watched promise.
func NewBook(set *metrics.Set) *Book {
	b := &Book{counters: make(map[Name]*metrics.Counter), records: make(map[Name]*Record)}
	for _, d := range Definitions() {
		b.records[d.Name] = &Record{Definition: d}
		if d.Watched {
			b.counters[d.Name] = set.GetOrCreateCounter(fmt.Sprintf("cactuswall_promises_broken_total{promise=%q}", string(d.Name)))
		}
	}
	return b
}

// Break records a violation of a watched promise at a time. by names what violated it, such as a task or a
// worker. Promises that are not watched are ignored.
func (b *Book) Break(name Name, by string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[name]
	if r == nil || !r.Watched {
		return
	}
	r.Broken++
	r.LastBroken = at
	r.LastCase = by
	b.counters[name].Inc()
}

// Report returns a copy of all records, in the order of Definitions.
func (b *Book) Report() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	definitions := Definitions()
	report := make([]Record, len(definitions))
	for i, d := range definitions {
		report[i] = *b.records[d.Name]
	}
	return report
}
