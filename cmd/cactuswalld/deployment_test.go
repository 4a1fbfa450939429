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
	"syscall"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/platform/httpjson"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/standin"
	"cactuswall.example/cactuswall/internal/units"
)

// processVariable makes the test binary run the daemon instead of the tests.
const processVariable = "CACTUSWALLD_TEST_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(processVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

const (
	domain = "north"
	// eventually bounds every wait for something that must happen, on a machine however slow.
	eventually = 2 * time.Minute
	pollPeriod = 50 * time.Millisecond
	claimLease = 2 * time.Second
	taskLease  = 5 * time.Second
	// serviceTime is how long an endpoint works on a request.
	serviceTime = 300 * time.Millisecond
)

// deployment is the platform in the test process with real processes of the nodes beside it.
type deployment struct {
	t        *testing.T
	log      *standin.Log
	list     *standin.List
	platform *httptest.Server
	client   *http.Client

	mu sync.Mutex
	// running, finished and faults are what the workers saw.
	running  map[string]platform.RunID
	finished map[string]int
	faults   []string
}

// daemon is one process of a node.
type daemon struct {
	settings settings.Settings
	command  *exec.Cmd
	exited   chan error
}

func newDeployment(t *testing.T, workers int, runTime time.Duration) *deployment {
	d := &deployment{
		t:        t,
		log:      standin.NewLog(),
		list:     standin.NewList(0),
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
	agent := standin.NewWorker(standin.WorkerOptions{
		ID:       id,
		Capacity: units.Resources{MilliProcessors: 4000, MemoryMiB: 8000},
		TruthOf: func(req platform.StartRequest) standin.Truth {
			return standin.Truth{RunTime: runTime, Usage: req.Size}
		},
		Serve: d.serve,
		OnRun: d.ran,
	})
	server := httptest.NewServer(httpjson.WorkerHandler(agent))
	d.t.Cleanup(server.Close)
	d.list.Put(platform.VM{ID: id, Kind: platform.WorkerVM, State: platform.Live, FailureDomain: domain, Rack: "r", Address: server.Listener.Addr().String()})
}

// serve starts an endpoint for a run of a service.
func (d *deployment) serve(req platform.StartRequest) (standin.Instance, error) {
	id := fmt.Sprintf("%s@%d", req.Run.Task, req.Run.Attempt)
	e := standin.NewEndpoint(id, 64, serviceTime)
	server := httptest.NewServer(e)
	address := server.Listener.Addr().String()
	d.list.Put(e.VM(req.Service, domain, address))
	return standin.Instance{Address: address, Close: func() {
		d.list.Remove(id)
		server.Close()
	}}, nil
}

// ran checks that no task runs twice at once and that a finished one never runs again.
func (d *deployment) ran(worker string, run platform.RunID, state platform.RunState) {
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
		d.faults = append(d.faults, fmt.Sprintf("%v begins on %s while %v runs", run, worker, other))
	}
	if d.finished[run.Task] > 0 {
		d.faults = append(d.faults, fmt.Sprintf("%v begins on %s although the task has finished", run, worker))
	}
	d.running[run.Task] = run
}

// seen returns the number of running and of finished tasks and the faults.
func (d *deployment) seen() (running, finished int, faults []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.running), len(d.finished), append([]string{}, d.faults...)
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// start starts a process of a new node.
func (d *deployment) start(name string) *daemon {
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
	n := &daemon{settings: s, exited: make(chan error, 1)}
	d.run(n)
	return n
}

// run starts the process of a node.
func (d *deployment) run(n *daemon) {
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
	var output bytes.Buffer
	n.command.Stdout, n.command.Stderr = &output, &output
	if err := n.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() { n.exited <- n.command.Wait() }()
	d.t.Cleanup(func() {
		_ = n.command.Process.Kill()
		_ = n.command.Process.Signal(syscall.SIGCONT)
		if d.t.Failed() {
			d.t.Logf("output of %s:\n%s", n.settings.Node, output.String())
		}
	})
	d.until(func() bool { return d.get(n, "/healthz") == http.StatusOK })
}

// get returns the status of an operator's question, or 0 when there was no answer.
func (d *deployment) get(n *daemon, path string) int {
	resp, err := d.client.Get("http://" + n.settings.OperatorAddress + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// until waits until a condition holds and reports whether it did within the general bound.
func (d *deployment) until(done func() bool) bool {
	deadline := time.Now().Add(eventually)
	for !done() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollPeriod)
	}
	return true
}

// publish puts a manifest in force and waits until every given node is ready under it.
func (d *deployment) publish(document string, nodes ...*daemon) bool {
	body, err := json.Marshal(operator.Publication{Document: document})
	if err != nil {
		d.t.Fatal(err)
	}
	accepted := d.until(func() bool {
		resp, err := d.client.Post("http://"+nodes[0].settings.OperatorAddress+"/v1/manifest", "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		var decision operator.Decision
		return json.NewDecoder(resp.Body).Decode(&decision) == nil && decision.Version > 0
	})
	return accepted && d.until(func() bool {
		for _, n := range nodes {
			if d.get(n, "/readyz") != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// document returns a manifest with a job of a number of tasks and, if asked, a service of two instances.
func document(tasks int, service bool) string {
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
