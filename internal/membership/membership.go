// Package membership joins the platform's list, direct contact and peers' words into one table of nodes.
package membership

import (
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
}

// Periods are the silences after which a node is suspected and taken for dead.
type Periods struct {
	SuspectAfter time.Duration
	DeadAfter    time.Duration
}

// Table holds the nodes by name. Its methods are not safe for concurrent use.
type Table struct {
	self    string
	periods Periods
	rows    map[string]*Member
}

// NewTable returns a table that holds only the node itself.
func NewTable(self Member, periods Periods) *Table {
	t := &Table{self: self.Node, periods: periods, rows: make(map[string]*Member)}
	t.rows[self.Node] = &self
	return t
}

// Self returns the row of the node itself.
func (t *Table) Self() *Member { return t.rows[t.self] }

// Merge takes a peer's word on a node. Only a newer incarnation or a higher heartbeat is news.
func (t *Table) Merge(m Member, now time.Time) {
	if m.Node == t.self || m.Node == "" {
		return
	}
	known := t.rows[m.Node]
	if known != nil && !newer(m, *known) {
		return
	}
	m.AdvancedAt = now
	t.rows[m.Node] = &m
}

func newer(m, known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.Heartbeat > known.Heartbeat
}

// StateOf returns the state of a node at a time. An unknown node is dead.
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
	switch silence := now.Sub(m.AdvancedAt); {
	case silence >= t.periods.DeadAfter:
		return Dead
	case silence >= t.periods.SuspectAfter:
		return Suspect
	default:
		return Live
	}
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
	var names []string
	for _, m := range t.All() {
		state := t.StateOf(m.Node, now)
		if m.FailureDomain == domain && (state == Live || state == Suspect) {
			names = append(names, m.Node)
		}
	}
	return names
}
