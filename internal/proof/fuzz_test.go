package proof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/testseed"
)

func TestMain(m *testing.M) { testseed.MainWithChecks(m, "40") }

// twoAndOne is two nodes in one failure domain and one in another.
var twoAndOne = layout{{"n1", north}, {"n2", north}, {"s1", south}}

const (
	workersPerDomain = 3
	// samplePeriod is how often the nodes' own views are compared.
	samplePeriod = 300 * time.Millisecond
	// settleBound is how long the system has to finish all work after the last fault: two leases of tasks and
	// of claims, the longest wait between attempts that so few failures bring about, and the work itself twice.
	settleBound = 150 * time.Second
)

// actionKind is one kind of thing that happens in a case.
type actionKind int

const (
	kill actionKind = iota
	restart
	stopPlanned
	pause
	resume
	cutNode
	cutWorker
	cutPeers
	slowWorker
	slowLog
	logDown
	logUp
	dropAppends
	dropWorkerReplies
	failWorker
	trim
	publish
	publishRace
	request
	requestOnce
	faultEndpoints
	heal
	actionKinds
)

var actionNames = [...]string{
	"kill", "restart", "planned stop of", "pause", "resume", "cut off", "cut from a worker", "cut from peers",
	"slow a worker for", "slow the log for", "log down", "log up", "lose replies of the log", "lose replies of workers",
	"fail a worker", "trim the log", "publish at", "race publications at", "send idempotent requests to", "send requests to", "change the endpoints", "heal",
}

// action is one step of a case: what happens to which node, an argument, and the wait afterwards.
type action struct {
	kind actionKind
	node int
	arg  int
	wait time.Duration
}

func (a action) String() string {
	return fmt.Sprintf("%s %d (%d), then %v", actionNames[a.kind], a.node, a.arg, a.wait)
}

// drawActions draws the whole case before it runs, so that it can be made smaller.
func drawActions(t *rapid.T) []action {
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			kind: actionKind(rapid.IntRange(0, int(actionKinds)-1).Draw(t, "kind")),
			node: rapid.IntRange(0, 2).Draw(t, "node"),
			arg:  rapid.IntRange(0, 7).Draw(t, "arg"),
			wait: time.Duration(rapid.SampledFrom([]int{0, 50, 300, 1000, 3000, 7000, 17000}).Draw(t, "wait")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 1, 40).Draw(t, "actions")
}

// TestPromisesUnderFaults runs random cases of faults against real nodes and compares with the oracle.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawActions(rt)
		var report string
		synctest.Test(t, func(*testing.T) { report = runCase(actions) })
		if report != "" {
			rt.Fatalf("%s", report)
		}
	})
}

// fuzzCase is a case that runs.
type fuzzCase struct {
	*cluster
	// before are the goroutines from before the case.
	before goleak.Option
	wait   sync.WaitGroup
	// step is held while members change or are looked at.
	step sync.Mutex
	mu   sync.Mutex
	told []verdictOf
	// decisions are what publishers were told, by release.
	decisions map[string]operator.Decision
	releases  int
	requests  int
	logDown   bool
	ended     chan struct{}
}

// newCase starts all nodes and puts a manifest with every job in force.
func newCase() *fuzzCase {
	f := &fuzzCase{
		cluster:   newCluster(twoAndOne, workersPerDomain),
		before:    goleak.IgnoreCurrent(),
		decisions: make(map[string]operator.Decision),
		ended:     make(chan struct{}),
	}
	f.wait.Go(f.sample)
	f.step.Lock()
	for _, m := range f.members {
		f.start(m)
	}
	f.step.Unlock()
	f.publish(f.members[0], allJobs)
	time.Sleep(3 * time.Second)
	return f
}

// end checks that the system comes to rest and returns the breaches with a trace, or "".
func (f *fuzzCase) end() string {
	f.settle()
	close(f.ended)
	f.wait.Wait()
	f.checkDecisions()
	f.oracle.check(f.told)
	f.close()
	if err := goleak.Find(f.before); err != nil {
		f.oracle.breachf("goroutines outlive the nodes: %v", err)
		fmt.Println(f.oracle.report()) // the end of the bubble panics
	}
	return f.oracle.report()
}

// runCase runs one random case and returns its breaches with a trace, or "".
func runCase(actions []action) string {
	f := newCase()
	for _, a := range actions {
		f.act(a)
	}
	return f.end()
}

// act carries one action out and waits as long as it says.
func (f *fuzzCase) act(a action) {
	f.oracle.tracef("-- %v", a)
	f.step.Lock()
	for _, m := range f.members {
		m.floor = 0
	}
	f.do(a)
	f.step.Unlock()
	time.Sleep(a.wait)
}

// do carries one action out. The caller holds step.
func (f *fuzzCase) do(a action) {
	m := f.members[a.node]
	workers := f.workersIn(m.domain)
	switch a.kind {
	case kill:
		f.kill(m)
	case restart:
		if !m.up {
			f.start(m)
			m.version, m.floor = 0, f.newestInReach(m)
		}
	case stopPlanned:
		f.stop(m)
	case pause:
		m.process.pause()
	case resume:
		m.process.resume()
	case cutNode:
		f.cut(m.name, logParty, a.arg)
		f.cut(m.name, listParty, a.arg)
	case cutWorker:
		f.cut(m.name, workers[a.arg%len(workers)], a.arg)
	case cutPeers:
		f.cut(m.name, f.members[(a.node+1)%len(f.members)].name, a.arg)
	case slowWorker:
		f.net.setDelay(m.name, workers[a.arg%len(workers)], time.Duration(a.arg)*1500*time.Millisecond)
	case slowLog:
		f.net.setDelay(m.name, logParty, time.Duration(a.arg)*1200*time.Millisecond)
	case logDown, logUp:
		f.logDown = a.kind == logDown
		f.log.SetDown(f.logDown)
	case dropAppends:
		f.log.DropReplies(a.arg)
	case dropWorkerReplies:
		f.agent(workers[a.arg%len(workers)]).DropReplies(a.arg)
	case failWorker:
		f.failWorker(workers[a.arg%len(workers)])
	case trim:
		f.oracle.trim(f.log, false)
	case publish:
		f.publish(m, a.arg)
	case publishRace:
		f.publish(m, a.arg)
		f.publish(f.members[(a.node+a.arg)%len(f.members)], allJobs-a.arg)
	case request, requestOnce:
		f.send(m, a.arg, a.kind == request)
	case faultEndpoints:
		f.mended(endpointFault(a.arg % int(endpointFaults)))
	case heal:
		f.net.heal()
	}
}

// cut loses requests, replies or both between two parties.
func (f *fuzzCase) cut(a, b string, arg int) {
	f.net.setLost(a, b, arg%3 != 1)
	f.net.setLost(b, a, arg%3 != 2)
}

func (f *fuzzCase) mended(fault endpointFault) {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	f.service = fault
}

// publish publishes a manifest through a node and later checks what the node said about it.
func (f *fuzzCase) publish(m *member, set int) {
	if !m.up {
		return
	}
	f.releases++
	release := fmt.Sprintf("r%d", f.releases)
	n := m.node
	p := operator.Publication{Document: document(release, set), Replaces: n.Status().ManifestVersion}
	f.oracle.tracef("%s publishes %s, replacing %d", m.name, release, p.Replaces)
	f.wait.Go(func() {
		decision, err := n.Publish(context.Background(), p)
		f.oracle.tracef("release %s: %+v %v", release, decision, err)
		if err == nil && decision.Known {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.decisions[release] = decision
		}
	})
}

// checkDecisions compares what publishers were told with what the log's order accepted.
func (f *fuzzCase) checkDecisions() {
	for release, decision := range f.decisions {
		if version := f.oracle.acceptedRelease(release); decision.Accepted != (version != 0) {
			f.oracle.breachf("release %s: the publisher was told %+v, the log accepted it as version %d", release, decision, version)
		}
	}
}

// send sends some requests at once to a node.
func (f *fuzzCase) send(m *member, count int, idempotent bool) {
	if !m.up || m.process.isPaused() {
		return
	}
	for range count {
		f.requests++
		name := fmt.Sprintf("q%d", f.requests)
		process := m.process
		f.wait.Go(func() {
			v := f.cluster.send(m, process, name, idempotent)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.told = append(f.told, v)
		})
	}
}

// newestInReach returns the newest manifest version that a process which starts now can learn: from the log,
// or from a node that it reaches in both directions.
func (f *fuzzCase) newestInReach(m *member) uint64 {
	reaches := func(party string) bool {
		out, slow, _ := f.net.state(m.name, party)
		back, slowBack, _ := f.net.state(party, m.name)
		return !out && !back && slow == 0 && slowBack == 0
	}
	var newest uint64
	if !f.logDown && reaches(logParty) {
		newest = uint64(f.oracle.newest().version)
	}
	for _, other := range f.members {
		if other != m && other.up && !other.process.isPaused() && reaches(other.name) {
			newest = max(newest, other.version)
		}
	}
	return newest
}

// sample compares the nodes' own views with one another in each period.
func (f *fuzzCase) sample() {
	for {
		select {
		case <-f.ended:
			return
		case <-time.After(samplePeriod):
			f.sampleOnce()
		}
	}
}

func (f *fuzzCase) sampleOnce() {
	f.step.Lock()
	defer f.step.Unlock()
	owners := make(map[string]string)
	for _, m := range f.members {
		if m.node == nil || !m.up {
			continue
		}
		status := m.node.Status()
		if v := status.ManifestVersion; v != 0 {
			if v < m.version || v < m.floor {
				f.oracle.breachf("version %d is in force on %s, which had %d or could learn %d", v, m.name, m.version, m.floor)
			}
			m.version, m.floor = v, 0
		}
		for _, shard := range status.Shards {
			key := fmt.Sprintf("%s#%d", m.domain, shard)
			if other := owners[key]; other != "" {
				f.oracle.breachf("%s and %s both own shard %s", other, m.name, key)
			}
			owners[key] = m.name
		}
		for _, w := range m.node.Workers() {
			if committed := parseMemory(w.Committed); committed > capacity.MemoryMiB {
				f.oracle.breachf("%s believes %d MiB of %s committed, it has %d", m.name, committed, w.ID, capacity.MemoryMiB)
			}
		}
	}
}

// parseMemory reads the memory out of the short form of resources.
func parseMemory(text string) int64 {
	var processors float64
	var memory int64
	_, _ = fmt.Sscanf(text, "%g processors, %d MiB", &processors, &memory)
	return memory
}
