package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/node"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/units"
)

const (
	north = "north"
	south = "south"
	// listLag is the delay after which a change of the platform's VM list becomes visible.
	listLag = 500 * time.Millisecond
	// batchRunTime is the actual run time of a batch task.
	batchRunTime = 12 * time.Second
	peerKey      = "key-of-the-nodes-in-tests"
	// snapshotPeriod is the time between two snapshots of a stream, retention how long the log keeps an
	// entry. The retention has to exceed several snapshot periods and the longest outage to be survived.
	snapshotPeriod = 10 * time.Second
	retention      = 60 * time.Second
)

// capacity is the capacity of every worker.
var capacity = units.Resources{MilliProcessors: 4000, MemoryMiB: 8000}

// layout lists the nodes of a cluster and the failure domain of each.
type layout []struct{ name, domain string }

// member is one node of the cluster. It keeps its identity when its process is restarted.
type member struct {
	name        string
	domain      string
	settings    settings.Settings
	incarnation uint64
	// process and node are those of the most recent start.
	process *process
	node    *node.Node
	up      bool
	// version is the newest active manifest version that was observed on the current process. minVersion is
	// the oldest version that the process may activate first.
	version    uint64
	minVersion uint64
}

// cluster is the simulated deployment of one test case: nodes, workers, network and platform.
type cluster struct {
	net     *network
	log     *fake.Log
	list    *fake.VMList
	oracle  *oracle
	logger  *zap.Logger
	members []*member
	// processes are all node processes started so far, including those that have ended.
	processes []*process

	mu      sync.Mutex
	workers map[string]*fake.Worker
	// endpointsCreated counts the endpoints created so far; it makes their addresses unique.
	endpointsCreated int
	// endpointFault is the fault that all endpoints currently show.
	endpointFault endpointFault
	// workersCreated counts the workers created so far; it makes their names and addresses unique.
	workersCreated int
}

func newCluster(l layout, workersPerDomain int) *cluster {
	c := &cluster{net: newNetwork(), log: fake.NewLog(), list: fake.NewVMList(listLag), oracle: newOracle(capacity), workers: make(map[string]*fake.Worker)}
	encoder := zapcore.NewConsoleEncoder(zapcore.EncoderConfig{MessageKey: "m", NameKey: "n", EncodeName: zapcore.FullNameEncoder})
	c.logger = zap.New(zapcore.NewCore(encoder, zapcore.AddSync(c.oracle), zapcore.InfoLevel))
	domains := make(map[string]bool)
	for i, n := range l {
		c.members = append(c.members, c.newMember(n.name, n.domain, i))
		if !domains[n.domain] {
			domains[n.domain] = true
			for range workersPerDomain {
				c.addWorker(n.domain)
			}
		}
	}
	return c
}

// newMember creates a node with its settings and adds it to the VM list.
func (c *cluster) newMember(name, domain string, index int) *member {
	s := settings.Default()
	s.Node = name
	s.FailureDomain = domain
	s.CallerAddress = fmt.Sprintf("10.0.0.%d:80", index+1)
	s.OperatorAddress = fmt.Sprintf("10.0.0.%d:81", index+1)
	s.PeerAddress = fmt.Sprintf("10.0.0.%d:82", index+1)
	s.PeerKey = peerKey
	s.Log.SnapshotPeriod = units.Duration(snapshotPeriod)
	s.Scheduling.DomainLossAfter = units.Duration(snapshotPeriod / 2)
	s.Seeds = []string{"10.0.0.1:82", "10.0.0.2:82", "10.0.0.3:82"}
	c.list.Put(platform.VM{ID: name, Kind: platform.EntryVM, State: platform.Live, FailureDomain: domain, Address: s.PeerAddress})
	return &member{name: name, domain: domain, settings: s}
}

// start starts a new process of a node that is not running.
func (c *cluster) start(m *member) {
	if m.up {
		return
	}
	m.up = true
	m.incarnation++
	s := m.settings
	sockets := []*listener{c.net.listen(s.CallerAddress), c.net.listen(s.OperatorAddress), c.net.listen(s.PeerAddress)}
	ctx, cancel := context.WithCancel(context.Background())
	m.process = &process{name: m.name, net: c.net, dead: make(chan struct{}), done: make(chan struct{}), cancel: cancel, sockets: sockets}
	c.processes = append(c.processes, m.process)
	m.node = node.New(node.Options{
		Settings:    s,
		Log:         logLink{process: m.process, log: c.log, oracle: c.oracle},
		List:        listLink{process: m.process, list: c.list},
		Workers:     workerLink{process: m.process, timeout: s.Scheduling.WorkerCallTimeout.Std(), agents: c.agentAt, oracle: c.oracle},
		Listeners:   node.Listeners{Callers: sockets[0], Operators: sockets[1], Peers: sockets[2]},
		Endpoints:   httpLink{process: m.process, base: c.net.transport(), hostOf: endpointHost},
		Peers:       httpLink{process: m.process, base: c.net.transport(), hostOf: c.nodeNameAt},
		Logger:      c.logger.Named(fmt.Sprintf("%s.%d", m.name, m.incarnation)),
		Incarnation: m.incarnation,
	})
	n, done := m.node, m.process.done
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			c.oracle.tracef("%s exited: %v", m.name, err)
		}
		// An exiting process closes its listeners and connections.
		for _, l := range sockets {
			l.abort()
		}
	}()
}

// kill ends the process of a node immediately. Calls that it has not sent yet are never sent.
func (c *cluster) kill(m *member) {
	if !m.up {
		return
	}
	m.up = false
	m.process.kill()
}

// stop starts a planned stop of a node.
func (c *cluster) stop(m *member) {
	if !m.up {
		return
	}
	m.up = false
	m.process.cancel()
}

// nodeNameAt returns the name of the node with a peer address.
func (c *cluster) nodeNameAt(address string) string {
	for _, m := range c.members {
		if m.settings.PeerAddress == address {
			return m.name
		}
	}
	return address
}

// agentAt returns the agent of the worker at an address, or nil.
func (c *cluster) agentAt(address string) *fake.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[address]
}

// addWorker adds a new worker to a failure domain.
func (c *cluster) addWorker(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workersCreated++
	id := fmt.Sprintf("%s-w%d", domain, c.workersCreated)
	address := fmt.Sprintf("%s:%d", domain, c.workersCreated)
	w := fake.NewWorker(fake.WorkerOptions{
		ID:       id,
		Capacity: capacity,
		BehaviorOf: func(req platform.StartRequest) fake.Behavior {
			c.oracle.runStarting(id, req)
			return fake.Behavior{RunTime: batchRunTime, Usage: sizes[jobOf(req.Run.Task)]}
		},
		Serve: func(req platform.StartRequest) (fake.Instance, error) { return c.serve(domain, req), nil },
		OnRun: c.oracle.runChanged,
	})
	c.workers[address] = w
	c.list.Put(platform.VM{ID: id, Kind: platform.WorkerVM, State: platform.Live, FailureDomain: domain, Rack: domain, Address: address})
}

// workersIn returns the addresses of the workers of a failure domain.
func (c *cluster) workersIn(domain string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	for i := range c.workersCreated + 1 {
		address := fmt.Sprintf("%s:%d", domain, i)
		if c.workers[address] != nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// failWorker removes a worker with everything that runs on it and adds a new one in its place.
func (c *cluster) failWorker(address string) {
	c.mu.Lock()
	w := c.workers[address]
	delete(c.workers, address)
	c.mu.Unlock()
	w.Close()
	c.oracle.workerFailed(w.ID())
	c.list.Remove(w.ID())
	c.addWorker(address[:strings.IndexByte(address, ':')])
}

// endpointHost returns the simulated host of an endpoint's address. All endpoints of a failure domain share one.
func endpointHost(address string) string {
	return "endpoints-" + address[:strings.IndexByte(address, '.')]
}

// serve starts an endpoint for a run of a service.
func (c *cluster) serve(domain string, req platform.StartRequest) fake.Instance {
	c.mu.Lock()
	c.endpointsCreated++
	address := fmt.Sprintf("%s.%d:90", domain, c.endpointsCreated)
	c.mu.Unlock()
	id := fmt.Sprintf("%s@%d", req.Run.Task, req.Run.Attempt)
	l := c.net.listen(address)
	server := &http.Server{Handler: &endpointHandler{cluster: c, id: id}, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	c.list.Put(platform.VM{ID: id, Kind: platform.EndpointVM, State: platform.Live, FailureDomain: domain, Address: address, Service: req.Service})
	return fake.Instance{Address: address, Close: func() {
		c.list.Remove(id)
		_ = server.Close()
		l.abort()
	}}
}

// close stops all processes and workers, so that no goroutine is left after the test case.
func (c *cluster) close() {
	c.net.heal()
	c.log.SetDown(false)
	for _, p := range c.processes {
		p.resume()
		p.kill()
		<-p.done
	}
	c.mu.Lock()
	workers := c.workers
	c.workers = nil
	c.mu.Unlock()
	for _, w := range workers {
		w.Close()
	}
	time.Sleep(2 * time.Minute)
}
