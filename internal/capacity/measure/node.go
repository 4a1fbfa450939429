package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/capacity"
	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/node"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/platform/httpjson"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/units"
)

const (
	// domainName is the failure domain of the node that is measured.
	domainName = "domain-0"
	// settleTime is the wait between the start of the last task and the measurement.
	settleTime = 5 * time.Second
	// measureTime is the length of a measurement.
	measureTime = 20 * time.Second
	// startTimeout bounds the wait until all tasks have reached the expected state.
	startTimeout = 2 * time.Minute
)

// point is one load at which a node is measured.
type point struct {
	workers, tasks int
	// others is the number of VMs of other failure domains in the platform's list.
	others int
}

// cost is the resource usage of a node at a point.
type cost struct {
	// processor is in thousandths of a core, memory in bytes, the traffic in bytes per second. The platform
	// traffic is that of the log and of the VM list.
	processor, memory, platformTraffic, workerTraffic float64
}

// runNode runs a node until the parent process closes its standard input, or until SIGTERM or an interrupt.
func runNode(path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	listeners, err := node.Listen(s)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	return node.NewDaemon(s, listeners, zap.NewNop()).Run(ctx)
}

// measureNode measures one node that owns a whole failure domain, with several numbers of workers and tasks.
func measureNode() ([]capacity.LinearFit, error) {
	workerPoints := []point{{workers: 10, tasks: 100}, {workers: 40, tasks: 100}, {workers: 118, tasks: 100}}
	taskPoints := []point{{workers: 118, tasks: 100}, {workers: 118, tasks: 500}, {workers: 118, tasks: 1427}}
	costs, err := measurePoints(append(workerPoints, taskPoints...))
	if err != nil {
		return nil, err
	}
	workers := func(p point) float64 { return float64(p.workers) }
	tasks := func(p point) float64 { return float64(p.tasks) }
	return append(fitCosts("worker (100 tasks)", workerPoints, workers, costs), fitCosts("task (118 workers)", taskPoints, tasks, costs)...), nil
}

// measureList measures how the cost of a node grows with the number of VMs of other failure domains in the
// platform's list.
func measureList() ([]capacity.LinearFit, error) {
	points := []point{{workers: 10, tasks: 100}, {workers: 10, tasks: 100, others: 2000}, {workers: 10, tasks: 100, others: 7000}}
	costs, err := measurePoints(points)
	if err != nil {
		return nil, err
	}
	return fitCosts("other VM (10 workers)", points, func(p point) float64 { return float64(p.others) }, costs), nil
}

func measurePoints(points []point) (map[point]cost, error) {
	costs := make(map[point]cost)
	for _, p := range points {
		if _, done := costs[p]; done {
			continue
		}
		c, err := measurePoint(p)
		if err != nil {
			return nil, fmt.Errorf("%+v: %w", p, err)
		}
		fmt.Fprintf(os.Stderr, "%+v: %.1f millicores, %.1f MB, platform %.0f B/s, workers %.0f B/s\n",
			p, c.processor, c.memory/1e6, c.platformTraffic, c.workerTraffic)
		costs[p] = c
	}
	return costs, nil
}

// fitCosts fits a line to each kind of cost at the given points, as a function of size.
func fitCosts(of string, points []point, size func(point) float64, costs map[point]cost) []capacity.LinearFit {
	line := func(name, unit string, value func(cost) float64) capacity.LinearFit {
		samples := make([]capacity.Sample, len(points))
		for i, p := range points {
			samples[i] = capacity.Sample{Size: size(p), Value: value(costs[p])}
		}
		return capacity.FitLine(name, unit, of, samples)
	}
	return []capacity.LinearFit{
		line("node: processor", "1/1000 core", func(c cost) float64 { return c.processor }),
		line("node: resident memory", "bytes", func(c cost) float64 { return c.memory }),
		line("node: log and VM list", "bytes/s", func(c cost) float64 { return c.platformTraffic }),
		line("node: worker calls", "bytes/s", func(c cost) float64 { return c.workerTraffic }),
	}
}

// testbed holds the simulated platform and workers and the child process of the node that is measured.
type testbed struct {
	list            *fake.VMList
	platformCounter byteCounter
	workerCounter   byteCounter
	platformAddress string
	cleanups        []func()
	directory       string
	nodeProcess     *exec.Cmd
	nodeStdin       io.Closer
	operatorAddress string
	callerAddress   string
}

func newTestbed() (*testbed, error) {
	s := &testbed{list: fake.NewVMList(0)}
	address, stop, err := s.platformCounter.serve(httpjson.PlatformHandler(fake.NewLog(), s.list))
	if err != nil {
		return nil, err
	}
	s.platformAddress = address
	s.cleanups = append(s.cleanups, stop)
	s.directory, err = os.MkdirTemp("", "cactuswall-measure")
	return s, err
}

// addOtherVMs adds VMs of other failure domains to the list.
func (s *testbed) addOtherVMs(count int) {
	for i := range count {
		domain := fmt.Sprintf("domain-%d", 1+i%10)
		s.list.Put(platform.VM{
			ID: fmt.Sprintf("boards/%s/%d@1", domain, i), Kind: platform.EndpointVM, State: platform.Live,
			FailureDomain: domain, Rack: domain + "-rack12", Address: "10.13.22.101:7000", Service: "rental",
		})
	}
}

func (s *testbed) addWorker(index int, runTime time.Duration) error {
	agent := fake.NewWorker(fake.WorkerOptions{
		ID:       fmt.Sprintf("%s-w%d", domainName, index),
		Capacity: units.Resources{MilliProcessors: 64000, MemoryMiB: 250000},
		BehaviorOf: func(req platform.StartRequest) fake.Behavior {
			return fake.Behavior{RunTime: runTime, Usage: req.Size}
		},
	})
	address, stop, err := s.workerCounter.serve(httpjson.WorkerHandler(agent))
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, stop, agent.Close)
	rack := fmt.Sprintf("%s-rack%d", domainName, index/8)
	s.list.Put(platform.VM{ID: agent.ID(), Kind: platform.WorkerVM, State: platform.Live, FailureDomain: domainName, Rack: rack, Address: address})
	return nil
}

// startNode starts the node as a child process.
func (s *testbed) startNode() error {
	config := settings.Default()
	config.Node = "measured"
	config.FailureDomain = domainName
	config.PeerKey = "measuring-peer-key"
	config.PlatformAddress = s.platformAddress
	config.Stop.BalancerDelay = units.Duration(time.Millisecond)
	for _, address := range []*string{&config.CallerAddress, &config.OperatorAddress, &config.PeerAddress} {
		listener, err := (&byteCounter{}).listen()
		if err != nil {
			return err
		}
		*address = listener.Addr().String()
		_ = listener.Close()
	}
	config.Seeds = []string{}
	s.operatorAddress, s.callerAddress = config.OperatorAddress, config.CallerAddress
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	path := filepath.Join(s.directory, "settings.jsonc")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	s.nodeProcess = exec.Command(self, "-run-node", path)
	s.nodeProcess.Stderr = os.Stderr
	if s.nodeStdin, err = s.nodeProcess.StdinPipe(); err != nil {
		return err
	}
	return s.nodeProcess.Start()
}

func (s *testbed) close() {
	if s.nodeProcess != nil {
		_ = s.nodeStdin.Close()
		_ = s.nodeProcess.Wait()
	}
	for _, stop := range s.cleanups {
		stop()
	}
	_ = os.RemoveAll(s.directory)
}

func (s *testbed) client() *operator.Client {
	return operator.NewClient(s.operatorAddress, &http.Client{Timeout: 20 * time.Second})
}

// publish publishes the first manifest and waits until at least the given number of tasks is in a state.
func (s *testbed) publish(m *manifest.Manifest, state string, tasks int) error {
	data, err := m.Encode()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(startTimeout)
	published := false
	for time.Now().Before(deadline) {
		time.Sleep(200 * time.Millisecond)
		if !published {
			decision, err := s.client().Publish(context.Background(), operator.Publication{Document: string(data)})
			published = err == nil && decision.Accepted
			continue
		}
		status, err := s.client().Status(context.Background())
		if err == nil && status.TasksByState[state] >= tasks {
			return nil
		}
	}
	return errors.New("timed out waiting for the tasks to reach the expected state")
}

// mixedManifest returns a manifest of one failure domain in which a third of the tasks are service instances
// and the others batch tasks.
func mixedManifest(tasks int) *manifest.Manifest {
	size := units.Resources{MilliProcessors: 500, MemoryMiB: 1000}
	quota := units.Resources{MilliProcessors: 1e9, MemoryMiB: 1e9}
	m := &manifest.Manifest{
		Release:        "measure",
		FailureDomains: []manifest.FailureDomain{{Name: domainName, Region: "region"}},
		Teams:          []manifest.Team{{Name: "team", Quota: quota}},
		Services: []manifest.Service{{
			Name: "boards", Team: "team", PathPrefix: "/boards/", Instances: max(1, tasks/3), Slots: 8, Connections: 64, Size: size,
			LatencyTarget: units.Duration(80 * time.Millisecond), Timeout: units.Duration(2 * time.Second), Requests: []manifest.RequestRule{},
		}},
	}
	const tasksPerJob = 8
	for left, i := tasks-max(1, tasks/3), 0; left > 0; left, i = left-tasksPerJob, i+1 {
		m.Jobs = append(m.Jobs, manifest.Job{
			Name: fmt.Sprintf("job-%d", i), Team: "team", Tasks: min(left, tasksPerJob), Size: size,
			RunTime: units.Duration(time.Hour), Deadline: units.Duration(24 * time.Hour), Priority: manifest.Batch, OnDomainLoss: manifest.WaitHome,
		})
	}
	return m
}

func measurePoint(p point) (cost, error) {
	s, err := newTestbed()
	if err != nil {
		return cost{}, err
	}
	defer s.close()
	for i := range p.workers {
		if err := s.addWorker(i, time.Hour); err != nil {
			return cost{}, err
		}
	}
	s.addOtherVMs(p.others)
	if err := s.startNode(); err != nil {
		return cost{}, err
	}
	if err := s.publish(mixedManifest(p.tasks), "running", p.tasks); err != nil {
		return cost{}, err
	}
	time.Sleep(settleTime)
	return s.averageCost(measureTime)
}

// averageCost returns the average cost of the node over a duration.
func (s *testbed) averageCost(d time.Duration) (cost, error) {
	before, err := s.processMetrics()
	if err != nil {
		return cost{}, err
	}
	platformBytes, workerBytes := s.platformCounter.bytes.Load(), s.workerCounter.bytes.Load()
	start := time.Now()
	time.Sleep(d)
	after, err := s.processMetrics()
	if err != nil {
		return cost{}, err
	}
	seconds := time.Since(start).Seconds()
	return cost{
		processor:       1000 * (after["process_cpu_seconds_total"] - before["process_cpu_seconds_total"]) / seconds,
		memory:          after["process_resident_memory_bytes"],
		platformTraffic: float64(s.platformCounter.bytes.Load()-platformBytes) / seconds,
		workerTraffic:   float64(s.workerCounter.bytes.Load()-workerBytes) / seconds,
	}, nil
}

// processMetrics reads the metrics endpoint of the node and returns the metrics without labels by name.
func (s *testbed) processMetrics() (map[string]float64, error) {
	resp, err := http.Get("http://" + s.operatorAddress + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	values := make(map[string]float64)
	for line := range strings.Lines(string(data)) {
		name, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values, nil
}
