package systemtest

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/settings"
)

var figureRounds = flag.Int("figure-rounds", 3, "number of rounds in which the reaction times of nine nodes are measured")

const (
	// pollInterval is the interval at which the state of the nodes is polled.
	pollInterval = 5 * time.Millisecond
	// manifestActiveBound and leavingKnownBound are guaranteed to users.
	manifestActiveBound = 4 * time.Second
	leavingKnownBound   = 2 * time.Second
)

// nineNodes is a deployment of realistic size: three failure domains with three nodes each.
func nineNodes() layout {
	var l layout
	for _, domain := range []string{"north", "middle", "south"} {
		for i := range 3 {
			l = append(l, struct{ name, domain string }{fmt.Sprintf("%s-%d", domain, i), domain})
		}
	}
	return l
}

// reactionTimes are the times measured in one run, one per round.
type reactionTimes struct {
	manifestActive, takeover, leavingNode, leavingEndpoint []time.Duration
}

// timeUntil returns the time until done returns true, at most a minute.
func timeUntil(done func() bool) time.Duration {
	began := time.Now()
	for !done() && time.Since(began) < time.Minute {
		time.Sleep(pollInterval)
	}
	return time.Since(began)
}

// allRunningExcept reports whether a condition holds on every running node except one.
func (c *cluster) allRunningExcept(except *member, holds func(*member) bool) bool {
	return !slices.ContainsFunc(c.members, func(m *member) bool { return m.up && m != except && !holds(m) })
}

// fullyOwned reports whether every shard of a failure domain has an owner among the running nodes.
func (c *cluster) fullyOwned(domain string) bool {
	held := make(map[uint32]bool)
	for _, m := range c.members {
		if m.up && m.domain == domain {
			for _, shard := range m.node.Status().Shards {
				held[shard] = true
			}
		}
	}
	return len(held) == failuredomain.ShardsPerDomain
}

// measureReactionTimes runs rounds of four events: a manifest is published, an endpoint leaves, a node makes a
// planned stop and a node is killed. With faults set, the log and the links between nodes are also slow and the
// log loses replies.
func measureReactionTimes(rounds int, faults bool) reactionTimes {
	random := rand.New(rand.NewPCG(1, 2))
	c := newCluster(nineNodes(), 2)
	defer c.close()
	for _, m := range c.members {
		c.start(m)
	}
	c.timePublication(c.members[0], 0)
	time.Sleep(40 * time.Second)
	var f reactionTimes
	for round := range rounds {
		if faults {
			c.log.SetDelay(time.Duration(random.IntN(200)) * time.Millisecond)
			c.log.DropReplies(random.IntN(3))
			c.delayLinks(random)
		}
		f.manifestActive = append(f.manifestActive, c.timePublication(c.members[random.IntN(len(c.members))], round+1))
		f.leavingEndpoint = append(f.leavingEndpoint, c.timeEndpointLeave())
		stopped := c.members[random.IntN(len(c.members))]
		f.leavingNode = append(f.leavingNode, c.timeNodeLeave(stopped))
		c.restart(stopped)
		killed := c.members[random.IntN(len(c.members))]
		c.kill(killed)
		f.takeover = append(f.takeover, timeUntil(func() bool { return c.fullyOwned(killed.domain) }))
		c.restart(killed)
	}
	return f
}

// delayLinks sets random delays on the links between nodes.
func (c *cluster) delayLinks(random *rand.Rand) {
	for _, from := range c.members {
		for _, to := range c.members {
			if from != to {
				c.net.setDelay(from.name, to.name, time.Duration(random.IntN(50))*time.Millisecond)
			}
		}
	}
}

// restart waits for the process of a node to exit, starts a new one and gives it time to settle.
func (c *cluster) restart(m *member) {
	<-m.process.done
	c.start(m)
	time.Sleep(40 * time.Second)
}

// timePublication publishes a manifest and returns the time until it is active on all nodes.
func (c *cluster) timePublication(m *member, number int) time.Duration {
	before := m.node.Status().ManifestVersion
	began := time.Now()
	p := operator.Publication{Document: document(fmt.Sprintf("r%d", number), allJobs), Replaces: before}
	go func() { _, _ = m.node.Publish(context.Background(), p) }()
	timeUntil(func() bool {
		return c.allRunningExcept(nil, func(m *member) bool { return m.node.Status().ManifestVersion > before })
	})
	return time.Since(began)
}

// timeEndpointLeave returns the time from the moment at which the VM list shows an endpoint as leaving until
// all nodes know it.
func (c *cluster) timeEndpointLeave() time.Duration {
	id := fmt.Sprintf("leaver-%d", time.Now().UnixNano())
	vm := platform.VM{ID: id, Kind: platform.EndpointVM, State: platform.Live, FailureDomain: "north", Address: "10.9.9.9:1", Service: "svc"}
	c.list.Put(vm)
	time.Sleep(10 * time.Second)
	c.list.SetState(id, platform.Leaving)
	time.Sleep(listLag)
	known := timeUntil(func() bool {
		return c.allRunningExcept(nil, func(m *member) bool {
			for _, e := range m.node.Endpoints() {
				if e.ID == id {
					return e.Leaving
				}
			}
			return false
		})
	})
	c.list.Remove(id)
	time.Sleep(5 * time.Second)
	return known
}

// timeNodeLeave returns the time from the beginning of a planned stop of a node until all other nodes know.
func (c *cluster) timeNodeLeave(m *member) time.Duration {
	c.stop(m)
	return timeUntil(func() bool {
		return c.allRunningExcept(m, func(other *member) bool {
			for _, n := range other.node.Nodes() {
				if n.Node == m.name {
					return n.State == string(membership.Leaving)
				}
			}
			return false
		})
	})
}

func quantile(times []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1)+0.5)].Round(time.Millisecond)
}

// TestReactionTimesOfNineNodes checks the reaction times of nine nodes against the guaranteed bounds and prints
// their quantiles.
func TestReactionTimesOfNineNodes(t *testing.T) {
	takeoverBound := settings.Default().Scheduling.ClaimLease.Std() + time.Second
	for _, faults := range []bool{false, true} {
		var f reactionTimes
		synctest.Test(t, func(*testing.T) { f = measureReactionTimes(*figureRounds, faults) })
		check := func(name string, times []time.Duration, bound time.Duration) {
			t.Logf("faults %5v, %-24s p50 %6s, p99 %6s, %d rounds", faults, name, quantile(times, 0.5), quantile(times, 0.99), len(times))
			if slices.Max(times) > bound {
				t.Errorf("%s took %v, the guaranteed bound is %v", name, slices.Max(times), bound)
			}
		}
		check("manifest active", f.manifestActive, manifestActiveBound)
		check("takeover after a kill", f.takeover, takeoverBound)
		check("leaving node known", f.leavingNode, leavingKnownBound)
		check("leaving endpoint known", f.leavingEndpoint, leavingKnownBound)
	}
}
