package proof

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cactuswall.example/cactuswall/internal/node"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/standin"
	"cactuswall.example/cactuswall/internal/units"
)

const (
	north = "north"
	south = "south"
	// listLag is how far the platform's list lags behind.
	listLag = 500 * time.Millisecond
	// batchRunTime is how long a batch task truly runs.
	batchRunTime = 12 * time.Second
	peerKey      = "key-of-the-nodes-in-tests"
	// snapshotPeriod is the time between two snapshots of a stream, retention how long the log keeps an
	// entry. A retention is to exceed several periods and the outages that are to be outlived.
	snapshotPeriod = 10 * time.Second
	retention      = 60 * time.Second
)

// capacity is what every worker offers.
var capacity = units.Resources{MilliProcessors: 4000, MemoryMiB: 8000}

// layout says which nodes stand in which failure domain.
type layout []struct{ name, domain string }

// member is one node over all its processes.
type member struct {
	name        string
	domain      string
	settings    settings.Settings
	incarnation uint64
	// process and node belong to the newest process.
	process *process
	node    *node.Node
	up      bool
	// version is the newest manifest version that the newest process was seen to have in force, floor the
	// oldest one that it may put in force first.
	version uint64
	floor   uint64
}

// cluster is the world of one case.
type cluster struct {
	net     *network
	log     *standin.Log
	list    *standin.List
	oracle  *oracle
	logger  *zap.Logger
	members []*member
	// processes are all processes that were ever started.
	processes []*process

	mu      sync.Mutex
	workers map[string]*standin.Worker
	// endpoints counts the addresses that endpoints have had.
	endpoints int
	// service says how endpoints treat requests.
	service endpointFault
	// made counts the workers that were ever made.
	made int
}

func newCluster(l layout, workersPerDomain int) *cluster {
	c := &cluster{net: newNetwork(), log: standin.NewLog(), list: standin.NewList(listLag), oracle: newOracle(capacity), workers: make(map[string]*standin.Worker)}
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

// start starts a new process of a node.
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
		Workers:     workerLink{process: m.process, timeout: s.Scheduling.WorkerCallTimeout.Std(), agents: c.agent, oracle: c.oracle},
		Listeners:   node.Listeners{Callers: sockets[0], Operators: sockets[1], Peers: sockets[2]},
		Endpoints:   httpLink{process: m.process, next: c.net.transport(), party: domainOfEndpoint},
		Peers:       httpLink{process: m.process, next: c.net.transport(), party: c.nodeAt},
		Logger:      c.logger.Named(fmt.Sprintf("%s.%d", m.name, m.incarnation)),
		Incarnation: m.incarnation,
	})
	n, done := m.node, m.process.done
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			c.oracle.tracef("%s ended: %v", m.name, err)
		}
		// The end of a process closes what is still open.
		for _, l := range sockets {
			l.abort()
		}
	}()
}

// kill ends the process of a node at once. Nothing that it still meant to send leaves it.
func (c *cluster) kill(m *member) {
	if !m.up {
		return
	}
	m.up = false
	m.process.kill()
}

// stop begins the planned stop of a node.
func (c *cluster) stop(m *member) {
	if !m.up {
		return
	}
	m.up = false
	m.process.cancel()
}

// nodeAt returns the name of the node at a peer address.
func (c *cluster) nodeAt(address string) string {
	for _, m := range c.members {
		if m.settings.PeerAddress == address {
			return m.name
		}
	}
	return address
}

// agent returns the agent of the worker at an address, or nil.
func (c *cluster) agent(address string) *standin.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[address]
}

// addWorker adds a new VM to a failure domain.
func (c *cluster) addWorker(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.made++
	id := fmt.Sprintf("%s-w%d", domain, c.made)
	address := fmt.Sprintf("%s:%d", domain, c.made)
	w := standin.NewWorker(standin.WorkerOptions{
		ID:       id,
		Capacity: capacity,
		TruthOf: func(req platform.StartRequest) standin.Truth {
			c.oracle.starting(id, req)
			return standin.Truth{RunTime: batchRunTime, Usage: sizes[jobOf(req.Run.Task)]}
		},
		Serve: func(req platform.StartRequest) (standin.Instance, error) { return c.serve(domain, req), nil },
		OnRun: c.oracle.ran,
	})
	c.workers[address] = w
	c.list.Put(platform.VM{ID: id, Kind: platform.WorkerVM, State: platform.Live, FailureDomain: domain, Rack: domain, Address: address})
}

// workerIn returns the address of a worker of a failure domain.
func (c *cluster) workersIn(domain string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	for i := range c.made + 1 {
		address := fmt.Sprintf("%s:%d", domain, i)
		if c.workers[address] != nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// failWorker ends a VM with all that runs on it and replaces it by a new one.
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

// domainOfEndpoint returns the name of the party that an endpoint's address belongs to.
func domainOfEndpoint(address string) string {
	return "endpoints-" + address[:strings.IndexByte(address, '.')]
}

// serve starts an endpoint for a run of a service.
func (c *cluster) serve(domain string, req platform.StartRequest) standin.Instance {
	c.mu.Lock()
	c.endpoints++
	address := fmt.Sprintf("%s.%d:90", domain, c.endpoints)
	c.mu.Unlock()
	id := fmt.Sprintf("%s@%d", req.Run.Task, req.Run.Attempt)
	l := c.net.listen(address)
	server := &http.Server{Handler: &endpointHandler{cluster: c, id: id}, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	c.list.Put(platform.VM{ID: id, Kind: platform.EndpointVM, State: platform.Live, FailureDomain: domain, Address: address, Service: req.Service})
	return standin.Instance{Address: address, Close: func() {
		c.list.Remove(id)
		_ = server.Close()
		l.abort()
	}}
}

// close ends everything, so that no goroutine outlives the case.
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
