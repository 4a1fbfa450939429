package systemtest

import (
	"context"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/settings"
)

// shardCount returns the number of shards that a node owns.
func (f *faultCase) shardCount(m *member) int { return len(m.node.Status().Shards) }

func TestOwnersKeepShardsDuringLogOutage(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		n1, n2 := f.members[0], f.members[1]
		f.log.SetDown(true)
		for range 60 {
			time.Sleep(time.Minute)
			if held := f.shardCount(n1) + f.shardCount(n2); held != failuredomain.ShardsPerDomain {
				f.oracle.violationf("%d shards are held during the outage", held)
			}
			if count := f.oracle.runsNow("svc"); count != serviceInstances {
				f.oracle.violationf("%d instances run during the outage", count)
			}
		}
	})
}

func TestOwnerPartitionedFromLogIsReplaced(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		n1, n2 := f.members[0], f.members[1]
		f.partition(n1.name, logHost, 0)
		time.Sleep(settings.Default().Scheduling.ClaimLease.Std() + time.Second)
		if held := f.shardCount(n2); held != failuredomain.ShardsPerDomain {
			f.oracle.violationf("n2 holds %d shards one claim lease and a second after n1 was partitioned from the log", held)
		}
		if held := f.shardCount(n1); held != 0 {
			f.oracle.violationf("n1, which is partitioned from the log, still holds %d shards", held)
		}
	})
}

func TestNodesNotReadyWhenAllRestartDuringLogOutage(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		f.log.SetDown(true)
		for i := range f.members {
			f.act(action{kind: kill, node: i})
		}
		for i := range f.members {
			f.act(action{kind: restart, node: i})
		}
		time.Sleep(10 * time.Second)
		for _, m := range f.members {
			if s := m.node.Status(); s.Ready || len(s.Shards) > 0 {
				f.oracle.violationf("%s has no source for its state and must not be ready or own shards; ready: %v, shards: %v", m.name, s.Ready, s.Shards)
			}
		}
	})
}

func TestRestartedNodesServeDuringLogOutageWithPeer(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		f.log.SetDown(true)
		for i := range 2 {
			f.act(action{kind: kill, node: i})
			f.act(action{kind: restart, node: i})
		}
		time.Sleep(5 * time.Second)
		for _, m := range f.members[:2] {
			if s := m.node.Status(); !s.Ready || len(s.Shards) > 0 {
				f.oracle.violationf("%s can learn the state from a peer and must be ready without shards; ready: %v, shards: %v", m.name, s.Ready, s.Shards)
			}
		}
	})
}

func TestAllNodesRestartAfterLogTrim(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		period := settings.Default().Log.SnapshotPeriod.Std()
		for _, stream := range []string{journal.DomainStream(north), journal.ManifestStream} {
			f.trimOldEntries(stream, period)
		}
		for i := range 2 {
			f.act(action{kind: kill, node: i})
		}
		f.act(action{kind: kill, node: 2})
		for i := range f.members {
			f.act(action{kind: restart, node: i})
		}
		time.Sleep(20 * time.Second)
		n1, n2 := f.members[0], f.members[1]
		if held := f.shardCount(n1) + f.shardCount(n2); held != failuredomain.ShardsPerDomain {
			f.oracle.violationf("%d shards are held after the restart of all nodes", held)
		}
	})
}

// trimOldEntries runs the cluster for longer than a snapshot period and then drops the entries of a stream that
// are older than that.
func (f *faultCase) trimOldEntries(stream string, period time.Duration) {
	page, err := f.log.Read(context.Background(), stream, 1, 0)
	if err != nil {
		f.oracle.violationf("reading the log failed: %v", err)
	}
	time.Sleep(period + time.Minute)
	f.log.Trim(stream, max(page.Next, platform.Offset(2)))
}

func TestPlannedStopHandsOverShards(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		time.Sleep(time.Minute)
		n1, n2 := f.members[0], f.members[1]
		began := time.Now()
		f.membersMu.Lock()
		f.stop(n1)
		f.membersMu.Unlock()
		for f.shardCount(n2) < failuredomain.ShardsPerDomain && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(began); took > time.Second {
			f.oracle.violationf("n2 owned all shards only %v after the planned stop of n1 began", took)
		}
		if count := f.oracle.runsNow("svc"); count != serviceInstances {
			f.oracle.violationf("%d instances run after the handover", count)
		}
	})
}

func TestServicesKeepRunningWithoutLogAndOtherNode(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		f.act(action{kind: kill, node: 1})
		time.Sleep(30 * time.Second)
		f.log.SetDown(true)
		time.Sleep(5 * time.Minute)
		n1 := f.members[0]
		if held := f.shardCount(n1); held != 0 {
			f.oracle.violationf("n1 holds %d shards without a claim promise from n2, which the VM list still shows", held)
		}
		if count := f.oracle.runsNow("svc"); count != serviceInstances {
			f.oracle.violationf("%d instances run; all should, because their leases can be renewed", count)
		}
	})
}

func TestOwnerWithUnknownDomainPeerReleasesShards(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		n1, n2 := f.members[0], f.members[1]
		f.act(action{kind: kill, node: 1})
		f.act(action{kind: kill, node: 0})
		f.partition(n1.name, listHost, 0)
		f.partition(n1.name, n2.name, 0)
		f.partition(n1.name, f.members[2].name, 0)
		f.act(action{kind: restart, node: 0, wait: 20 * time.Second})
		f.act(action{kind: restart, node: 1, wait: 10 * time.Second})
		f.partition(n1.name, logHost, 0)
		time.Sleep(30 * time.Second)
		if held := f.shardCount(n1); held != 0 {
			f.oracle.violationf("n1, which is partitioned from the log and knows no other node, holds %d shards", held)
		}
	})
}

// TestLeavingPeerGivesNoClaimPromise guards against an owner that is partitioned from the log and keeps its
// shards because the other node of its failure domain is leaving. The leaving node owned the shards a moment ago
// and comes back under the same address, so the owner needs its claim promise to continue.
func TestLeavingPeerGivesNoClaimPromise(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		n1, n2 := f.members[0], f.members[1]
		f.partition(n2.name, logHost, 0)
		time.Sleep(20 * time.Second)
		f.act(action{kind: stopPlanned, node: 0, wait: 20 * time.Second})
		if held := f.shardCount(n2); held != 0 {
			f.oracle.violationf("n2, which is partitioned from the log, holds %d shards while n1 is stopped", held)
		}
		f.partition(n1.name, n2.name, 0)
		f.act(action{kind: restart, node: 0, wait: 20 * time.Second})
		if held := f.shardCount(n2); held != 0 {
			f.oracle.violationf("n2, which is partitioned from the log, holds %d shards after the restart of n1", held)
		}
	})
}
