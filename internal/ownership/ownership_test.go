package ownership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const testLease = 6 * time.Second

var epoch = time.Unix(1_000_000, 0)

// node is an owner with its own ledger, replayed from the log, and its own clock rate.
type node struct {
	*Owner
	ledger *ledger.Ledger
	rate   float64
	// read is the number of log entries that the node has read.
	read     int
	sequence uint64
	// sent holds the time before the first attempt to append each batch of the node, by sequence number.
	sent map[uint64]time.Time
	// cutOff is set while the node cannot reach the log.
	cutOff bool
	// inFlight holds the batches that the node has sent and that are not appended yet.
	inFlight []*record.Batch
}

// cluster is a set of nodes that share one log.
type cluster struct {
	elapsed time.Duration
	log     []*record.Batch
	nodes   []*node
	names   []string
}

func newCluster(rates ...float64) *cluster {
	c := &cluster{}
	for i, rate := range rates {
		name := fmt.Sprintf("n%d", i)
		c.names = append(c.names, name)
		c.nodes = append(c.nodes, &node{
			Owner:  NewOwner(ledger.Writer{Node: name, Incarnation: 1}, "d", testLease),
			ledger: ledger.New(),
			rate:   rate,
			sent:   make(map[uint64]time.Time),
		})
	}
	return c
}

// now returns the time on a node's own clock.
func (c *cluster) now(n *node) time.Time {
	return epoch.Add(time.Duration(float64(c.elapsed) * n.rate))
}

// decide appends a batch with the records that a node's Decide returns to its batches in flight.
func (c *cluster) decide(n *node, nodes Candidates) {
	records := n.Decide(n.ledger, nodes, c.now(n))
	if len(records) == 0 {
		return
	}
	n.sequence++
	n.sent[n.sequence] = c.now(n)
	b := &record.Batch{Node: n.self.Node, Incarnation: 1, Sequence: n.sequence, Records: records}
	n.inFlight = append(n.inFlight, b)
}

// appendOldest appends the oldest in-flight batch of a node to the log.
func (c *cluster) appendOldest(n *node) {
	if len(n.inFlight) > 0 {
		c.log = append(c.log, n.inFlight[0])
		n.inFlight = n.inFlight[1:]
	}
}

// readEntries makes a node read at most count entries of the log.
func (c *cluster) readEntries(n *node, count int) {
	for ; count > 0 && n.read < len(c.log); count-- {
		b := c.log[n.read]
		n.read++
		own := b.GetNode() == n.self.Node
		results := n.ledger.Apply(platform.Offset(n.read), b, c.now(n))
		n.Observe(n.ledger, results, n.sent[b.GetSequence()], own)
	}
}

// requestPromises makes a node request promises from all other nodes and extends its authority where all of
// them grant one. Only nodes that are cut off from the log and selected by answering grant promises.
func (c *cluster) requestPromises(n *node, answering func(*node) bool) {
	tokens := n.Expiring(n.ledger, c.now(n))
	granted := make(map[uint32]int)
	for _, other := range c.nodes {
		if other == n || !other.cutOff || !answering(other) {
			continue
		}
		for _, shard := range other.GrantPromise(other.ledger, n.self, tokens, testLease, c.now(other)) {
			granted[shard]++
		}
	}
	for _, t := range tokens {
		if granted[t.GetShard()] == len(c.nodes)-1 {
			n.Extend(n.ledger, t, c.now(n))
		}
	}
}

// runFor runs the nodes alive for a duration d without faults, in steps of 100 ms.
func (c *cluster) runFor(d time.Duration, alive ...int) {
	var names []string
	for _, i := range alive {
		names = append(names, c.names[i])
	}
	for end := c.elapsed + d; c.elapsed < end; c.elapsed += 100 * time.Millisecond {
		for _, i := range alive {
			n := c.nodes[i]
			c.readEntries(n, len(c.log))
			c.decide(n, Candidates{Live: names, Stable: names})
			for len(n.inFlight) > 0 {
				c.appendOldest(n)
			}
		}
	}
}

// holders returns the names of the nodes that have authority over a shard.
func (c *cluster) holders(shard uint32) []string {
	var names []string
	for _, n := range c.nodes {
		if _, held := n.Authority(shard, c.now(n)); held {
			names = append(names, n.self.Node)
		}
	}
	return names
}

// heldShards returns the number of shards over which a node has authority.
func (c *cluster) heldShards(i int) int {
	count := 0
	for shard := range uint32(failuredomain.ShardsPerDomain) {
		if _, held := c.nodes[i].Authority(shard, c.now(c.nodes[i])); held {
			count++
		}
	}
	return count
}

// The possible behaviours of a node during one step.
const (
	normal = iota
	paused
	notReading
	lateAppend
	cutOff
	stopping
)

// step runs one node with the given behaviour.
func (c *cluster) step(t *rapid.T, n *node, behaviour int) {
	n.cutOff = behaviour == cutOff
	if behaviour == paused {
		return
	}
	if behaviour == normal || behaviour == lateAppend {
		c.readEntries(n, rapid.SampledFrom([]int{1, 3, 100}).Draw(t, "entries"))
	}
	if behaviour == stopping {
		if records := n.Release(c.names, c.now(n)); len(records) > 0 {
			n.sequence++
			b := &record.Batch{Node: n.self.Node, Incarnation: 1, Sequence: n.sequence, Records: records}
			n.inFlight = append(n.inFlight, b)
		}
		return
	}
	c.decide(n, Candidates{Live: c.names, Stable: c.names})
	if behaviour == normal || behaviour == notReading {
		c.appendOldest(n)
		c.appendOldest(n)
	}
	if behaviour == cutOff {
		c.requestPromises(n, func(*node) bool { return rapid.IntRange(0, 3).Draw(t, "answers") > 0 })
	}
}

// TestSingleOwnerPerShard randomly combines pauses, slow reading, late appends, nodes cut off from the log,
// promises, planned releases and clocks that run at different rates. It checks that two nodes never have
// authority over the same shard at the same time.
func TestSingleOwnerPerShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.98, 1, 1.02})
		c := newCluster(rate.Draw(t, "rate0"), rate.Draw(t, "rate1"), rate.Draw(t, "rate2"))
		behaviour := rapid.SampledFrom([]int{normal, normal, normal, paused, notReading, lateAppend, cutOff, stopping})
		delay := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second})
		for range 60 {
			c.elapsed += delay.Draw(t, "delay")
			for _, n := range c.nodes {
				c.step(t, n, behaviour.Draw(t, n.self.Node))
				for shard := range uint32(failuredomain.ShardsPerDomain) {
					if owners := c.holders(shard); len(owners) > 1 {
						t.Fatalf("shard %d is held by %v after %v", shard, owners, c.elapsed)
					}
				}
			}
		}
	})
}

func TestTakeOver(t *testing.T) {
	Convey("Given three nodes that share the shards", t, func() {
		c := newCluster(1, 1, 1)
		c.runFor(time.Minute, 0, 1, 2)
		So(c.heldShards(0)+c.heldShards(1)+c.heldShards(2), ShouldEqual, failuredomain.ShardsPerDomain)
		deadNode := 0
		for i := range c.nodes {
			if c.heldShards(i) > c.heldShards(deadNode) {
				deadNode = i
			}
		}
		alive := []int{(deadNode + 1) % 3, (deadNode + 2) % 3}

		Convey("the shards of a dead node have new owners within one lease plus one second", func() {
			c.runFor(testLease+time.Second, alive...)
			So(c.heldShards(alive[0])+c.heldShards(alive[1]), ShouldEqual, failuredomain.ShardsPerDomain)
		})
		Convey("a node that comes back gets at most two shards within half a lease and owns shards again a minute later", func() {
			c.runFor(time.Minute, alive...)
			c.runFor(testLease/movesPerLease, 0, 1, 2)
			So(c.heldShards(deadNode), ShouldBeLessThanOrEqualTo, 2)
			c.runFor(time.Minute, 0, 1, 2)
			So(c.heldShards(deadNode), ShouldBeGreaterThan, 0)
		})
	})
}

// TestSuccessorThatDoesNotClaim covers a successor that is live but cannot read the log, and so never claims
// the shards released to it. The owner must not keep releasing shards to it.
func TestSuccessorThatDoesNotClaim(t *testing.T) {
	Convey("Given two nodes, of which the second stays live but is cut off from the log", t, func() {
		c := newCluster(1, 1)
		c.runFor(time.Minute, 0, 1)
		owner := c.nodes[0]
		releases := 0
		for end := c.elapsed + idleSuccessorLeases*testLease; c.elapsed < end; c.elapsed += 100 * time.Millisecond {
			c.readEntries(owner, len(c.log))
			c.decide(owner, Candidates{Live: c.names, Stable: c.names})
			for len(owner.inFlight) > 0 {
				for _, r := range owner.inFlight[0].GetRecords() {
					if r.GetRelease() != nil {
						releases++
					}
				}
				c.appendOldest(owner)
			}
		}
		Convey("the first takes over all shards and releases only one or two to the second within ten leases", func() {
			So(c.heldShards(0), ShouldEqual, failuredomain.ShardsPerDomain)
			So(releases, ShouldBeBetweenOrEqual, 1, 2)
		})
	})
}

func TestPromises(t *testing.T) {
	Convey("Given the owner of a shard and its sibling, the only other node, neither of which can reach the log", t, func() {
		c := newCluster(1, 1)
		c.runFor(time.Minute, 0, 1)
		owner, sibling := c.nodes[0], c.nodes[1]
		if c.heldShards(0) == 0 {
			owner, sibling = sibling, owner
		}
		var shard uint32
		for s := range uint32(failuredomain.ShardsPerDomain) {
			if _, held := owner.Authority(s, c.now(owner)); held {
				shard = s
			}
		}
		owner.cutOff, sibling.cutOff = true, true
		outage := func(d time.Duration) {
			for end := c.elapsed + d; c.elapsed < end; c.elapsed += time.Second {
				c.requestPromises(owner, func(*node) bool { return true })
			}
		}
		holds := func() bool {
			_, held := owner.Authority(shard, c.now(owner))
			return held
		}
		Convey("the owner keeps its authority past its lease while the sibling grants promises", func() {
			outage(time.Hour)
			So(holds(), ShouldBeTrue)
		})
		Convey("the owner loses its authority when the sibling can reach the log", func() {
			sibling.cutOff = false
			outage(testLease)
			So(holds(), ShouldBeFalse)
		})
		Convey("the sibling grants no promise while a claim of its own may still be appended", func() {
			sibling.claimPending[shard] = true
			outage(testLease)
			So(holds(), ShouldBeFalse)
		})
		Convey("the sibling makes no claim before its promise ends", func() {
			outage(2 * testLease)
			sibling.cutOff = false
			c.elapsed += testLease / 2
			c.decide(sibling, Candidates{Live: c.names})
			So(sibling.claimPending[shard], ShouldBeFalse)
			c.elapsed += testLease
			c.decide(sibling, Candidates{Live: c.names[:0]})
			So(sibling.claimPending[shard], ShouldBeTrue)
		})
	})
}

// Guards against LOST: a claim or a release that the queue of the log refused must not leave a shard without an owner for good.
func TestRefusedRecordsLeaveNoShardWithoutOwner(t *testing.T) {
	for name, before := range map[string]time.Duration{"claims": 0, "releases": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(1, 1)
			n := c.nodes[0]
			c.runFor(before, 0)
			refused := 0
			for range 100 {
				c.elapsed += 100 * time.Millisecond
				records := n.Decide(n.ledger, Candidates{Live: c.names[:1], Stable: c.names}, c.now(n))
				refused += len(records)
				n.NotSent(records...)
			}
			c.runFor(3*testLease, 0)
			if held := c.heldShards(0); refused == 0 || held != failuredomain.ShardsPerDomain {
				t.Errorf("after %d refused records the node holds %d of %d shards", refused, held, failuredomain.ShardsPerDomain)
			}
		})
	}
}
