// Package quarantine distinguishes faulty workers from faulty tasks. Its inputs are the outcomes of attempts, each with
// the worker and the kind of the task; its output is the state of each worker. A kind is any key that groups similar
// tasks, such as their image.
//
// A worker is quarantined when several attempts in a row fail on it, if these are of more than one kind or of a kind
// that succeeded elsewhere. At most a tenth of the workers, but always one, may be quarantined at the same time. After
// a backoff, a quarantined worker is probed with one task at a time. A kind that fails on several workers and succeeds
// on none is faulty itself, and its failures do not count against workers.
package quarantine

import "time"

const (
	// quarantineAfter is the number of consecutive failures after which a worker may be quarantined.
	quarantineAfter = 3
	// faultyKindWorkers is the number of workers on which a kind must fail, without any success, to be faulty.
	faultyKindWorkers = 3
	// One in maxQuarantinedDivisor workers may be quarantined at the same time, and always at least one.
	maxQuarantinedDivisor = 10
	// failureRateWeight is the weight of the latest attempt in the moving average of the failure rate.
	failureRateWeight = 0.2
)

// ProbeBackoff is the backoff of a quarantined worker: the time to wait before each probe.
type ProbeBackoff struct {
	// First is the time until the first probe. It doubles with each failed probe, up to Max.
	First, Max time.Duration
}

// DefaultProbeBackoff is the backoff for workers on VMs whose faults last until they are repaired manually.
var DefaultProbeBackoff = ProbeBackoff{First: 30 * time.Second, Max: 30 * time.Minute}

// State says which tasks a worker may take.
type State int

// The states of a worker.
const (
	// Trusted workers take any task.
	Trusted State = iota
	// Quarantined workers take no task.
	Quarantined
	// Probing workers may take one task at a time, which the code that calls State enforces.
	Probing
)

// worker holds the outcomes of the attempts on one worker.
type worker struct {
	// failuresByKind counts the consecutive failures by kind.
	failuresByKind      map[string]int
	consecutiveFailures int
	failureRate         float64
	// probeAt is the time from which on a quarantined worker is probed; it is zero for a trusted worker.
	probeAt time.Time
	backoff time.Duration
}

// kind holds the outcomes of the attempts of one kind of task.
type kind struct {
	// failedOn is the set of workers on which the kind failed.
	failedOn  map[string]bool
	succeeded bool
}

// Table records the outcomes of attempts in one failure domain, by worker and by kind, and derives the state of each
// worker. Its methods are not safe for concurrent use.
type Table struct {
	probeBackoff ProbeBackoff
	workers      map[string]*worker
	kinds        map[string]*kind
	// failuresInQuarantine counts, by task, the failures on workers that were quarantined or probing.
	failuresInQuarantine map[string]int
	workerCount          int
	notTrusted           int
}

// NewTable returns a table in which every worker is trusted.
func NewTable(probeBackoff ProbeBackoff) *Table {
	return &Table{
		probeBackoff: probeBackoff, workers: make(map[string]*worker), kinds: make(map[string]*kind),
		failuresInQuarantine: make(map[string]int),
	}
}

// SetWorkerCount sets the number of workers, which limits how many may be quarantined. Until it is called, that is one.
func (t *Table) SetWorkerCount(workers int) { t.workerCount = workers }

// RecordSuccess records a successful attempt. It ends the worker's quarantine.
func (t *Table) RecordSuccess(workerID, kindName string) {
	k := t.kind(kindName)
	k.succeeded = true
	w := t.worker(workerID)
	w.failureRate -= failureRateWeight * w.failureRate
	w.clear()
	if !w.probeAt.IsZero() {
		w.probeAt = time.Time{}
		w.backoff = 0
		t.notTrusted--
	}
}

// RecordFailure records a failed attempt of a task and reports whether it put the worker in quarantine. A failure of a
// probe doubles the backoff; while a worker is quarantined, a failure before the time of the probe leaves the backoff
// unchanged. A failure of a faulty kind on a worker that is not quarantined changes only the worker's failure rate.
func (t *Table) RecordFailure(workerID, taskID, kindName string, now time.Time) bool {
	w := t.worker(workerID)
	w.failureRate += failureRateWeight * (1 - w.failureRate)
	if !w.probeAt.IsZero() {
		t.failuresInQuarantine[taskID]++
		if !now.Before(w.probeAt) {
			w.quarantine(now, t.probeBackoff)
		}
		return false
	}
	k := t.kind(kindName)
	k.failedOn[workerID] = true
	if t.KindFaulty(kindName) {
		return false
	}
	w.failuresByKind[kindName]++
	w.consecutiveFailures++
	if w.consecutiveFailures < quarantineAfter || !t.indicatesFaultyWorker(w) || t.notTrusted >= t.maxQuarantined() {
		return false
	}
	t.notTrusted++
	w.quarantine(now, t.probeBackoff)
	for name := range w.failuresByKind {
		// The worker is at fault, so its failures do not count against the kinds.
		delete(t.kind(name).failedOn, workerID)
	}
	w.clear()
	return true
}

// indicatesFaultyWorker reports whether the worker rather than the tasks caused the consecutive failures: they are of
// more than one kind, or of a kind that succeeded elsewhere.
func (t *Table) indicatesFaultyWorker(w *worker) bool {
	if len(w.failuresByKind) > 1 {
		return true
	}
	for name := range w.failuresByKind {
		if t.kind(name).succeeded {
			return true
		}
	}
	return false
}

// KindFaulty reports whether a kind itself is at fault: it failed on several workers and has never succeeded.
func (t *Table) KindFaulty(kindName string) bool {
	k := t.kinds[kindName]
	return k != nil && !k.succeeded && len(k.failedOn) >= faultyKindWorkers
}

// FailuresInQuarantine returns how many failures of a task happened on workers that were quarantined or probing at the
// time. They need not count as failed attempts of the task.
func (t *Table) FailuresInQuarantine(taskID string) int { return t.failuresInQuarantine[taskID] }

// FailureRate returns the moving average of the share of failed attempts on a worker, from 0 to 1.
func (t *Table) FailureRate(workerID string) float64 {
	if w := t.workers[workerID]; w != nil {
		return w.failureRate
	}
	return 0
}

// State returns the state of a worker at the time now.
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

// Quarantined returns the number of workers whose state is Quarantined or Probing.
func (t *Table) Quarantined() int { return t.notTrusted }

// RemoveWorker removes a worker that no longer exists.
func (t *Table) RemoveWorker(workerID string) {
	if w := t.workers[workerID]; w != nil && !w.probeAt.IsZero() {
		t.notTrusted--
	}
	delete(t.workers, workerID)
}

// RemoveTask removes a task that will not run again.
func (t *Table) RemoveTask(taskID string) { delete(t.failuresInQuarantine, taskID) }

// RetainKinds removes the outcomes of all kinds for which wanted returns false.
func (t *Table) RetainKinds(wanted func(kind string) bool) {
	for name := range t.kinds {
		if !wanted(name) {
			delete(t.kinds, name)
		}
	}
}

// maxQuarantined returns how many workers may be quarantined at the same time.
func (t *Table) maxQuarantined() int { return max(1, t.workerCount/maxQuarantinedDivisor) }

func (t *Table) worker(id string) *worker {
	w := t.workers[id]
	if w == nil {
		w = &worker{failuresByKind: make(map[string]int)}
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
	clear(w.failuresByKind)
	w.consecutiveFailures = 0
}

// quarantine sets the backoff to probeBackoff.First or, after a failed probe, to twice its value, up to
// probeBackoff.Longest, and sets the time of the next probe.
func (w *worker) quarantine(now time.Time, probeBackoff ProbeBackoff) {
	w.backoff = min(max(2*w.backoff, probeBackoff.First), probeBackoff.Max)
	w.probeAt = now.Add(w.backoff)
}
