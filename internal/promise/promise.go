// Package promise counts the times that a node has seen a promise to the users broken.
package promise

import (
	"sync"
	"time"
)

// Name names a promise.
type Name string

// The promises on the scheduling of tasks.
const (
	// Capacity: no worker is committed beyond its processors, memory or accelerators.
	Capacity Name = "no worker is committed beyond its capacity"
	// SingleRun: no task runs in two places at once.
	SingleRun Name = "no task runs twice at once"
	// Resumed: evicted work resumes from its newest confirmed checkpoint.
	Resumed Name = "evicted work resumes from its newest checkpoint"
	// Deadline: batch tasks end before their deadline.
	Deadline Name = "batch tasks end before their deadline"
	// Urgent: urgent work starts within UrgentStart.
	Urgent Name = "urgent work starts within 5.2 s"
	// Latency: services answer within their latency target.
	Latency Name = "services answer within their latency target"
)

// UrgentStart is the time within which urgent work is to start.
const UrgentStart = 5200 * time.Millisecond

// names are the promises in the order of the report.
var names = []Name{Capacity, SingleRun, Resumed, Deadline, Urgent, Latency}

// Record is what is known of one promise.
type Record struct {
	Name   Name
	Broken uint64
	// LastBroken is zero when the promise was never seen broken.
	LastBroken time.Time
	// LastCase names what broke the promise last.
	LastCase string
}

// Book holds the records of a node since its start. Its methods are safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	records map[Name]*Record
}

// NewBook returns a book in which every promise is kept.
func NewBook() *Book {
	b := &Book{records: make(map[Name]*Record)}
	for _, name := range names {
		b.records[name] = &Record{Name: name}
	}
	return b
}

// Break notes that a promise was broken at a time by a case, such as a task or a worker.
func (b *Book) Break(name Name, by string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[name]
	if r == nil {
		return
	}
	r.Broken++
	r.LastBroken = at
	r.LastCase = by
}

// Report returns the records in a fixed order.
func (b *Book) Report() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := make([]Record, len(names))
	for i, name := range names {
		report[i] = *b.records[name]
	}
	return report
}
