package systemtest

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/units"
)

// oracle records what actually happened, as observed by the simulated services and not by the nodes, and
// collects the violations of guarantees.
type oracle struct {
	mu         sync.Mutex
	start      time.Time
	trace      []string
	violations []string

	capacity units.Resources
	// running holds the worker of each current run, by task and attempt.
	running map[string]map[uint32]string
	// finishedTasks holds the worker on which each task has finished, loggedFinishes the tasks whose finish
	// is in the log.
	finishedTasks  map[string]string
	loggedFinishes map[string]bool
	// unloggedFinishes holds the tasks whose finish was not in the log when their worker failed.
	unloggedFinishes map[string]bool
	// checkpoint holds the progress, from 0 to 1, in the newest confirmed checkpoint of each task.
	checkpoint map[string]float64
	// executions counts how often endpoints ran each request.
	executions map[string]int

	// snapshots holds, for each stream, the newest offset that is covered by a snapshot.
	snapshots map[string]platform.Offset
	// appendedEntries holds the offsets and append times of the entries of each stream.
	appendedEntries map[string][]appendedEntry

	acceptedManifests []acceptedManifest
	// state applies the publications of the manifest stream.
	state config.State
	// entries holds the entries of the manifest stream by offset, nextRead the offset of the next one to apply to
	// state.
	entries  map[platform.Offset][]byte
	nextRead platform.Offset
}

// acceptedManifest is a manifest accepted by the order of publications in the log.
type acceptedManifest struct {
	version platform.Offset
	m       manifest.Manifest
}

func newOracle(capacity units.Resources) *oracle {
	return &oracle{
		start:            time.Now(),
		capacity:         capacity,
		running:          make(map[string]map[uint32]string),
		finishedTasks:    make(map[string]string),
		loggedFinishes:   make(map[string]bool),
		unloggedFinishes: make(map[string]bool),
		snapshots:        make(map[string]platform.Offset),
		appendedEntries:  make(map[string][]appendedEntry),
		checkpoint:       make(map[string]float64),
		executions:       make(map[string]int),
		entries:          make(map[platform.Offset][]byte),
		nextRead:         1,
	}
}

// Write adds the log lines of the nodes to the trace.
func (o *oracle) Write(p []byte) (int, error) {
	o.tracef("%s", strings.TrimSpace(string(p)))
	return len(p), nil
}

// tracef adds a line to the trace.
func (o *oracle) tracef(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracefLocked(format, args...)
}

// tracefLocked is tracef for callers that hold the lock.
func (o *oracle) tracefLocked(format string, args ...any) {
	o.trace = append(o.trace, fmt.Sprintf("%9.3fs  ", time.Since(o.start).Seconds())+fmt.Sprintf(format, args...))
}

// violationf records a violation of a guarantee.
func (o *oracle) violationf(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violationfLocked(format, args...)
}

// violationfLocked records a violation. The caller holds the lock.
func (o *oracle) violationfLocked(format string, args ...any) {
	o.tracefLocked("VIOLATION "+format, args...)
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// jobOf returns the name of the job or service that a task belongs to.
func jobOf(task string) string { return task[:strings.IndexAny(task, "@/")] }

// runStarting checks the request with which a worker starts a run.
func (o *oracle) runStarting(worker string, req platform.StartRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// Every task actually uses its declared size. A learned reservation may be larger but never smaller.
	if uses := sizes[jobOf(req.Run.Task)]; !uses.Fits(req.Size) {
		o.violationfLocked("%s attempt %d starts on %s with a reservation of %v but uses %v", req.Run.Task, req.Run.Attempt, worker, req.Size, uses)
	}
	resumed := progressOf(req.Checkpoint)
	if confirmed := o.checkpoint[req.Run.Task]; resumed < confirmed {
		o.violationfLocked("%s attempt %d resumes at %.3f although a checkpoint at %.3f was confirmed", req.Run.Task, req.Run.Attempt, resumed, confirmed)
	}
}

// runChanged records each start and end of a run, as reported by the simulated worker.
func (o *oracle) runChanged(worker string, run platform.RunID, state platform.RunState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracefLocked("%s: %s attempt %d is %s", worker, run.Task, run.Attempt, state)
	live := o.running[run.Task]
	if state.Final() {
		delete(live, run.Attempt)
		if state == platform.RunFinished {
			o.finishedTasks[run.Task] = worker
		}
		return
	}
	for attempt, other := range live {
		o.violationfLocked("%s runs twice: as attempt %d on %s and as attempt %d on %s", run.Task, attempt, other, run.Attempt, worker)
	}
	if o.finishedTasks[run.Task] != "" {
		o.violationfLocked("%s runs again as attempt %d although it has finished", run.Task, run.Attempt)
	}
	if live == nil {
		live = make(map[uint32]string)
		o.running[run.Task] = live
	}
	live[run.Attempt] = worker
	o.checkCapacity(worker)
}

// checkCapacity checks that the declared sizes of all runs on a worker fit its capacity. The caller holds the
// lock.
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
		o.violationfLocked("the runs on %s use %v, its capacity is %v", worker, sum, o.capacity)
	}
}

// appendedEntry is the offset of a log entry and the time at which it was appended.
type appendedEntry struct {
	offset platform.Offset
	at     time.Time
}

// trim drops the log entries that are older than the retention. Entries that no snapshot covers are dropped
// only if uncovered is set. Random test cases keep them: there the log can be unreachable for all nodes for
// longer than the retention, and then the state of the failure domain is lost by design. In the test
// case with seed 1247, for example, no node could append to the log from 14 s to 75 s after the start.
func (o *oracle) trim(log *fake.Log, uncovered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for stream, entries := range o.appendedEntries {
		for _, e := range entries {
			if time.Since(e.at) > retention && (uncovered || e.offset <= o.snapshots[stream]) {
				log.Trim(stream, e.offset+1)
			}
		}
	}
}

// workerFailed records the failure of a worker. If a task finished on the worker and the log does not contain its
// end, the finish is lost, because only the log stores it durably. Only such tasks may run again.
func (o *oracle) workerFailed(worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for task, w := range o.finishedTasks {
		if w == worker && !o.loggedFinishes[task] {
			o.tracefLocked("%s failed before the finish of %s reached the log", worker, task)
			delete(o.finishedTasks, task)
			o.unloggedFinishes[task] = true
		}
	}
}

// appended records an entry that was appended to the log. Appends can be reported out of order, so entries of
// the manifest stream are applied in the order of their offsets.
func (o *oracle) appended(stream string, offset platform.Offset, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.appendedEntries[stream] = append(o.appendedEntries[stream], appendedEntry{offset, time.Now()})
	o.noteSnapshots(stream, data)
	if stream != journal.ManifestStream {
		o.noteLoggedFinishes(data)
		return
	}
	o.entries[offset] = data
	for data := o.entries[o.nextRead]; data != nil; data = o.entries[o.nextRead] {
		o.accept(o.nextRead, data)
		o.nextRead++
	}
}

// noteSnapshots records the newest offset that is covered by a snapshot in a stream.
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

// noteLoggedFinishes records the tasks whose finish is in a log entry.
func (o *oracle) noteLoggedFinishes(data []byte) {
	batch, err := record.Decode(data)
	if err != nil {
		return
	}
	for _, r := range batch.GetRecords() {
		if end := r.GetEnd(); end.GetOutcome() == record.Outcome_OUTCOME_FINISHED {
			o.loggedFinishes[end.GetTask()] = true
		}
	}
}

// accept applies the publications of a log entry. The first publication that replaces the current version is
// accepted.
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
		if rejection := o.state.ApplyPublication(offset, p); rejection != config.Accepted {
			continue
		}
		a := acceptedManifest{version: offset, m: *o.state.Active().Manifest}
		o.acceptedManifests = append(o.acceptedManifests, a)
		o.tracefLocked("log: release %s is accepted as version %d", a.m.Release, offset)
	}
}

// version returns the newest accepted version. The caller holds the lock.
func (o *oracle) version() platform.Offset {
	if len(o.acceptedManifests) == 0 {
		return 0
	}
	return o.acceptedManifests[len(o.acceptedManifests)-1].version
}

// newest returns the newest accepted manifest.
func (o *oracle) newest() acceptedManifest {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.acceptedManifests) == 0 {
		return acceptedManifest{}
	}
	return o.acceptedManifests[len(o.acceptedManifests)-1]
}

// acceptedRelease returns the version under which a release was accepted, or 0.
func (o *oracle) acceptedRelease(release string) platform.Offset {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.acceptedManifests {
		if a.m.Release == release {
			return a.version
		}
	}
	return 0
}

// executed records that an endpoint ran a request.
func (o *oracle) executed(endpoint, request string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.executions[request]++
	o.tracefLocked("%s: runs request %s", endpoint, request)
}

// runsNow returns the number of current runs of a job or service.
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

// finished reports whether a task has finished. A finish that was not in the log when the worker failed counts if
// a node logged it later, because the node can have learned of the finish before the failure.
func (o *oracle) finished(task string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.finishedTasks[task] != "" || (o.unloggedFinishes[task] && o.loggedFinishes[task])
}

// report returns the violations with the trace, or "" if there are none.
func (o *oracle) report() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.violations) == 0 {
		return ""
	}
	return strings.Join(o.violations, "\n") + "\n\ntrace:\n" + strings.Join(o.trace, "\n")
}

// generation returns the first manifest version since which every accepted manifest has contained a job, or 0 if
// the newest one does not contain it.
func (o *oracle) generation(job string) platform.Offset {
	o.mu.Lock()
	defer o.mu.Unlock()
	var first platform.Offset
	for _, a := range o.acceptedManifests {
		switch {
		case !hasJob(&a.m, job):
			first = 0
		case first == 0:
			first = a.version
		}
	}
	return first
}

// progressOf returns the progress, from 0 to 1, in a checkpoint of a simulated worker. It returns 0 if there is
// none.
func progressOf(checkpoint string) float64 {
	progress, err := strconv.ParseFloat(strings.TrimPrefix(checkpoint, "at-"), 64)
	if err != nil {
		return 0
	}
	return progress
}

// hasJob reports whether a manifest contains a job.
func hasJob(m *manifest.Manifest, job string) bool {
	for _, j := range m.Jobs {
		if j.Name == job {
			return true
		}
	}
	return false
}
