// Package promise counts the times that a node has seen a promise to the users broken.
package promise

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Name names a promise. It is a metric label.
type Name string

// The promises.
const (
	// Capacity: no worker is committed beyond its processors, memory or accelerators.
	Capacity Name = "capacity"
	// SingleRun: no task runs in two places at once.
	SingleRun Name = "single_run"
	// Resumed: evicted work resumes from its newest confirmed checkpoint.
	Resumed Name = "resumed"
	// WholeAnswers: each caller gets the whole answer to its own request.
	WholeAnswers Name = "whole_answers"
	// NotRun: a request that was refused as not run did not run.
	NotRun Name = "not_run"
	// AtMostOnce: a non-idempotent request runs at most once.
	AtMostOnce Name = "at_most_once"
	// LeavingEndpoints: an endpoint that is leaving receives no new work after a few seconds.
	LeavingEndpoints Name = "leaving_endpoints"
	// GracefulStop: a planned stop cuts off no request in flight.
	GracefulStop Name = "graceful_stop"
	// Configuration: an accepted configuration takes effect within seconds and never reverts.
	Configuration Name = "configuration"
	// Deadline: batch tasks end before their deadline.
	Deadline Name = "deadline"
	// Urgent: urgent work starts within UrgentStart.
	Urgent Name = "urgent"
	// Latency: services answer within their latency target.
	Latency Name = "latency"
)

const (
	// UrgentStart is the time within which urgent work is to start.
	UrgentStart = 5200 * time.Millisecond
	// ConfigurationBound is the time after its publication within which a manifest is to be in force.
	ConfigurationBound = 4 * time.Second
)

// Definition says what a promise is and whether a node can see it broken.
type Definition struct {
	Name Name
	// Text is the promise in one sentence.
	Text string
	// Watched says that a node notices a breach by itself. The others are proved by tests only.
	Watched bool
}

// Definitions lists all promises in the order of reports.
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

// Record is what is known of one promise.
type Record struct {
	Definition
	Broken uint64
	// LastBroken is zero when the promise was never seen broken.
	LastBroken time.Time
	// LastCase names what broke the promise last.
	LastCase string
}

// Book holds the records of a node since its start. Its methods are safe for concurrent use.
type Book struct {
	counters map[Name]*metrics.Counter
	mu       sync.Mutex
	records  map[Name]*Record
}

// NewBook returns a book in which every promise is kept. It registers a counter for each watched promise.
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

// Break notes that a watched promise was broken at a time by a case, such as a task or a worker.
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

// Report returns the records in a fixed order.
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
