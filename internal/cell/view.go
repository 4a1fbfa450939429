package cell

import (
	"math"

	"cactuswall.example/cactuswall/internal/placement"
	"cactuswall.example/cactuswall/internal/quarantine"
)

// placementView is a snapshot of the workers that accept tasks, those included that are quarantined. workers, candidates and
// states have the same indexes, and reserve updates the candidates as tasks are placed.
type placementView struct {
	workers    []*worker
	candidates []placement.Worker
	states     []quarantine.State
	// headroom holds, by image and worker index, the share of the worker's CPU time that best-effort tasks of the image
	// may use; see Cell.headroom. It is NaN until it is computed, see Cell.headroomAt. An image has a slice once it is
	// needed; from then on reserve changes the headroom, computing it first.
	headroom map[string][]float64
	// risk holds, in the same way, the interference risk of an image; see Cell.riskAt.
	risk map[string][]float64
	// unplaceable holds, by constraints, the last need for which no worker was found. chooseWorker returns -1 at once
	// for a task with the same constraints that needs at least as much.
	unplaceable map[needKey]placement.Need
	serviceRoom []serviceRoom // results of mostlyFree
	// hangingStarts is the number of unanswered start orders to workers that hang.
	hangingStarts int
	// repeatedStarts is how many further tasks that end repeatedly may be placed.
	repeatedStarts int
	waitLogs       int // lines that logWaiting has written for this view
	// waitsForSuspect is set if the task for which a worker was last chosen may run on a quarantined worker later, which
	// depends on how long it has waited.
	waitsForSuspect bool
	// reserved contains the workers that reserveWorkers keeps free.
	reserved map[*worker]bool
	// racks is what decisions about waits for a rack have in common, and onlyRack, unless empty, the only rack that
	// chooseWorker considers.
	racks    rackView
	onlyRack string
	// unused holds the slices of an earlier view's headroom and risk for use in this one.
	unused [][]float64
}

// newPlacementView returns a view of the workers that accept tasks now. It ends the use of the view that an earlier call
// returned, whose memory it uses again.
func (c *Cell) newPlacementView() *placementView {
	v := &c.view
	v.reset()
	for _, w := range c.sortedWorkers() {
		if c.hangs(w) {
			v.hangingStarts += w.unansweredStarts
		}
		if !c.acceptsTasks(w) {
			continue
		}
		state := quarantine.Trusted
		if c.health.Quarantined() > 0 {
			state = c.health.State(w.info.ID, c.wall)
		}
		v.add(w, state)
		v.candidates[len(v.candidates)-1].Slow = c.now < w.slowUntil
	}
	return v
}

// add adds a worker. It leaves names as they are that are still there from an earlier view, since writing a pointer is
// costly during a garbage collection.
func (v *placementView) add(w *worker, state quarantine.State) {
	n := len(v.workers)
	if n == cap(v.workers) || n == cap(v.candidates) {
		v.workers, v.candidates = append(v.workers, w), append(v.candidates, placement.Worker{})
	} else {
		v.workers, v.candidates = v.workers[:n+1], v.candidates[:n+1]
	}
	if v.workers[n] != w {
		v.workers[n] = w
	}
	candidate := &v.candidates[n]
	if candidate.ID != w.info.ID || candidate.Rack != w.info.Rack || candidate.FailureDomain != w.info.FailureDomain {
		candidate.ID, candidate.Rack, candidate.FailureDomain = w.info.ID, w.info.Rack, w.info.FailureDomain
	}
	candidate.Free, candidate.SpareMilliCPU, candidate.MilliCPU = w.info.Capacity.Sub(w.reserved), w.spareCPU(), w.info.Capacity.MilliCPU
	candidate.Probing, candidate.FailureRate = state != quarantine.Trusted, w.failureRate
	v.states = append(v.states, state)
}

func (v *placementView) reset() {
	if v.headroom == nil {
		v.headroom, v.risk = make(map[string][]float64), make(map[string][]float64)
		v.unplaceable = make(map[needKey]placement.Need)
		v.reserved = make(map[*worker]bool)
	}
	for _, byImage := range []map[string][]float64{v.headroom, v.risk} {
		for _, values := range byImage {
			v.unused = append(v.unused, values)
		}
		clear(byImage)
	}
	clear(v.unplaceable)
	clear(v.reserved)
	v.racks.reset()
	v.hangingStarts = 0
	v.workers, v.candidates, v.states, v.waitLogs = v.workers[:0], v.candidates[:0], v.states[:0], 0
}

// newValues returns a slice with NaN for each candidate.
func (v *placementView) newValues() []float64 {
	var values []float64
	if n := len(v.unused); n > 0 {
		values, v.unused = v.unused[n-1][:0], v.unused[:n-1]
	}
	for range v.workers {
		values = append(values, math.NaN())
	}
	return values
}
