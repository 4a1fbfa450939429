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

	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/pipenet"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/testseed"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/verdict"
)

func TestMain(m *testing.M) { testseed.MainWithChecks(m, "10") }

// runRecord is one run of a task that a worker accepted.
type runRecord struct {
	worker string
	run    platform.RunID
	size   units.Resources
	start  time.Time
	state  platform.RunState
}

// oracle records which runs the workers accepted and how they ended, independently of the nodes. It
// records a violation for each of these: a task that runs twice at once or after it has finished, a run that
// resumes from an outdated checkpoint, or a placement beyond the capacity of its worker.
type oracle struct {
	mu   sync.Mutex
	runs []*runRecord
	// open holds the unfinished run of each task.
	open map[string]*runRecord
	// checkpoints holds the newest checkpoint of each task that was stopped and has not started again.
	checkpoints map[string]string
	// lost holds the workers that were lost.
	lost       map[string]bool
	violations []string
	// evacuatedAt is when a manifest that evacuates the failure domain was accepted, zero while none is.
	evacuatedAt time.Time
}

func newOracle() *oracle {
	return &oracle{open: make(map[string]*runRecord), checkpoints: make(map[string]string), lost: make(map[string]bool)}
}

func (o *oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// started is called when a worker accepts a start.
func (o *oracle) started(worker string, req platform.StartRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if previous := o.open[req.Run.Task]; previous != nil {
		o.addViolation("%v starts on %s while %v runs on %s", req.Run, worker, previous.run, previous.worker)
	}
	for _, r := range o.runs {
		if r.run.Task == req.Run.Task && r.state == platform.RunFinished && !o.lost[r.worker] {
			o.addViolation("%v starts although %v has finished", req.Run, r.run)
		}
	}
	if newest, any := o.checkpoints[req.Run.Task]; any && newest != req.Checkpoint {
		o.addViolation("%v resumes from %q, its newest checkpoint is %q", req.Run, req.Checkpoint, newest)
	}
	if lasted := time.Since(o.evacuatedAt); !o.evacuatedAt.IsZero() && lasted > evacuationBound {
		o.addViolation("%v starts on %s, whose failure domain has been evacuated for %v", req.Run, worker, lasted)
	}
	r := &runRecord{worker: worker, run: req.Run, size: req.Size, start: time.Now()}
	o.runs = append(o.runs, r)
	o.open[req.Run.Task] = r
}

// ended is called when a run ends on a worker. A task that was stopped must resume from its checkpoint.
func (o *oracle) ended(worker string, run platform.Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.open[run.ID.Task]
	if r == nil || r.run != run.ID {
		return
	}
	r.state = run.State
	delete(o.open, run.ID.Task)
	delete(o.checkpoints, run.ID.Task)
	if run.State == platform.RunStopped && !o.lost[worker] {
		o.checkpoints[run.ID.Task] = run.Checkpoint
	}
}

// workerLost is called when a worker is lost together with its results and checkpoints that no node has read.
func (o *oracle) workerLost(worker string) {
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
	if verdict.ReasonOf(err) != platform.ReasonNoCapacity {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation("%v was placed on %s beyond the capacity of the worker", run, worker)
}

// recordingWorkers forwards calls to the workers and reports refused starts to the oracle. beforeStart may fail a start before
// it reaches its worker; it may be nil.
type recordingWorkers struct {
	directWorkers
	oracle      *oracle
	beforeStart func(worker string) error
}

func (w recordingWorkers) Start(ctx context.Context, address string, req platform.StartRequest) error {
	if w.beforeStart != nil {
		if err := w.beforeStart(address); err != nil {
			return err
		}
	}
	err := w.directWorkers.Start(ctx, address, req)
	if err != nil {
		w.oracle.refused(address, req.Run, err)
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

// testDomain is a deployment of one failure domain with simulated workers, VM list, log and network.
type testDomain struct {
	log         *fake.Log
	list        *fake.VMList
	network     *pipenet.Network
	workersByID directWorkers
	oracle      *oracle
	behavior    func(req platform.StartRequest) fake.Behavior
	// latency returns the latency of a service instance beside the given other runs. It may be nil.
	latency         func(run platform.Run, others []platform.Run) time.Duration
	nodes           map[string]*Node
	killNode        map[string]func()
	lastIncarnation uint64
	// beforeStart is passed to recordingWorkers.
	beforeStart func(worker string) error
}

// newTestDomain returns a domain with workers w0, w1 and so on, and no nodes.
func newTestDomain(workers int, capacity units.Resources, behavior func(platform.StartRequest) fake.Behavior) *testDomain {
	return newTestDomainWithLatency(workers, capacity, behavior, nil)
}

// newTestDomainWithLatency is newTestDomain with a latency function for service instances.
func newTestDomainWithLatency(workers int, capacity units.Resources, behavior func(platform.StartRequest) fake.Behavior, latency func(platform.Run, []platform.Run) time.Duration) *testDomain {
	d := &testDomain{
		latency:     latency,
		log:         fake.NewLog(),
		list:        fake.NewVMList(0),
		network:     pipenet.New(),
		workersByID: make(directWorkers),
		oracle:      newOracle(),
		behavior:    behavior,
		nodes:       make(map[string]*Node),
		killNode:    make(map[string]func()),
	}
	for i := range workers {
		d.addWorker(fmt.Sprintf("w%d", i), capacity)
	}
	return d
}

// addWorker adds a simulated worker and lists it.
func (d *testDomain) addWorker(id string, capacity units.Resources) {
	d.workersByID[id] = fake.NewWorker(fake.WorkerOptions{
		ID:       id,
		Capacity: capacity,
		BehaviorOf: func(req platform.StartRequest) fake.Behavior {
			d.oracle.started(id, req)
			return d.behavior(req)
		},
		OnEnd:          d.oracle.ended,
		CheckpointTime: 500 * time.Millisecond,
		LatencyOf:      d.latency,
	})
	d.list.Put(platform.VM{ID: id, Kind: platform.WorkerVM, State: platform.Live, FailureDomain: "a", Rack: "r", Address: id})
}

// start starts a node with a new incarnation.
func (d *testDomain) start(name string) *Node {
	d.lastIncarnation++
	incarnation := d.lastIncarnation
	s := settings.Default()
	s.Node = name
	s.FailureDomain = "a"
	s.PeerAddress = name + ":1"
	s.PeerKey = "0123456789abcdef"
	s.Seeds = []string{"n1:1", "n2:1"}
	transport := &http.Transport{DialContext: d.network.Dial, DisableKeepAlives: true}
	n := New(Options{
		Settings: s, Log: d.log, List: d.list, Workers: recordingWorkers{d.workersByID, d.oracle, d.beforeStart},
		Listeners: Listeners{
			Callers:   d.network.Listen(fmt.Sprint(name, ":callers", incarnation)),
			Operators: d.network.Listen(fmt.Sprint(name, ":operators", incarnation)),
			Peers:     d.network.Listen(s.PeerAddress),
		},
		Endpoints: transport, Peers: transport, Logger: zap.NewNop(), Incarnation: incarnation,
	})
	done := make(chan struct{})
	go func() {
		_ = n.Run(context.Background())
		close(done)
	}()
	d.nodes[name] = n
	d.killNode[name] = func() {
		n.cancel()
		<-done
		transport.CloseIdleConnections()
		delete(d.killNode, name)
		delete(d.nodes, name)
	}
	return n
}

// stop kills all nodes and closes all workers.
func (d *testDomain) stop() {
	for _, kill := range d.killNode {
		kill()
	}
	for _, w := range d.workersByID {
		w.Close()
	}
}

// publish publishes a manifest through any node that accepts it, and retries while none does.
func (d *testDomain) publish(t interface{ Fatalf(string, ...any) }, document string) {
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

// jobJSON returns the JSON declaration of a job.
func jobJSON(name, team, priority string, tasks int, milliProcessors, memory int, checkpoints bool) string {
	return fmt.Sprintf(`{"name": %q, "team": %q, "tasks": %d,
     "size": {"milli_processors": %d, "memory_mib": %d, "accelerators": 0},
     "run_time": "20s", "deadline": "24h", "priority": %q, "home_domain": "a", "on_domain_loss": "wait",
     "checkpoints": %v, "max_failures": 3}`, name, team, tasks, milliProcessors, memory, priority, checkpoints)
}

// manifestJSON returns a manifest with the given jobs, in which team t has a quota of milli-processors and
// team empty has none.
func manifestJSON(quotaMilliProcessors int, jobs ...string) string {
	return fmt.Sprintf(`{"release": "r", "failure_domains": [{"name": "a", "region": "r"}],
  "teams": [{"name": "t", "quota": {"milli_processors": %d, "memory_mib": 1000000, "accelerators": 4}},
            {"name": "empty", "quota": {"milli_processors": 0, "memory_mib": 0, "accelerators": 0}}],
  "services": [], "jobs": [%s]}`, quotaMilliProcessors, strings.Join(jobs, ","))
}

// fixedRunTime makes every task run for the same time and use nine tenths of its size.
func fixedRunTime(runTime time.Duration) func(platform.StartRequest) fake.Behavior {
	return func(req platform.StartRequest) fake.Behavior {
		return fake.Behavior{RunTime: runTime, Usage: req.Size.Times(9).DividedBy(10)}
	}
}
