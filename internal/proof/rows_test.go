package proof

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// takeOverBound is how long the shards of a node that is gone may be without an owner: the time until its
	// siblings take it for dead, which is as long as a lease, the lease with its margin, and a second.
	takeOverBound = 6*time.Second + 300*time.Millisecond + 6*time.Second + time.Second
	// cutTime is longer than the leases of claims and of tasks.
	cutTime = 40 * time.Second
	// manifestBySiblingBound is how long a manifest may take to a node that hears of it from its peers alone.
	manifestBySiblingBound = 4 * time.Second
)

// isolate cuts a node from parties in both directions.
func (f *fuzzCase) isolate(m *member, parties ...string) {
	for _, party := range parties {
		f.net.setLost(m.name, party, true)
		f.net.setLost(party, m.name, true)
	}
}

// expectAnswer asks a node and wants its answer.
func (f *fuzzCase) expectAnswer(m *member, when string) {
	f.requests++
	v := f.cluster.send(m, m.process, fmt.Sprintf("q%d", f.requests), true)
	if !v.told || v.claimed != verdict.Ran {
		f.oracle.breachf("%s does not answer %s", m.name, when)
	}
}

// expectFinished wants every task of a job to have finished.
func (f *fuzzCase) expectFinished(job, when string) {
	for _, missing := range f.missing() {
		if strings.HasPrefix(missing, job+"@") {
			f.oracle.breachf("%s has not finished %s", missing, when)
		}
	}
}

// expectGoesOn wants the only node of a failure domain to keep its shards and its service without the log:
// nobody else is there to claim them.
func (f *fuzzCase) expectGoesOn(m *member) {
	if shards := m.node.Status().Shards; len(shards) != failuredomain.Shards {
		f.oracle.breachf("%s acts only for shards %v in the cut domain", m.name, shards)
	}
	if count := f.oracle.runsNow("svc"); count != services {
		f.oracle.breachf("%d instances run during the cut instead of %d", count, services)
	}
}

func TestDomainCutFromDomain(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		n1, s1 := f.members[0], f.members[2]
		f.isolate(s1, "n1", "n2")
		f.publish(n1, allJobs)
		time.Sleep(manifestBySiblingBound)
		if f.inForceOn(s1) != f.inForceOn(n1) {
			f.oracle.breachf("the manifest is not in force on s1, which reaches the log")
		}
		time.Sleep(cutTime)
		f.expectFinished("sth", "in the cut domain")
		f.expectFinished("nrth", "in the other domain")
		f.expectAnswer(s1, "while its domain is cut from the other one")
	})
}

func TestDomainCutFromPlatform(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		n1, s1 := f.members[0], f.members[2]
		f.isolate(s1, logParty, listParty)
		f.publish(n1, allJobs)
		time.Sleep(manifestBySiblingBound)
		if f.inForceOn(s1) != f.inForceOn(n1) {
			f.oracle.breachf("the manifest is not in force on s1, which reaches a peer that has it")
		}
		time.Sleep(cutTime)
		f.expectGoesOn(s1)
		f.expectAnswer(s1, "while its domain is cut from the platform")
		f.expectFinished("nrth", "in the other domain")
	})
}

func TestDomainCutFromBoth(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		n1, s1 := f.members[0], f.members[2]
		f.isolate(s1, logParty, listParty, "n1", "n2")
		before := f.inForceOn(s1)
		f.publish(n1, allJobs)
		time.Sleep(5 * time.Second)
		f.expectAnswer(s1, "just after its domain was cut from everything")
		time.Sleep(cutTime)
		if v := f.inForceOn(s1); v != before {
			f.oracle.breachf("version %d is in force on s1, which was told nothing since %d", v, before)
		}
		f.expectGoesOn(s1)
		f.expectFinished("nrth", "in the other domain")
	})
}

func TestRepliesLostOneWay(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		n2 := f.members[1]
		// What n1 writes still reaches the log, but n1 hears nothing.
		f.net.setLost(logParty, "n1", true)
		f.net.setLost("n2", "n1", true)
		f.net.setLost("s1", "n1", true)
		time.Sleep(cutTime)
		if shards := f.members[0].node.Status().Shards; len(shards) > 0 {
			f.oracle.breachf("n1 still acts for shards %v although it cannot read the log", shards)
		}
		f.expectAnswer(n2, "while n1 hears nothing")
	})
}

func TestSingleNodeCutOff(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		n1, n2 := f.members[0], f.members[1]
		f.isolate(n1, append(f.workersIn(north), logParty, listParty, "n2", "s1")...)
		time.Sleep(takeOverBound)
		if shards := n1.node.Status().Shards; len(shards) > 0 {
			f.oracle.breachf("n1 still acts for shards %v although it is cut off", shards)
		}
		if shards := n2.node.Status().Shards; len(shards) != failuredomain.Shards {
			f.oracle.breachf("n2 owns only %v after %v", shards, takeOverBound)
		}
		time.Sleep(cutTime)
		f.expectFinished("nrth", "under the other node")
		f.expectAnswer(n2, "while n1 is cut off")
	})
}

func TestPlannedStopWaitsForLongRequests(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		n1 := f.members[0]
		process := n1.process
		f.mended(endpointLong)
		f.act(action{kind: stopPlanned, node: 0})
		time.Sleep(n1.settings.Stop.BalancerDelay.Std() - 100*time.Millisecond)
		for i := range 5 {
			name := fmt.Sprintf("long%d", i)
			f.wait.Go(func() {
				if v := f.cluster.send(n1, process, name, false); v.claimed != verdict.Ran {
					f.oracle.breachf("request %s, sent before the node refused requests, got no answer", name)
				}
			})
		}
		time.Sleep(cutTime)
	})
}

func TestDomainDownForLongerThanTheRetention(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		f.act(action{kind: kill, node: 2, wait: retention + cutTime})
		f.oracle.trim(f.log, true)
	})
}
