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

// Deployment queries the nodes of all failure domains, which it discovers from the operator addresses of a few.
type Deployment struct {
	http *http.Client
	// Nodes are the nodes known to the first node that responded, ordered by name.
	Nodes []Node
}

// respondingStates are the states in which a node is expected to respond to requests.
var respondingStates = []string{"live", "suspect", "leaving"}

// Discover queries the operator addresses one after the other until a node responds with the nodes that it knows.
// It returns a trace.ConnectionProblem if none responds.
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

// Domains returns the sorted names of the failure domains that have nodes.
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

// replacedAfter is the time without contact after which a dead node counts as replaced.
const replacedAfter = 15 * time.Minute

// MissingNodes returns the nodes that are considered dead and were last heard from less than replacedAfter before
// now. Nodes that left as planned and nodes that have been dead for longer count as replaced.
func (d *Deployment) MissingNodes(now time.Time) []Node {
	var nodes []Node
	for _, n := range d.Nodes {
		if !slices.Contains(respondingStates, n.State) && now.Sub(n.LastSeenAt) < replacedAfter {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// ExpectedNodes returns the nodes that are expected to respond, which excludes dead ones.
func (d *Deployment) ExpectedNodes() []Node {
	var nodes []Node
	for _, n := range d.Nodes {
		if slices.Contains(respondingStates, n.State) && n.OperatorAddress != "" {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// NodeResult is the result of a query to one node.
type NodeResult[T any] struct {
	// Leaving is set when the node has announced a planned stop, so that a missing response is expected.
	Leaving       bool
	FailureDomain string
	Node          string
	Value         T
	// Err is set when the query failed.
	Err error
}

// QueryNodes queries all expected nodes concurrently. The answers are ordered by the names of the nodes.
func QueryNodes[T any](ctx context.Context, d *Deployment, query func(context.Context, *Client) (T, error)) []NodeResult[T] {
	nodes := d.ExpectedNodes()
	answers := make([]NodeResult[T], len(nodes))
	var wg sync.WaitGroup
	for i, n := range nodes {
		wg.Go(func() {
			value, err := query(ctx, d.Client(n))
			answers[i] = NodeResult[T]{Leaving: n.State == "leaving", FailureDomain: n.FailureDomain, Node: n.Node, Value: value, Err: err}
		})
	}
	wg.Wait()
	return answers
}
