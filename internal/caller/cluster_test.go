package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/idempotency"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/pipenet"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/slotshare"
	"cactuswall.example/cactuswall/internal/units"
)

const (
	nodeCount     = 2
	maxNodes      = 4
	endpointCount = 3
	// slots and connections are the limits of each endpoint, summed over all nodes.
	slots       = 4
	connections = 16
	// timeout is the timeout of the service.
	timeout = 2 * time.Second
)

// testCluster is a cluster of nodes and fake endpoints on an in-memory network.
type testCluster struct {
	net       *pipenet.Network
	oracle    *oracle
	keys      *sharedKeys
	endpoints []*fakeEndpoint
	nodes     []*testNode
	callers   sync.WaitGroup
	requests  int
	client    *http.Transport
	servers   []*http.Server
}

type testNode struct {
	name      string
	address   string
	directory *endpoint.Directory
	handler   *Handler
	transport *http.Transport
	agreement slotshare.Agreement
	// digest identifies the set of nodes from which the node computed its shares, as it publishes it to the
	// others.
	digest uint64
}

func newTestCluster() *testCluster {
	c := &testCluster{net: pipenet.New(), oracle: newOracle(), keys: &sharedKeys{table: idempotency.NewTable(time.Hour)}}
	c.client = &http.Transport{DialContext: c.net.Dial, DisableCompression: true}
	for i := range endpointCount {
		e := newFakeEndpoint(i, c.oracle)
		c.endpoints = append(c.endpoints, e)
		l := c.net.Listen(e.info.Address)
		c.serve(&http.Server{Handler: e, ConnState: e.connState}, l)
	}
	for range nodeCount {
		c.join()
	}
	return c
}

func (c *testCluster) serve(s *http.Server, l net.Listener) {
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
}

// join adds a node and divides the endpoints' slots and connections among the nodes again.
func (c *testCluster) join() {
	if len(c.nodes) == maxNodes {
		return
	}
	n := &testNode{name: fmt.Sprintf("n%d", len(c.nodes)), directory: endpoint.NewDirectory()}
	n.address = n.name + ":80"
	n.transport = endpoint.NewTransport(c.net.Dial)
	limits := settings.Default().Callers
	m := testManifest()
	n.handler = NewHandler(Options{
		Limits: limits, Directory: n.directory, Chooser: route.Adaptive{FailureDomain: "d"}, Transport: n.transport,
		Metrics: metrics.NewSet(), Manifest: func() *manifest.Manifest { return m }, IdempotencyKeys: c.keys,
	})
	c.nodes = append(c.nodes, n)
	c.serve(&http.Server{Handler: n.handler}, c.net.Listen(n.address))
	infos := make([]endpoint.Info, len(c.endpoints))
	for i, e := range c.endpoints {
		infos[i] = e.info
	}
	n.directory.Update(infos)
	c.divideShares()
}

// divideShares lets every node compute its shares from the nodes it knows, in several rounds so that the nodes
// agree. A node publishes the digest of the set of nodes that it knows only when its requests and connections
// are within its new shares.
func (c *testCluster) divideShares() {
	for range 3 {
		for _, n := range c.nodes {
			var all []slotshare.Node
			for _, other := range c.nodes {
				all = append(all, slotshare.Node{Name: other.name, FailureDomain: "d", Digest: other.digest, DomainDigest: other.digest})
			}
			set := slotshare.NewSet(n.name, "d", all)
			shareOf := n.agreement.Update(set)
			withinShare := true
			for _, e := range n.directory.All() {
				e.SetShare(shareOf(slots, e.ID, "d"), shareOf(connections, e.ID, "d"))
				withinShare = withinShare && e.WithinShare()
			}
			if withinShare {
				n.digest = set.Digest()
			} else {
				n.transport.CloseIdleConnections()
			}
		}
	}
}

func testManifest() *manifest.Manifest {
	return &manifest.Manifest{Services: []manifest.Service{{
		Name: "s", PathPrefix: "/s/", Slots: slots, Connections: connections,
		LatencyTarget: units.Duration(time.Second), Timeout: units.Duration(timeout),
		Requests: []manifest.RequestRule{
			{Method: "GET", Path: "/watch", Idempotent: true, Listener: true},
			{Method: "PUT", Path: "/", Idempotent: true},
		},
	}}}
}

// markLeaving marks an endpoint as leaving at all nodes, as a report from a peer would.
func (c *testCluster) markLeaving(id string) {
	for _, n := range c.nodes {
		n.directory.MarkLeaving([]string{id})
	}
}

// finish waits until all callers have their responses, then for longer than any deadline so that everything in
// flight ends, and closes all connections.
func (c *testCluster) finish() {
	c.callers.Wait()
	time.Sleep(4 * timeout)
	for _, n := range c.nodes {
		n.transport.CloseIdleConnections()
	}
	c.client.CloseIdleConnections()
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// outcome is the result of a request as its caller received it.
type outcome struct {
	// id identifies the request. name is its name in the URL. Requests that are not idempotent and have the same
	// idempotency key have the same name.
	id, name string
	method   string
	status   int
	verdict  string
	body     string
	bodyErr  error
	bodySize int
}

// call sends one request and reads the response.
func (c *testCluster) call(address, id, name string, s step) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/s/%s?size=%d", address, name, s.size)
	req, _ := http.NewRequestWithContext(ctx, s.method, url, strings.NewReader(id))
	if s.method == http.MethodGet || s.method == http.MethodHead {
		req.Body, req.ContentLength = nil, 0
	}
	if s.key != "" {
		req.Header.Set(IdempotencyKeyHeader, s.key)
		req.GetBody = nil
	}
	o := outcome{id: id, name: name, method: s.method, bodySize: s.size}
	resp, err := c.client.RoundTrip(req)
	if err != nil {
		o.bodyErr = err
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	o.status, o.verdict, o.body, o.bodyErr = resp.StatusCode, resp.Header.Get(VerdictHeader), string(body), err
	return o
}

// listen starts a listener. The returned function returns the IDs of the received events and whether the stream
// ended without an error.
func (c *testCluster) listen(node int) func() ([]int, bool) {
	var mu sync.Mutex
	var ids []int
	var end error
	address := c.nodes[node].address
	c.callers.Go(func() {
		req, _ := http.NewRequest(http.MethodGet, "http://"+address+"/s/watch", nil)
		resp, err := c.client.RoundTrip(req)
		if err != nil {
			end = err
			return
		}
		defer func() { _ = resp.Body.Close() }()
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
				n, _ := strconv.Atoi(id)
				mu.Lock()
				ids = append(ids, n)
				mu.Unlock()
			}
		}
		mu.Lock()
		defer mu.Unlock()
		end = lines.Err()
	})
	return func() ([]int, bool) {
		mu.Lock()
		defer mu.Unlock()
		return ids, end == nil
	}
}

func (c *testCluster) endpointOfListener() *fakeEndpoint {
	for _, e := range c.endpoints {
		if e.listeners.Load() > 0 {
			return e
		}
	}
	return nil
}

// sharedKeys is the table of idempotency keys that all nodes share. For every third request it returns
// KeyUnknown, as if the response had been lost.
type sharedKeys struct {
	mu     sync.Mutex
	table  *idempotency.Table
	number uint64
}

// Begin implements IdempotencyKeys.
func (k *sharedKeys) Begin(_ context.Context, key idempotency.Key) (KeyDecision, KeyClaim) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.number++
	a := idempotency.Attempt{Node: "n", Number: k.number}
	_, granted, _ := k.table.Apply(idempotency.BeginRecord(key, a), time.Now())
	claim := KeyClaim{Key: key, Attempt: a}
	switch {
	case k.number%3 == 0:
		return KeyUnknown, claim
	case granted:
		return KeyGranted, claim
	default:
		return KeyInProgress, claim
	}
}

// End implements IdempotencyKeys.
func (k *sharedKeys) End(t KeyClaim, notRun bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Apply(idempotency.EndRecord(t.Key, t.Attempt, notRun), time.Now())
}
