package main

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// gangTime is how long a member of a gang waits for the others.
const gangTime = 3 * time.Second

// gangs holds the members of the runs of gangs on all workers.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gangRun
}

type gangRun struct {
	present map[string]bool // by task
	ended   string          // how the first member has ended
}

// keyOf returns the key of the run of a gang that a task is a member of.
func keyOf(task string, run int) string {
	return task[:strings.LastIndex(task, ".")] + "#" + strconv.Itoa(run)
}

// at returns the run with a key. The caller holds mu.
func (g *gangs) at(key string) *gangRun {
	if g.runs == nil {
		g.runs = make(map[string]*gangRun)
	}
	if g.runs[key] == nil {
		g.runs[key] = &gangRun{present: make(map[string]bool)}
	}
	return g.runs[key]
}

// join notes that a member is present.
func (g *gangs) join(r *taskRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.at(keyOf(r.task, r.number)).present[r.task] = true
}

// leave notes how a member has ended.
func (g *gangs) leave(r *taskRun, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if run := g.at(keyOf(r.task, r.number)); run.ended == "" {
		run.ended = how
	}
}

// state reports whether all members are present, and how a member ends whose gang has ended; empty if it has not.
func (g *gangs) state(r *taskRun) (complete bool, ends string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	run := g.at(keyOf(r.task, r.number))
	switch run.ended {
	case "":
	case "done":
		ends = "done"
	default:
		ends = "broken"
	}
	return len(run.present) >= r.does.Gang, ends
}
