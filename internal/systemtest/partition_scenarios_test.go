package systemtest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// takeoverBound is the maximum time for which the shards of a failed node have no owner: the time until the
	// other nodes of its failure domain consider it dead (as long as a claim lease), the claim lease with its
	// margin, and a second.
	takeoverBound = 6*time.Second + 300*time.Millisecond + 6*time.Second + time.Second
	// partitionTime is longer than the claim and task leases.
	partitionTime = 40 * time.Second
	// manifestFromPeerBound is the maximum time until a node that can learn a manifest only from its peers has
	// activated it.
	manifestFromPeerBound = 4 * time.Second
)

// isolate partitions a node from hosts in both directions.
func (f *faultCase) isolate(m *member, hosts ...string) {
	for _, party := range hosts {
		f.net.setLost(m.name, party, true)
		f.net.setLost(party, m.name, true)
	}
}

// expectAnswered sends a request to a node and checks that it is answered.
func (f *faultCase) expectAnswered(m *member, when string) {
	f.requests++
	v := f.cluster.send(m, m.process, fmt.Sprintf("q%d", f.requests), true)
	if !v.answered || v.reported != verdict.Ran {
		f.oracle.violationf("%s does not answer requests %s", m.name, when)
	}
}

// expectFinished checks that every task of a job has finished.
func (f *faultCase) expectFinished(job, when string) {
	for _, missing := range f.unfinishedWork() {
		if strings.HasPrefix(missing, job+"@") {
			f.oracle.violationf("%s has not finished %s", missing, when)
		}
	}
}

// expectKeepsShardsAndService checks that the only node of a failure domain keeps its shards and its service
// without the log, because there is no other node that could claim them.
func (f *faultCase) expectKeepsShardsAndService(m *member) {
	if shards := m.node.Status().Shards; len(shards) != failuredomain.ShardsPerDomain {
		f.oracle.violationf("%s owns only shards %v in the partitioned domain", m.name, shards)
	}
	if count := f.oracle.runsNow("svc"); count != serviceInstances {
		f.oracle.violationf("%d instances run during the partition instead of %d", count, serviceInstances)
	}
}

func TestDomainPartitionedFromOtherDomain(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		n1, s1 := f.members[0], f.members[2]
		f.isolate(s1, "n1", "n2")
		f.publish(n1, allJobs)
		time.Sleep(manifestFromPeerBound)
		if f.activeVersion(s1) != f.activeVersion(n1) {
			f.oracle.violationf("the manifest is not active on s1, which can reach the log")
		}
		time.Sleep(partitionTime)
		f.expectFinished("sth", "in the partitioned domain")
		f.expectFinished("nrth", "in the other domain")
		f.expectAnswered(s1, "while its domain is partitioned from the other one")
	})
}

func TestDomainPartitionedFromPlatform(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		n1, s1 := f.members[0], f.members[2]
		f.isolate(s1, logHost, listHost)
		f.publish(n1, allJobs)
		time.Sleep(manifestFromPeerBound)
		if f.activeVersion(s1) != f.activeVersion(n1) {
			f.oracle.violationf("the manifest is not active on s1, which can reach a peer that has it")
		}
		time.Sleep(partitionTime)
		f.expectKeepsShardsAndService(s1)
		f.expectAnswered(s1, "while its domain is partitioned from the platform")
		f.expectFinished("nrth", "in the other domain")
	})
}

func TestDomainPartitionedFromEverything(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		n1, s1 := f.members[0], f.members[2]
		f.isolate(s1, logHost, listHost, "n1", "n2")
		before := f.activeVersion(s1)
		f.publish(n1, allJobs)
		time.Sleep(5 * time.Second)
		f.expectAnswered(s1, "just after its domain was partitioned from everything")
		time.Sleep(partitionTime)
		if v := f.activeVersion(s1); v != before {
			f.oracle.violationf("version %d is active on s1, which could not learn of any version after %d", v, before)
		}
		f.expectKeepsShardsAndService(s1)
		f.expectFinished("nrth", "in the other domain")
	})
}

func TestRepliesLostInOneDirection(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		n2 := f.members[1]
		// Appends of n1 still reach the log, but n1 receives no replies.
		f.net.setLost(logHost, "n1", true)
		f.net.setLost("n2", "n1", true)
		f.net.setLost("s1", "n1", true)
		time.Sleep(partitionTime)
		if shards := f.members[0].node.Status().Shards; len(shards) > 0 {
			f.oracle.violationf("n1 still owns shards %v although it cannot read the log", shards)
		}
		f.expectAnswered(n2, "while n1 receives no replies")
	})
}

func TestNodePartitionedFromEverything(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		n1, n2 := f.members[0], f.members[1]
		f.isolate(n1, append(f.workersIn(north), logHost, listHost, "n2", "s1")...)
		time.Sleep(takeoverBound)
		if shards := n1.node.Status().Shards; len(shards) > 0 {
			f.oracle.violationf("n1 still owns shards %v although it is partitioned", shards)
		}
		if shards := n2.node.Status().Shards; len(shards) != failuredomain.ShardsPerDomain {
			f.oracle.violationf("n2 owns only %v after %v", shards, takeoverBound)
		}
		time.Sleep(partitionTime)
		f.expectFinished("nrth", "under the other node")
		f.expectAnswered(n2, "while n1 is partitioned")
	})
}

func TestPlannedStopWaitsForLongRequests(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		n1 := f.members[0]
		process := n1.process
		f.setEndpointFault(endpointNearTimeout)
		f.act(action{kind: stopPlanned, node: 0})
		time.Sleep(n1.settings.Stop.BalancerDelay.Std() - 100*time.Millisecond)
		for i := range 5 {
			name := fmt.Sprintf("long%d", i)
			f.background.Go(func() {
				if v := f.cluster.send(n1, process, name, false); v.reported != verdict.Ran {
					f.oracle.violationf("request %s got no answer although it was sent before the node began to refuse requests", name)
				}
			})
		}
		time.Sleep(partitionTime)
	})
}

func TestDomainDownLongerThanLogRetention(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		f.act(action{kind: kill, node: 2, wait: retention + partitionTime})
		f.oracle.trim(f.log, true)
	})
}
