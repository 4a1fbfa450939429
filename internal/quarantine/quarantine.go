// Package quarantine tells bad workers from bad tasks by the outcomes of attempts.
//
// A worker on which attempts of several kinds fail one after another, although those kinds end well
// elsewhere or were never at fault, is quarantined and probed after a backoff. A kind that fails on
// several good workers is at fault itself, and its failures do not count against workers.
package quarantine

import "time"

const (
	// suspectAfter is the number of failures in a row that quarantine a worker.
	suspectAfter = 3
	// faultyOn is the number of workers on which a kind must fail, without a success, to be at fault.
	faultyOn = 3
	// maxPart is the part of the workers that may be quarantined at once, one at least.
	maxPart = 10
	// rateWeight is the weight of the newest attempt in the failure rate.
	rateWeight = 0.2
)

// Probes says when quarantined workers are tried again.
type Probes struct {
	// First is the time to the first probe. It doubles with each failed probe, up to Longest.
	First, Longest time.Duration
}

// SlowProbes suit VMs whose troubles last until somebody sees to them.
var SlowProbes = Probes{First: 30 * time.Second, Longest: 30 * time.Minute}

// State says how a worker is trusted.
type State int

// The states of a worker.
const (
	// Trusted workers take any task.
	Trusted State = iota
	// Quarantined workers take none.
	Quarantined
	// Probing workers take one task at a time.
	Probing
)

// worker is what is known of one worker.
type worker struct {
	// failed holds the kinds of the failures in a row.
	failed map[string]int
	count  int
	rate   float64
	// probeAt is when a quarantined worker is next tried; zero for a trusted one.
	probeAt time.Time
	backOff time.Duration
}

// kind is what is known of one kind of task.
type kind struct {
	failedOn  map[string]bool
	succeeded bool
}

// Table holds the outcomes of a failure domain. Its methods are not safe for concurrent use.
type Table struct {
	probes      Probes
	workers     map[string]*worker
	kinds       map[string]*kind
	excused     map[string]int
	fleet       int
	quarantined int
}

// NewTable returns a table that trusts every worker.
func NewTable(probes Probes) *Table {
	return &Table{probes: probes, workers: make(map[string]*worker), kinds: make(map[string]*kind), excused: make(map[string]int)}
}

// SetFleet sets the number of workers, which bounds the quarantine.
func (t *Table) SetFleet(workers int) { t.fleet = workers }

// Succeeded takes an attempt that ended well.
func (t *Table) Succeeded(workerID, kindName string) {
	k := t.kind(kindName)
	k.succeeded = true
	w := t.worker(workerID)
	w.rate -= rateWeight * w.rate
	w.clear()
	if !w.probeAt.IsZero() {
		w.probeAt = time.Time{}
		w.backOff = 0
		t.quarantined--
	}
}

// Failed takes a failed attempt of a task. It reports whether the worker was quarantined for it.
func (t *Table) Failed(workerID, taskID, kindName string, now time.Time) bool {
	w := t.worker(workerID)
	w.rate += rateWeight * (1 - w.rate)
	if !w.probeAt.IsZero() {
		t.excused[taskID]++
		if !now.Before(w.probeAt) {
			w.quarantine(now, t.probes)
		}
		return false
	}
	k := t.kind(kindName)
	k.failedOn[workerID] = true
	if t.Faulty(kindName) {
		return false
	}
	w.failed[kindName]++
	w.count++
	if w.count < suspectAfter || !t.blames(w) || t.quarantined >= t.bound() {
		return false
	}
	t.quarantined++
	w.quarantine(now, t.probes)
	for name := range w.failed {
		delete(t.kind(name).failedOn, workerID)
	}
	w.clear()
	return true
}

// blames reports whether the failures in a row speak against the worker: they are of several kinds, or of
// one that ended well elsewhere.
func (t *Table) blames(w *worker) bool {
	if len(w.failed) > 1 {
		return true
	}
	for name := range w.failed {
		if t.kind(name).succeeded {
			return true
		}
	}
	return false
}

// Faulty reports whether a kind fails by its own fault.
func (t *Table) Faulty(kindName string) bool {
	k := t.kinds[kindName]
	return k != nil && !k.succeeded && len(k.failedOn) >= faultyOn
}

// Excused returns how many failures of a task fell on workers that were quarantined at the time.
func (t *Table) Excused(taskID string) int { return t.excused[taskID] }

// FailureRate returns the recent share of failed attempts on a worker, from 0 to 1.
func (t *Table) FailureRate(workerID string) float64 {
	if w := t.workers[workerID]; w != nil {
		return w.rate
	}
	return 0
}

// State returns how a worker is trusted at now.
func (t *Table) State(workerID string, now time.Time) State {
	w := t.workers[workerID]
	switch {
	case w == nil || w.probeAt.IsZero():
		return Trusted
	case now.Before(w.probeAt):
		return Quarantined
	default:
		return Probing
	}
}

// Quarantined returns the number of workers that are quarantined or probing.
func (t *Table) Quarantined() int { return t.quarantined }

// Forget drops a worker that is gone.
func (t *Table) Forget(workerID string) {
	if w := t.workers[workerID]; w != nil && !w.probeAt.IsZero() {
		t.quarantined--
	}
	delete(t.workers, workerID)
}

// ForgetTask drops a task that will not run again.
func (t *Table) ForgetTask(taskID string) { delete(t.excused, taskID) }

// Keep drops the kinds that are not wanted any more.
func (t *Table) Keep(wanted func(kind string) bool) {
	for name := range t.kinds {
		if !wanted(name) {
			delete(t.kinds, name)
		}
	}
}

// bound returns how many workers may be quarantined at once.
func (t *Table) bound() int { return max(1, t.fleet/maxPart) }

func (t *Table) worker(id string) *worker {
	w := t.workers[id]
	if w == nil {
		w = &worker{failed: make(map[string]int)}
		t.workers[id] = w
	}
	return w
}

func (t *Table) kind(name string) *kind {
	k := t.kinds[name]
	if k == nil {
		k = &kind{failedOn: make(map[string]bool)}
		t.kinds[name] = k
	}
	return k
}

func (w *worker) clear() {
	clear(w.failed)
	w.count = 0
}

// quarantine sets the time of the next probe.
func (w *worker) quarantine(now time.Time, probes Probes) {
	w.backOff = min(max(2*w.backOff, probes.First), probes.Longest)
	w.probeAt = now.Add(w.backOff)
}
