// Package slotshare divides the slots and connections of an endpoint among the nodes that may call it, so that
// all nodes together never exceed the endpoint's limits.
//
// Each node computes its shares from the set of nodes that it knows. Once it uses no more than its new share of
// any endpoint, it publishes a digest of that set. A new share takes full effect only once every node in the
// set (for an endpoint in the node's own failure domain, every node of that domain) publishes the same digest;
// until then the node uses the smaller of the new share and the last agreed one. A share therefore shrinks
// immediately and grows only when no node uses a smaller set any more.
package slotshare

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// spilloverDivisor is the divisor for the fraction of an endpoint's slots, and of its connections, that is
// reserved for nodes in other failure domains.
const spilloverDivisor = 8

// Node is a node that may call endpoints.
type Node struct {
	Name          string
	FailureDomain string
	// Digest is the digest of the node's set, as last received from it, or zero if none was received.
	Digest uint64
	// DomainDigest is the digest of only those nodes in the node's set that are in the node's own failure
	// domain, or zero if none was received.
	DomainDigest uint64
}

// Set is the set of nodes among which the node named self divides the slots and connections of each endpoint.
type Set struct {
	self       string
	selfDomain string
	nodes      []Node
}

// NewSet returns the set of the node self in the failure domain selfDomain. nodes includes self.
func NewSet(self, selfDomain string, nodes []Node) Set {
	sorted := append([]Node(nil), nodes...)
	sort.Slice(sorted, func(a, b int) bool { return sorted[a].Name < sorted[b].Name })
	return Set{self: self, selfDomain: selfDomain, nodes: sorted}
}

// Digest returns the digest of the whole set. It is never zero.
func (s Set) Digest() uint64 { return digest(s.nodes, func(Node) bool { return true }) }

// DomainDigest returns the digest of the nodes in this node's own failure domain. It is never zero.
func (s Set) DomainDigest() uint64 {
	return digest(s.nodes, func(n Node) bool { return n.FailureDomain == s.selfDomain })
}

func digest(nodes []Node, include func(Node) bool) uint64 {
	h := xxhash.New()
	for _, n := range nodes {
		if include(n) {
			_, _ = h.WriteString(n.Name + "\x00" + n.FailureDomain + "\x00")
		}
	}
	return h.Sum64() | 1
}

// Agreed reports whether every other node in the set publishes the same digest as this node.
func (s Set) Agreed() bool {
	selfDigest := s.Digest()
	for _, n := range s.nodes {
		if n.Name != s.self && n.Digest != selfDigest {
			return false
		}
	}
	return true
}

// DomainAgreed reports whether every node in this node's failure domain publishes the same domain digest.
func (s Set) DomainAgreed() bool {
	selfDigest := s.DomainDigest()
	for _, n := range s.nodes {
		if n.FailureDomain == s.selfDomain && n.Name != s.self && n.DomainDigest != selfDigest {
			return false
		}
	}
	return true
}

// Count returns the number of nodes in the set.
func (s Set) Count() int { return len(s.nodes) }

// ShareOf returns this node's share of total, the number of slots or of connections of an endpoint; domain is
// the failure domain of the endpoint. A spillover fraction of total is divided among the nodes outside that
// domain and the rest among the nodes inside it. The spillover does not grow when the domain has no nodes left,
// because the next node to join the domain needs no agreement from outside it.
func (s Set) ShareOf(total int, endpointID, domain string) int {
	spillover := total / spilloverDivisor
	if !s.hasNodesOutside(domain) {
		spillover = 0
	}
	local := s.selfDomain == domain
	groupTotal := spillover
	if local {
		groupTotal = total - spillover
	}
	index, count := s.rank(endpointID, func(n Node) bool { return (n.FailureDomain == domain) == local })
	return evenShare(groupTotal, index, count)
}

func (s Set) hasNodesOutside(domain string) bool {
	for _, n := range s.nodes {
		if n.FailureDomain != domain {
			return true
		}
	}
	return false
}

// rank returns this node's index among the nodes of a group and the size of the group. The order differs
// between endpoints, so that the remainders of the divisions go to different nodes.
func (s Set) rank(endpointID string, inGroup func(Node) bool) (index, count int) {
	selfScore := xxhash.Sum64String(endpointID + "\x00" + s.self)
	for _, n := range s.nodes {
		if !inGroup(n) {
			continue
		}
		count++
		if n.Name == s.self {
			continue
		}
		score := xxhash.Sum64String(endpointID + "\x00" + n.Name)
		if score > selfScore || (score == selfScore && n.Name < s.self) {
			index++
		}
	}
	return index, count
}

// evenShare returns the share of total for the node at index out of count nodes.
func evenShare(total, index, count int) int {
	if count == 0 {
		return 0
	}
	share := total / count
	if index < total%count {
		share++
	}
	return share
}

// Agreement holds the last sets that were agreed on: by all nodes, and by the nodes of this node's failure
// domain.
type Agreement struct {
	all    *Set
	domain *Set
}

// DomainReached reports whether the nodes of this node's failure domain have agreed at least once.
func (a *Agreement) DomainReached() bool { return a.domain != nil }

// Update records the newest set and returns a function that computes this node's share of total, the number
// of slots or of connections of an endpoint; domain is the failure domain of the endpoint. For an endpoint in
// this node's failure domain the share is zero until the nodes of that domain first agree; for any other
// endpoint, until all nodes first agree. If the set contains only this node, both agreements are reached at
// once.
func (a *Agreement) Update(s Set) func(total int, endpointID, domain string) int {
	if s.Agreed() {
		a.all = &s
	}
	if s.DomainAgreed() {
		a.domain = &s
	}
	all, local := a.all, a.domain
	return func(total int, endpointID, domain string) int {
		agreed := all
		if domain == s.selfDomain {
			agreed = local
		}
		if agreed == nil {
			return 0
		}
		return min(s.ShareOf(total, endpointID, domain), agreed.ShareOf(total, endpointID, domain))
	}
}
