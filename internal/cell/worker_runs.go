package cell

import (
	"slices"
	"sort"
	"time"

	"cactuswall.example/cactuswall/internal/workercall"
)

// key returns the key of the run among the runs of its worker.
func (r *run) key() workercall.Run { return workercall.Run{Task: r.task.id, Number: r.number} }

// setState sets the state of a run from now on.
func (r *run) setState(state runState, now time.Duration) {
	r.state, r.stateSince = state, now
	if state == runUncertain {
		r.worker.mayHaveUnresolved = true
		r.worker.touch()
	}
}

// setPace sets the ordered speed of a run on its worker, in percent of full speed.
func (r *run) setPace(pace int) {
	r.worker.expectedCPU -= r.expectedCPU()
	r.pace = pace
	r.worker.utilizationLeft = nil
	r.worker.expectedCPU += r.expectedCPU()
}

// addRun adds a run to its worker and its task.
func (w *worker) addRun(r *run) {
	w.touch()
	w.utilizationLeft = nil
	step := r.task.group.step
	w.runs[r.key()] = r
	r.ownResources = hasOwnResources(step)
	if step.TargetTailLatency > 0 {
		w.services = insertRun(w.services, r)
	}
	if step.BestEffort {
		w.bestEffort = insertRun(w.bestEffort, r)
	}
	w.reserved = w.reserved.Add(step.Requested())
	w.expectedCPU += r.expectedCPU()
	w.mayHaveUnresolved = w.mayHaveUnresolved || r.unresolved()
	t := r.task
	if t.needsRun() {
		t.group.toStart--
	}
	t.runs = append(t.runs, r)
	t.group.job.runs++
}

// deleteRun removes a run from its worker and its task, and does nothing where it is missing.
func (w *worker) deleteRun(r *run) {
	t := r.task
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			t.group.job.runs--
			if t.needsRun() {
				t.group.toStart++
			}
			break
		}
	}
	if key := r.key(); w.runs[key] == r {
		w.touch()
		w.utilizationLeft = nil
		delete(w.runs, key)
		w.services = withoutRun(w.services, r)
		w.bestEffort = withoutRun(w.bestEffort, r)
		w.reserved = w.reserved.Sub(t.group.step.Requested())
		w.expectedCPU -= r.expectedCPU()
	}
}

// insertRun inserts a run into runs that are sorted by lessRun.
func insertRun(runs []*run, r *run) []*run {
	i := sort.Search(len(runs), func(i int) bool { return lessRun(r, runs[i]) })
	return slices.Insert(runs, i, r)
}

// withoutRun removes a run from a slice, if it is there, and keeps the order of the others.
func withoutRun(runs []*run, r *run) []*run {
	if i := slices.Index(runs, r); i >= 0 {
		return slices.Delete(runs, i, i+1)
	}
	return runs
}

// unresolved reports whether the run is to be stopped or its start is uncertain.
func (r *run) unresolved() bool { return r.stopRequested || r.state == runUncertain }

// spareCPU returns the CPU, in milli-CPU, that the worker's runs are expected to leave unused.
func (w *worker) spareCPU() int { return w.info.Capacity.MilliCPU - w.expectedCPU }

// bestEffortCPU returns the CPU, in milli-CPU, that the worker's best-effort runs are expected to use.
func (w *worker) bestEffortCPU() int {
	used := 0
	for _, r := range w.bestEffort {
		used += r.expectedCPU()
	}
	return used
}
