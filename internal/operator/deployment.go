package operator

import (
	"context"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Deployment asks the nodes of all failure domains, starting from the operator addresses of a few.
type Deployment struct {
	http *http.Client
	// Nodes are the nodes that the first node to answer knows, in the order of their names.
	Nodes []Node
}

// states of a node in which it is worth asking.
var answeringStates = []string{"live", "suspect", "leaving"}

// Discover asks the operator addresses one after the other until a node answers with the nodes it knows.
func Discover(ctx context.Context, addresses []string, client *http.Client) (*Deployment, error) {
	var failures []string
	for _, address := range addresses {
		nodes, err := NewClient(address, client).Nodes(ctx)
		if err == nil {
			return &Deployment{http: client, Nodes: nodes}, nil
		}
		failures = append(failures, trace.UserMessage(err))
	}
	return nil, trace.ConnectionProblem(nil, "%s; name nodes that are up with --node IP:PORT", strings.Join(failures, "; "))
}

// Client returns a client for one node.
func (d *Deployment) Client(n Node) *Client { return NewClient(n.OperatorAddress, d.http) }

// Domains returns the names of the failure domains that have nodes, in order.
func (d *Deployment) Domains() []string {
	var names []string
	for _, n := range d.Nodes {
		if !slices.Contains(names, n.FailureDomain) {
			names = append(names, n.FailureDomain)
		}
	}
	sort.Strings(names)
	return names
}

// goneAfter is the silence after which a dead node counts as replaced.
const goneAfter = 15 * time.Minute

// Missing returns the nodes that are taken for dead and were heard of a short time ago. Nodes that left as
// planned, and those that have been dead for long, count as replaced.
func (d *Deployment) Missing(now time.Time) []Node {
	var nodes []Node
	for _, n := range d.Nodes {
		if !slices.Contains(answeringStates, n.State) && now.Sub(n.HeardAt) < goneAfter {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// Expected returns the nodes that are to answer, dead ones left out.
func (d *Deployment) Expected() []Node {
	var nodes []Node
	for _, n := range d.Nodes {
		if slices.Contains(answeringStates, n.State) && n.OperatorAddress != "" {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// Answer is what one node answered.
type Answer[T any] struct {
	// Leaving is set when the node has said that it is in a planned stop, so that its silence is expected.
	Leaving       bool
	FailureDomain string
	Node          string
	Value         T
	// Err is set when the node did not answer the question.
	Err error
}

// AskNodes asks every expected node at once. The answers are in the order of the nodes' names.
func AskNodes[T any](ctx context.Context, d *Deployment, question func(context.Context, *Client) (T, error)) []Answer[T] {
	nodes := d.Expected()
	answers := make([]Answer[T], len(nodes))
	var group sync.WaitGroup
	for i, n := range nodes {
		group.Go(func() {
			value, err := question(ctx, d.Client(n))
			answers[i] = Answer[T]{Leaving: n.State == "leaving", FailureDomain: n.FailureDomain, Node: n.Node, Value: value, Err: err}
		})
	}
	group.Wait()
	return answers
}
