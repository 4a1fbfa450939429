package node

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/pipenet"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/standin"
	"cactuswall.example/cactuswall/internal/testseed"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/verdict"
)

func TestMain(m *testing.M) { testseed.MainWithChecks(m, "10") }

// interval is one true run of a task on a worker.
type interval struct {
	worker string
	run    platform.RunID
	size   units.Resources
	at     time.Time
	state  platform.RunState
}

// oracle records what truly ran, where and when, and what is wrong with it.
type oracle struct {
	mu          sync.Mutex
	runs        []*interval
	open        map[string]*interval
	checkpoints map[string]string
	lost        map[string]bool
	faults      []string
}

func newOracle() *oracle {
	return &oracle{open: make(map[string]*interval), checkpoints: make(map[string]string), lost: make(map[string]bool)}
}

func (o *oracle) fault(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

// took is called when a worker takes a start.
func (o *oracle) took(worker string, req platform.StartRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if before := o.open[req.Run.Task]; before != nil {
		o.fault("%v starts on %s while %v runs on %s", req.Run, worker, before.run, before.worker)
	}
	for _, r := range o.runs {
		if r.run.Task == req.Run.Task && r.state == platform.RunFinished && !o.lost[r.worker] {
			o.fault("%v starts although %v has finished", req.Run, r.run)
		}
	}
	if stopped, any := o.checkpoints[req.Run.Task]; any && stopped != req.Checkpoint {
		o.fault("%v resumes from %q, its newest checkpoint is %q", req.Run, req.Checkpoint, stopped)
	}
	i := &interval{worker: worker, run: req.Run, size: req.Size, at: time.Now()}
	o.runs = append(o.runs, i)
	o.open[req.Run.Task] = i
}

// ended is called when a worker ends a run. A run that was stopped has to resume from its checkpoint.
func (o *oracle) ended(worker string, run platform.Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	i := o.open[run.ID.Task]
	if i == nil || i.run != run.ID {
		return
	}
	i.state = run.State
	delete(o.open, run.ID.Task)
	delete(o.checkpoints, run.ID.Task)
	if run.State == platform.RunStopped && !o.lost[worker] {
		o.checkpoints[run.ID.Task] = run.Checkpoint
	}
}

// loses is called when a worker is gone with all that only it knew.
func (o *oracle) loses(worker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lost[worker] = true
	for _, r := range o.runs {
		if r.worker == worker {
			delete(o.checkpoints, r.run.Task)
		}
	}
}

// refused is called when a worker refuses a start.
func (o *oracle) refused(worker string, run platform.RunID, err error) {
	if verdict.ReasonOf(err) != platform.ReasonNoRoom {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fault("%v was placed on %s beyond its capacity", run, worker)
}

// watchedAgents tells the oracle of refused starts.
type watchedAgents struct {
	agents
	oracle *oracle
}

func (a watchedAgents) Start(ctx context.Context, address string, req platform.StartRequest) error {
	err := a.agents.Start(ctx, address, req)
	if err != nil {
		a.oracle.refused(address, req.Run, err)
	}
	return err
}

// evicted returns the checkpoint of each task that was stopped and has not started again.
func (o *oracle) evicted() map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.checkpoints)
}

// finished returns how many times each task finished.
func (o *oracle) finished() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := make(map[string]int)
	for _, r := range o.runs {
		if r.state == platform.RunFinished {
			count[r.run.Task]++
		}
	}
	return count
}

// oneDomain is a deployment of one failure domain with several nodes and workers.
type oneDomain struct {
	log    *standin.Log
	list   *standin.List
	links  *pipenet.Network
	agent  agents
	oracle *oracle
	truth  func(req platform.StartRequest) standin.Truth
	// latency may be nil.
	latency func(run platform.Run, others []platform.Run) time.Duration
	nodes   map[string]*Node
	kills   map[string]func()
	born    uint64
}

func newOneDomain(workers int, capacity units.Resources, truth func(platform.StartRequest) standin.Truth) *oneDomain {
	return newNoisyDomain(workers, capacity, truth, nil)
}

// newNoisyDomain is newOneDomain with services whose latency depends on what runs beside them.
func newNoisyDomain(workers int, capacity units.Resources, truth func(platform.StartRequest) standin.Truth, latency func(platform.Run, []platform.Run) time.Duration) *oneDomain {
	d := &oneDomain{
		latency: latency,
		log:     standin.NewLog(),
		list:    standin.NewList(0),
		links:   pipenet.New(),
		agent:   make(agents),
		oracle:  newOracle(),
		truth:   truth,
		nodes:   make(map[string]*Node),
		kills:   make(map[string]func()),
	}
	for i := range workers {
		d.addWorker(fmt.Sprintf("w%d", i), capacity)
	}
	return d
}

func (d *oneDomain) addWorker(id string, capacity units.Resources) {
	d.agent[id] = standin.NewWorker(standin.WorkerOptions{
		ID:       id,
		Capacity: capacity,
		TruthOf: func(req platform.StartRequest) standin.Truth {
			d.oracle.took(id, req)
			return d.truth(req)
		},
		OnEnd:          d.oracle.ended,
		CheckpointTime: 500 * time.Millisecond,
		LatencyOf:      d.latency,
	})
	d.list.Put(platform.VM{ID: id, Kind: platform.WorkerVM, State: platform.Live, FailureDomain: "a", Rack: "r", Address: id})
}

// start runs a node under a new incarnation.
func (d *oneDomain) start(name string) *Node {
	d.born++
	incarnation := d.born
	s := settings.Default()
	s.Node = name
	s.FailureDomain = "a"
	s.PeerAddress = name + ":1"
	s.PeerKey = "0123456789abcdef"
	s.Seeds = []string{"n1:1", "n2:1"}
	transport := &http.Transport{DialContext: d.links.Dial, DisableKeepAlives: true}
	n := New(Options{
		Settings: s, Log: d.log, List: d.list, Workers: watchedAgents{d.agent, d.oracle},
		Listeners: Listeners{
			Callers:   d.links.Listen(fmt.Sprint(name, ":callers", incarnation)),
			Operators: d.links.Listen(fmt.Sprint(name, ":operators", incarnation)),
			Peers:     d.links.Listen(s.PeerAddress),
		},
		Endpoints: transport, Peers: transport, Logger: zap.NewNop(), Incarnation: incarnation,
	})
	done := make(chan struct{})
	go func() {
		_ = n.Run(context.Background())
		close(done)
	}()
	d.nodes[name] = n
	d.kills[name] = func() {
		n.cancel()
		<-done
		transport.CloseIdleConnections()
		delete(d.kills, name)
		delete(d.nodes, name)
	}
	return n
}

func (d *oneDomain) stop() {
	for _, kill := range d.kills {
		kill()
	}
	for _, w := range d.agent {
		w.Close()
	}
}

// publish puts a manifest in force through any node that answers.
func (d *oneDomain) publish(t interface{ Fatalf(string, ...any) }, document string) {
	for range 20 {
		for _, n := range d.nodes {
			replaces := n.Status().ManifestVersion
			decision, err := n.Publish(context.Background(), operator.Publication{Document: document, Replaces: replaces})
			if err == nil && decision.Accepted {
				return
			}
		}
		time.Sleep(5 * time.Second)
	}
	t.Fatalf("the manifest was not accepted")
}

// jobText returns the declaration of a job.
func jobText(name, team, priority string, tasks int, milliProcessors, memory int, checkpoints bool) string {
	return fmt.Sprintf(`{"name": %q, "team": %q, "tasks": %d,
     "size": {"milli_processors": %d, "memory_mib": %d, "accelerators": 0},
     "run_time": "20s", "deadline": "24h", "priority": %q, "home_domain": "a", "on_domain_loss": "wait",
     "checkpoints": %v, "max_failures": 3}`, name, team, tasks, milliProcessors, memory, priority, checkpoints)
}

func manifestText(quota int, jobs ...string) string {
	return fmt.Sprintf(`{"release": "r", "failure_domains": [{"name": "a", "region": "r"}],
  "teams": [{"name": "t", "quota": {"milli_processors": %d, "memory_mib": 1000000, "accelerators": 4}},
            {"name": "empty", "quota": {"milli_processors": 0, "memory_mib": 0, "accelerators": 0}}],
  "services": [], "jobs": [%s]}`, quota, strings.Join(jobs, ","))
}

func steadyTruth(runTime time.Duration) func(platform.StartRequest) standin.Truth {
	return func(req platform.StartRequest) standin.Truth {
		return standin.Truth{RunTime: runTime, Usage: req.Size.Times(9).DividedBy(10)}
	}
}
