// Package membership joins the platform's list, direct contact and peers' words into one table of nodes.
//
// No clock of another node is ever read or compared: a node is judged by when this node last saw its
// heartbeat advance, and by how it answered when it was called.
package membership

import (
	"slices"
	"sort"
	"time"
)

// State is what this node holds of another one.
type State string

// The states of a node.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Dead    State = "dead"
	Leaving State = "leaving"
)

const (
	// MaxIncarnation bounds the incarnations that are believed, so that a damaged clock cannot use up the
	// numbers above it.
	MaxIncarnation = 1 << 62
	// maxHeartbeat bounds the heartbeats that are believed.
	maxHeartbeat = 1 << 62
	// maxMembers bounds the table.
	maxMembers = 4096
	// maxDoublings bounds how often the time to stability is doubled for a node that flaps.
	maxDoublings = 5
	// flapMemory is how long a node has to be live until its flaps are forgotten.
	flapMemory = 10 * time.Minute
	// forgetAfter is how long a dead node is kept in the table once the list no longer shows it.
	forgetAfter = 10 * time.Minute
)

// Member is one row of the table.
type Member struct {
	Node          string
	Incarnation   uint64
	FailureDomain string
	Address       string
	// OperatorAddress is where the node serves operators, an IP number with a port.
	OperatorAddress string
	Heartbeat       uint64
	Leaving         bool
	ManifestVersion uint64
	// Division is a digest of the nodes that the node divides the endpoints' slots by, 0 for none.
	Division uint64
	// DomainDivision is that of the nodes of its own failure domain.
	DomainDivision uint64
	// AdvancedAt is when this node last saw the heartbeat advance, on its own clock.
	AdvancedAt time.Time
	// LearnedAt is when this node learned of the incarnation.
	LearnedAt time.Time

	// liveSince is when the node last became live.
	liveSince time.Time
	// flaps counts how often the node came back after a silence or a restart.
	flaps   int
	contact contact
}

// Periods are the times after which a node is judged differently.
type Periods struct {
	// SuspectAfter is the silence after which a node is suspected.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a node is taken for dead.
	DeadAfter time.Duration
	// StableAfter is how long a node has to be live before it counts as stable. It doubles with each flap.
	StableAfter time.Duration
}

// Table holds the nodes by name. Its methods are not safe for concurrent use.
type Table struct {
	self    string
	periods Periods
	rows    map[string]*Member
	// wanted are nodes that peers name under an incarnation whose address is not known here.
	wanted map[string]bool
	// replacedBy is the highest incarnation of this node's own name that a peer has named.
	replacedBy uint64
}

// NewTable returns a table that holds only the node itself.
func NewTable(self Member, periods Periods) *Table {
	t := &Table{self: self.Node, periods: periods, rows: make(map[string]*Member), wanted: make(map[string]bool)}
	t.rows[self.Node] = &self
	return t
}

// Self returns the row of the node itself.
func (t *Table) Self() *Member { return t.rows[t.self] }

// ReplacedBy returns the highest incarnation of this node's own name that a peer has named, or 0.
func (t *Table) ReplacedBy() uint64 { return t.replacedBy }

// Merge takes a word on a node. direct says that the word comes from the node itself. It reports whether
// the word could be believed. Only a newer incarnation, a higher heartbeat or a leaving is news; a leaving
// holds for the rest of the incarnation.
func (t *Table) Merge(m Member, direct bool, now time.Time) bool {
	if m.Node == "" || m.Incarnation >= MaxIncarnation || m.Heartbeat >= maxHeartbeat {
		return false
	}
	if m.Node == t.self {
		t.replacedBy = max(t.replacedBy, m.Incarnation)
		return true
	}
	known := t.rows[m.Node]
	if known == nil || m.Incarnation > known.Incarnation {
		return t.add(m, known, now)
	}
	if m.Incarnation < known.Incarnation {
		return true
	}
	known.Leaving = known.Leaving || m.Leaving
	known.ManifestVersion = max(known.ManifestVersion, m.ManifestVersion)
	if direct || m.Heartbeat > known.Heartbeat {
		t.advance(known, now)
		known.Division, known.DomainDivision = m.Division, m.DomainDivision
	}
	known.Heartbeat = max(known.Heartbeat, m.Heartbeat)
	return true
}

// add takes a node or an incarnation that is new here.
func (t *Table) add(m Member, known *Member, now time.Time) bool {
	if m.Address == "" || m.FailureDomain == "" {
		t.wanted[m.Node] = true
		return true
	}
	if known == nil && len(t.rows) >= maxMembers {
		return false
	}
	delete(t.wanted, m.Node)
	m.AdvancedAt, m.LearnedAt, m.liveSince = now, now, now
	m.flaps, m.contact = 0, contact{}
	if known != nil && !known.Leaving {
		m.flaps = known.flaps + 1
	}
	t.rows[m.Node] = &m
	return true
}

// advance notes that a node was heard of.
func (t *Table) advance(m *Member, now time.Time) {
	switch {
	case t.StateOf(m.Node, now) == Suspect || t.StateOf(m.Node, now) == Dead:
		m.flaps++
		m.liveSince = now
	case now.Sub(m.liveSince) >= flapMemory:
		m.flaps = 0
	}
	m.AdvancedAt = now
}

// StateOf returns the state of a node at a time. An unknown node is dead. A node whose address refuses
// connections is taken for dead once it is suspected, since its process is gone.
func (t *Table) StateOf(node string, now time.Time) State {
	m := t.rows[node]
	if m == nil {
		return Dead
	}
	if m.Leaving {
		return Leaving
	}
	if node == t.self {
		return Live
	}
	scale := t.scale(m)
	refused := m.contact.outcome == Refused && m.contact.at.After(m.AdvancedAt)
	switch silence := now.Sub(m.AdvancedAt); {
	case silence >= scale*t.periods.DeadAfter || (silence >= scale*t.periods.SuspectAfter && refused):
		return Dead
	case silence >= scale*t.periods.SuspectAfter:
		return Suspect
	default:
		return Live
	}
}

// scale returns by how much longer a node may be silent than a sibling. News of the nodes of other failure
// domains comes the later the more nodes there are, since a view holds few rows.
func (t *Table) scale(m *Member) time.Duration {
	if m.FailureDomain == t.Self().FailureDomain {
		return 1
	}
	return time.Duration(max(1, len(t.rows)/maxViewRows))
}

// DomainOf returns the failure domain of the node at a peer address, or "".
func (t *Table) DomainOf(address string) string {
	for _, m := range t.rows {
		if m.Address == address {
			return m.FailureDomain
		}
	}
	return ""
}

// All returns the nodes in the order of their names.
func (t *Table) All() []Member {
	members := make([]Member, 0, len(t.rows))
	for _, m := range t.rows {
		members = append(members, *m)
	}
	sort.Slice(members, func(a, b int) bool { return members[a].Node < members[b].Node })
	return members
}

// LiveIn returns the names of the live and suspected nodes of a failure domain, in order.
func (t *Table) LiveIn(domain string, now time.Time) []string {
	return t.names(domain, func(m *Member) bool {
		state := t.StateOf(m.Node, now)
		return state == Live || state == Suspect
	})
}

// StableIn returns the names of the nodes of a failure domain that have been live for long enough, longer
// the more often they flapped, and the node itself.
func (t *Table) StableIn(domain string, now time.Time) []string {
	return t.names(domain, func(m *Member) bool {
		if m.Node == t.self {
			return !m.Leaving
		}
		needed := t.periods.StableAfter << min(m.flaps, maxDoublings)
		return t.StateOf(m.Node, now) == Live && now.Sub(m.liveSince) >= needed
	})
}

func (t *Table) names(domain string, include func(*Member) bool) []string {
	var names []string
	for _, m := range t.rows {
		if m.FailureDomain == domain && include(m) {
			names = append(names, m.Node)
		}
	}
	slices.Sort(names)
	return names
}

// Forget drops the nodes that have been silent for long and that the platform's list no longer shows.
func (t *Table) Forget(listed map[string]bool, now time.Time) {
	for name, m := range t.rows {
		if name != t.self && !listed[m.Address] && now.Sub(m.AdvancedAt) >= forgetAfter {
			delete(t.rows, name)
		}
	}
}
