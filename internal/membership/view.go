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
	// maxViewRows is the maximum number of rows in a view, not counting the sender's own.
	maxViewRows = 8
	// addressGossipPeriod is how long views include the addresses of a new node or incarnation.
	addressGossipPeriod = 10 * time.Second
	// maxWanted is the maximum number of nodes whose addresses one view requests.
	maxWanted = 16
)

// Recipient describes the receiver of a view.
type Recipient struct {
	// FailureDomain is the failure domain of the receiver, or empty if it is not known.
	FailureDomain string
	// Requested are the nodes whose addresses the receiver has requested.
	Requested []string
	// KnownHeartbeats maps nodes to the heartbeats that the receiver has just sent.
	KnownHeartbeats map[string]uint64
}

// View returns the rows to send to a peer. The first row describes this node. It is followed by the rows of nodes
// that the peer requested, of nodes in the peer's failure domain if this node is in it too, and of those whose
// heartbeats advanced most recently, since they are the least likely to be dead. Rows that the peer has just
// sent are left out, unless it requested them or a newer heartbeat is known. Addresses are left out unless
// the peer requested them or they were learned recently.
func (t *Table) View(to Recipient, now time.Time) []Member {
	requested := make(map[string]bool, len(to.Requested))
	for _, name := range to.Requested {
		requested[name] = true
	}
	sameDomain := to.FailureDomain == t.Self().FailureDomain
	rows := make([]*Member, 0, len(t.rows))
	for _, m := range t.rows {
		sentHeartbeat, sent := to.KnownHeartbeats[m.Node]
		if m.Node != t.self && (requested[m.Node] || !sent || sentHeartbeat < m.Heartbeat) {
			rows = append(rows, m)
		}
	}
	priority := func(m *Member) int {
		switch {
		case requested[m.Node]:
			return 0
		case sameDomain && m.FailureDomain == to.FailureDomain:
			return 1
		default:
			return 2
		}
	}
	slices.SortFunc(rows, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(priority(a), priority(b)), b.AdvancedAt.Compare(a.AdvancedAt), cmp.Compare(tieBreak(a), tieBreak(b)))
	})
	view := []Member{*t.Self()}
	for _, m := range rows[:min(len(rows), maxViewRows)] {
		row := *m
		if !requested[m.Node] && now.Sub(m.LearnedAt) >= addressGossipPeriod {
			row.Address, row.FailureDomain, row.OperatorAddress = "", "", ""
		}
		view = append(view, row)
	}
	return view
}

// tieBreak returns a hash that orders rows whose heartbeats advanced at the same time. It changes with each
// heartbeat.
func tieBreak(m *Member) uint64 {
	return xxhash.Sum64String(m.Node + strconv.FormatUint(m.Heartbeat, 10))
}

// Unresolved returns the sorted names of the nodes whose addresses are to be requested from peers.
func (t *Table) Unresolved() []string {
	names := slices.Sorted(maps.Keys(t.unresolved))
	return names[:min(len(names), maxWanted)]
}
