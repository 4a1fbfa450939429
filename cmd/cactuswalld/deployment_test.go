package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/platform/httpjson"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/units"
)

// processVariable is the environment variable that makes the test binary run the daemon instead of the tests.
const processVariable = "CACTUSWALLD_TEST_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(processVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

const (
	domain = "north"
	// waitTimeout is the timeout of every wait for an expected condition, long enough for a slow machine.
	waitTimeout = 2 * time.Minute
	pollPeriod  = 50 * time.Millisecond
	claimLease  = 2 * time.Second
	// processesPerNode is more than the processes that a test starts of one node.
	processesPerNode = 4
	taskLease        = 5 * time.Second
	// serviceTime is how long an endpoint takes to process a request.
	serviceTime = 300 * time.Millisecond
)

// deployment runs a fake platform with workers inside the test process, and every node as a separate process.
type deployment struct {
	t        *testing.T
	log      *fake.Log
	list     *fake.VMList
	platform *httptest.Server
	client   *http.Client

	mu sync.Mutex
	// running maps a task to its current run and finished counts the finished runs of a task, both as reported by
	// the workers. violations describes every violation that recordRun found.
	running    map[string]platform.RunID
	finished   map[string]int
	violations []string
}

// nodeProcess is the process of one node.
type nodeProcess struct {
	settings settings.Settings
	command  *exec.Cmd
	exited   chan error
}

func newDeployment(t *testing.T, workers int, runTime time.Duration) *deployment {
	d := &deployment{
		t:        t,
		log:      fake.NewLog(),
		list:     fake.NewVMList(0),
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second},
		running:  make(map[string]platform.RunID),
		finished: make(map[string]int),
	}
	d.platform = httptest.NewServer(httpjson.PlatformHandler(d.log, d.list))
	t.Cleanup(d.platform.Close)
	for i := range workers {
		d.addWorker(fmt.Sprintf("w%d", i), runTime)
	}
	return d
}

func (d *deployment) addWorker(id string, runTime time.Duration) {
	agent := fake.NewWorker(fake.WorkerOptions{
		ID:       id,
		Capacity: units.Resources{MilliProcessors: 4000, MemoryMiB: 8000},
		BehaviorOf: func(req platform.StartRequest) fake.Behavior {
			return fake.Behavior{RunTime: runTime, Usage: req.Size}
		},
		Serve: d.startEndpoint,
		OnRun: d.recordRun,
	})
	server := httptest.NewServer(httpjson.WorkerHandler(agent))
	d.t.Cleanup(server.Close)
	d.list.Put(platform.VM{ID: id, Kind: platform.WorkerVM, State: platform.Live, FailureDomain: domain, Rack: "r", Address: server.Listener.Addr().String()})
}

// startEndpoint starts an endpoint for a run of a service.
func (d *deployment) startEndpoint(req platform.StartRequest) (fake.Instance, error) {
	id := fmt.Sprintf("%s@%d", req.Run.Task, req.Run.Attempt)
	e := fake.NewEndpoint(id, 64, serviceTime)
	server := httptest.NewServer(e)
	address := server.Listener.Addr().String()
	d.list.Put(e.VM(req.Service, domain, address))
	return fake.Instance{Address: address, Close: func() {
		d.list.Remove(id)
		server.Close()
	}}, nil
}

// recordRun records a change of state of a run. It checks that no task has two runs at once and that a finished
// task is not run again.
func (d *deployment) recordRun(worker string, run platform.RunID, state platform.RunState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state.Final() {
		delete(d.running, run.Task)
		if state == platform.RunFinished {
			d.finished[run.Task]++
		}
		return
	}
	if other, runs := d.running[run.Task]; runs {
		d.violations = append(d.violations, fmt.Sprintf("run %v starts on worker %s while run %v of the same task is active", run, worker, other))
	}
	if d.finished[run.Task] > 0 {
		d.violations = append(d.violations, fmt.Sprintf("run %v starts on worker %s although its task has finished", run, worker))
	}
	d.running[run.Task] = run
}

// observed returns the number of running tasks, the number of finished tasks and the violations.
func (d *deployment) observed() (running, finished int, violations []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.running), len(d.finished), append([]string{}, d.violations...)
}

// loopbackAddresses is the number of addresses that freeAddress has returned.
var loopbackAddresses atomic.Int32

// freeAddress returns a free port on a loopback address of its own. On 127.0.0.1 a connection of another process, or another
// node, could take the port before the node listens on it.
func freeAddress(t *testing.T) string {
	number := loopbackAddresses.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.2.%d.%d:0", number/250, 1+number%250))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// processOutput collects the output of a process. It may be read while the process writes.
type processOutput struct {
	mu      sync.Mutex
	content bytes.Buffer
}

func (o *processOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.content.Write(p)
}

func (o *processOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.content.String()
}

// startNode starts the process of a new node and waits until it is healthy.
func (d *deployment) startNode(name string) *nodeProcess {
	s := settings.Default()
	s.Node = name
	s.FailureDomain = domain
	s.CallerAddress = freeAddress(d.t)
	s.OperatorAddress = freeAddress(d.t)
	s.PeerAddress = freeAddress(d.t)
	s.PeerKey = "key-of-the-process-tests"
	s.PlatformAddress = d.platform.Listener.Addr().String()
	s.Scheduling.ClaimLease = units.Duration(claimLease)
	s.Scheduling.TaskLease = units.Duration(taskLease)
	s.Membership.ExchangePeriod = units.Duration(200 * time.Millisecond)
	s.Membership.ListPeriod = units.Duration(300 * time.Millisecond)
	s.Membership.SuspectAfter = units.Duration(time.Second)
	s.Membership.DeadAfter = units.Duration(2 * time.Second)
	s.Stop.BalancerDelay = units.Duration(time.Second)
	d.list.Put(platform.VM{ID: name, Kind: platform.EntryVM, State: platform.Live, FailureDomain: domain, Address: s.PeerAddress})
	n := &nodeProcess{settings: s, exited: make(chan error, processesPerNode)}
	d.startProcess(n)
	return n
}

// startProcess starts the process of a node, for the first time or again, and waits until it is healthy.
func (d *deployment) startProcess(n *nodeProcess) {
	document, err := json.Marshal(n.settings)
	if err != nil {
		d.t.Fatal(err)
	}
	path := filepath.Join(d.t.TempDir(), n.settings.Node+".json")
	if err := os.WriteFile(path, document, 0o600); err != nil {
		d.t.Fatal(err)
	}
	n.command = exec.Command(os.Args[0], "run", path)
	n.command.Env = append(os.Environ(), processVariable+"=1")
	var output processOutput
	n.command.Stdout, n.command.Stderr = &output, &output
	if err := n.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	command, ended := n.command, make(chan struct{})
	go func() {
		err := command.Wait()
		close(ended)
		n.exited <- err
	}()
	d.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Process.Signal(syscall.SIGCONT)
		<-ended // all output has been read
		if d.t.Failed() {
			d.t.Logf("%s ended with %v, its output:\n%s", n.settings.Node, command.ProcessState, output.String())
		}
	})
	d.waitUntil(func() bool { return d.getStatus(n, "/healthz") == http.StatusOK })
	select {
	case <-ended: // then another process has answered, which has taken the address
		d.t.Fatalf("node %s ended right after its start", n.settings.Node)
	default:
	}
}

// getStatus returns the HTTP status of a GET request to the operator address, or 0 if there was no response.
func (d *deployment) getStatus(n *nodeProcess, path string) int {
	resp, err := d.client.Get("http://" + n.settings.OperatorAddress + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// waitUntil polls a condition and reports whether it became true within waitTimeout.
func (d *deployment) waitUntil(done func() bool) bool {
	deadline := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollPeriod)
	}
	return true
}

// publish publishes a manifest through the first node and waits until every given node is ready.
func (d *deployment) publish(document string, nodes ...*nodeProcess) bool {
	body, err := json.Marshal(operator.Publication{Document: document})
	if err != nil {
		d.t.Fatal(err)
	}
	accepted := d.waitUntil(func() bool {
		resp, err := d.client.Post("http://"+nodes[0].settings.OperatorAddress+"/v1/manifest", "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		var decision operator.Decision
		return json.NewDecoder(resp.Body).Decode(&decision) == nil && decision.Version > 0
	})
	return accepted && d.waitUntil(func() bool {
		for _, n := range nodes {
			if d.getStatus(n, "/readyz") != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// manifestDocument returns a manifest with a job of the given number of tasks and optionally a service with two
// instances.
func manifestDocument(tasks int, service bool) string {
	services := ""
	if service {
		services = `{"name": "svc", "team": "t", "path_prefix": "/svc/", "instances": 2, "slots": 64, "connections": 64,
   "size": {"milli_processors": 1000, "memory_mib": 1000, "accelerators": 0}, "latency_target": "1s", "timeout": "15s",
   "requests": [], "limits": {}}`
	}
	return fmt.Sprintf(`{"release": "r", "failure_domains": [{"name": "north", "region": "r"}],
 "teams": [{"name": "t", "quota": {"milli_processors": 100000, "memory_mib": 100000, "accelerators": 0}}],
 "services": [%s],
 "jobs": [{"name": "job", "team": "t", "tasks": %d, "size": {"milli_processors": 1000, "memory_mib": 1000, "accelerators": 0},
   "run_time": "3s", "deadline": "1h", "priority": "batch", "home_domain": "", "on_domain_loss": "wait", "checkpoints": false, "max_failures": 3}]}`,
		services, tasks)
}
