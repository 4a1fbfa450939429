package node

import (
	"net/http"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/slotshare"
)

// shareUpdatePeriod is the interval between two computations of this node's endpoint shares.
const shareUpdatePeriod = 250 * time.Millisecond

// shareState tracks how the endpoints' slots and connections are divided among the nodes.
type shareState struct {
	agreement slotshare.Agreement
	updatedAt time.Time
	transport http.RoundTripper
}

// updateShares sets this node's share of the slots and connections of each endpoint. Until the VM list has
// been read the other nodes are unknown, and this node has no share. It announces the new
// division to its peers only once no endpoint is used beyond the new share.
func (e *engine) updateShares(now time.Time) {
	activeManifest := e.activeManifest
	if activeManifest == nil || e.listReadAt.IsZero() || now.Sub(e.shares.updatedAt) < shareUpdatePeriod {
		return
	}
	e.shares.updatedAt = now
	set := slotshare.NewSet(e.self.Node, e.settings.FailureDomain, e.callingNodes(now))
	e.callerNodes.Store(int64(set.Count()))
	shareOf := e.shares.agreement.Update(set)
	settled := true
	for _, s := range activeManifest.Manifest.Services {
		for _, row := range e.directory.ServiceEndpoints(s.Name) {
			row.SetShare(shareOf(s.Slots, row.ID, row.FailureDomain), shareOf(s.Connections, row.ID, row.FailureDomain))
			settled = settled && row.WithinShare()
		}
	}
	if !settled {
		e.closeIdleConnections()
		return
	}
	self := e.members.Self()
	self.ShareDigest, self.DomainShareDigest = set.Digest(), set.DomainDigest()
}

// ready reports whether the node can serve callers: it is not stopping, a manifest is active and, if that
// manifest declares services, the nodes of the failure domain have agreed on their shares.
func (e *engine) ready() bool {
	activeManifest := e.activeManifest
	if activeManifest == nil || e.stopping {
		return false
	}
	return len(activeManifest.Manifest.Services) == 0 || e.shares.agreement.DomainReached()
}

// closeIdleConnections closes idle connections to bring their number below a reduced share.
func (e *engine) closeIdleConnections() {
	if t, ok := e.shares.transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// callingNodes returns every node that may be calling endpoints: all entry VMs in the platform's list, and
// all members that this node has heard from recently. A silent node that is still listed keeps its share,
// since it may be cut off from this node but not from the endpoints.
func (e *engine) callingNodes(now time.Time) []slotshare.Node {
	listed := make(map[string]bool)
	for _, vm := range e.vms {
		if vm.Kind == platform.EntryVM {
			listed[vm.Address] = true
		}
	}
	var nodes []slotshare.Node
	for _, m := range e.members.All() {
		silent := m.Node != e.self.Node && now.Sub(m.AdvancedAt) >= e.settings.Membership.DeadAfter.Std()
		if silent && !listed[m.Address] {
			continue
		}
		delete(listed, m.Address)
		nodes = append(nodes, slotshare.Node{
			Name:          m.Node,
			FailureDomain: m.FailureDomain,
			Digest:        m.ShareDigest,
			DomainDigest:  m.DomainShareDigest,
		})
	}
	for _, vm := range e.vms {
		if vm.Kind == platform.EntryVM && listed[vm.Address] {
			nodes = append(nodes, slotshare.Node{Name: vm.Address, FailureDomain: vm.FailureDomain})
		}
	}
	return nodes
}

// callerNodeCount returns the number of nodes among which the callers' rate limits are divided.
func (n *Node) callerNodeCount() int { return int(n.engine.callerNodes.Load()) }
