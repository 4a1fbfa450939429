package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/guarantee"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
)

// faultEvent is one fault, recovery or manifest change in a test, followed by a wait.
type faultEvent struct {
	kind  string
	index int // selects the worker, node or job, and whether an added job supports checkpoints
	count int // number of lost replies or tasks, or the delay in units of 700 ms
	wait  time.Duration
}

var eventKinds = []string{
	"wait", "drop replies", "slow worker", "worker down", "worker up", "log down", "log up", "drop appends",
	"kill node", "start node", "lose worker", "urgent job", "cancel job", "add job",
	"worker leaving", "worker live", "worker unlisted", "scale service", "declare instances again",
}

// maxWorkerDelay is the longest delay of a slow worker.
const maxWorkerDelay = 4 * 700 * time.Millisecond

// evacuationBound is the longest time from the acceptance of a manifest that evacuates the failure domain until the last start there:
// the time until the manifest is active on all nodes, and until a slow worker carries out a request.
const evacuationBound = guarantee.MaxManifestDelay + maxWorkerDelay

// drawEvents draws a random sequence of 4 to 16 events of the given kinds.
func drawEvents(t *rapid.T, eventKinds []string) []faultEvent {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultEvent {
		return faultEvent{
			kind:  rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			index: rapid.IntRange(0, 5).Draw(t, "index"),
			count: rapid.IntRange(1, 4).Draw(t, "count"),
			wait:  time.Duration(rapid.IntRange(0, 12000).Draw(t, "wait")) * time.Millisecond,
		}
	}), 4, 16).Draw(t, "events")
}

// faultScenario applies events to a deployment.
type faultScenario struct {
	*testDomain
	jobs         map[string]string
	names        []string
	workers      []string
	evacuated    bool
	instances    int // of service board
	setupFailure string
}

// Fatalf records the first failure of the test setup, as opposed to a violated property.
func (f *faultScenario) Fatalf(format string, args ...any) {
	if f.setupFailure == "" {
		f.setupFailure = fmt.Sprintf(format, args...)
	}
}

// republish publishes a manifest with all jobs that are not cancelled.
func (f *faultScenario) republish() {
	var jobs []string
	for _, name := range f.names {
		if text := f.jobs[name]; text != "" {
			jobs = append(jobs, text)
		}
	}
	document := manifestJSON(100000, jobs...)
	if f.evacuated {
		document = evacuatedManifest(jobs...)
	}
	if f.instances > 0 {
		document = withService(document, f.instances)
	}
	if !f.evacuated {
		f.oracle.setEvacuated(false) // the withdrawal may take effect before it is known to be accepted
	}
	f.publish(f, document)
	if f.evacuated {
		f.oracle.setEvacuated(true)
	}
}

// setEvacuated notes that the failure domain is evacuated from now on, if it was not, or not any more.
func (o *oracle) setEvacuated(evacuated bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !evacuated:
		o.evacuatedAt = time.Time{}
	case o.evacuatedAt.IsZero():
		o.evacuatedAt = time.Now()
	}
}

func (f *faultScenario) addJob(priority string, tasks int, checkpoints bool) {
	name := fmt.Sprintf("j%d", len(f.names))
	f.names = append(f.names, name)
	f.jobs[name] = jobJSON(name, "t", priority, tasks, 2000, 100, checkpoints)
}

// apply applies one event and then waits.
func (f *faultScenario) apply(e faultEvent) {
	worker := f.workersByID[f.workers[e.index%len(f.workers)]]
	node := fmt.Sprintf("n%d", 1+e.index%2)
	switch e.kind {
	case "drop replies":
		worker.DropReplies(e.count)
	case "slow worker":
		worker.SetDelay(time.Duration(e.count) * 700 * time.Millisecond)
	case "worker down":
		worker.SetDown(true)
	case "worker up":
		worker.SetDown(false)
		worker.SetDelay(0)
	case "log down":
		f.log.SetDown(true)
	case "log up":
		f.log.SetDown(false)
	case "drop appends":
		f.log.DropReplies(e.count)
	case "kill node":
		if len(f.killNode) > 1 && f.killNode[node] != nil {
			f.killNode[node]()
		}
	case "start node":
		if f.killNode[node] == nil {
			f.start(node)
		}
	case "lose worker":
		if len(f.workers) > 2 {
			f.loseWorker(e.index % len(f.workers))
		}
	case "worker leaving":
		f.putWorker(f.workers[e.index%len(f.workers)], platform.Leaving)
	case "worker live":
		f.putWorker(f.workers[e.index%len(f.workers)], platform.Live)
	case "worker unlisted":
		f.list.Remove(f.workers[e.index%len(f.workers)])
	case "urgent job", "add job", "cancel job", "evacuate", "withdraw evacuation", "scale service", "declare instances again":
		f.changeManifest(e)
	}
	time.Sleep(e.wait)
}

// changeManifest publishes a changed manifest. It brings the log back first, since publishing needs it.
func (f *faultScenario) changeManifest(e faultEvent) {
	f.log.SetDown(false)
	switch e.kind {
	case "urgent job":
		f.addJob("urgent", e.count, false)
	case "add job":
		f.addJob("batch", e.count, e.index%2 == 0)
	case "cancel job":
		f.jobs[f.names[e.index%len(f.names)]] = ""
	case "scale service":
		f.instances = e.index
	case "declare instances again":
		instances := f.instances
		f.instances = 0
		f.republish()
		time.Sleep(time.Duration(e.count) * 700 * time.Millisecond)
		f.instances = instances
	case "evacuate", "withdraw evacuation":
		f.evacuated = e.kind == "evacuate"
	}
	f.republish()
}

// loseWorker shuts a worker down for good and removes it from the list.
func (f *faultScenario) loseWorker(index int) {
	id := f.workers[index]
	f.workers = append(f.workers[:index:index], f.workers[index+1:]...)
	f.oracle.workerLost(id)
	f.workersByID[id].SetDown(true)
	f.workersByID[id].Close()
	f.list.Remove(id)
}

// clearFaults ends all faults and starts the nodes that are down.
func (f *faultScenario) clearFaults() {
	f.log.SetDown(false)
	for _, id := range f.workers {
		f.workersByID[id].SetDown(false)
		f.workersByID[id].SetDelay(0)
		f.putWorker(id, platform.Live)
	}
	for _, name := range []string{"n1", "n2"} {
		if f.killNode[name] == nil {
			f.start(name)
		}
	}
}

// runFaults applies events in virtual time, ends all faults, waits, and returns the violations that were
// found, and the failure of the setup if there was one.
func runFaults(t *testing.T, events []faultEvent) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		f := &faultScenario{
			testDomain: newTestDomain(4, units.Resources{MilliProcessors: 8000, MemoryMiB: 4000}, fixedRunTime(20*time.Second)),
			jobs:       make(map[string]string),
			workers:    []string{"w0", "w1", "w2", "w3"},
		}
		f.start("n1")
		f.start("n2")
		time.Sleep(5 * time.Second)
		f.addJob("batch", 10, true)
		f.addJob("spare", 10, true)
		f.republish()
		for _, e := range events {
			f.apply(e)
		}
		f.clearFaults()
		if f.evacuated {
			time.Sleep(time.Minute)
			f.evacuated = false
			f.republish()
		}
		time.Sleep(10 * time.Minute)
		violations = append(f.oracle.violations, f.finalViolations()...)
		if f.setupFailure != "" {
			violations = append(violations, f.setupFailure)
		}
		f.stop()
	})
	return violations
}

// finalViolations returns a message for each task of the active manifest that has not finished, for instances that do not run, for
// state that had to be corrected, and for each violated guarantee. The guarantee on the start of urgent tasks is exempt.
func (f *faultScenario) finalViolations() (violations []string) {
	finished := f.oracle.finished()
	if running := f.stateCounts("board")["running"]; running != f.instances {
		violations = append(violations, fmt.Sprintf("%d of %d instances run", running, f.instances))
	}
	for _, row := range f.nodes["n1"].Tasks() {
		if task.IsServiceInstance(row.ID) {
			continue
		}
		if finished[row.ID] == 0 || row.State != string(task.Finished) {
			violations = append(violations, fmt.Sprintf("%s finished %d times and is %s: %s", row.ID, finished[row.ID], row.State, row.Reason))
		}
	}
	for name, n := range f.nodes {
		if corrections := n.engine.metrics.set.GetOrCreateCounter(`cactuswall_state_corrections_total{kind="reservation"}`).Get(); corrections > 0 {
			violations = append(violations, fmt.Sprintf("%s: %d missing reservations were restored", name, corrections))
		}
		for _, p := range n.Status().Guarantees {
			if p.Violations > 0 && !strings.HasPrefix(p.Name, "urgent") {
				violations = append(violations, fmt.Sprintf("%s: guarantee %s violated %d times, last by %s", name, p.Name, p.Violations, p.LastSubject))
			}
		}
	}
	return violations
}

// TestFaults applies random sequences of lost replies, slow and lost workers, log outages, node restarts,
// urgent jobs and cancellations. Once the faults have ended, the oracle must have found no violation, every
// declared task must have finished, and no guarantee other than the start of urgent tasks may be
// violated.
func TestFaults(t *testing.T) { checkFaults(t, eventKinds) }

// TestFaultsWithEvacuations is TestFaults with requests that evacuate the failure domain.
func TestFaultsWithEvacuations(t *testing.T) {
	checkFaults(t, append(slices.Clone(eventKinds), "evacuate", "evacuate", "withdraw evacuation"))
}

func checkFaults(t *testing.T, kinds []string) {
	rapid.Check(t, func(r *rapid.T) {
		events := drawEvents(r, kinds)
		if violations := runFaults(t, events); len(violations) > 0 {
			r.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}
