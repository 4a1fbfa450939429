package share

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// total is the number of slots that the nodes divide.
const total = 8

// model is a node with what it knows and uses.
type model struct {
	self      Node
	gone      bool
	known     map[string]Node
	agreement Agreement
	inUse     map[string]int
}

// endpointsOf gives the endpoints of the test by failure domain.
var endpointsOf = map[string]string{"e1": "a", "e2": "b"}

func (m *model) divide() {
	nodes := []Node{m.self}
	for _, n := range m.known {
		nodes = append(nodes, n)
	}
	set := NewSet(m.self.Name, m.self.FailureDomain, nodes)
	partOf := m.agreement.Update(set)
	settled := true
	for id, domain := range endpointsOf {
		settled = settled && m.inUse[id] <= partOf(total, id, domain)
	}
	if settled {
		m.self.Digest, m.self.DomainDigest = set.Digest(), set.DomainDigest()
	}
}

func (m *model) part(id string) int {
	nodes := []Node{m.self}
	for _, n := range m.known {
		nodes = append(nodes, n)
	}
	return m.agreement.Update(NewSet(m.self.Name, m.self.FailureDomain, nodes))(total, id, endpointsOf[id])
}

// TestPartsNeverAddUpToMore lets nodes join, hear of each other late and go, and checks that what they use
// never passes the total.
func TestPartsNeverAddUpToMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []*model
		pick := func(label string) *model { return nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, label)] }
		join := func() {
			m := &model{known: make(map[string]Node), inUse: make(map[string]int)}
			m.self = Node{Name: fmt.Sprintf("n%d", len(nodes)), FailureDomain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")}
			for _, other := range nodes {
				if !other.gone {
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
				if from == to || from.gone || to.gone {
					return
				}
				to.known[from.self.Name] = from.self
				to.divide()
			},
			"divide": func(*rapid.T) { pick("node").divide() },
			"use": func(t *rapid.T) {
				n, id := pick("node"), rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "endpoint")
				if !n.gone {
					n.inUse[id] = max(n.inUse[id], n.part(id))
				}
			},
			"release": func(*rapid.T) { clear(pick("node").inUse) },
			"go": func(*rapid.T) {
				n := pick("node")
				n.gone = true
				clear(n.inUse)
			},
			"see gone": func(*rapid.T) {
				n, of := pick("node"), pick("gone")
				if of.gone {
					delete(n.known, of.self.Name)
				}
			},
			"": func(t *rapid.T) {
				for id := range endpointsOf {
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

// TestEverySlotIsUsed checks that the parts of nodes that agree add up to the total.
func TestEverySlotIsUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []Node
		for i := range rapid.IntRange(1, 12).Draw(t, "nodes") {
			nodes = append(nodes, Node{Name: fmt.Sprint(i), FailureDomain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")})
		}
		slots := rapid.IntRange(0, 70).Draw(t, "slots")
		sum := 0
		for _, n := range nodes {
			sum += NewSet(n.Name, n.FailureDomain, nodes).Of(slots, "e", "a")
		}
		want := slots
		if !anyIn(nodes, "a") {
			want = slots / spillDivisor
		}
		if sum != want {
			t.Fatalf("the parts add up to %d, not %d", sum, want)
		}
	})
}

func anyIn(nodes []Node, domain string) bool {
	for _, n := range nodes {
		if n.FailureDomain == domain {
			return true
		}
	}
	return false
}
