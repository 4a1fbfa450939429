package systemtest

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

// TestMain runs 40 generated cases per random test, unless -rapid.checks is given on the command line.
func TestMain(m *testing.M) { testseed.MainWithChecks(m, "40") }

// threeNodes has two nodes in one failure domain and one node in another.
var threeNodes = layout{{"n1", north}, {"n2", north}, {"s1", south}}

const (
	workersPerDomain = 3
	// samplePeriod is the interval at which the nodes' views are compared.
	samplePeriod = 300 * time.Millisecond
	// settleBound is the maximum time to finish all work after the last fault: two task leases and two claim
	// leases, the longest retry backoff that the few failures in a test case can cause, and twice the time that
	// all work takes without faults.
	settleBound = 150 * time.Second
)

// actionKind is the kind of a fault or operation in a test case.
type actionKind int

const (
	kill actionKind = iota
	restart
	stopPlanned
	pause
	resume
	partitionFromPlatform
	partitionFromWorker
	partitionFromPeer
	delayWorker
	delayLog
	logDown
	logUp
	dropLogReplies
	dropWorkerReplies
	failWorker
	trim
	publish
	publishTwo
	request
	requestNonIdempotent
	faultEndpoints
	heal
	// actionKinds is the number of kinds.
	actionKinds
)

var actionNames = [...]string{
	"kill", "restart", "planned stop", "pause", "resume", "partition from platform", "partition from worker", "partition from peer",
	"delay calls to worker", "delay calls to log", "log down", "log up", "drop log replies", "drop worker replies",
	"fail worker", "trim log", "publish manifest", "publish two manifests", "idempotent requests", "non-idempotent requests", "endpoint fault", "heal",
}

// action is one step of a test case: a fault or operation, the index of the node that it applies to, an
// argument whose meaning depends on the kind (see do), and the wait afterwards.
type action struct {
	kind actionKind
	node int
	arg  int
	wait time.Duration
}

func (a action) String() string {
	return fmt.Sprintf("%s: node %d, argument %d, then wait %v", actionNames[a.kind], a.node, a.arg, a.wait)
}

// generateActions generates the whole test case before it runs, so that rapid can shrink it.
func generateActions(t *rapid.T) []action {
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

// TestGuaranteesUnderFaults injects random faults into a cluster of real nodes and checks the guarantees of
// the system with the oracle.
func TestGuaranteesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := generateActions(rt)
		var report string
		synctest.Test(t, func(*testing.T) { report = runCase(actions) })
		if report != "" {
			rt.Fatalf("%s", report)
		}
	})
}

// faultCase is a running test case.
type faultCase struct {
	*cluster
	// preexisting excludes the goroutines that ran before the test case from the leak check.
	preexisting goleak.Option
	background  sync.WaitGroup
	// membersMu guards the members and their state.
	membersMu sync.Mutex
	// mu guards verdicts and decisions.
	mu       sync.Mutex
	verdicts []requestVerdict
	// decisions holds the answers that publishers received, by release.
	decisions map[string]operator.Decision
	releases  int
	requests  int
	logDown   bool
	done      chan struct{}
}

// newFaultCase starts all nodes and publishes a manifest with every job.
func newFaultCase() *faultCase {
	f := &faultCase{
		cluster:     newCluster(threeNodes, workersPerDomain),
		preexisting: goleak.IgnoreCurrent(),
		decisions:   make(map[string]operator.Decision),
		done:        make(chan struct{}),
	}
	f.background.Go(f.sampleViews)
	f.membersMu.Lock()
	for _, m := range f.members {
		f.start(m)
	}
	f.membersMu.Unlock()
	f.publish(f.members[0], allJobs)
	time.Sleep(3 * time.Second)
	return f
}

// end removes all faults, runs the final checks and returns the violations with a trace, or "" if there are
// none.
func (f *faultCase) end() string {
	f.settle()
	close(f.done)
	f.background.Wait()
	f.checkDecisions()
	f.oracle.checkVerdicts(f.verdicts)
	f.close()
	if err := goleak.Find(f.preexisting); err != nil {
		f.oracle.violationf("goroutines are still running after the nodes have stopped: %v", err)
		fmt.Println(f.oracle.report()) // synctest panics at the end of the bubble, so the report is printed here
	}
	return f.oracle.report()
}

// runCase runs one generated test case and returns its violations with a trace, or "" if there are none.
func runCase(actions []action) string {
	f := newFaultCase()
	for _, a := range actions {
		f.act(a)
	}
	return f.end()
}

// act performs an action and then waits for the time given in it.
func (f *faultCase) act(a action) {
	f.oracle.tracef("-- %v", a)
	f.membersMu.Lock()
	// minVersion was computed for the links before this action, which can change what a node is able to learn.
	for _, m := range f.members {
		m.minVersion = 0
	}
	f.do(a)
	f.membersMu.Unlock()
	time.Sleep(a.wait)
}

// do performs an action. The caller holds membersMu.
func (f *faultCase) do(a action) {
	m := f.members[a.node]
	workers := f.workersIn(m.domain)
	switch a.kind {
	case kill:
		f.kill(m)
	case restart:
		if !m.up {
			f.start(m)
			m.version, m.minVersion = 0, f.newestReachableVersion(m)
		}
	case stopPlanned:
		f.stop(m)
	case pause:
		m.process.pause()
	case resume:
		m.process.resume()
	case partitionFromPlatform:
		f.partition(m.name, logHost, a.arg)
		f.partition(m.name, listHost, a.arg)
	case partitionFromWorker:
		f.partition(m.name, workers[a.arg%len(workers)], a.arg)
	case partitionFromPeer:
		f.partition(m.name, f.members[(a.node+1)%len(f.members)].name, a.arg)
	case delayWorker:
		f.net.setDelay(m.name, workers[a.arg%len(workers)], time.Duration(a.arg)*1500*time.Millisecond)
	case delayLog:
		f.net.setDelay(m.name, logHost, time.Duration(a.arg)*1200*time.Millisecond)
	case logDown, logUp:
		f.logDown = a.kind == logDown
		f.log.SetDown(f.logDown)
	case dropLogReplies:
		f.log.DropReplies(a.arg)
	case dropWorkerReplies:
		f.agentAt(workers[a.arg%len(workers)]).DropReplies(a.arg)
	case failWorker:
		f.failWorker(workers[a.arg%len(workers)])
	case trim:
		f.oracle.trim(f.log, false)
	case publish:
		f.publish(m, a.arg)
	case publishTwo:
		f.publish(m, a.arg)
		f.publish(f.members[(a.node+a.arg)%len(f.members)], allJobs-a.arg)
	case request, requestNonIdempotent:
		f.send(m, a.arg, a.kind == request)
	case faultEndpoints:
		f.setEndpointFault(endpointFault(a.arg % int(endpointFaults)))
	case heal:
		f.net.heal()
	}
}

// partition drops traffic between the hosts a and b: in both directions if arg%3 is 0, only from b to a if it is
// 1, and only from a to b if it is 2. A direction that is not dropped is restored.
func (f *faultCase) partition(a, b string, arg int) {
	f.net.setLost(a, b, arg%3 != 1)
	f.net.setLost(b, a, arg%3 != 2)
}

// setEndpointFault sets the fault that all endpoints show.
func (f *faultCase) setEndpointFault(fault endpointFault) {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	f.endpointFault = fault
}

// publish publishes a manifest through a node in the background and stores the decision, which
// checkDecisions checks at the end. set is the bit set of the jobs in the manifest, as for document.
func (f *faultCase) publish(m *member, set int) {
	if !m.up {
		return
	}
	f.releases++
	release := fmt.Sprintf("r%d", f.releases)
	n := m.node
	p := operator.Publication{Document: document(release, set), Replaces: n.Status().ManifestVersion}
	f.oracle.tracef("%s publishes %s, replacing %d", m.name, release, p.Replaces)
	f.background.Go(func() {
		decision, err := n.Publish(context.Background(), p)
		f.oracle.tracef("release %s: %+v %v", release, decision, err)
		if err == nil && decision.Known {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.decisions[release] = decision
		}
	})
}

// checkDecisions compares the decisions that publishers received with the publications accepted by the order
// of the log.
func (f *faultCase) checkDecisions() {
	for release, decision := range f.decisions {
		if version := f.oracle.acceptedRelease(release); decision.Accepted != (version != 0) {
			f.oracle.violationf("release %s: the publisher received %+v, but the version accepted in the log is %d (0: none)", release, decision, version)
		}
	}
}

// send sends count concurrent requests to a node.
func (f *faultCase) send(m *member, count int, idempotent bool) {
	if !m.up || m.process.isPaused() {
		return
	}
	for range count {
		f.requests++
		name := fmt.Sprintf("q%d", f.requests)
		process := m.process
		f.background.Go(func() {
			v := f.cluster.send(m, process, name, idempotent)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.verdicts = append(f.verdicts, v)
		})
	}
}

// newestReachableVersion returns the newest manifest version that a process started now can learn, from the
// log or from a node with an intact connection in both directions.
func (f *faultCase) newestReachableVersion(m *member) uint64 {
	reaches := func(host string) bool {
		out, slow, _ := f.net.state(m.name, host)
		back, slowBack, _ := f.net.state(host, m.name)
		return !out && !back && slow == 0 && slowBack == 0
	}
	var newest uint64
	if !f.logDown && reaches(logHost) {
		newest = uint64(f.oracle.newest().version)
	}
	for _, other := range f.members {
		if other != m && other.up && !other.process.isPaused() && reaches(other.name) {
			newest = max(newest, other.version)
		}
	}
	return newest
}

// sampleViews runs checkViews in each period until the test case ends.
func (f *faultCase) sampleViews() {
	for {
		select {
		case <-f.done:
			return
		case <-time.After(samplePeriod):
			f.checkViews()
		}
	}
}

// checkViews checks that the active manifest version of no node goes back, that no shard has two owners, and
// that no node commits more memory of a worker than it has.
func (f *faultCase) checkViews() {
	f.membersMu.Lock()
	defer f.membersMu.Unlock()
	owners := make(map[string]string)
	for _, m := range f.members {
		if m.node == nil || !m.up {
			continue
		}
		status := m.node.Status()
		if v := status.ManifestVersion; v != 0 {
			if v < m.version || v < m.minVersion {
				f.oracle.violationf("version %d is active on %s, which had version %d active or could learn version %d", v, m.name, m.version, m.minVersion)
			}
			m.version, m.minVersion = v, 0
		}
		for _, shard := range status.Shards {
			key := fmt.Sprintf("%s#%d", m.domain, shard)
			if other := owners[key]; other != "" {
				f.oracle.violationf("%s and %s both own shard %s", other, m.name, key)
			}
			owners[key] = m.name
		}
		for _, w := range m.node.Workers() {
			if committed := parseMemory(w.Committed); committed > capacity.MemoryMiB {
				f.oracle.violationf("%s has committed %d MiB of %s, whose capacity is %d MiB", m.name, committed, w.ID, capacity.MemoryMiB)
			}
		}
	}
}

// parseMemory returns the memory in MiB from the text form of resources.
func parseMemory(text string) int64 {
	var processors float64
	var memory int64
	_, _ = fmt.Sscanf(text, "%g processors, %d MiB", &processors, &memory)
	return memory
}
