package node

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
)

// event is one thing that happens to a deployment under test.
type event struct {
	kind  string
	index int
	count int
	wait  time.Duration
}

var eventKinds = []string{
	"wait", "drop replies", "slow worker", "worker down", "worker up", "log down", "log up", "drop appends",
	"kill node", "start node", "lose worker", "urgent job", "cancel job", "add job",
}

func drawEvents(t *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			kind:  rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			index: rapid.IntRange(0, 5).Draw(t, "index"),
			count: rapid.IntRange(1, 4).Draw(t, "count"),
			wait:  time.Duration(rapid.IntRange(0, 12000).Draw(t, "wait")) * time.Millisecond,
		}
	}), 4, 16).Draw(t, "events")
}

// faultRun plays events on a deployment.
type faultRun struct {
	*oneDomain
	jobs    map[string]string
	names   []string
	workers []string
	fatal   string
}

// Fatalf notes the first failure of the bench itself.
func (f *faultRun) Fatalf(format string, args ...any) {
	if f.fatal == "" {
		f.fatal = fmt.Sprintf(format, args...)
	}
}

func (f *faultRun) republish() {
	var jobs []string
	for _, name := range f.names {
		if text := f.jobs[name]; text != "" {
			jobs = append(jobs, text)
		}
	}
	f.publish(f, manifestText(100000, jobs...))
}

func (f *faultRun) addJob(priority string, tasks int, checkpoints bool) {
	name := fmt.Sprintf("j%d", len(f.names))
	f.names = append(f.names, name)
	f.jobs[name] = jobText(name, "t", priority, tasks, 2000, 100, checkpoints)
}

func (f *faultRun) play(e event) {
	worker := f.agent[f.workers[e.index%len(f.workers)]]
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
		if len(f.kills) > 1 && f.kills[node] != nil {
			f.kills[node]()
		}
	case "start node":
		if f.kills[node] == nil {
			f.start(node)
		}
	case "lose worker":
		if len(f.workers) > 2 {
			f.loseWorker(e.index % len(f.workers))
		}
	case "urgent job", "add job", "cancel job":
		f.change(e)
	}
	time.Sleep(e.wait)
}

// change publishes another manifest, unless the log is down.
func (f *faultRun) change(e event) {
	f.log.SetDown(false)
	switch e.kind {
	case "urgent job":
		f.addJob("urgent", e.count, false)
	case "add job":
		f.addJob("batch", e.count, e.index%2 == 0)
	case "cancel job":
		f.jobs[f.names[e.index%len(f.names)]] = ""
	}
	f.republish()
}

func (f *faultRun) loseWorker(index int) {
	id := f.workers[index]
	f.workers = append(f.workers[:index:index], f.workers[index+1:]...)
	f.oracle.loses(id)
	f.agent[id].SetDown(true)
	f.agent[id].Close()
	f.list.Remove(id)
}

// heal ends every fault.
func (f *faultRun) heal() {
	f.log.SetDown(false)
	for _, id := range f.workers {
		f.agent[id].SetDown(false)
		f.agent[id].SetDelay(0)
	}
	for _, name := range []string{"n1", "n2"} {
		if f.kills[name] == nil {
			f.start(name)
		}
	}
}

// playFaults runs events in virtual time and returns what was wrong.
func playFaults(t *testing.T, events []event) (faults []string) {
	synctest.Test(t, func(*testing.T) {
		f := &faultRun{
			oneDomain: newOneDomain(4, units.Resources{MilliProcessors: 8000, MemoryMiB: 4000}, steadyTruth(20*time.Second)),
			jobs:      make(map[string]string),
			workers:   []string{"w0", "w1", "w2", "w3"},
		}
		f.start("n1")
		f.start("n2")
		time.Sleep(5 * time.Second)
		f.addJob("batch", 10, true)
		f.addJob("spare", 10, true)
		f.republish()
		for _, e := range events {
			f.play(e)
		}
		f.heal()
		time.Sleep(10 * time.Minute)
		faults = append(f.oracle.faults, f.unfinished()...)
		if f.fatal != "" {
			faults = append(faults, f.fatal)
		}
		f.stop()
	})
	return faults
}

// unfinished returns the tasks of the manifest in force that no worker has finished, and broken promises.
func (f *faultRun) unfinished() (faults []string) {
	finished := f.oracle.finished()
	for _, row := range f.nodes["n1"].Tasks() {
		if finished[row.ID] == 0 || row.State != string(task.Finished) {
			faults = append(faults, fmt.Sprintf("%s finished %d times and is %s: %s", row.ID, finished[row.ID], row.State, row.Reason))
		}
	}
	for name, n := range f.nodes {
		for _, p := range n.Status().Promises {
			if p.Broken > 0 && !strings.HasPrefix(p.Name, "urgent") {
				faults = append(faults, fmt.Sprintf("%s: %s broken %d times, last by %s", name, p.Name, p.Broken, p.LastCase))
			}
		}
	}
	return faults
}

// TestFaults mixes lost replies, slow and lost workers, outages of the log, restarts of the owner, urgent
// work and cancellations, and compares what the workers ran with what must hold.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		events := drawEvents(r)
		if faults := playFaults(t, events); len(faults) > 0 {
			r.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
}
