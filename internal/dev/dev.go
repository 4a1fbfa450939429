// Package dev runs a whole small deployment in one process on loopback: stand-ins for the platform,
// workers and endpoints, and two nodes for each failure domain.
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cactuswall.example/cactuswall/examples"
	"cactuswall.example/cactuswall/internal/node"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/platform/httpjson"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/standin"
	"cactuswall.example/cactuswall/internal/units"
)

const (
	// nodesPerDomain is the number of nodes in each failure domain.
	nodesPerDomain = 2
	// workersPerDomain is the number of workers in each failure domain.
	workersPerDomain = 4
	// portsPerNode is the number of ports that each node takes.
	portsPerNode = 3
	// workerPortOffset is where the ports of the workers begin above the base port.
	workerPortOffset = 100
	// listLag is how far the stand-in for the VM list lags behind.
	listLag = 500 * time.Millisecond
	// batchRunTime is how long every batch task really runs.
	batchRunTime = 8 * time.Second
	// serviceTime is how long an endpoint works on a request.
	serviceTime = 5 * time.Millisecond
	// peerKey is the shared key of the development nodes.
	peerKey = "development-peer-key"
	host    = "127.0.0.1"
	maxPort = 65535
)

// batchUsage is what every batch task really uses.
var batchUsage = units.Resources{MilliProcessors: 1500, MemoryMiB: 3000}

// Deployment is one of the deployments that dev knows.
type Deployment struct {
	Domains  []string
	Capacity units.Resources
	// Weighing is what weighs most in placing.
	Weighing string
	// Manifest is the document that is published at the start.
	Manifest []byte
}

// Deployments are the known deployments by name.
var Deployments = map[string]Deployment{
	"arwyddion": {
		Domains:  []string{"gogledd", "canolbarth", "de"},
		Capacity: units.Resources{MilliProcessors: 64000, MemoryMiB: 250000},
		Weighing: settings.Latency,
		Manifest: examples.ArwyddionManifest,
	},
	"vinnufata": {
		Domains:  []string{"hafnarfj", "kopav", "keflav", "selfoss"},
		Capacity: units.Resources{MilliProcessors: 16000, MemoryMiB: 60000, Accelerators: 1},
		Weighing: settings.Throughput,
		Manifest: examples.VinnufataManifest,
	},
}

// Options say what to run.
type Options struct {
	Deployment string
	BasePort   int
	// Output gets the addresses of the nodes.
	Output io.Writer
	Logger *zap.Logger
}

// world is the running deployment.
type world struct {
	deployment Deployment
	options    Options
	log        *standin.Log
	list       *standin.List
	mu         sync.Mutex
	// stops end the servers of the stand-ins.
	stops     []func()
	nodes     []*node.Node
	settings  []settings.Settings
	listeners []node.Listeners
	agents    []*standin.Worker
	timers    []*time.Timer
	// workers holds the IDs of the workers, instances the running service instances by the ID of their VM.
	workers   map[string]bool
	instances map[string]instance
}

// Run runs a deployment until ctx ends.
func Run(ctx context.Context, o Options) error {
	deployment, known := Deployments[o.Deployment]
	if !known {
		return trace.BadParameter("unknown deployment %q; use arwyddion or vinnufata", o.Deployment)
	}
	if err := checkPorts(o.BasePort, deployment); err != nil {
		return err
	}
	w := newWorld(o, deployment)
	defer w.close()
	if err := w.startPlatform(); err != nil {
		return err
	}
	if err := w.startWorkers(); err != nil {
		return err
	}
	if err := w.makeNodes(); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, n := range w.nodes {
		group.Go(func() error { return n.Run(ctx) })
	}
	group.Go(func() error { return w.publish(ctx) })
	w.announce()
	return group.Wait()
}

func newWorld(o Options, deployment Deployment) *world {
	return &world{
		deployment: deployment,
		options:    o,
		log:        standin.NewLog(),
		list:       standin.NewList(listLag),
		workers:    make(map[string]bool),
		instances:  make(map[string]instance),
	}
}

// checkPorts refuses a base port from which the ports of the deployment do not fit.
func checkPorts(base int, d Deployment) error {
	last := base + workerPortOffset + len(d.Domains)*workersPerDomain - 1
	if base < 1 || last > maxPort {
		return trace.BadParameter("--base-port is %d; the deployment takes the ports from there to %d, which must lie between 1 and %d", base, last, maxPort)
	}
	return nil
}

func (w *world) address(offset int) string {
	return fmt.Sprintf("%s:%d", host, w.options.BasePort+offset)
}

// serve answers on an address of this process until the world closes.
func (w *world) serve(address string, handler http.Handler) (string, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, trace.ConnectionProblem(err, "cannot listen on %s; if the port is taken, choose another with --base-port", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	// The server closes only the listener that it has begun to serve, so the listener is closed as well.
	stop := func() {
		_ = listener.Close()
		_ = server.Close()
	}
	w.mu.Lock()
	w.stops = append(w.stops, stop)
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), stop, nil
}

func (w *world) startPlatform() error {
	_, _, err := w.serve(w.address(0), w.platformHandler(httpjson.PlatformHandler(w.log, w.list)))
	return err
}

func (w *world) startWorkers() error {
	for d, domain := range w.deployment.Domains {
		for i := range workersPerDomain {
			if err := w.startWorker(domain, i, w.address(workerPortOffset+d*workersPerDomain+i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) startWorker(domain string, index int, address string) error {
	var agent *standin.Worker
	agent = standin.NewWorker(standin.WorkerOptions{
		ID:       fmt.Sprintf("%s-w%d", domain, index),
		Capacity: w.deployment.Capacity,
		TruthOf: func(req platform.StartRequest) standin.Truth {
			if req.Service != "" {
				return standin.Truth{Usage: req.Size}
			}
			return standin.Truth{RunTime: batchRunTime, Usage: batchUsage}
		},
		Serve: func(req platform.StartRequest) (standin.Instance, error) { return w.startEndpoint(agent, domain, req) },
	})
	w.agents = append(w.agents, agent)
	w.workers[agent.ID()] = true
	if _, _, err := w.serve(address, httpjson.WorkerHandler(agent)); err != nil {
		return err
	}
	w.list.Put(platform.VM{
		ID:            agent.ID(),
		Kind:          platform.WorkerVM,
		State:         platform.Live,
		FailureDomain: domain,
		Rack:          fmt.Sprintf("%s-rack%d", domain, index/2),
		Address:       address,
	})
	return nil
}

func (w *world) startEndpoint(agent *standin.Worker, domain string, req platform.StartRequest) (standin.Instance, error) {
	id := fmt.Sprintf("%s@%d", req.Run.Task, req.Run.Attempt)
	e := standin.NewEndpoint(id, req.Slots, serviceTime)
	address, stop, err := w.serve(host+":0", e)
	if err != nil {
		return standin.Instance{}, err
	}
	w.list.Put(e.VM(req.Service, domain, address))
	w.mu.Lock()
	w.instances[id] = instance{endpoint: e, agent: agent, run: req.Run}
	w.mu.Unlock()
	return standin.Instance{Address: address, Close: func() {
		w.list.Remove(id)
		w.mu.Lock()
		delete(w.instances, id)
		w.mu.Unlock()
		stop()
	}}, nil
}

func (w *world) makeNodes() error {
	for d, domain := range w.deployment.Domains {
		for i := range nodesPerDomain {
			index := d*nodesPerDomain + i
			if err := w.makeNode(fmt.Sprintf("%s-%d", domain, i+1), domain, index); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *world) makeNode(name, domain string, index int) error {
	s := settings.Default()
	s.Node = name
	s.FailureDomain = domain
	s.CallerAddress = w.address(1 + portsPerNode*index)
	s.OperatorAddress = w.address(2 + portsPerNode*index)
	s.PeerAddress = w.address(3 + portsPerNode*index)
	s.PeerKey = peerKey
	s.PlatformAddress = w.address(0)
	s.Scheduling.Weighing = w.deployment.Weighing
	s.Stop.BalancerDelay = units.Duration(100 * time.Millisecond)
	s.Membership.ListPeriod = units.Duration(500 * time.Millisecond)
	listeners, err := node.Listen(s)
	if err != nil {
		return trace.ConnectionProblem(err, "%s; choose another port with --base-port", trace.UserMessage(err))
	}
	w.listeners = append(w.listeners, listeners)
	w.settings = append(w.settings, s)
	w.list.Put(platform.VM{ID: name, Kind: platform.EntryVM, State: platform.Live, FailureDomain: domain, Address: s.PeerAddress})
	w.nodes = append(w.nodes, node.NewDaemon(s, listeners, w.options.Logger))
	return nil
}

// publish puts the example manifest in force.
func (w *world) publish(ctx context.Context) error {
	decision, err := w.nodes[0].Publish(ctx, operator.Publication{Document: string(w.deployment.Manifest)})
	if ctx.Err() != nil {
		return nil
	}
	if err == nil && !decision.Accepted {
		err = trace.CompareFailed("the example manifest was not accepted: %s", decision.Because)
	}
	return trace.Wrap(err)
}

func (w *world) announce() {
	_, _ = fmt.Fprintf(w.options.Output, "%-14s log and VM list %s\n", "platform", w.address(0))
	for _, s := range w.settings {
		_, _ = fmt.Fprintf(w.options.Output, "%-14s failure domain %-12s callers %s  operators %s\n",
			s.Node, s.FailureDomain, s.CallerAddress, s.OperatorAddress)
	}
}

// close ends every stand-in and closes the sockets of nodes that never ran.
func (w *world) close() {
	for _, l := range w.listeners {
		_ = l.Callers.Close()
		_ = l.Operators.Close()
		_ = l.Peers.Close()
	}
	for _, a := range w.agents {
		a.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.timers {
		t.Stop()
	}
	for _, stop := range w.stops {
		stop()
	}
}
