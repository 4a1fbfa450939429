// Package membership maintains a table of all nodes from the platform's VM list, calls to other nodes and
// gossip between nodes, and detects nodes that have failed.
//
// Clocks of other nodes are never read or compared. The state of a node follows from when this node last saw
// its heartbeat advance, and from the results of calls to it.
package membership

import (
	"slices"
	"sort"
	"time"
)

// State is the state of a node as seen by this node.
type State string

// The states of a node.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Dead    State = "dead"
	Leaving State = "leaving"
)

const (
	// MaxIncarnation is the lowest incarnation that is rejected, so that a node with a faulty clock cannot
	// use up the remaining numbers.
	MaxIncarnation = 1 << 62
	// maxHeartbeat is the lowest heartbeat that is rejected.
	maxHeartbeat = 1 << 62
	// maxMembers is the maximum number of rows in the table.
	maxMembers = 4096
	// maxStableAfterDoublings limits how often Timeouts.StableAfter is doubled for a node that flaps.
	maxStableAfterDoublings = 5
	// flapResetAfter is how long a node has to be live until its flap count is reset.
	flapResetAfter = 10 * time.Minute
	// removeDeadAfter is how long a node that is not in the VM list stays in the table without a heartbeat.
	removeDeadAfter = 10 * time.Minute
)

// Member is one row of the table.
type Member struct {
	Node          string
	Incarnation   uint64
	FailureDomain string
	Address       string
	// OperatorAddress is the address for operators, an IP address with a port.
	OperatorAddress string
	Heartbeat       uint64
	Leaving         bool
	ManifestVersion uint64
	// ShareDigest is a digest of the set of nodes among which the node divides the endpoints' slots, 0 for none.
	ShareDigest uint64
	// DomainShareDigest is the digest of the nodes of that set that are in the node's failure domain.
	DomainShareDigest uint64
	// AdvancedAt is when this node last saw the heartbeat or the incarnation advance, or received a row from the
	// described node itself, by this node's clock.
	AdvancedAt time.Time
	// LearnedAt is when this node first learned of the incarnation.
	LearnedAt time.Time

	// liveSince is when the node last became live.
	liveSince time.Time
	// flaps counts how often the node returned after it was suspect or dead, or restarted without having left,
	// since the count was last reset (see flapResetAfter).
	flaps       int
	lastContact contactResult
}

// Timeouts are the timeouts of failure detection. For nodes of other failure domains, SuspectAfter and DeadAfter
// are multiplied by Table.timeoutFactor.
type Timeouts struct {
	// SuspectAfter is the time without a heartbeat after which a node is suspected.
	SuspectAfter time.Duration
	// DeadAfter is the time without a heartbeat after which a node is considered dead.
	DeadAfter time.Duration
	// StableAfter is how long a node has to be live until it counts as stable. It doubles with each flap.
	StableAfter time.Duration
}

// Table holds the rows of all known nodes by name. Its methods are not safe for concurrent use.
type Table struct {
	self     string
	timeouts Timeouts
	rows     map[string]*Member
	// unresolved holds the names of nodes for which peers sent a row with a new incarnation but without an
	// address or failure domain. Their addresses are requested from peers.
	unresolved map[string]bool
	// maxOwnIncarnation is the highest incarnation that a peer reported for this node's name.
	maxOwnIncarnation uint64
}

// NewTable returns a table with a row for the node itself.
func NewTable(self Member, timeouts Timeouts) *Table {
	t := &Table{self: self.Node, timeouts: timeouts, rows: make(map[string]*Member), unresolved: make(map[string]bool)}
	t.rows[self.Node] = &self
	return t
}

// Self returns the row of the node itself.
func (t *Table) Self() *Member { return t.rows[t.self] }

// MaxOwnIncarnation returns the highest incarnation that a peer reported for this node's name, or 0. If it is
// higher than the node's own, another process has replaced this one.
func (t *Table) MaxOwnIncarnation() uint64 { return t.maxOwnIncarnation }

// Merge merges a received row into the table. direct means that the row was sent by the node that it
// describes. Merge reports whether the row was plausible and the table had room for it. A row with an older
// incarnation is ignored. Within an incarnation the heartbeat never decreases and Leaving stays set.
func (t *Table) Merge(m Member, direct bool, now time.Time) bool {
	if m.Node == "" || m.Incarnation >= MaxIncarnation || m.Heartbeat >= maxHeartbeat {
		return false
	}
	if m.Node == t.self {
		t.maxOwnIncarnation = max(t.maxOwnIncarnation, m.Incarnation)
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
		t.recordHeartbeat(known, now)
		known.ShareDigest, known.DomainShareDigest = m.ShareDigest, m.DomainShareDigest
	}
	known.Heartbeat = max(known.Heartbeat, m.Heartbeat)
	return true
}

// add adds the row of a new node, or replaces that of an older incarnation. A row without an address or
// failure domain is not added; these are requested from peers instead.
func (t *Table) add(m Member, known *Member, now time.Time) bool {
	if m.Address == "" || m.FailureDomain == "" {
		t.unresolved[m.Node] = true
		return true
	}
	if known == nil && len(t.rows) >= maxMembers {
		return false
	}
	delete(t.unresolved, m.Node)
	m.AdvancedAt, m.LearnedAt, m.liveSince = now, now, now
	m.flaps, m.lastContact = 0, contactResult{}
	if known != nil && !known.Leaving {
		m.flaps = known.flaps + 1
	}
	t.rows[m.Node] = &m
	return true
}

// recordHeartbeat records that a node is known to have been alive at the time now, and updates its flap count.
func (t *Table) recordHeartbeat(m *Member, now time.Time) {
	switch {
	case t.StateOf(m.Node, now) == Suspect || t.StateOf(m.Node, now) == Dead:
		m.flaps++
		m.liveSince = now
	case now.Sub(m.liveSince) >= flapResetAfter:
		m.flaps = 0
	}
	m.AdvancedAt = now
}

// StateOf returns the state of a node at the time now. An unknown node is dead. A suspected node is considered
// dead early if its address refuses connections, since its process is gone.
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
	factor := t.timeoutFactor(m)
	refused := m.lastContact.outcome == CallRefused && m.lastContact.at.After(m.AdvancedAt)
	switch silence := now.Sub(m.AdvancedAt); {
	case silence >= factor*t.timeouts.DeadAfter || (silence >= factor*t.timeouts.SuspectAfter && refused):
		return Dead
	case silence >= factor*t.timeouts.SuspectAfter:
		return Suspect
	default:
		return Live
	}
}

// timeoutFactor returns the factor by which the timeouts of a node are multiplied. It is 1 for nodes of the
// local failure domain. Heartbeats from other failure domains arrive later the more nodes there are, since a
// view holds few rows.
func (t *Table) timeoutFactor(m *Member) time.Duration {
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

// All returns the rows of all nodes, sorted by name.
func (t *Table) All() []Member {
	members := make([]Member, 0, len(t.rows))
	for _, m := range t.rows {
		members = append(members, *m)
	}
	sort.Slice(members, func(a, b int) bool { return members[a].Node < members[b].Node })
	return members
}

// LiveIn returns the sorted names of the live and suspected nodes of a failure domain.
func (t *Table) LiveIn(domain string, now time.Time) []string {
	return t.filterNames(domain, func(m *Member) bool {
		state := t.StateOf(m.Node, now)
		return state == Live || state == Suspect
	})
}

// StableIn returns the sorted names of the stable nodes of a failure domain. A node is stable once it has been
// live for Timeouts.StableAfter, doubled for each flap. The node itself is stable unless it is leaving.
func (t *Table) StableIn(domain string, now time.Time) []string {
	return t.filterNames(domain, func(m *Member) bool {
		if m.Node == t.self {
			return !m.Leaving
		}
		needed := t.timeouts.StableAfter << min(m.flaps, maxStableAfterDoublings)
		return t.StateOf(m.Node, now) == Live && now.Sub(m.liveSince) >= needed
	})
}

func (t *Table) filterNames(domain string, include func(*Member) bool) []string {
	var names []string
	for _, m := range t.rows {
		if m.FailureDomain == domain && include(m) {
			names = append(names, m.Node)
		}
	}
	slices.Sort(names)
	return names
}

// RemoveStale removes the nodes that have sent no heartbeat for removeDeadAfter and whose address is not in
// listed, the addresses in the platform's VM list.
func (t *Table) RemoveStale(listed map[string]bool, now time.Time) {
	for name, m := range t.rows {
		if name != t.self && !listed[m.Address] && now.Sub(m.AdvancedAt) >= removeDeadAfter {
			delete(t.rows, name)
		}
	}
}
