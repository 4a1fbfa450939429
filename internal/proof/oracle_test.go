package proof

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/standin"
	"cactuswall.example/cactuswall/internal/units"
)

// oracle knows what truly happened, told by the stand-ins alone, and keeps every breach of a promise.
type oracle struct {
	mu       sync.Mutex
	start    time.Time
	trace    []string
	breaches []string

	capacity units.Resources
	// running holds the worker of every run that is under way, by task and attempt.
	running map[string]map[uint32]string
	// finishedTasks gives the worker on which each task has finished, recorded the tasks whose finish is in
	// the log.
	finishedTasks map[string]string
	recorded      map[string]bool
	// forgotten holds the tasks whose finish was not in the log when their worker failed.
	forgotten map[string]bool
	// checkpoint holds the share of the work in the newest confirmed checkpoint of each task.
	checkpoint map[string]float64
	// executions counts how often each request ran at an endpoint.
	executions map[string]int

	// snapshots gives the newest offset that a snapshot in each stream stands for.
	snapshots map[string]platform.Offset
	// landed gives the time at which each entry reached its stream.
	landed map[string][]landing

	chain []accepted
	// state reads the documents of accepted publications.
	state    config.State
	entries  map[platform.Offset][]byte
	nextRead platform.Offset
}

// accepted is one manifest that the log's order accepted.
type accepted struct {
	version platform.Offset
	m       manifest.Manifest
}

func newOracle(capacity units.Resources) *oracle {
	return &oracle{
		start:         time.Now(),
		capacity:      capacity,
		running:       make(map[string]map[uint32]string),
		finishedTasks: make(map[string]string),
		recorded:      make(map[string]bool),
		forgotten:     make(map[string]bool),
		snapshots:     make(map[string]platform.Offset),
		landed:        make(map[string][]landing),
		checkpoint:    make(map[string]float64),
		executions:    make(map[string]int),
		entries:       make(map[platform.Offset][]byte),
		nextRead:      1,
	}
}

// Write takes the log lines of the nodes into the trace.
func (o *oracle) Write(p []byte) (int, error) {
	o.tracef("%s", strings.TrimSpace(string(p)))
	return len(p), nil
}

func (o *oracle) tracef(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.note(format, args...)
}

func (o *oracle) note(format string, args ...any) {
	o.trace = append(o.trace, fmt.Sprintf("%9.3fs  ", time.Since(o.start).Seconds())+fmt.Sprintf(format, args...))
}

func (o *oracle) breachf(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.breach(format, args...)
}

// breach keeps a breach. The caller holds the lock.
func (o *oracle) breach(format string, args ...any) {
	o.note("BREACH "+format, args...)
	o.breaches = append(o.breaches, fmt.Sprintf(format, args...))
}

// jobOf returns the job or service of a task.
func jobOf(task string) string { return task[:strings.IndexAny(task, "@/")] }

// starting is told of the request with which a worker begins a run.
func (o *oracle) starting(worker string, req platform.StartRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// Every task truly uses its declared size. A reservation that was learnt may be larger, never smaller.
	if uses := sizes[jobOf(req.Run.Task)]; !uses.Fits(req.Size) {
		o.breach("%s attempt %d begins on %s with a reservation of %v and uses %v", req.Run.Task, req.Run.Attempt, worker, req.Size, uses)
	}
	resumed := progressOf(req.Checkpoint)
	if confirmed := o.checkpoint[req.Run.Task]; resumed < confirmed {
		o.breach("%s attempt %d resumes at %.3f, a checkpoint at %.3f was confirmed", req.Run.Task, req.Run.Attempt, resumed, confirmed)
	}
}

// ran is told of every start and end of a run by the worker itself.
func (o *oracle) ran(worker string, run platform.RunID, state platform.RunState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.note("%s: %s attempt %d is %s", worker, run.Task, run.Attempt, state)
	live := o.running[run.Task]
	if state.Final() {
		delete(live, run.Attempt)
		if state == platform.RunFinished {
			o.finishedTasks[run.Task] = worker
		}
		return
	}
	for attempt, other := range live {
		o.breach("%s runs as attempt %d on %s and as attempt %d on %s", run.Task, attempt, other, run.Attempt, worker)
	}
	if o.finishedTasks[run.Task] != "" {
		o.breach("%s runs again as attempt %d although it has finished", run.Task, run.Attempt)
	}
	if live == nil {
		live = make(map[uint32]string)
		o.running[run.Task] = live
	}
	live[run.Attempt] = worker
	o.checkCapacity(worker)
}

// checkCapacity sums the declared sizes of what truly runs on a worker. The caller holds the lock.
func (o *oracle) checkCapacity(worker string) {
	var sum units.Resources
	for task, live := range o.running {
		for _, w := range live {
			if w == worker {
				sum = sum.Add(sizes[jobOf(task)])
			}
		}
	}
	if !sum.Fits(o.capacity) {
		o.breach("%s runs %v, its capacity is %v", worker, sum, o.capacity)
	}
}

// landing is when an entry reached its stream.
type landing struct {
	offset platform.Offset
	at     time.Time
}

// trim drops what the log has kept for longer than its retention. In random cases it leaves what no snapshot
// stands for: there the log can be out of reach of every node for longer than the retention, and then the
// domain's state is lost by design (seed 1247: nobody could write from 14 s to 75 s).
func (o *oracle) trim(log *standin.Log, uncovered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for stream, entries := range o.landed {
		for _, e := range entries {
			if time.Since(e.at) > retention && (uncovered || e.offset <= o.snapshots[stream]) {
				log.Trim(stream, e.offset+1)
			}
		}
	}
}

// workerFailed is told that a VM is gone. What finished on it and is not in the log is known to nobody any
// more: a node that could not reach the log had no way to keep it. So only such a task may run again.
func (o *oracle) workerFailed(worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for task, w := range o.finishedTasks {
		if w == worker && !o.recorded[task] {
			o.note("%s failed before the finish of %s reached the log", worker, task)
			delete(o.finishedTasks, task)
			o.forgotten[task] = true
		}
	}
}

// appended is told of every entry that reached the log.
func (o *oracle) appended(stream string, offset platform.Offset, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.landed[stream] = append(o.landed[stream], landing{offset, time.Now()})
	o.noteSnapshots(stream, data)
	if stream != journal.ManifestStream {
		o.recordEnds(data)
		return
	}
	o.entries[offset] = data
	for data := o.entries[o.nextRead]; data != nil; data = o.entries[o.nextRead] {
		o.accept(o.nextRead, data)
		o.nextRead++
	}
}

// noteSnapshots keeps the newest offset that a snapshot in a stream stands for.
func (o *oracle) noteSnapshots(stream string, data []byte) {
	batch, err := record.Decode(data)
	if err != nil {
		return
	}
	for _, r := range batch.GetRecords() {
		at := max(r.GetDomainSnapshot().GetAt(), r.GetManifestSnapshot().GetReadTo())
		o.snapshots[stream] = max(o.snapshots[stream], platform.Offset(at))
	}
}

// recordEnds keeps which finishes are in the log.
func (o *oracle) recordEnds(data []byte) {
	batch, err := record.Decode(data)
	if err != nil {
		return
	}
	for _, r := range batch.GetRecords() {
		if end := r.GetEnd(); end.GetOutcome() == record.Outcome_OUTCOME_FINISHED {
			o.recorded[end.GetTask()] = true
		}
	}
}

// accept applies the rule of the log: the first publication that names the current version is accepted.
func (o *oracle) accept(offset platform.Offset, data []byte) {
	batch, err := record.Decode(data)
	if err != nil {
		return
	}
	for _, r := range batch.GetRecords() {
		p := r.GetPublication()
		if p == nil || platform.Offset(p.GetReplaces()) != o.version() {
			continue
		}
		if rejection := o.state.Publish(offset, p); rejection != config.Accepted {
			continue
		}
		a := accepted{version: offset, m: *o.state.InForce().Manifest}
		o.chain = append(o.chain, a)
		o.note("log: release %s is accepted as version %d", a.m.Release, offset)
	}
}

// version returns the newest accepted version. The caller holds the lock.
func (o *oracle) version() platform.Offset {
	if len(o.chain) == 0 {
		return 0
	}
	return o.chain[len(o.chain)-1].version
}

// newest returns the newest accepted manifest.
func (o *oracle) newest() accepted {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.chain) == 0 {
		return accepted{}
	}
	return o.chain[len(o.chain)-1]
}

// acceptedRelease returns the version under which a release was accepted, or 0.
func (o *oracle) acceptedRelease(release string) platform.Offset {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.chain {
		if a.m.Release == release {
			return a.version
		}
	}
	return 0
}

// executed counts one run of a request at an endpoint.
func (o *oracle) executed(endpoint, request string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.executions[request]++
	o.note("%s: runs request %s", endpoint, request)
}

// runsNow returns the number of runs of a job or service that are under way.
func (o *oracle) runsNow(job string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for task, live := range o.running {
		if jobOf(task) == job {
			count += len(live)
		}
	}
	return count
}

// finished reports whether a task has finished. A node may have kept a finish through the failure of the
// worker and written it afterwards.
func (o *oracle) finished(task string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.finishedTasks[task] != "" || (o.forgotten[task] && o.recorded[task])
}

// report returns the breaches with the trace, or "" when there is none.
func (o *oracle) report() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.breaches) == 0 {
		return ""
	}
	return strings.Join(o.breaches, "\n") + "\n\ntrace:\n" + strings.Join(o.trace, "\n")
}

// generation returns the version that first named a job in an unbroken row up to the newest manifest.
func (o *oracle) generation(job string) platform.Offset {
	o.mu.Lock()
	defer o.mu.Unlock()
	var first platform.Offset
	for _, a := range o.chain {
		switch {
		case !names(&a.m, job):
			first = 0
		case first == 0:
			first = a.version
		}
	}
	return first
}

// progressOf returns the share of the work that a checkpoint of a stand-in holds.
func progressOf(checkpoint string) float64 {
	progress, err := strconv.ParseFloat(strings.TrimPrefix(checkpoint, "at-"), 64)
	if err != nil {
		return 0
	}
	return progress
}

// names reports whether a manifest names a job.
func names(m *manifest.Manifest, job string) bool {
	for _, j := range m.Jobs {
		if j.Name == job {
			return true
		}
	}
	return false
}
