package proof

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

var figureRounds = flag.Int("figure-rounds", 3, "rounds of the figures of nine nodes")

const (
	// figurePoll is how often the figures look at the nodes.
	figurePoll = 5 * time.Millisecond
	// inForceBound, and leavingBound are what users were promised.
	inForceBound = 4 * time.Second
	leavingBound = 2 * time.Second
)

// threeTimesThree is a deployment of today's size.
func threeTimesThree() layout {
	var l layout
	for _, domain := range []string{"north", "middle", "south"} {
		for i := range 3 {
			l = append(l, struct{ name, domain string }{fmt.Sprintf("%s-%d", domain, i), domain})
		}
	}
	return l
}

// figures are the times that one run has measured.
type figures struct {
	inForce, takeOver, leavingNode, leavingEndpoint []time.Duration
}

// until returns the time until done holds, at most a minute.
func until(done func() bool) time.Duration {
	began := time.Now()
	for !done() && time.Since(began) < time.Minute {
		time.Sleep(figurePoll)
	}
	return time.Since(began)
}

// all reports whether a condition holds on every running node but one.
func (c *cluster) all(but *member, holds func(*member) bool) bool {
	return !slices.ContainsFunc(c.members, func(m *member) bool { return m.up && m != but && !holds(m) })
}

// owned reports whether every shard of a failure domain has an owner among the running nodes.
func (c *cluster) owned(domain string) bool {
	held := make(map[uint32]bool)
	for _, m := range c.members {
		if m.up && m.domain == domain {
			for _, shard := range m.node.Status().Shards {
				held[shard] = true
			}
		}
	}
	return len(held) == failuredomain.Shards
}

// measureNodes runs rounds in which a manifest is published, an endpoint leaves, a node stops as planned and
// a node is killed.
func measureNodes(rounds int, faults bool) figures {
	random := rand.New(rand.NewPCG(1, 2))
	c := newCluster(threeTimesThree(), 2)
	defer c.close()
	for _, m := range c.members {
		c.start(m)
	}
	c.publishAndWait(c.members[0], 0)
	time.Sleep(40 * time.Second)
	var f figures
	for round := range rounds {
		if faults {
			c.log.SetDelay(time.Duration(random.IntN(200)) * time.Millisecond)
			c.log.DropReplies(random.IntN(3))
			c.slowLinks(random)
		}
		f.inForce = append(f.inForce, c.publishAndWait(c.members[random.IntN(len(c.members))], round+1))
		f.leavingEndpoint = append(f.leavingEndpoint, c.leaveEndpoint())
		stopped := c.members[random.IntN(len(c.members))]
		f.leavingNode = append(f.leavingNode, c.leaveNode(stopped))
		c.restart(stopped)
		killed := c.members[random.IntN(len(c.members))]
		c.kill(killed)
		f.takeOver = append(f.takeOver, until(func() bool { return c.owned(killed.domain) }))
		c.restart(killed)
	}
	return f
}

// slowLinks delays some links between nodes.
func (c *cluster) slowLinks(random *rand.Rand) {
	for _, from := range c.members {
		for _, to := range c.members {
			if from != to {
				c.net.setDelay(from.name, to.name, time.Duration(random.IntN(50))*time.Millisecond)
			}
		}
	}
}

func (c *cluster) restart(m *member) {
	<-m.process.done
	c.start(m)
	time.Sleep(40 * time.Second)
}

// publishAndWait returns the time from the publication until the manifest is in force on all nodes.
func (c *cluster) publishAndWait(m *member, number int) time.Duration {
	before := m.node.Status().ManifestVersion
	began := time.Now()
	p := operator.Publication{Document: document(fmt.Sprintf("r%d", number), allJobs), Replaces: before}
	go func() { _, _ = m.node.Publish(context.Background(), p) }()
	until(func() bool {
		return c.all(nil, func(m *member) bool { return m.node.Status().ManifestVersion > before })
	})
	return time.Since(began)
}

// leaveEndpoint returns the time from when the list first shows a leaving endpoint until all nodes know.
func (c *cluster) leaveEndpoint() time.Duration {
	id := fmt.Sprintf("leaver-%d", time.Now().UnixNano())
	vm := platform.VM{ID: id, Kind: platform.EndpointVM, State: platform.Live, FailureDomain: "north", Address: "10.9.9.9:1", Service: "svc"}
	c.list.Put(vm)
	time.Sleep(10 * time.Second)
	c.list.SetState(id, platform.Leaving)
	time.Sleep(listLag)
	known := until(func() bool {
		return c.all(nil, func(m *member) bool {
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

// leaveNode returns the time from the beginning of a planned stop until all other nodes know.
func (c *cluster) leaveNode(m *member) time.Duration {
	c.stop(m)
	return until(func() bool {
		return c.all(m, func(other *member) bool {
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

// TestFiguresOfNineNodes checks the times that users were promised and prints what they are.
func TestFiguresOfNineNodes(t *testing.T) {
	takeOverBound := settings.Default().Scheduling.ClaimLease.Std() + time.Second
	for _, faults := range []bool{false, true} {
		var f figures
		synctest.Test(t, func(*testing.T) { f = measureNodes(*figureRounds, faults) })
		check := func(name string, times []time.Duration, bound time.Duration) {
			t.Logf("faults %5v, %-24s p50 %6s, p99 %6s, %d rounds", faults, name, quantile(times, 0.5), quantile(times, 0.99), len(times))
			if slices.Max(times) > bound {
				t.Errorf("%s took %v, at most %v was promised", name, slices.Max(times), bound)
			}
		}
		check("manifest in force", f.inForce, inForceBound)
		check("take-over after a kill", f.takeOver, takeOverBound)
		check("leaving node known", f.leavingNode, leavingBound)
		check("leaving endpoint known", f.leavingEndpoint, leavingBound)
	}
}
