// Package periods compares two ways to choose the time between two exchanges of a node: a fixed period, and
// one that follows churn as the Lazyton protocol does. It steps the tables of package membership over links
// in memory with a controlled clock. Its figures are made by its tests:
//
//	go test ./internal/periods -run TestPeriodFigures -v -figures
package periods

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/peer"
)

const (
	// exchangeOverhead is what the headers of one exchange take in both directions, in bytes.
	exchangeOverhead = 520
	fixedPeriod      = time.Second
	// maxPeriod is the longest period of the policy that follows churn.
	maxPeriod = 8 * time.Second
	domains   = 11
)

// member is one node of the simulated exchange.
type member struct {
	table  *membership.Table
	period period
	next   time.Time
	rounds int
	gone   bool
}

// period chooses the time until the next exchange.
type period interface {
	after(failed bool, now time.Time) time.Duration
}

type fixed struct{}

func (fixed) after(bool, time.Time) time.Duration { return fixedPeriod }

// following raises the period step by step while every exchange is answered and lowers it with the number
// of unanswered ones, as the Lazyton protocol does.
type following struct {
	current  time.Duration
	failures int
	previous int
	judged   time.Time
}

func (f *following) after(failed bool, now time.Time) time.Duration {
	if failed {
		f.failures++
	}
	if now.Sub(f.judged) < maxPeriod {
		return f.current
	}
	switch {
	case f.failures == 0:
		f.current = min(f.current+fixedPeriod, maxPeriod)
	case f.failures > f.previous:
		most := float64(maxPeriod) / float64(f.current)
		f.current -= time.Duration(min(1, float64(f.failures)/most) * float64(f.current-fixedPeriod))
	case f.current < maxPeriod:
		f.current += fixedPeriod
	}
	f.previous, f.failures, f.judged = f.failures, 0, now
	return f.current
}

// exchangeRun is one run of tables over in-memory links.
type exchangeRun struct {
	random  *rand.Rand
	now     time.Time
	members []*member
	bytes   int
}

func newExchangeRun(count int, periods membership.Periods, policy func() period) *exchangeRun {
	r := &exchangeRun{random: rand.New(rand.NewPCG(1, uint64(count))), now: time.Unix(1_000_000, 0)}
	rows := make([]membership.Member, count)
	for i := range rows {
		rows[i] = membership.Member{
			Node:          fmt.Sprintf("entry-%03d", i),
			Incarnation:   uint64(1_796_376_969_000_772_000 + i),
			FailureDomain: fmt.Sprintf("domain-%d", i%min(domains, max(3, count/9))),
			Address:       fmt.Sprintf("10.0.%d.%d:7402", i/250, i%250),
		}
	}
	for i := range rows {
		m := &member{table: membership.NewTable(rows[i], periods), period: policy()}
		m.next = r.now.Add(time.Duration(r.random.Int64N(int64(fixedPeriod))))
		for j := range rows {
			m.table.Merge(rows[j], false, r.now)
		}
		r.members = append(r.members, m)
	}
	return r
}

// run advances in steps of 10 ms.
func (r *exchangeRun) run(d time.Duration, each func()) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(10 * time.Millisecond) {
		for i, m := range r.members {
			if !m.gone && !r.now.Before(m.next) {
				failed := r.exchange(i)
				m.next = m.next.Add(m.period.after(failed, r.now))
			}
		}
		if each != nil {
			each()
		}
	}
}

func (r *exchangeRun) exchange(i int) (failed bool) {
	m := r.members[i]
	m.table.Self().Heartbeat++
	m.rounds++
	var targets []int
	for j, other := range r.members {
		far := other.table.Self().FailureDomain != m.table.Self().FailureDomain
		if m.rounds%2 == 0 && far {
			continue
		}
		if j != i && m.table.StateOf(other.table.Self().Node, r.now) != membership.Dead {
			targets = append(targets, j)
		}
	}
	if len(targets) == 0 {
		return false
	}
	other := r.members[targets[r.random.IntN(len(targets))]]
	if other.gone {
		m.table.Contact(other.table.Self().Address, membership.Silent, 0, r.now)
		return true
	}
	r.bytes += exchangeOverhead
	told := r.tell(m, other, nil, nil)
	r.tell(other, m, m.table.Wanted(), told)
	return false
}

// tell carries a view from one node to another.
func (r *exchangeRun) tell(from, to *member, wanted []string, told map[string]uint64) map[string]uint64 {
	audience := membership.Audience{FailureDomain: to.table.Self().FailureDomain, Wanted: wanted, Told: told}
	heartbeats := make(map[string]uint64)
	view := &peer.View{From: from.table.Self().Node, Wanted: from.table.Wanted()}
	for _, row := range from.table.View(audience, r.now) {
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
		to.table.Merge(row, row.Node == from.table.Self().Node, r.now)
	}
	r.bytes += proto.Size(view)
	return heartbeats
}

// believed counts the pairs of a live node and another node that it holds for live or suspected.
func (r *exchangeRun) believed(about func(*member) bool, states ...membership.State) int {
	count := 0
	for _, m := range r.members {
		for _, other := range r.members {
			if m.gone || m == other || !about(other) {
				continue
			}
			state := m.table.StateOf(other.table.Self().Node, r.now)
			for _, s := range states {
				if s == state {
					count++
				}
			}
		}
	}
	return count
}

// siblingsWrong counts the nodes of member 0's failure domain that do not take it for dead.
func (r *exchangeRun) siblingsWrong() int {
	count := 0
	dead := r.members[0].table.Self()
	for _, m := range r.members[1:] {
		if m.table.Self().FailureDomain == dead.FailureDomain && m.table.StateOf(dead.Node, r.now) != membership.Dead {
			count++
		}
	}
	return count
}

func isGone(m *member) bool { return m.gone }
func isHere(m *member) bool { return !m.gone }

// result are the figures of one policy at one size.
type result struct {
	bytesPerSecond float64
	falseSuspects  float64
	falseDead      float64
	deathKnown     time.Duration
	// siblingsKnow is when the nodes of the dead node's own failure domain know of its death.
	siblingsKnow time.Duration
	leavingKnown time.Duration
	stale        float64
}

func measure(count int, periods membership.Periods, policy func() period) result {
	var res result
	r := newExchangeRun(count, periods, policy)
	r.run(60*time.Second, nil)
	// A calm minute. Each exchange counts for both of its ends.
	r.bytes = 0
	samples := 0
	r.run(time.Minute, func() {
		samples++
		if samples%100 == 0 {
			res.falseSuspects += float64(r.believed(isHere, membership.Suspect)) / 60
			res.falseDead += float64(r.believed(isHere, membership.Dead)) / 60
		}
	})
	res.bytesPerSecond = 2 * float64(r.bytes) / float64(count) / 60
	// A node leaves without a push.
	left := r.members[1]
	left.table.Self().Leaving = true
	began := r.now
	r.run(2*time.Minute, func() {
		about := func(m *member) bool { return m == left }
		if res.leavingKnown == 0 && r.believed(about, membership.Leaving) == count-1 {
			res.leavingKnown = r.now.Sub(began)
		}
	})
	// A node dies.
	r.members[0].gone = true
	began = r.now
	stale := 0
	r.run(3*time.Minute, func() {
		wrong := r.believed(isGone, membership.Live, membership.Suspect)
		stale += wrong
		if res.siblingsKnow == 0 && r.siblingsWrong() == 0 {
			res.siblingsKnow = r.now.Sub(began)
		}
		if res.deathKnown == 0 && wrong == 0 {
			res.deathKnown = r.now.Sub(began)
		}
	})
	res.stale = float64(stale) / float64(3*time.Minute/(10*time.Millisecond))
	return res
}

func fixedPeriods() membership.Periods {
	return membership.Periods{SuspectAfter: 3 * time.Second, DeadAfter: 6 * time.Second, StableAfter: 12 * time.Second}
}

// followingPeriods leave as many of the longest periods until a node is suspected as the fixed policy does.
func followingPeriods() membership.Periods {
	return membership.Periods{SuspectAfter: 3 * maxPeriod, DeadAfter: 6 * maxPeriod, StableAfter: 12 * maxPeriod}
}
