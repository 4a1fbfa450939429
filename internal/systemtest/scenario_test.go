package systemtest

import (
	"testing"
	"testing/synctest"
	"time"
)

// runScenario runs a scenario with new nodes in virtual time and fails with a trace if a guarantee is violated.
func runScenario(t *testing.T, scenario func(f *faultCase)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFaultCase()
		scenario(f)
		if report := f.end(); report != "" {
			t.Error(report)
		}
	})
}

// activeVersion returns the active manifest version of a node.
func (f *faultCase) activeVersion(m *member) uint64 { return m.node.Status().ManifestVersion }

func TestRestartedNodeLearnsNewestManifestFromPeers(t *testing.T) {
	runScenario(t, func(f *faultCase) {
		n1, n2, s1 := f.members[0], f.members[1], f.members[2]
		f.partition(s1.name, logHost, 0)
		f.partition(s1.name, n1.name, 0)
		f.partition(s1.name, n2.name, 0)
		f.publish(n1, 3)
		time.Sleep(2 * time.Second)
		f.log.SetDown(true)
		f.net.setLost(s1.name, n2.name, false)
		f.net.setLost(n2.name, s1.name, false)
		behind := f.activeVersion(s1)
		for range 6 {
			f.act(action{kind: kill, node: 1})
			f.act(action{kind: restart, node: 1, wait: 400 * time.Millisecond})
			if v := f.activeVersion(n2); v <= behind {
				f.oracle.violationf("version %d is active on the restarted node, although a reachable peer has a version newer than %d", v, behind)
			}
			// The next round needs s1 to still have the older manifest.
			if v := f.activeVersion(s1); v != behind {
				break
			}
		}
	})
}
