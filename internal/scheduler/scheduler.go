// Package scheduler turns a snapshot of workers and waiting tasks into a plan.
//
// It is pure: it reads no clock and touches no socket. The plan is checked again when it is applied, by
// the ledger and by the worker itself.
package scheduler

import (
	"sort"
	"time"

	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/units"
)

// Worker is a worker that may get tasks.
type Worker struct {
	ID       string
	Rack     string
	Capacity units.Resources
	Room     units.Resources
}

// Task is a waiting task.
type Task struct {
	ID       string
	Team     string
	Service  string
	Size     units.Resources
	Priority manifest.Priority
	RunTime  time.Duration
	// Deadline is zero for a service instance.
	Deadline time.Time
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Now     time.Time
	Workers []Worker
	Waiting []Task
	// TeamRoom is what is left of each team's quota here.
	TeamRoom map[string]units.Resources
	// MaxPlacements bounds the placements of one plan.
	MaxPlacements int
}

// Placement assigns a task to a worker.
type Placement struct {
	Task   string
	Worker string
}

// Reasons for which a task waits.
const (
	ReasonTooBig  = "too big for any worker of this share"
	ReasonNoRoom  = "no worker has room now"
	ReasonQuota   = "the team's quota is used up"
	ReasonNoQuota = "the team's quota can never hold the task"
	ReasonBound   = "more tasks wait than are placed in one tick"
)

// Plan is the result.
type Plan struct {
	Placements []Placement
	// Waits gives the reason of each task that was not placed.
	Waits map[string]string
}

// Make returns the plan for a snapshot. It changes the rooms in the snapshot as it goes.
func Make(s Snapshot) Plan {
	plan := Plan{Waits: make(map[string]string)}
	order(s)
	for i := range s.Waiting {
		t := &s.Waiting[i]
		if len(plan.Placements) >= s.MaxPlacements {
			plan.Waits[t.ID] = ReasonBound
			continue
		}
		w, reason := choose(s, t)
		if w == nil {
			plan.Waits[t.ID] = reason
			continue
		}
		commit(s, t, w)
		plan.Placements = append(plan.Placements, Placement{Task: t.ID, Worker: w.ID})
	}
	return plan
}

// order sorts the waiting tasks: services first, then urgent jobs, then by least slack.
func order(s Snapshot) {
	sort.SliceStable(s.Waiting, func(a, b int) bool {
		x, y := &s.Waiting[a], &s.Waiting[b]
		if rank(x) != rank(y) {
			return rank(x) < rank(y)
		}
		if slackX, slackY := slack(s.Now, x), slack(s.Now, y); slackX != slackY {
			return slackX < slackY
		}
		return x.ID < y.ID
	})
}

func rank(t *Task) int {
	switch {
	case t.Service != "":
		return 0
	case t.Priority == manifest.Urgent:
		return 1
	case t.Priority == manifest.Batch:
		return 2
	default:
		return 3
	}
}

// slack is the time that is left after the run time has been taken off.
func slack(now time.Time, t *Task) time.Duration {
	return t.Deadline.Sub(now) - t.RunTime
}

// choose returns the feasible worker with the best score, or the reason why there is none.
func choose(s Snapshot, t *Task) (*Worker, string) {
	if t.Service == "" && !t.Size.Fits(s.TeamRoom[t.Team]) {
		return nil, ReasonQuota
	}
	var best *Worker
	var bestScore float64
	everFits := false
	for i := range s.Workers {
		w := &s.Workers[i]
		everFits = everFits || t.Size.Fits(w.Capacity)
		if !t.Size.Fits(w.Room) {
			continue
		}
		if score := fit(t.Size, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	switch {
	case best != nil:
		return best, ""
	case everFits:
		return nil, ReasonNoRoom
	default:
		return nil, ReasonTooBig
	}
}

// fit is higher the more of a worker stays free, so that load spreads.
func fit(size units.Resources, w *Worker) float64 {
	left := w.Room.Sub(size)
	return share(left.MilliProcessors, w.Capacity.MilliProcessors) + share(left.MemoryMiB, w.Capacity.MemoryMiB)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func commit(s Snapshot, t *Task, w *Worker) {
	w.Room = w.Room.Sub(t.Size)
	if t.Service == "" {
		s.TeamRoom[t.Team] = s.TeamRoom[t.Team].Sub(t.Size)
	}
}
