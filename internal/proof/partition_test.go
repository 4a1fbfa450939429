package proof

import (
	"testing"
	"testing/synctest"
	"time"
)

// inBubble runs a scenario over fresh nodes in virtual time and fails with the trace on any breach.
func inBubble(t *testing.T, scenario func(f *fuzzCase)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newCase()
		scenario(f)
		if report := f.end(); report != "" {
			t.Error(report)
		}
	})
}

// inForceOn returns the manifest version that a node has in force.
func (f *fuzzCase) inForceOn(m *member) uint64 { return m.node.Status().ManifestVersion }

func TestFreshNodeTakesTheNewestManifestOfItsPeers(t *testing.T) {
	inBubble(t, func(f *fuzzCase) {
		n1, n2, s1 := f.members[0], f.members[1], f.members[2]
		f.cut(s1.name, logParty, 0)
		f.cut(s1.name, n1.name, 0)
		f.cut(s1.name, n2.name, 0)
		f.publish(n1, 3)
		time.Sleep(2 * time.Second)
		f.log.SetDown(true)
		f.net.setLost(s1.name, n2.name, false)
		f.net.setLost(n2.name, s1.name, false)
		behind := f.inForceOn(s1)
		for range 6 {
			f.act(action{kind: kill, node: 1})
			f.act(action{kind: restart, node: 1, wait: 400 * time.Millisecond})
			if v := f.inForceOn(n2); v <= behind {
				f.oracle.breachf("a fresh node has version %d in force, a peer in reach has a newer one than %d", v, behind)
			}
			// s1 must stay behind for the next round.
			if v := f.inForceOn(s1); v != behind {
				break
			}
		}
	})
}
