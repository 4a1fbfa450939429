package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/platform"
	"cactuswall.example/cactuswall/platform/standin"
)

// Options are the settings of a run.
type Options struct {
	Seed     uint64
	Duration time.Duration // of the traffic
	Domains  int
	Nodes    int
	Workers  int
	// Capacity of a node in thousandths of a core. The number of cells follows from it.
	Capacity int
	JobRate  float64 // jobs a second
	// Traffic is the name of the kind of traffic.
	Traffic string
	// Evacuations has the operator evacuate failure domains.
	Evacuations bool
	Kinds       []string
	Daemon      string   // path of cactuswalld
	Self        []string // command that runs the soak's own stand-ins
	KeepLogs    string   // directory, or empty
	// Network is the second number of all addresses, 127.NETWORK.x.y, so that several runs do not meet.
	Network  int
	Progress io.Writer
}

const (
	// readyTimeout is how long the deployment may take to serve its first request.
	readyTimeout = 30 * time.Second
	// finishLimit is how long after the end of all faults accepted jobs may take.
	finishLimit = 45 * time.Second
	// stopMargin is added to the time that a process may take to stop.
	stopMargin = 2 * time.Second
	// stateLimit is how long after the end of all work nodes may take to report it.
	stateLimit = 5 * time.Second
	// workersPerRack is the number of workers in a rack.
	workersPerRack = 4
	// maxOpenRequests is the number of jobs whose ends are asked for at a time.
	maxOpenRequests = 10
	checkPeriod     = 250 * time.Millisecond
	progressPeriod  = 5 * time.Second
	// mostMemory is the name of the count of the most memory that a node used, in MB.
	mostMemory = "most memory"
)

var workerCapacity = standin.Work{MilliCPU: 16000, MemoryMB: 64 << 10}

// soak is one run: its processes, proxies, callers and the oracle.
type soak struct {
	options  Options
	oracle   *oracle
	stats    *statistics
	operator *operator
	callers  *callers
	traffic  *trafficKind
	limits   standin.StoreLimits
	store    *process
	nodes    []*soakNode
	racks    []*rack
	logs     *logFiles
	// owners has the node that took each cell over last, cells the cell that started work last on each worker.
	owners, cells sync.Map
}

// soakNode is a node and its connections to the store.
type soakNode struct {
	settings standin.Node
	path     string // of the settings file
	link     *proxy
	ready    atomic.Bool
	mu       sync.Mutex
	process  *process // nil while it is down
}

// current returns the node's process, or nil.
func (n *soakNode) current() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// forget notes that a process has ended. It returns false if another fault has done so.
func (n *soakNode) forget(p *process) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	mine := n.process == p
	if mine {
		n.process = nil
	}
	return mine
}

// rack is a process with workers and the proxies in front of them.
type rack struct {
	spec    workersSpec
	proxies []*proxy
	mu      sync.Mutex
	process *process
	// disturbed is set while a fault of the whole process lasts.
	disturbed bool
}

// Run plays one seed and returns its report.
func Run(ctx context.Context, options Options) (*Report, error) {
	logs, err := newLogFiles(options.KeepLogs, options.Seed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &soak{options: options, logs: logs, oracle: newOracle(boottime.Now(), workerCapacity), stats: newStatistics()}
	if s.traffic, err = trafficNamed(options.Traffic); err != nil {
		return nil, trace.Wrap(err)
	}
	if s.traffic.drawLimits != nil {
		s.limits = s.traffic.drawLimits(rand.New(rand.NewPCG(options.Seed, 6)))
	}
	s.callers, s.operator = newCallers(s), newOperator(s, s.storeAddress())
	defer s.stopAll()
	if err := s.start(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	faults := s.play(ctx)
	s.finish(ctx)
	violations := s.oracle.finish()
	for range s.oracle.lostTasks {
		s.stats.count("lost tasks checked")
	}
	for range s.oracle.begins {
		s.stats.count("begins checked")
	}
	return newReport(options, faults, violations, s.stats), nil
}

// start starts all processes and waits until each node takes requests.
func (s *soak) start(ctx context.Context) error {
	var err error
	s.store, err = startProcess("store", append(s.options.Self, "store", "--listen", s.storeAddress(), "--seed", fmt.Sprint(s.options.Seed),
		"--record-bytes", fmt.Sprint(s.limits.RecordBytes), "--call-bytes", fmt.Sprint(s.limits.CallBytes)), nil,
		s.logs.file("store"), func([]byte) {})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := waitFor(ctx, readyTimeout, func() bool { return s.operator.publish(1, []string{mainQueue}) == nil }); err != nil {
		return trace.Wrap(err, "the store did not start")
	}
	for i := range s.options.Domains {
		if err := s.addRack(i); err != nil {
			return trace.Wrap(err)
		}
	}
	for i := range s.options.Nodes {
		if err := s.addNode(i); err != nil {
			return trace.Wrap(err)
		}
	}
	go s.watchReadiness(ctx)
	go s.watchMemory(ctx)
	err = waitFor(ctx, readyTimeout, func() bool {
		for _, n := range s.nodes {
			if !n.ready.Load() {
				return false
			}
		}
		return true
	})
	return trace.Wrap(err, "not all nodes became ready")
}

// address returns a loopback address of the run's network.
func (s *soak) address(c, d int) string { return fmt.Sprintf("127.%d.%d.%d", s.options.Network, c, d) }

func (s *soak) storeAddress() string { return s.address(0, 1) + ":8169" }

func domainName(i int) string { return fmt.Sprintf("d%d", i) }

func (s *soak) addRack(domain int) error {
	r := &rack{spec: workersSpec{Store: s.storeAddress(), Listen: s.address(100+domain, 1) + ":9000", Capacity: workerCapacity, MaxLease: standin.MaxLease}}
	random := rand.New(rand.NewPCG(s.options.Seed, uint64(1000+domain)))
	for i := range s.options.Workers / s.options.Domains {
		ip := s.address(100+domain, 2+i)
		p, err := newProxy(ip+":9001", ip+":9002", nil)
		if err != nil {
			return trace.Wrap(err)
		}
		r.proxies = append(r.proxies, p)
		s.oracle.domains[fmt.Sprintf("w-%s-%02d", domainName(domain), i)] = domainName(domain)
		r.spec.Workers = append(r.spec.Workers, workerSpec{
			ID: fmt.Sprintf("w-%s-%02d", domainName(domain), i), Listen: ip + ":9002", Address: ip + ":9001", FailureDomain: domainName(domain),
			Rack: fmt.Sprintf("r%d-%d", domain, i/workersPerRack), ClockRate: 0.98 + 0.02*random.Float64(),
		})
	}
	s.racks = append(s.racks, r)
	return s.startRack(r)
}

func (s *soak) startRack(r *rack) error {
	spec, err := json.Marshal(&r.spec)
	if err != nil {
		return trace.Wrap(err)
	}
	name := "workers-" + r.spec.Workers[0].FailureDomain
	p, err := startProcess(name, append(s.options.Self, "workers", string(spec)), nil, s.logs.file(name), func(line []byte) {
		var e standin.Event
		if json.Unmarshal(line, &e) == nil && e.Kind != "" {
			s.oracle.event(e)
			s.stats.event(e.Kind)
		}
	})
	if err != nil {
		return trace.Wrap(err)
	}
	r.mu.Lock()
	r.process = p
	r.mu.Unlock()
	return nil
}

// workersGone tells the oracle that the process of workers was killed.
func (s *soak) workersGone(r *rack, p *process) {
	<-p.done
	for _, w := range r.spec.Workers {
		s.oracle.event(standin.Event{At: p.killedAt, Worker: w.ID, Kind: "gone"})
	}
}

func (s *soak) addNode(i int) error {
	domain := i % s.options.Domains
	ip := s.address(10+domain, 1+i/s.options.Domains)
	linkAddress := s.address(50+domain, 1+i/s.options.Domains) + ":8169"
	link, err := newProxy(linkAddress, s.storeAddress(), net.ParseIP(ip))
	if err != nil {
		return trace.Wrap(err)
	}
	n := &soakNode{link: link, settings: standin.Node{
		Name: fmt.Sprintf("n-%s-%d", domainName(domain), i/s.options.Domains), IP: ip, FailureDomain: domainName(domain), StoreAddress: linkAddress,
		Capacity: s.options.Capacity, Limits: s.limits,
	}}
	for d := range s.options.Domains {
		n.settings.FailureDomains = append(n.settings.FailureDomains, domainName(d))
	}
	n.path = filepath.Join(s.logs.directory, n.settings.Name+".conf")
	if err := os.WriteFile(n.path, []byte(n.settings.Settings()), 0o600); err != nil {
		return trace.Wrap(err)
	}
	s.nodes = append(s.nodes, n)
	return s.startNode(n)
}

func (s *soak) startNode(n *soakNode) error {
	p, err := startProcess(n.settings.Name, []string{s.options.Daemon, "platform"}, []string{platform.SettingsVariable + "=" + n.path},
		s.logs.file(n.settings.Name), func(line []byte) { s.readNodeLine(n, line) })
	if err != nil {
		return trace.Wrap(err)
	}
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	return nil
}

// readNodeLine notes who owns a cell, and which workers a cell uses.
func (s *soak) readNodeLine(n *soakNode, line []byte) {
	takesOver := bytes.Contains(line, []byte(`"msg":"state taken over"`))
	if !takesOver && !bytes.Contains(line, []byte(`"msg":"start"`)) {
		return
	}
	var fields struct {
		Cell   int    `json:"cell"`
		Worker string `json:"worker"`
	}
	switch err := json.Unmarshal(line, &fields); {
	case err != nil:
	case takesOver:
		s.owners.Store(fields.Cell, n)
		s.stats.count("take-overs")
	case fields.Worker != "":
		s.cells.Store(fields.Worker, fields.Cell)
	}
}

// watchReadiness asks all nodes each second whether they take requests.
func (s *soak) watchReadiness(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		for _, n := range s.nodes {
			go func() {
				resp, err := client.Get("http://" + n.settings.ReadyAddress() + "/-/readiness")
				n.ready.Store(err == nil && resp.StatusCode == http.StatusOK)
				if err == nil {
					_ = resp.Body.Close()
				}
			}()
		}
		sleep(ctx, time.Second)
	}
}

// watchMemory checks each second that no node uses more memory than it has. A node that does is reported once.
func (s *soak) watchMemory(ctx context.Context) {
	for reported := make(map[*process]bool); ctx.Err() == nil; sleep(ctx, time.Second) {
		for _, n := range s.nodes {
			p := n.current()
			if p == nil || reported[p] {
				continue
			}
			used := residentBytes(p.command.Process.Pid)
			s.stats.most(mostMemory, used>>20)
			if used > standin.DefaultMemoryMB<<20 {
				reported[p] = true
				s.oracle.report(promiseProcess, boottime.Now(), "%s uses %d MB of %d", p.name, used>>20, standin.DefaultMemoryMB)
			}
		}
	}
}

// pickNode returns a node that takes requests, or any node that runs, or nil.
func (s *soak) pickNode(choice uint64) *soakNode {
	var ready, running []*soakNode
	for _, n := range s.nodes {
		if n.current() != nil {
			running = append(running, n)
			if n.ready.Load() {
				ready = append(ready, n)
			}
		}
	}
	if len(ready) == 0 {
		ready = running
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[choice%uint64(len(ready))]
}

// play runs the traffic and the faults, and then ends all faults.
func (s *soak) play(ctx context.Context) []Fault {
	faults := NewSchedule(s.options.Seed, s.options.Duration, s.options.Kinds)
	traffic, endTraffic := context.WithTimeout(ctx, s.options.Duration)
	defer endTraffic()
	began := boottime.Now()
	s.oracle.update(func() { s.oracle.settledAt = began + settleTime })
	go s.callers.handIn(traffic, s.options.JobRate, rand.New(rand.NewPCG(s.options.Seed, 3)))
	go s.operator.probe(ctx)
	go s.operator.readStore(ctx)
	go s.showProgress(traffic, began)
	evacuated := make(chan struct{})
	go func() {
		if s.options.Evacuations {
			s.operator.evacuate(traffic, s.options.Seed)
		}
		close(evacuated)
	}()
	var open sync.WaitGroup
	for _, f := range faults {
		sleep(traffic, f.At-(boottime.Now()-began))
		if traffic.Err() != nil {
			break
		}
		open.Go(func() { s.apply(f) })
	}
	<-traffic.Done()
	open.Wait()
	<-evacuated
	s.callers.open.Wait()
	return faults
}

func (s *soak) showProgress(ctx context.Context, began time.Duration) {
	for {
		sleep(ctx, progressPeriod)
		if ctx.Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(s.options.Progress, "seed %d, %v: %s\n", s.options.Seed, (boottime.Now() - began).Round(time.Second), s.stats.line())
	}
}

// finish waits for the accepted jobs, cancels the services, and stops the nodes in order.
func (s *soak) finish(ctx context.Context) {
	err := waitFor(ctx, finishLimit, func() bool {
		unfinished, notRunning := s.oracle.unsettled()
		return len(unfinished)+len(notRunning) == 0
	})
	if err != nil {
		unfinished, notRunning := s.oracle.unsettled()
		for _, task := range append(unfinished, notRunning...) {
			s.oracle.report(promiseKept, boottime.Now(), "%v after the last fault task %s is not done, or does not run", finishLimit, task)
		}
	}
	s.cancelServices(ctx)
	if err := waitFor(ctx, cancelLimit, func() bool { return len(s.oracle.stillRunning()) == 0 }); err != nil {
		s.oracle.report(promiseCancel, boottime.Now(), "tasks of cancelled jobs still run: %v", s.oracle.stillRunning())
	}
	var stops sync.WaitGroup
	for _, n := range s.nodes {
		if p := n.current(); p != nil {
			p.terminate()
			stops.Go(func() { s.awaitStop(p) })
		}
	}
	stops.Wait()
	s.callers.checkBroken()
	for _, r := range s.racks {
		r.process.kill()
		s.workersGone(r, r.process)
	}
}

// cancelServices cancels the jobs that last, and checks the state of all others. It takes several jobs at a time, since nodes that are at fault
// may not answer.
func (s *soak) cancelServices(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 4))
	s.oracle.mu.Lock()
	var jobs []*jobHistory
	for _, j := range s.oracle.jobs {
		if j.accepted > 0 && !j.cancelSent {
			jobs = append(jobs, j)
		}
	}
	s.oracle.mu.Unlock()
	var open errgroup.Group
	open.SetLimit(maxOpenRequests)
	for _, j := range jobs {
		seed := random.Uint64()
		open.Go(func() error {
			random := rand.New(rand.NewPCG(seed, 4))
			if j.isService() || j.mayFail {
				s.callers.cancel(j, random)
			} else if j.queue == mainQueue {
				s.checkCompleted(ctx, j, random)
			}
			return nil
		})
	}
	_ = open.Wait() // no error
}

// checkCompleted checks that nodes report a job as completed of which all tasks are done.
func (s *soak) checkCompleted(ctx context.Context, j *jobHistory, random *rand.Rand) {
	state := ""
	err := waitFor(ctx, stateLimit, func() bool {
		state = s.callers.ask(j, random)
		return state == "completed"
	})
	if err != nil {
		s.oracle.report(promiseState, boottime.Now(), "the workers are done with job %s, and its state is %q", j.id, state)
	}
}

// awaitStop waits for a process that was asked to stop, kills it if it takes too long, and checks how it ended.
func (s *soak) awaitStop(p *process) {
	limit := standin.StopGrace + stopMargin
	for ended := false; !ended; {
		began := boottime.Now()
		select {
		case <-p.done:
			ended = true
		case <-time.After(limit):
			if p.suspendedSince(began) {
				continue
			}
			s.oracle.report(promiseStop, boottime.Now(), "%s did not stop within %v", p.name, limit)
			p.kill()
		}
	}
	if byItself, err := p.endedByItself(); byItself {
		s.oracle.report(promiseProcess, p.endedAt, "%s ended: %v", p.name, err)
	}
}

// stopAll ends what is left of the run.
func (s *soak) stopAll() {
	for _, n := range s.nodes {
		if p := n.current(); p != nil && p.runs() {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
		n.link.close()
	}
	for _, r := range s.racks {
		if r.process != nil && r.process.runs() {
			r.process.kill()
		}
		for _, p := range r.proxies {
			p.close()
		}
	}
	if s.store != nil {
		s.store.kill()
		<-s.store.done
	}
	s.logs.close()
}

// waitFor waits until a condition holds.
func waitFor(ctx context.Context, limit time.Duration, condition func() bool) error {
	deadline := boottime.Now() + limit
	for !condition() {
		if boottime.Now() > deadline || ctx.Err() != nil {
			return trace.LimitExceeded("not within %v", limit)
		}
		sleep(ctx, checkPeriod)
	}
	return nil
}
