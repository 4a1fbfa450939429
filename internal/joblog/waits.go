package joblog

import (
	"fmt"
	"reflect"
	"time"
)

const (
	messageLate   = "owner late"
	messageOnTime = "owner on time again"
	messageRoom   = "step waiting for resources"
	messageTurn   = "step waiting for its turn"
	// messageRefused is the line of a job that a node answered with statusRefused. It has the cause, so that the line of the
	// response adds nothing to it.
	messageRefused = "job refused"
	statusRefused  = 429
	// oldReportAge is the age from which on reports of workers with runs are older than they can be if the owner is on
	// time, since these workers report at least every 0.8 s.
	oldReportAge = 1500 * time.Millisecond
)

// duration returns a field that holds a duration, which is logged in milliseconds, or 0 if there is none.
func (e *Event) duration(field string) time.Duration {
	ms, _ := e.Fields[field].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

// latePeriod is a time during which an owner was late. line is the line that reported it; end is zero if no end was
// found.
type latePeriod struct {
	line       Event
	start, end time.Time
}

// latePeriods are the periods of late owners in a log, in the order of time.
type latePeriods []latePeriod

// add processes the next event. A period ends when the owner is on time again or has given up the cell, and when a node
// has claimed the cell, since the former owner may have been killed.
func (p *latePeriods) add(e Event) {
	open := p.open()
	switch e.Message {
	case messageLate:
		if open != nil {
			open.end = e.At
		}
		*p = append(*p, latePeriod{line: e, start: e.At.Add(-e.duration("window"))})
	case messageOnTime, "owner no more":
		if open != nil && open.line.Node == e.Node {
			open.end = e.At
		}
	case "owner":
		if open != nil {
			open.end = e.At
		}
	}
}

// open returns the last period if it has not ended, or nil.
func (p latePeriods) open() *latePeriod {
	if len(p) == 0 || !p[len(p)-1].end.IsZero() {
		return nil
	}
	return &p[len(p)-1]
}

// overlap returns how much of the time between from and to is in the period.
func (p *latePeriod) overlap(from, to time.Time) time.Duration {
	if p.start.After(from) {
		from = p.start
	}
	if !p.end.IsZero() && p.end.Before(to) {
		to = p.end
	}
	return max(0, to.Sub(from))
}

// longestWithin returns the period that covers most of the time between from and to, and how much of it all periods
// cover.
func (p latePeriods) longestWithin(from, to time.Time) (longest *latePeriod, total time.Duration) {
	for i := range p {
		overlap := p[i].overlap(from, to)
		total += overlap
		if overlap > 0 && (longest == nil || overlap > longest.overlap(from, to)) {
			longest = &p[i]
		}
	}
	return longest, total
}

// waitCause returns what a task has waited for, as a phrase that begins with "for". end is the line of its start or one
// that says that it still waits. The owner was the cause if it was late for at least half of the wait, or if its picture of the resources in use was old.
func waitCause(events []Event, end *Event) string {
	from := end.At.Add(-end.duration("waited"))
	var late latePeriods
	var room, turn *Event
	for i := range events {
		e := &events[i]
		if e.Fields["cell"] == end.Fields["cell"] {
			late.add(*e)
		}
		if e.At.Before(from) || e.At.After(end.At) || !sameStep(e, end) {
			continue
		}
		switch e.Message {
		case messageRoom:
			room = e
		case messageTurn:
			turn = e
		}
	}
	longest, total := late.longestWithin(from, end.At)
	reportsOld := room != nil && room.duration("report_age_median") >= oldReportAge
	switch {
	case longest != nil && total >= end.duration("waited")/2:
		cause := fmt.Sprintf("for the owner %s, which was late (at first its events waited %v, its rounds took %v, its goroutines waited %v for the processor)",
			longest.line.Node, longest.line.duration("event_delay"), longest.line.duration("round_time"), longest.line.duration("sched_latency"))
		if room != nil && !reportsOld {
			return "for free resources" + behind(room) + " and " + cause
		}
		return cause
	case reportsOld:
		return fmt.Sprintf("for the owner %s, whose newest reports of the full workers were %v old", room.Node, room.duration("report_age_median"))
	case turn != nil && room == nil:
		return fmt.Sprintf("for its turn at the owner %s, which had %v tasks to start", turn.Node, turn.Fields["waiting_tasks"])
	case room != nil && room.evacuatedWorkers() > 0:
		return fmt.Sprintf("for free resources outside the evacuated failure domains, which have %v workers", room.evacuatedWorkers())
	}
	return "for free resources" + behind(room)
}

// behind returns what the resources that a task waited for went to, if the last line about the wait says that the job was late by
// then.
func behind(room *Event) string {
	if room == nil {
		return ""
	}
	switch room.Fields["class"] {
	case "late":
		return ", which went to work that could still be on time"
	case "expired":
		return ", which went to work whose results were still worth something"
	}
	return ""
}

// evacuatedWorkers returns how many workers a line counts that were not chosen because their failure domain is evacuated.
func (e *Event) evacuatedWorkers() float64 {
	workers, _ := e.Fields["workers"].(map[string]any)
	count, _ := workers["evacuated"].(float64)
	return count
}

// sameStep reports whether two lines are about tasks of the same step.
func sameStep(a, b *Event) bool {
	x, _ := a.Fields["task"].(map[string]any)
	y, _ := b.Fields["task"].(map[string]any)
	return x != nil && y != nil && reflect.DeepEqual([]any{x["job"], x["occurrence"], x["step"]}, []any{y["job"], y["occurrence"], y["step"]})
}
