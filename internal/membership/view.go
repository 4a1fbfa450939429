package membership

import (
	"maps"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxViewRows bounds the rows of one view.
	maxViewRows = 16
	// introduction is how long the address of a new node or incarnation is told along with it.
	introduction = 10 * time.Second
	// maxWanted bounds the nodes that one view asks about.
	maxWanted = 16
)

// View returns the rows to tell a peer: the node itself, the nodes that the peer asked about, and then
// those that were heard of last, since they are the least likely to be dead. Rows come without their
// addresses unless the peer is likely not to know them.
func (t *Table) View(wanted []string, now time.Time) []Member {
	asked := make(map[string]bool, len(wanted))
	for _, name := range wanted {
		asked[name] = true
	}
	rows := make([]*Member, 0, len(t.rows))
	for _, m := range t.rows {
		if m.Node != t.self {
			rows = append(rows, m)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return t.before(rows[a], rows[b], asked) })
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

// before orders rows for a view.
func (t *Table) before(a, b *Member, asked map[string]bool) bool {
	if asked[a.Node] != asked[b.Node] {
		return asked[a.Node]
	}
	if !a.AdvancedAt.Equal(b.AdvancedAt) {
		return a.AdvancedAt.After(b.AdvancedAt)
	}
	return spread(a) < spread(b)
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
