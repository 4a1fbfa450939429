package proof

import (
	"context"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/settings"
)

// shardsOf returns the number of shards that a node holds.
func (f *fuzzCase) shardsOf(m *member) int { return len(m.node.Status().Shards) }

func TestOwnersGoOnDuringAnOutageOfTheLog(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		n1, n2 := f.members[0], f.members[1]
		f.log.SetDown(true)
		for range 60 {
			time.Sleep(time.Minute)
			if held := f.shardsOf(n1) + f.shardsOf(n2); held != failuredomain.Shards {
				f.oracle.breachf("%d shards are held during the outage", held)
			}
			if count := f.oracle.runsNow("svc"); count != services {
				f.oracle.breachf("%d instances run during the outage", count)
			}
		}
	})
}

func TestOwnerCutFromTheLogIsReplaced(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		n1, n2 := f.members[0], f.members[1]
		f.cut(n1.name, logParty, 0)
		time.Sleep(settings.Default().Scheduling.ClaimLease.Std() + time.Second)
		if held := f.shardsOf(n2); held != failuredomain.Shards {
			f.oracle.breachf("the sibling holds %d shards one lease and a second after the cut", held)
		}
		if held := f.shardsOf(n1); held != 0 {
			f.oracle.breachf("the cut node still holds %d shards", held)
		}
	})
}

func TestAllNodesRestartedDuringAnOutage(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
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
				f.oracle.breachf("%s stands on nothing and is ready: %v, holds %v", m.name, s.Ready, s.Shards)
			}
		}
	})
}

func TestFreshNodesServeDuringAnOutageWhenAPeerIsLeft(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		f.log.SetDown(true)
		for i := range 2 {
			f.act(action{kind: kill, node: i})
			f.act(action{kind: restart, node: i})
		}
		time.Sleep(5 * time.Second)
		for _, m := range f.members[:2] {
			if s := m.node.Status(); !s.Ready || len(s.Shards) > 0 {
				f.oracle.breachf("%s has a peer to learn from; ready: %v, holds %v", m.name, s.Ready, s.Shards)
			}
		}
	})
}

func TestDomainIsReplacedAfterRetention(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		period := settings.Default().Log.SnapshotPeriod.Std()
		for _, stream := range []string{journal.DomainStream(north), journal.ManifestStream} {
			f.trimBefore(stream, period)
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
		if held := f.shardsOf(n1) + f.shardsOf(n2); held != failuredomain.Shards {
			f.oracle.breachf("%d shards are held after the replacement", held)
		}
	})
}

// trimBefore lets a stream go on for longer than a snapshot period and then drops what is older.
func (f *fuzzCase) trimBefore(stream string, period time.Duration) {
	page, err := f.log.Read(context.Background(), stream, 1, 0)
	if err != nil {
		f.oracle.breachf("the log cannot be read: %v", err)
	}
	time.Sleep(period + time.Minute)
	f.log.Trim(stream, max(page.Next, platform.Offset(2)))
}

func TestPlannedStopHandsShardsOverWithoutAGap(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		time.Sleep(time.Minute)
		n1, n2 := f.members[0], f.members[1]
		began := time.Now()
		f.step.Lock()
		f.stop(n1)
		f.step.Unlock()
		for f.shardsOf(n2) < failuredomain.Shards && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(began); took > time.Second {
			f.oracle.breachf("the sibling owned all shards %v after the stop began", took)
		}
		if count := f.oracle.runsNow("svc"); count != services {
			f.oracle.breachf("%d instances run after the hand-over", count)
		}
	})
}

func TestServicesGoOnWithoutLogAndSibling(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		f.act(action{kind: kill, node: 1})
		time.Sleep(30 * time.Second)
		f.log.SetDown(true)
		time.Sleep(5 * time.Minute)
		n1 := f.members[0]
		if held := f.shardsOf(n1); held != 0 {
			f.oracle.breachf("%d shards are held without the promise of the sibling that the list shows", held)
		}
		if count := f.oracle.runsNow("svc"); count != services {
			f.oracle.breachf("%d instances run although their leases can be renewed", count)
		}
	})
}

func TestOwnerThatKnowsNoSiblingGetsNoPromise(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		n1, n2 := f.members[0], f.members[1]
		f.act(action{kind: kill, node: 1})
		f.act(action{kind: kill, node: 0})
		f.cut(n1.name, listParty, 0)
		f.cut(n1.name, n2.name, 0)
		f.cut(n1.name, f.members[2].name, 0)
		f.act(action{kind: restart, node: 0, wait: 20 * time.Second})
		f.act(action{kind: restart, node: 1, wait: 10 * time.Second})
		f.cut(n1.name, logParty, 0)
		time.Sleep(30 * time.Second)
		if held := f.shardsOf(n1); held != 0 {
			f.oracle.breachf("the cut node holds %d shards", held)
		}
	})
}

// TestLeavingSiblingDoesNotCountAsPromise: a sibling that is leaving has owned the shards until a moment ago
// and comes back under its old address, so an owner that is cut from the log must not go on without its word.
func TestLeavingSiblingDoesNotCountAsPromise(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		n1, n2 := f.members[0], f.members[1]
		f.cut(n2.name, logParty, 0)
		time.Sleep(20 * time.Second)
		f.act(action{kind: stopPlanned, node: 0, wait: 20 * time.Second})
		if held := f.shardsOf(n2); held != 0 {
			f.oracle.breachf("the cut node holds %d shards while its sibling is away", held)
		}
		f.cut(n1.name, n2.name, 0)
		f.act(action{kind: restart, node: 0, wait: 20 * time.Second})
		if held := f.shardsOf(n2); held != 0 {
			f.oracle.breachf("the cut node holds %d shards after its sibling came back", held)
		}
	})
}
