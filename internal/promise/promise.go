// Package promise counts, for each promise of the system, how often one node has seen it broken.
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
	// Capacity: no VM is committed beyond its processors, memory or accelerators.
	Capacity Name = "capacity"
	// OnePlace: no task runs in two places at once.
	OnePlace Name = "one_place"
	// ResumeOnce: evicted work resumes exactly once.
	ResumeOnce Name = "resume_once"
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
	// Deadlines: batch work finishes before its deadline.
	Deadlines Name = "deadlines"
	// LatencyTargets: latency-critical answers arrive in time.
	LatencyTargets Name = "latency_targets"
)

// Definition says what a promise is and what a node can see of it.
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
		{OnePlace, "no task runs in two places at once", true},
		{ResumeOnce, "evicted work resumes exactly once", false},
		{WholeAnswers, "each caller gets the whole answer to its own request", false},
		{NotRun, "a request refused as not run did not run", false},
		{AtMostOnce, "a non-idempotent request runs at most once", false},
		{LeavingEndpoints, "a leaving endpoint receives no new work after a few seconds", false},
		{GracefulStop, "a planned stop cuts off no request in flight", true},
		{Configuration, "an accepted manifest is in force everywhere within seconds and never reverts", true},
		{Deadlines, "batch tasks finish before their deadline", true},
		{LatencyTargets, "answers arrive within the latency target", false},
	}
}

// State is what a node has seen of one promise since its start.
type State struct {
	Definition
	// Broken counts the breaches.
	Broken uint64
	// LastBroken is when the newest breach was seen, or zero.
	LastBroken time.Time
}

// Recorder counts breaches. It is safe for concurrent use.
type Recorder struct {
	counters map[Name]*metrics.Counter
	mu       sync.Mutex
	states   []State
}

// NewRecorder returns a recorder that registers a counter for each promise that a node watches.
func NewRecorder(set *metrics.Set) *Recorder {
	r := &Recorder{counters: make(map[Name]*metrics.Counter)}
	for _, d := range Definitions() {
		r.states = append(r.states, State{Definition: d})
		if d.Watched {
			r.counters[d.Name] = set.GetOrCreateCounter(fmt.Sprintf("cactuswall_promises_broken_total{promise=%q}", string(d.Name)))
		}
	}
	return r
}

// Broken counts one breach seen at a time.
func (r *Recorder) Broken(name Name, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.states {
		if r.states[i].Name == name {
			r.states[i].Broken++
			r.states[i].LastBroken = now
			r.counters[name].Inc()
		}
	}
}

// States returns what was seen of each promise.
func (r *Recorder) States() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]State(nil), r.states...)
}
