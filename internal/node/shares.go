package node

import (
	"net/http"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/share"
)

// dividePeriod is how often the endpoints' slots are divided over the nodes.
const dividePeriod = 250 * time.Millisecond

// division is this node's part of the endpoints' slots and connections.
type division struct {
	agreement share.Agreement
	dividedAt time.Time
	transport http.RoundTripper
}

// divide sets this node's part of each endpoint. Before the list was read nothing is known of the other
// nodes, and the node has no part.
func (e *engine) divide(now time.Time) {
	inForce := e.inForce
	if inForce == nil || e.listReadAt.IsZero() || now.Sub(e.division.dividedAt) < dividePeriod {
		return
	}
	e.division.dividedAt = now
	set := share.NewSet(e.self.Node, e.settings.FailureDomain, e.callingNodes(now))
	e.callers.Store(int64(set.Count()))
	partOf := e.division.agreement.Update(set)
	settled := true
	for _, s := range inForce.Manifest.Services {
		for _, row := range e.directory.Of(s.Name) {
			row.SetShare(partOf(s.Slots, row.ID, row.FailureDomain), partOf(s.Connections, row.ID, row.FailureDomain))
			settled = settled && row.WithinShare()
		}
	}
	if !settled {
		e.closeIdle()
		return
	}
	self := e.members.Self()
	self.Division, self.DomainDivision = set.Digest(), set.DomainDigest()
}

// ready reports whether the node can answer callers: a manifest is in force and, if it declares services, the
// nodes of the failure domain have agreed on their parts.
func (e *engine) ready() bool {
	inForce := e.inForce
	if inForce == nil || e.stopping {
		return false
	}
	return len(inForce.Manifest.Services) == 0 || e.division.agreement.Reached()
}

// closeIdle closes idle connections, so that their number comes within a lowered part.
func (e *engine) closeIdle() {
	if t, ok := e.division.transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// callingNodes returns every node that may be calling endpoints: all that the platform's list shows, and
// all that are not known to be dead. A node that is only silent keeps its part, since it may be cut off
// from this node and not from the endpoints.
func (e *engine) callingNodes(now time.Time) []share.Node {
	listed := make(map[string]bool)
	for _, vm := range e.vms {
		if vm.Kind == platform.EntryVM {
			listed[vm.Address] = true
		}
	}
	var nodes []share.Node
	for _, m := range e.members.All() {
		silent := m.Node != e.self.Node && now.Sub(m.AdvancedAt) >= e.settings.Membership.DeadAfter.Std()
		if silent && !listed[m.Address] {
			continue
		}
		delete(listed, m.Address)
		nodes = append(nodes, share.Node{
			Name:          m.Node,
			FailureDomain: m.FailureDomain,
			Digest:        m.Division,
			DomainDigest:  m.DomainDivision,
		})
	}
	for _, vm := range e.vms {
		if vm.Kind == platform.EntryVM && listed[vm.Address] {
			nodes = append(nodes, share.Node{Name: vm.Address, FailureDomain: vm.FailureDomain})
		}
	}
	return nodes
}

// callerNodes returns the number of nodes that callers' rate limits are divided over.
func (n *Node) callerNodes() int { return int(n.engine.callers.Load()) }
