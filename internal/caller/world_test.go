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
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/once"
	"cactuswall.example/cactuswall/internal/pipenet"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/share"
	"cactuswall.example/cactuswall/internal/units"
)

const (
	nodeCount     = 2
	maxNodes      = 4
	endpointCount = 3
	slots         = 4
	connections   = 16
	timeout       = 2 * time.Second
)

// world is a small deployment over a network in memory.
type world struct {
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
	agreement share.Agreement
	digest    uint64
}

func newWorld() *world {
	w := &world{net: pipenet.New(), oracle: newOracle(), keys: &sharedKeys{table: once.NewTable(time.Hour)}}
	w.client = &http.Transport{DialContext: w.net.Dial, DisableCompression: true}
	for i := range endpointCount {
		e := newFakeEndpoint(i, w.oracle)
		w.endpoints = append(w.endpoints, e)
		l := w.net.Listen(e.info.Address)
		w.serve(&http.Server{Handler: e, ConnState: e.connState}, l)
	}
	for range nodeCount {
		w.join()
	}
	return w
}

func (w *world) serve(s *http.Server, l net.Listener) {
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
}

// join adds a node. The nodes then agree on their parts, each at once.
func (w *world) join() {
	if len(w.nodes) == maxNodes {
		return
	}
	n := &testNode{name: fmt.Sprintf("n%d", len(w.nodes)), directory: endpoint.NewDirectory()}
	n.address = n.name + ":80"
	n.transport = endpoint.NewTransport(w.net.Dial)
	limits := settings.Default().Callers
	m := testManifest()
	n.handler = NewHandler(Options{
		Limits: limits, Directory: n.directory, Chooser: route.Adaptive{FailureDomain: "d"}, Transport: n.transport,
		Metrics: metrics.NewSet(), Manifest: func() *manifest.Manifest { return m }, Once: w.keys,
	})
	w.nodes = append(w.nodes, n)
	w.serve(&http.Server{Handler: n.handler}, w.net.Listen(n.address))
	infos := make([]endpoint.Info, len(w.endpoints))
	for i, e := range w.endpoints {
		infos[i] = e.info
	}
	n.directory.Update(infos)
	w.divide()
}

// divide lets every node divide by all nodes and hear of the others, as often as it takes to agree.
// A node with more in use than its part does not tell the new digest.
func (w *world) divide() {
	for range 3 {
		for _, n := range w.nodes {
			var all []share.Node
			for _, other := range w.nodes {
				all = append(all, share.Node{Name: other.name, FailureDomain: "d", Digest: other.digest, DomainDigest: other.digest})
			}
			set := share.NewSet(n.name, "d", all)
			partOf := n.agreement.Update(set)
			settled := true
			for _, e := range n.directory.All() {
				e.SetShare(partOf(slots, e.ID, "d"), partOf(connections, e.ID, "d"))
				settled = settled && e.WithinShare()
			}
			if settled {
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

// markLeaving tells the nodes, as a peer would.
func (w *world) markLeaving(id string) {
	for _, n := range w.nodes {
		n.directory.MarkLeaving([]string{id})
	}
}

// finish waits for everything in flight, longer than any deadline, and closes the network.
func (w *world) finish() {
	w.callers.Wait()
	time.Sleep(4 * timeout)
	for _, n := range w.nodes {
		n.transport.CloseIdleConnections()
	}
	w.client.CloseIdleConnections()
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// outcome is what a caller saw.
type outcome struct {
	id, run   string
	method    string
	status    int
	verdict   string
	body      string
	bodyErr   error
	wholeBody int
}

// call sends one request and reads its answer.
func (w *world) call(address, id, run string, s step) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), s.patience)
	defer cancel()
	url := fmt.Sprintf("http://%s/s/%s?size=%d", address, run, s.size)
	req, _ := http.NewRequestWithContext(ctx, s.method, url, strings.NewReader(id))
	if s.method == http.MethodGet || s.method == http.MethodHead {
		req.Body, req.ContentLength = nil, 0
	}
	if s.key != "" {
		req.Header.Set(KeyHeader, s.key)
		req.GetBody = nil
	}
	o := outcome{id: id, run: run, method: s.method, wholeBody: s.size}
	resp, err := w.client.RoundTrip(req)
	if err != nil {
		o.bodyErr = err
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	o.status, o.verdict, o.body, o.bodyErr = resp.StatusCode, resp.Header.Get(VerdictHeader), string(body), err
	return o
}

// listen attaches a listener and returns a function that gives the event IDs that came and whether the
// stream ended whole.
func (w *world) listen(node int) func() ([]int, bool) {
	var mu sync.Mutex
	var ids []int
	var end error
	address := w.nodes[node].address
	w.callers.Go(func() {
		req, _ := http.NewRequest(http.MethodGet, "http://"+address+"/s/watch", nil)
		resp, err := w.client.RoundTrip(req)
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

func (w *world) endpointOfListener() *fakeEndpoint {
	for _, e := range w.endpoints {
		if e.listeners.Load() > 0 {
			return e
		}
	}
	return nil
}

// sharedKeys is the stream of the log that all nodes share. Every third answer is lost.
type sharedKeys struct {
	mu     sync.Mutex
	table  *once.Table
	number uint64
}

// Begin implements OnceKeys.
func (k *sharedKeys) Begin(_ context.Context, key once.Key) (KeyAnswer, KeyTicket) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.number++
	a := once.Attempt{Node: "n", Number: k.number}
	_, granted, _ := k.table.Apply(once.BeginRecord(key, a), time.Now())
	ticket := KeyTicket{Key: key, Attempt: a}
	switch {
	case k.number%3 == 0:
		return KeyUnknown, ticket
	case granted:
		return KeyGranted, ticket
	default:
		return KeyBegun, ticket
	}
}

// End implements OnceKeys.
func (k *sharedKeys) End(t KeyTicket, notRun bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Apply(once.EndRecord(t.Key, t.Attempt, notRun), time.Now())
}
