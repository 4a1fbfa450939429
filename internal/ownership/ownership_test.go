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

// node is one owner with its own replay of the log and its own clock rate.
type node struct {
	*Owner
	ledger   *ledger.Ledger
	rate     float64
	read     int
	sequence uint64
	// sent gives the time before the first try of each own batch.
	sent     map[uint64]time.Time
	cutOff   bool
	inFlight []*record.Batch
}

// cluster is a set of owners around one log.
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

// now is the time on a node's own clock.
func (c *cluster) now(n *node) time.Time {
	return epoch.Add(time.Duration(float64(c.elapsed) * n.rate))
}

// tick lets a node decide. What it writes is in flight afterwards.
func (c *cluster) tick(n *node, nodes Candidates) {
	records := n.Decide(n.ledger, nodes, c.now(n))
	if len(records) == 0 {
		return
	}
	n.sequence++
	n.sent[n.sequence] = c.now(n)
	b := &record.Batch{Node: n.self.Node, Incarnation: 1, Sequence: n.sequence, Records: records}
	n.inFlight = append(n.inFlight, b)
}

// land puts the oldest batch in flight into the log.
func (c *cluster) land(n *node) {
	if len(n.inFlight) > 0 {
		c.log = append(c.log, n.inFlight[0])
		n.inFlight = n.inFlight[1:]
	}
}

// readSome lets a node read at most count entries.
func (c *cluster) readSome(n *node, count int) {
	for ; count > 0 && n.read < len(c.log); count-- {
		b := c.log[n.read]
		n.read++
		own := b.GetNode() == n.self.Node
		results := n.ledger.Apply(platform.Offset(n.read), b, c.now(n))
		n.Observe(n.ledger, results, n.sent[b.GetSequence()], own)
	}
}

// askPromises lets a node ask all others, as far as it and they are cut off from the log.
func (c *cluster) askPromises(n *node, answering func(*node) bool) {
	tokens := n.Expiring(n.ledger, c.now(n))
	granted := make(map[uint32]int)
	for _, other := range c.nodes {
		if other == n || !other.cutOff || !answering(other) {
			continue
		}
		for _, shard := range other.Promise(other.ledger, n.self, tokens, testLease, c.now(other)) {
			granted[shard]++
		}
	}
	for _, t := range tokens {
		if granted[t.GetShard()] == len(c.nodes)-1 {
			n.Extend(n.ledger, t, c.now(n))
		}
	}
}

// settle runs rounds of 100 ms in which everything works.
func (c *cluster) settle(d time.Duration, alive ...int) {
	var names []string
	for _, i := range alive {
		names = append(names, c.names[i])
	}
	for end := c.elapsed + d; c.elapsed < end; c.elapsed += 100 * time.Millisecond {
		for _, i := range alive {
			n := c.nodes[i]
			c.readSome(n, len(c.log))
			c.tick(n, Candidates{Live: names, Stable: names})
			for len(n.inFlight) > 0 {
				c.land(n)
			}
		}
	}
}

func (c *cluster) holders(shard uint32) []string {
	var names []string
	for _, n := range c.nodes {
		if _, held := n.Holds(shard, c.now(n)); held {
			names = append(names, n.self.Node)
		}
	}
	return names
}

func (c *cluster) held(i int) int {
	count := 0
	for shard := range uint32(failuredomain.Shards) {
		if _, held := c.nodes[i].Holds(shard, c.now(c.nodes[i])); held {
			count++
		}
	}
	return count
}

// The ways in which a node behaves during one step.
const (
	normal = iota
	paused
	notReading
	lateAppend
	cutOff
	stopping
)

// step lets one node act as it behaves.
func (c *cluster) step(t *rapid.T, n *node, behaviour int) {
	n.cutOff = behaviour == cutOff
	if behaviour == paused {
		return
	}
	if behaviour == normal || behaviour == lateAppend {
		c.readSome(n, rapid.SampledFrom([]int{1, 3, 100}).Draw(t, "entries"))
	}
	if behaviour == stopping {
		if records := n.Release(c.names, c.now(n)); len(records) > 0 {
			n.sequence++
			b := &record.Batch{Node: n.self.Node, Incarnation: 1, Sequence: n.sequence, Records: records}
			n.inFlight = append(n.inFlight, b)
		}
		return
	}
	c.tick(n, Candidates{Live: c.names, Stable: c.names})
	if behaviour == normal || behaviour == notReading {
		c.land(n)
		c.land(n)
	}
	if behaviour == cutOff {
		c.askPromises(n, func(*node) bool { return rapid.IntRange(0, 3).Draw(t, "answers") > 0 })
	}
}

// TestOneOwner mixes pauses, slow reading, late appends, cut-off nodes, promises, planned releases and
// drifting clocks at random, and checks that no shard ever has two owners that may act.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.98, 1, 1.02})
		c := newCluster(rate.Draw(t, "rate0"), rate.Draw(t, "rate1"), rate.Draw(t, "rate2"))
		behaviour := rapid.SampledFrom([]int{normal, normal, normal, paused, notReading, lateAppend, cutOff, stopping})
		delay := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second})
		for range 60 {
			c.elapsed += delay.Draw(t, "delay")
			for _, n := range c.nodes {
				c.step(t, n, behaviour.Draw(t, n.self.Node))
				for shard := range uint32(failuredomain.Shards) {
					if owners := c.holders(shard); len(owners) > 1 {
						t.Fatalf("shard %d is owned by %v after %v", shard, owners, c.elapsed)
					}
				}
			}
		}
	})
}

func TestTakeOver(t *testing.T) {
	Convey("Given three nodes that share the shards", t, func() {
		c := newCluster(1, 1, 1)
		c.settle(time.Minute, 0, 1, 2)
		So(c.held(0)+c.held(1)+c.held(2), ShouldEqual, failuredomain.Shards)
		victim := 0
		for i := range c.nodes {
			if c.held(i) > c.held(victim) {
				victim = i
			}
		}
		alive := []int{(victim + 1) % 3, (victim + 2) % 3}

		Convey("the shards of a dead node are owned again within a lease and a second", func() {
			c.settle(testLease+time.Second, alive...)
			So(c.held(alive[0])+c.held(alive[1]), ShouldEqual, failuredomain.Shards)
		})
		Convey("a node that comes back is given one shard after the other", func() {
			c.settle(time.Minute, alive...)
			c.settle(testLease/movesPerLease, 0, 1, 2)
			So(c.held(victim), ShouldBeLessThanOrEqualTo, 2)
			c.settle(time.Minute, 0, 1, 2)
			So(c.held(victim), ShouldBeGreaterThan, 0)
		})
	})
}

// TestHeirThatDoesNotClaim: a node that is live but reads nothing of the log is given shards in vain.
func TestHeirThatDoesNotClaim(t *testing.T) {
	Convey("Given two nodes, of which the second stays live but is cut off from the log", t, func() {
		c := newCluster(1, 1)
		c.settle(time.Minute, 0, 1)
		owner := c.nodes[0]
		releases := 0
		for end := c.elapsed + idleHeirLeases*testLease; c.elapsed < end; c.elapsed += 100 * time.Millisecond {
			c.readSome(owner, len(c.log))
			c.tick(owner, Candidates{Live: c.names, Stable: c.names})
			for len(owner.inFlight) > 0 {
				for _, r := range owner.inFlight[0].GetRecords() {
					if r.GetRelease() != nil {
						releases++
					}
				}
				c.land(owner)
			}
		}
		Convey("the first takes its shards over and offers it one again only after ten leases", func() {
			So(c.held(0), ShouldEqual, failuredomain.Shards)
			So(releases, ShouldBeBetweenOrEqual, 1, 2)
		})
	})
}

func TestPromises(t *testing.T) {
	Convey("Given an outage of the log for all nodes", t, func() {
		c := newCluster(1, 1)
		c.settle(time.Minute, 0, 1)
		owner, sibling := c.nodes[0], c.nodes[1]
		if c.held(0) == 0 {
			owner, sibling = sibling, owner
		}
		var shard uint32
		for s := range uint32(failuredomain.Shards) {
			if _, held := owner.Holds(s, c.now(owner)); held {
				shard = s
			}
		}
		owner.cutOff, sibling.cutOff = true, true
		outage := func(d time.Duration) {
			for end := c.elapsed + d; c.elapsed < end; c.elapsed += time.Second {
				c.askPromises(owner, func(*node) bool { return true })
			}
		}
		holds := func() bool {
			_, held := owner.Holds(shard, c.now(owner))
			return held
		}
		Convey("the owner goes on past its lease while the sibling promises", func() {
			outage(time.Hour)
			So(holds(), ShouldBeTrue)
		})
		Convey("it stops when the sibling can reach the log", func() {
			sibling.cutOff = false
			outage(testLease)
			So(holds(), ShouldBeFalse)
		})
		Convey("the sibling does not promise while a claim of its own may still land", func() {
			sibling.claiming[shard] = true
			outage(testLease)
			So(holds(), ShouldBeFalse)
		})
		Convey("the sibling makes no claim before its promise ends", func() {
			outage(2 * testLease)
			sibling.cutOff = false
			c.elapsed += testLease / 2
			c.tick(sibling, Candidates{Live: c.names})
			So(sibling.claiming[shard], ShouldBeFalse)
			c.elapsed += testLease
			c.tick(sibling, Candidates{Live: c.names[:0]})
			So(sibling.claiming[shard], ShouldBeTrue)
		})
	})
}
