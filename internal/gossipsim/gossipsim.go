// Package gossipsim compares two policies for the time between two membership exchanges of a node: a fixed
// period, and a period that adapts to the number of unanswered exchanges. It simulates the exchange of the
// tables of package membership over in-memory links with a simulated clock, and measures traffic, the time
// until a failed or leaving node is known, and false alarms. Its tests print the results:
//
//	go test ./internal/gossipsim -run TestPeriodFigures -v -figures
package gossipsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/peer"
)

const (
	// exchangeOverhead is the size of the headers of one exchange in both directions, in bytes.
	exchangeOverhead = 520
	// fixedPeriod is the period of the fixed policy, and the shortest period and the step of the adaptive one.
	fixedPeriod = time.Second
	// maxPeriod is the longest period of the adaptive policy.
	maxPeriod = 8 * time.Second
	// maxDomains is the maximum number of failure domains in a simulation.
	maxDomains = 11
)

// member is one node of the simulation.
type member struct {
	table   *membership.Table
	period  periodPolicy
	next    time.Time
	rounds  int
	stopped bool
}

// periodPolicy chooses the time until a node's next exchange.
type periodPolicy interface {
	// after returns the time until the next exchange. failed tells whether the last exchange was unanswered.
	after(failed bool, now time.Time) time.Duration
}

type fixedPolicy struct{}

func (fixedPolicy) after(bool, time.Time) time.Duration { return fixedPeriod }

// adaptivePolicy adjusts the period at most once per maxPeriod. If more exchanges were unanswered than before
// the previous adjustment, it lowers the period in proportion to their number. Otherwise it raises the period
// by fixedPeriod until maxPeriod is reached.
type adaptivePolicy struct {
	current          time.Duration
	failures         int
	previousFailures int
	adjustedAt       time.Time
}

func (p *adaptivePolicy) after(failed bool, now time.Time) time.Duration {
	if failed {
		p.failures++
	}
	if now.Sub(p.adjustedAt) < maxPeriod {
		return p.current
	}
	switch {
	case p.failures == 0:
		p.current = min(p.current+fixedPeriod, maxPeriod)
	case p.failures > p.previousFailures:
		maxFailures := float64(maxPeriod) / float64(p.current)
		p.current -= time.Duration(min(1, float64(p.failures)/maxFailures) * float64(p.current-fixedPeriod))
	case p.current < maxPeriod:
		p.current += fixedPeriod
	}
	p.previousFailures, p.failures, p.adjustedAt = p.failures, 0, now
	return p.current
}

// simulation runs the membership tables of several nodes over in-memory links.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	members []*member
	bytes   int
}

func newSimulation(count int, periods membership.Timeouts, policy func() periodPolicy) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(1, uint64(count))), now: time.Unix(1_000_000, 0)}
	rows := make([]membership.Member, count)
	for i := range rows {
		rows[i] = membership.Member{
			Node:          fmt.Sprintf("entry-%03d", i),
			Incarnation:   uint64(1_796_376_969_000_772_000 + i),
			FailureDomain: fmt.Sprintf("domain-%d", i%min(maxDomains, max(3, count/9))),
			Address:       fmt.Sprintf("10.0.%d.%d:7402", i/250, i%250),
		}
	}
	for i := range rows {
		m := &member{table: membership.NewTable(rows[i], periods), period: policy()}
		m.next = sim.now.Add(time.Duration(sim.random.Int64N(int64(fixedPeriod))))
		for j := range rows {
			m.table.Merge(rows[j], false, sim.now)
		}
		sim.members = append(sim.members, m)
	}
	return sim
}

// run advances the clock by d in steps of 10 ms. It calls afterStep after each step, if that is not nil.
func (sim *simulation) run(d time.Duration, afterStep func()) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(10 * time.Millisecond) {
		for i, m := range sim.members {
			if !m.stopped && !sim.now.Before(m.next) {
				failed := sim.exchange(i)
				m.next = m.next.Add(m.period.after(failed, sim.now))
			}
		}
		if afterStep != nil {
			afterStep()
		}
	}
}

// exchange lets one node exchange views with a random peer that it does not see as dead. It reports whether
// the peer left the exchange unanswered.
func (sim *simulation) exchange(i int) (failed bool) {
	m := sim.members[i]
	m.table.Self().Heartbeat++
	m.rounds++
	var targets []int
	for j, other := range sim.members {
		far := other.table.Self().FailureDomain != m.table.Self().FailureDomain
		if m.rounds%2 == 0 && far {
			continue
		}
		if j != i && m.table.StateOf(other.table.Self().Node, sim.now) != membership.Dead {
			targets = append(targets, j)
		}
	}
	if len(targets) == 0 {
		return false
	}
	other := sim.members[targets[sim.random.IntN(len(targets))]]
	if other.stopped {
		m.table.RecordCall(other.table.Self().Address, membership.CallTimedOut, 0, sim.now)
		return true
	}
	sim.bytes += exchangeOverhead
	heartbeats := sim.sendView(m, other, nil, nil)
	sim.sendView(other, m, m.table.Unresolved(), heartbeats)
	return false
}

// sendView sends a view from one node to another and returns the heartbeats that it sent, by node.
func (sim *simulation) sendView(from, to *member, wanted []string, told map[string]uint64) map[string]uint64 {
	audience := membership.Recipient{FailureDomain: to.table.Self().FailureDomain, Requested: wanted, KnownHeartbeats: told}
	heartbeats := make(map[string]uint64)
	view := &peer.View{From: from.table.Self().Node, Wanted: from.table.Unresolved()}
	for _, row := range from.table.View(audience, sim.now) {
		view.Members = append(view.Members, &peer.Member{
			Node:            row.Node,
			Incarnation:     row.Incarnation,
			FailureDomain:   row.FailureDomain,
			Address:         row.Address,
			Heartbeat:       row.Heartbeat,
			Leaving:         row.Leaving,
			ManifestVersion: 1 << 20,
			Division:        1 << 62,
			DomainDivision:  1 << 62,
		})
		heartbeats[row.Node] = row.Heartbeat
		to.table.Merge(row, row.Node == from.table.Self().Node, sim.now)
	}
	sim.bytes += proto.Size(view)
	return heartbeats
}

// countPairs counts the pairs of a running node and another node, selected by about, that the running node
// sees in one of the states.
func (sim *simulation) countPairs(about func(*member) bool, states ...membership.State) int {
	count := 0
	for _, m := range sim.members {
		for _, other := range sim.members {
			if m.stopped || m == other || !about(other) {
				continue
			}
			state := m.table.StateOf(other.table.Self().Node, sim.now)
			for _, s := range states {
				if s == state {
					count++
				}
			}
		}
	}
	return count
}

// countUnawareInDomain counts the nodes of member 0's failure domain that do not see it as dead.
func (sim *simulation) countUnawareInDomain() int {
	count := 0
	dead := sim.members[0].table.Self()
	for _, m := range sim.members[1:] {
		if m.table.Self().FailureDomain == dead.FailureDomain && m.table.StateOf(dead.Node, sim.now) != membership.Dead {
			count++
		}
	}
	return count
}

func isStopped(m *member) bool { return m.stopped }
func isRunning(m *member) bool { return !m.stopped }

// result holds the measurements of one policy with one number of nodes.
type result struct {
	// bytesPerSecond is the average traffic of one node, sent and received.
	bytesPerSecond float64
	// falseSuspects and falseDead are the average numbers of pairs of running nodes of which one sees the
	// other as suspect or dead.
	falseSuspects float64
	falseDead     float64
	// deathKnown is the time until no running node sees the stopped node as live or suspect. This and the
	// following times are zero if that does not happen during the measurement.
	deathKnown time.Duration
	// domainKnown is the time until all nodes of the stopped node's own failure domain see it as dead.
	domainKnown time.Duration
	// leavingKnown is the time until all other nodes see a node that leaves as leaving.
	leavingKnown time.Duration
	// stalePairs is the average number of running nodes that still see the stopped node as live or suspect.
	stalePairs float64
}

// measure simulates count nodes and measures traffic and false alarms while nothing changes, then the time
// until a leaving node is known, and then the time until a stopped node is known.
func measure(count int, periods membership.Timeouts, policy func() periodPolicy) result {
	var res result
	sim := newSimulation(count, periods, policy)
	sim.run(60*time.Second, nil)
	// One minute without changes. Each exchange counts as traffic of both of its nodes.
	sim.bytes = 0
	samples := 0
	sim.run(time.Minute, func() {
		samples++
		if samples%100 == 0 {
			res.falseSuspects += float64(sim.countPairs(isRunning, membership.Suspect)) / 60
			res.falseDead += float64(sim.countPairs(isRunning, membership.Dead)) / 60
		}
	})
	res.bytesPerSecond = 2 * float64(sim.bytes) / float64(count) / 60
	// A node starts to leave and does not push that to its peers.
	left := sim.members[1]
	left.table.Self().Leaving = true
	began := sim.now
	sim.run(2*time.Minute, func() {
		about := func(m *member) bool { return m == left }
		if res.leavingKnown == 0 && sim.countPairs(about, membership.Leaving) == count-1 {
			res.leavingKnown = sim.now.Sub(began)
		}
	})
	// A node stops.
	sim.members[0].stopped = true
	began = sim.now
	stale := 0
	sim.run(3*time.Minute, func() {
		unaware := sim.countPairs(isStopped, membership.Live, membership.Suspect)
		stale += unaware
		if res.domainKnown == 0 && sim.countUnawareInDomain() == 0 {
			res.domainKnown = sim.now.Sub(began)
		}
		if res.deathKnown == 0 && unaware == 0 {
			res.deathKnown = sim.now.Sub(began)
		}
	})
	res.stalePairs = float64(stale) / float64(3*time.Minute/(10*time.Millisecond))
	return res
}

func fixedTimeouts() membership.Timeouts {
	return membership.Timeouts{SuspectAfter: 3 * time.Second, DeadAfter: 6 * time.Second, StableAfter: 12 * time.Second}
}

// adaptiveTimeouts returns timeouts that are the same multiples of the longest period as those of the fixed
// policy.
func adaptiveTimeouts() membership.Timeouts {
	return membership.Timeouts{SuspectAfter: 3 * maxPeriod, DeadAfter: 6 * maxPeriod, StableAfter: 12 * maxPeriod}
}
