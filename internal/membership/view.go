package membership

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxViewRows bounds the rows of a view besides the sender's own.
	maxViewRows = 8
	// introduction is how long the address of a new node or incarnation is told along with it.
	introduction = 10 * time.Second
	// maxWanted bounds the nodes that one view asks about.
	maxWanted = 16
)

// Audience says who a view is for.
type Audience struct {
	// FailureDomain is that of the receiver, or empty when it is not known.
	FailureDomain string
	// Wanted are the nodes that the receiver asked about.
	Wanted []string
	// Told are the heartbeats that the receiver has just told, by node.
	Told map[string]uint64
}

// View returns the rows to tell a peer: the node itself, the nodes that the peer asked about, those of the
// failure domain that both stand in, and then those that were heard of last, since they are the least
// likely to be dead. Rows that the peer has just told are left out, and so are addresses unless the peer is
// likely not to know them.
func (t *Table) View(to Audience, now time.Time) []Member {
	asked := make(map[string]bool, len(to.Wanted))
	for _, name := range to.Wanted {
		asked[name] = true
	}
	sibling := to.FailureDomain == t.Self().FailureDomain
	rows := make([]*Member, 0, len(t.rows))
	for _, m := range t.rows {
		told, known := to.Told[m.Node]
		if m.Node != t.self && (asked[m.Node] || !known || told < m.Heartbeat) {
			rows = append(rows, m)
		}
	}
	rank := func(m *Member) int {
		switch {
		case asked[m.Node]:
			return 0
		case sibling && m.FailureDomain == to.FailureDomain:
			return 1
		default:
			return 2
		}
	}
	slices.SortFunc(rows, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), b.AdvancedAt.Compare(a.AdvancedAt), cmp.Compare(spread(a), spread(b)))
	})
	view := []Member{*t.Self()}
	for _, m := range rows[:min(len(rows), maxViewRows)] {
		row := *m
		if !asked[m.Node] && now.Sub(m.LearnedAt) >= introduction {
			row.Address, row.FailureDomain, row.OperatorAddress = "", "", ""
		}
		view = append(view, row)
	}
	return view
}

// spread orders rows that were heard of at the same time differently with each heartbeat.
func spread(m *Member) uint64 {
	return xxhash.Sum64String(m.Node + strconv.FormatUint(m.Heartbeat, 10))
}

// Wanted returns the nodes to ask the peers about, in order.
func (t *Table) Wanted() []string {
	names := slices.Sorted(maps.Keys(t.wanted))
	return names[:min(len(names), maxWanted)]
}
