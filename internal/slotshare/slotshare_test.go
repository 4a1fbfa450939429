package slotshare

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// total is the number of slots of each endpoint.
const total = 8

// nodeModel is a node, the nodes that it knows and the slots that it uses at each endpoint.
type nodeModel struct {
	self      Node
	departed  bool
	known     map[string]Node
	agreement Agreement
	inUse     map[string]int
}

// domainOfEndpoint maps each endpoint of the test to its failure domain.
var domainOfEndpoint = map[string]string{"e1": "a", "e2": "b"}

// computeShares computes the node's shares from the nodes that it knows. It publishes the digests of that set
// only if the slots in use fit the new shares.
func (m *nodeModel) computeShares() {
	nodes := []Node{m.self}
	for _, n := range m.known {
		nodes = append(nodes, n)
	}
	set := NewSet(m.self.Name, m.self.FailureDomain, nodes)
	shareOf := m.agreement.Update(set)
	withinShares := true
	for id, domain := range domainOfEndpoint {
		withinShares = withinShares && m.inUse[id] <= shareOf(total, id, domain)
	}
	if withinShares {
		m.self.Digest, m.self.DomainDigest = set.Digest(), set.DomainDigest()
	}
}

// share returns the node's current share of the slots of an endpoint.
func (m *nodeModel) share(id string) int {
	nodes := []Node{m.self}
	for _, n := range m.known {
		nodes = append(nodes, n)
	}
	return m.agreement.Update(NewSet(m.self.Name, m.self.FailureDomain, nodes))(total, id, domainOfEndpoint[id])
}

// TestSharesNeverExceedTotal lets nodes join, learn about each other with a delay and leave, and checks that
// the slots in use at an endpoint never exceed its total.
func TestSharesNeverExceedTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []*nodeModel
		pick := func(label string) *nodeModel { return nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, label)] }
		join := func() {
			m := &nodeModel{known: make(map[string]Node), inUse: make(map[string]int)}
			m.self = Node{Name: fmt.Sprintf("n%d", len(nodes)), FailureDomain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")}
			for _, other := range nodes {
				if !other.departed {
					m.known[other.self.Name] = Node{Name: other.self.Name, FailureDomain: other.self.FailureDomain}
				}
			}
			nodes = append(nodes, m)
		}
		join()
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				if len(nodes) == 6 {
					t.Skip()
				}
				join()
			},
			"gossip": func(*rapid.T) {
				from, to := pick("from"), pick("to")
				if from == to || from.departed || to.departed {
					return
				}
				to.known[from.self.Name] = from.self
				to.computeShares()
			},
			"compute shares": func(*rapid.T) { pick("node").computeShares() },
			"use": func(t *rapid.T) {
				n, id := pick("node"), rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "endpoint")
				if !n.departed {
					n.inUse[id] = max(n.inUse[id], n.share(id))
				}
			},
			"release": func(*rapid.T) { clear(pick("node").inUse) },
			"exit": func(*rapid.T) {
				n := pick("node")
				n.departed = true
				clear(n.inUse)
			},
			"remove departed": func(*rapid.T) {
				n, removed := pick("node"), pick("departed")
				if removed.departed {
					delete(n.known, removed.self.Name)
				}
			},
			"": func(t *rapid.T) {
				for id := range domainOfEndpoint {
					sum := 0
					for _, n := range nodes {
						sum += n.inUse[id]
					}
					if sum > total {
						t.Fatalf("%d of %d slots of %s are in use", sum, total, id)
					}
				}
			},
		})
	})
}

// TestSharesAddUpToTotal checks that the shares of nodes with the same set add up to the total.
func TestSharesAddUpToTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []Node
		for i := range rapid.IntRange(1, 12).Draw(t, "nodes") {
			nodes = append(nodes, Node{Name: fmt.Sprint(i), FailureDomain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")})
		}
		slots := rapid.IntRange(0, 70).Draw(t, "slots")
		sum := 0
		for _, n := range nodes {
			sum += NewSet(n.Name, n.FailureDomain, nodes).ShareOf(slots, "e", "a")
		}
		want := slots
		if !anyInDomain(nodes, "a") {
			want = slots / spilloverDivisor
		}
		if sum != want {
			t.Fatalf("the shares add up to %d, want %d", sum, want)
		}
	})
}

func anyInDomain(nodes []Node, domain string) bool {
	for _, n := range nodes {
		if n.FailureDomain == domain {
			return true
		}
	}
	return false
}
