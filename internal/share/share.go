// Package share divides the slots and connections of an endpoint over the nodes that may call it, so
// that all nodes together never pass them.
//
// Each node computes its part from the set of nodes that it divides by. It tells the others a digest of
// that set. A part is only used while every node it was divided with tells the same digest; until then the
// node uses the smaller of the new part and the one that was agreed before. So a part shrinks at once and
// grows only when nobody divides by a smaller set any more.
package share

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// spillDivisor gives the part of an endpoint's slots that nodes of other failure domains may use.
const spillDivisor = 8

// Node is one node that may call endpoints.
type Node struct {
	Name          string
	FailureDomain string
	// Digest is the digest of the set that the node divides by, as it was last heard. Zero: not heard.
	Digest uint64
	// DomainDigest is that of the nodes of its own failure domain.
	DomainDigest uint64
}

// Set is the nodes that one node divides by.
type Set struct {
	self  string
	home  string
	nodes []Node
}

// NewSet returns the set of a node, which is one of nodes.
func NewSet(self, home string, nodes []Node) Set {
	sorted := append([]Node(nil), nodes...)
	sort.Slice(sorted, func(a, b int) bool { return sorted[a].Name < sorted[b].Name })
	return Set{self: self, home: home, nodes: sorted}
}

// Digest returns the digest of the whole set. It is never zero.
func (s Set) Digest() uint64 { return digest(s.nodes, func(Node) bool { return true }) }

// DomainDigest returns the digest of the nodes of the own failure domain. It is never zero.
func (s Set) DomainDigest() uint64 {
	return digest(s.nodes, func(n Node) bool { return n.FailureDomain == s.home })
}

func digest(nodes []Node, in func(Node) bool) uint64 {
	h := xxhash.New()
	for _, n := range nodes {
		if in(n) {
			_, _ = h.WriteString(n.Name + "\x00" + n.FailureDomain + "\x00")
		}
	}
	return h.Sum64() | 1
}

// Agreed reports whether every node tells the same digest as this one.
func (s Set) Agreed() bool {
	own := s.Digest()
	for _, n := range s.nodes {
		if n.Name != s.self && n.Digest != own {
			return false
		}
	}
	return true
}

// DomainAgreed reports whether every node of the own failure domain tells the same digest of it.
func (s Set) DomainAgreed() bool {
	own := s.DomainDigest()
	for _, n := range s.nodes {
		if n.FailureDomain == s.home && n.Name != s.self && n.DomainDigest != own {
			return false
		}
	}
	return true
}

// Count returns the number of nodes in the set.
func (s Set) Count() int { return len(s.nodes) }

// Of returns this node's part of total at an endpoint of a failure domain. The nodes of that domain share
// all but a spill part, which the other nodes share. The spill part does not grow when the domain has no
// node left, since the domain's next node needs nobody's consent from outside the domain.
func (s Set) Of(total int, endpointID, domain string) int {
	spill := total / spillDivisor
	if !s.hasOutside(domain) {
		spill = 0
	}
	own := s.home == domain
	part := spill
	if own {
		part = total - spill
	}
	index, count := s.rank(endpointID, func(n Node) bool { return (n.FailureDomain == domain) == own })
	return portion(part, index, count)
}

func (s Set) hasOutside(domain string) bool {
	for _, n := range s.nodes {
		if n.FailureDomain != domain {
			return true
		}
	}
	return false
}

// rank returns this node's place among the nodes in a group, in an order that differs for each endpoint,
// so that the remainders of the division fall on different nodes.
func (s Set) rank(endpointID string, in func(Node) bool) (index, count int) {
	own := xxhash.Sum64String(endpointID + "\x00" + s.self)
	for _, n := range s.nodes {
		if !in(n) {
			continue
		}
		count++
		if n.Name == s.self {
			continue
		}
		score := xxhash.Sum64String(endpointID + "\x00" + n.Name)
		if score > own || (score == own && n.Name < s.self) {
			index++
		}
	}
	return index, count
}

// portion returns the part of total that falls to the node at index of count.
func portion(total, index, count int) int {
	if count == 0 {
		return 0
	}
	part := total / count
	if index < total%count {
		part++
	}
	return part
}

// Agreement holds the sets that this node's parts were last agreed on.
type Agreement struct {
	all    *Set
	domain *Set
}

// Reached reports whether the nodes of the own failure domain have agreed at least once.
func (a *Agreement) Reached() bool { return a.domain != nil }

// Update takes the newest set and returns the function that gives this node's part of total at an
// endpoint. A node that has agreed with nobody yet has no part, unless it is alone.
func (a *Agreement) Update(s Set) func(total int, endpointID, domain string) int {
	if s.Agreed() {
		a.all = &s
	}
	if s.DomainAgreed() {
		a.domain = &s
	}
	all, local := a.all, a.domain
	return func(total int, endpointID, domain string) int {
		before := all
		if domain == s.home {
			before = local
		}
		if before == nil {
			return 0
		}
		return min(s.Of(total, endpointID, domain), before.Of(total, endpointID, domain))
	}
}
