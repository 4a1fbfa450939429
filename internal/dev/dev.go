// Package dev runs a small but complete deployment in one process on the loopback interface: a fake platform, fake
// workers and endpoints, and two nodes in each failure domain.
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
	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/node"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/platform/httpjson"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/units"
)

const (
	// nodesPerDomain is the number of nodes in each failure domain.
	nodesPerDomain = 2
	// workersPerDomain is the number of workers in each failure domain.
	workersPerDomain = 4
	// portsPerNode is the number of ports that each node listens on.
	portsPerNode = 3
	// workerPortOffset is the offset of the first worker port from the base port.
	workerPortOffset = 100
	// listLag is the delay with which changes appear in the fake VM list.
	listLag = 500 * time.Millisecond
	// batchRunTime is the actual run time of every batch task.
	batchRunTime = 8 * time.Second
	// serviceTime is how long an endpoint takes to process a request.
	serviceTime = 5 * time.Millisecond
	// peerKey is the key that the nodes share.
	peerKey = "development-peer-key"
	host    = "127.0.0.1"
	maxPort = 65535
)

// batchUsage is the actual resource usage of every batch task.
var batchUsage = units.Resources{MilliProcessors: 1500, MemoryMiB: 3000}

// Deployment describes one of the example deployments.
type Deployment struct {
	// Domains are the names of the failure domains.
	Domains []string
	// Capacity is the capacity of each worker.
	Capacity units.Resources
	// Weighing is the placement objective, settings.Latency or settings.Throughput.
	Weighing string
	// Manifest is the manifest document that is published at startup.
	Manifest []byte
}

// Deployments maps names to the example deployments.
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

// Options configures Run.
type Options struct {
	// Deployment is a key of Deployments.
	Deployment string
	// BasePort is the first port to listen on.
	BasePort int
	// Output receives the addresses of the nodes, one node a line.
	Output io.Writer
	Logger *zap.Logger
}

// cluster is a running deployment.
type cluster struct {
	deployment Deployment
	options    Options
	log        *fake.Log
	list       *fake.VMList
	// mu guards stopFuncs, timers and instances.
	mu sync.Mutex
	// stopFuncs stop the HTTP servers of the fakes.
	stopFuncs []func()
	nodes     []*node.Node
	settings  []settings.Settings
	listeners []node.Listeners
	agents    []*fake.Worker
	timers    []*time.Timer
	// workers holds the IDs of the workers. instances holds the running service instances by the ID of their VM.
	workers   map[string]bool
	instances map[string]instance
}

// Run runs a deployment until ctx is done or a node fails. It returns trace.BadParameter for an unknown deployment
// or an unusable base port.
func Run(ctx context.Context, o Options) error {
	deployment, known := Deployments[o.Deployment]
	if !known {
		return trace.BadParameter("unknown deployment %q; use arwyddion or vinnufata", o.Deployment)
	}
	if err := checkPorts(o.BasePort, deployment); err != nil {
		return err
	}
	c := newCluster(o, deployment)
	defer c.close()
	if err := c.startPlatform(); err != nil {
		return err
	}
	if err := c.startWorkers(); err != nil {
		return err
	}
	if err := c.createNodes(); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, n := range c.nodes {
		group.Go(func() error { return n.Run(ctx) })
	}
	group.Go(func() error { return c.publish(ctx) })
	c.printAddresses()
	return group.Wait()
}

func newCluster(o Options, deployment Deployment) *cluster {
	return &cluster{
		deployment: deployment,
		options:    o,
		log:        fake.NewLog(),
		list:       fake.NewVMList(listLag),
		workers:    make(map[string]bool),
		instances:  make(map[string]instance),
	}
}

// checkPorts returns an error if the ports of the deployment, counted from the base port, are not all valid.
func checkPorts(base int, d Deployment) error {
	last := base + workerPortOffset + len(d.Domains)*workersPerDomain - 1
	if base < 1 || last > maxPort {
		return trace.BadParameter("--base-port is %d; the deployment uses the ports up to %d; all of them must lie between 1 and %d", base, last, maxPort)
	}
	return nil
}

// address returns the listen address at an offset from the base port.
func (c *cluster) address(offset int) string {
	return fmt.Sprintf("%s:%d", host, c.options.BasePort+offset)
}

// serve serves HTTP on an address until the cluster is closed or the returned function is called. It returns the
// address with the actual port.
func (c *cluster) serve(address string, handler http.Handler) (string, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, trace.ConnectionProblem(err, "cannot listen on %s; if the port is taken, choose another with --base-port", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	// Server.Close closes the listener only once Serve has been called with it, so the listener is closed as well.
	stop := func() {
		_ = listener.Close()
		_ = server.Close()
	}
	c.mu.Lock()
	c.stopFuncs = append(c.stopFuncs, stop)
	c.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), stop, nil
}

func (c *cluster) startPlatform() error {
	_, _, err := c.serve(c.address(0), c.platformHandler(httpjson.PlatformHandler(c.log, c.list)))
	return err
}

func (c *cluster) startWorkers() error {
	for d, domain := range c.deployment.Domains {
		for i := range workersPerDomain {
			if err := c.startWorker(domain, i, c.address(workerPortOffset+d*workersPerDomain+i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) startWorker(domain string, index int, address string) error {
	var agent *fake.Worker
	agent = fake.NewWorker(fake.WorkerOptions{
		ID:       fmt.Sprintf("%s-w%d", domain, index),
		Capacity: c.deployment.Capacity,
		BehaviorOf: func(req platform.StartRequest) fake.Behavior {
			if req.Service != "" {
				return fake.Behavior{Usage: req.Size}
			}
			return fake.Behavior{RunTime: batchRunTime, Usage: batchUsage}
		},
		Serve: func(req platform.StartRequest) (fake.Instance, error) { return c.startEndpoint(agent, domain, req) },
	})
	c.agents = append(c.agents, agent)
	c.workers[agent.ID()] = true
	if _, _, err := c.serve(address, httpjson.WorkerHandler(agent)); err != nil {
		return err
	}
	c.list.Put(platform.VM{
		ID:            agent.ID(),
		Kind:          platform.WorkerVM,
		State:         platform.Live,
		FailureDomain: domain,
		Rack:          fmt.Sprintf("%s-rack%d", domain, index/2),
		Address:       address,
	})
	return nil
}

func (c *cluster) startEndpoint(agent *fake.Worker, domain string, req platform.StartRequest) (fake.Instance, error) {
	id := fmt.Sprintf("%s@%d", req.Run.Task, req.Run.Attempt)
	e := fake.NewEndpoint(id, req.Slots, serviceTime)
	address, stop, err := c.serve(host+":0", e)
	if err != nil {
		return fake.Instance{}, err
	}
	c.list.Put(e.VM(req.Service, domain, address))
	c.mu.Lock()
	c.instances[id] = instance{endpoint: e, agent: agent, run: req.Run}
	c.mu.Unlock()
	return fake.Instance{Address: address, Close: func() {
		c.list.Remove(id)
		c.mu.Lock()
		delete(c.instances, id)
		c.mu.Unlock()
		stop()
	}}, nil
}

func (c *cluster) createNodes() error {
	for d, domain := range c.deployment.Domains {
		for i := range nodesPerDomain {
			index := d*nodesPerDomain + i
			if err := c.createNode(fmt.Sprintf("%s-%d", domain, i+1), domain, index); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cluster) createNode(name, domain string, index int) error {
	s := settings.Default()
	s.Node = name
	s.FailureDomain = domain
	s.CallerAddress = c.address(1 + portsPerNode*index)
	s.OperatorAddress = c.address(2 + portsPerNode*index)
	s.PeerAddress = c.address(3 + portsPerNode*index)
	s.PeerKey = peerKey
	s.PlatformAddress = c.address(0)
	s.Scheduling.Weighing = c.deployment.Weighing
	s.Stop.BalancerDelay = units.Duration(100 * time.Millisecond)
	s.Membership.ListPeriod = units.Duration(500 * time.Millisecond)
	listeners, err := node.Listen(s)
	if err != nil {
		return trace.ConnectionProblem(err, "%s; choose another port with --base-port", trace.UserMessage(err))
	}
	c.listeners = append(c.listeners, listeners)
	c.settings = append(c.settings, s)
	c.list.Put(platform.VM{ID: name, Kind: platform.EntryVM, State: platform.Live, FailureDomain: domain, Address: s.PeerAddress})
	c.nodes = append(c.nodes, node.NewDaemon(s, listeners, c.options.Logger))
	return nil
}

// publish publishes the example manifest.
func (c *cluster) publish(ctx context.Context) error {
	decision, err := c.nodes[0].Publish(ctx, operator.Publication{Document: string(c.deployment.Manifest)})
	if ctx.Err() != nil {
		return nil
	}
	if err == nil && !decision.Accepted {
		err = trace.CompareFailed("the example manifest was not accepted: %s", decision.Reason)
	}
	return trace.Wrap(err)
}

// printAddresses writes the addresses of the platform and of the nodes to the output.
func (c *cluster) printAddresses() {
	_, _ = fmt.Fprintf(c.options.Output, "%-14s log and VM list %s\n", "platform", c.address(0))
	for _, s := range c.settings {
		_, _ = fmt.Fprintf(c.options.Output, "%-14s failure domain %-12s callers %s  operators %s\n",
			s.Node, s.FailureDomain, s.CallerAddress, s.OperatorAddress)
	}
}

// close stops all fakes. It also closes the listeners of all nodes, because a node that never ran has not closed its
// own.
func (c *cluster) close() {
	for _, l := range c.listeners {
		_ = l.Callers.Close()
		_ = l.Operators.Close()
		_ = l.Peers.Close()
	}
	for _, a := range c.agents {
		a.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.timers {
		t.Stop()
	}
	for _, stop := range c.stopFuncs {
		stop()
	}
}
