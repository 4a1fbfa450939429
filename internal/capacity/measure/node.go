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
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/node"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/platform/httpjson"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/standin"
	"cactuswall.example/cactuswall/internal/units"
)

const (
	// domainName is the failure domain of the node that is measured.
	domainName = "domain-0"
	// settleTime passes between the last start of a task and the measurement.
	settleTime = 5 * time.Second
	// measureTime is how long the node is watched.
	measureTime = 20 * time.Second
	// startTimeout bounds the wait until all tasks run.
	startTimeout = 2 * time.Minute
)

// point is one size at which a node is measured.
type point struct {
	workers, tasks int
	// others counts VMs of other failure domains in the platform's list.
	others int
}

// cost is what a node took at a point.
type cost struct {
	// processor is in thousandths of a core, memory in bytes, the others in bytes a second.
	processor, memory, platform, workers float64
}

// runNode runs a node until the parent closes the standard input or signals the end.
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

// measureNode measures one node that owns a whole failure domain, at several sizes.
func measureNode() ([]capacity.Slope, error) {
	byWorkers := []point{{workers: 10, tasks: 100}, {workers: 40, tasks: 100}, {workers: 118, tasks: 100}}
	byTasks := []point{{workers: 118, tasks: 100}, {workers: 118, tasks: 500}, {workers: 118, tasks: 1427}}
	costs, err := measurePoints(append(byWorkers, byTasks...))
	if err != nil {
		return nil, err
	}
	workers := func(p point) float64 { return float64(p.workers) }
	tasks := func(p point) float64 { return float64(p.tasks) }
	return append(lines("worker (100 tasks)", byWorkers, workers, costs), lines("task (118 workers)", byTasks, tasks, costs)...), nil
}

// measureList measures what the VMs of other failure domains in the platform's list cost a node.
func measureList() ([]capacity.Slope, error) {
	points := []point{{workers: 10, tasks: 100}, {workers: 10, tasks: 100, others: 2000}, {workers: 10, tasks: 100, others: 7000}}
	costs, err := measurePoints(points)
	if err != nil {
		return nil, err
	}
	return lines("other VM (10 workers)", points, func(p point) float64 { return float64(p.others) }, costs), nil
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
		fmt.Fprintf(os.Stderr, "%+v: %.1f thousandths of a core, %.1f MB, platform %.0f B/s, workers %.0f B/s\n",
			p, c.processor, c.memory/1e6, c.platform, c.workers)
		costs[p] = c
	}
	return costs, nil
}

// lines fits the costs at points against a size.
func lines(of string, points []point, size func(point) float64, costs map[point]cost) []capacity.Slope {
	line := func(name, unit string, value func(cost) float64) capacity.Slope {
		samples := make([]capacity.Sample, len(points))
		for i, p := range points {
			samples[i] = capacity.Sample{Size: size(p), Value: value(costs[p])}
		}
		return capacity.Line(name, unit, of, samples)
	}
	return []capacity.Slope{
		line("node: processor", "1/1000 core", func(c cost) float64 { return c.processor }),
		line("node: resident memory", "bytes", func(c cost) float64 { return c.memory }),
		line("node: log and VM list", "bytes/s", func(c cost) float64 { return c.platform }),
		line("node: worker calls", "bytes/s", func(c cost) float64 { return c.workers }),
	}
}

// site is a platform and its workers for one node under measurement.
type site struct {
	list          *standin.List
	platform      wire
	workers       wire
	platformAddr  string
	stops         []func()
	directory     string
	nodeProcess   *exec.Cmd
	nodeInput     io.Closer
	operators     string
	callerAddress string
}

func newSite() (*site, error) {
	s := &site{list: standin.NewList(0)}
	address, stop, err := s.platform.serve(httpjson.PlatformHandler(standin.NewLog(), s.list))
	if err != nil {
		return nil, err
	}
	s.platformAddr = address
	s.stops = append(s.stops, stop)
	s.directory, err = os.MkdirTemp("", "cactuswall-measure")
	return s, err
}

// addOthers adds VMs of other failure domains to the list.
func (s *site) addOthers(count int) {
	for i := range count {
		domain := fmt.Sprintf("domain-%d", 1+i%10)
		s.list.Put(platform.VM{
			ID: fmt.Sprintf("boards/%s/%d@1", domain, i), Kind: platform.EndpointVM, State: platform.Live,
			FailureDomain: domain, Rack: domain + "-rack12", Address: "10.13.22.101:7000", Service: "rental",
		})
	}
}

func (s *site) addWorker(index int, runTime time.Duration) error {
	agent := standin.NewWorker(standin.WorkerOptions{
		ID:       fmt.Sprintf("%s-w%d", domainName, index),
		Capacity: units.Resources{MilliProcessors: 64000, MemoryMiB: 250000},
		TruthOf: func(req platform.StartRequest) standin.Truth {
			return standin.Truth{RunTime: runTime, Usage: req.Size}
		},
	})
	address, stop, err := s.workers.serve(httpjson.WorkerHandler(agent))
	if err != nil {
		return err
	}
	s.stops = append(s.stops, stop, agent.Close)
	rack := fmt.Sprintf("%s-rack%d", domainName, index/8)
	s.list.Put(platform.VM{ID: agent.ID(), Kind: platform.WorkerVM, State: platform.Live, FailureDomain: domainName, Rack: rack, Address: address})
	return nil
}

// startNode starts the node as a process of its own.
func (s *site) startNode() error {
	config := settings.Default()
	config.Node = "measured"
	config.FailureDomain = domainName
	config.PeerKey = "measuring-peer-key"
	config.PlatformAddress = s.platformAddr
	config.Stop.BalancerDelay = units.Duration(time.Millisecond)
	for _, address := range []*string{&config.CallerAddress, &config.OperatorAddress, &config.PeerAddress} {
		listener, err := (&wire{}).listen()
		if err != nil {
			return err
		}
		*address = listener.Addr().String()
		_ = listener.Close()
	}
	config.Seeds = []string{}
	s.operators, s.callerAddress = config.OperatorAddress, config.CallerAddress
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
	if s.nodeInput, err = s.nodeProcess.StdinPipe(); err != nil {
		return err
	}
	return s.nodeProcess.Start()
}

func (s *site) close() {
	if s.nodeProcess != nil {
		_ = s.nodeInput.Close()
		_ = s.nodeProcess.Wait()
	}
	for _, stop := range s.stops {
		stop()
	}
	_ = os.RemoveAll(s.directory)
}

func (s *site) client() *operator.Client {
	return operator.NewClient(s.operators, &http.Client{Timeout: 20 * time.Second})
}

// publish puts a first manifest in force and waits until a number of tasks is in a state.
func (s *site) publish(m *manifest.Manifest, state string, tasks int) error {
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
	return errors.New("the tasks did not get so far in time")
}

// load returns a manifest of one failure domain whose tasks are one third service instances.
func load(tasks int) *manifest.Manifest {
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
	s, err := newSite()
	if err != nil {
		return cost{}, err
	}
	defer s.close()
	for i := range p.workers {
		if err := s.addWorker(i, time.Hour); err != nil {
			return cost{}, err
		}
	}
	s.addOthers(p.others)
	if err := s.startNode(); err != nil {
		return cost{}, err
	}
	if err := s.publish(load(p.tasks), "running", p.tasks); err != nil {
		return cost{}, err
	}
	time.Sleep(settleTime)
	return s.watch(measureTime)
}

// watch returns what the node takes on average over a time.
func (s *site) watch(d time.Duration) (cost, error) {
	before, err := s.process()
	if err != nil {
		return cost{}, err
	}
	platformBytes, workerBytes := s.platform.bytes.Load(), s.workers.bytes.Load()
	start := time.Now()
	time.Sleep(d)
	after, err := s.process()
	if err != nil {
		return cost{}, err
	}
	seconds := time.Since(start).Seconds()
	return cost{
		processor: 1000 * (after["process_cpu_seconds_total"] - before["process_cpu_seconds_total"]) / seconds,
		memory:    after["process_resident_memory_bytes"],
		platform:  float64(s.platform.bytes.Load()-platformBytes) / seconds,
		workers:   float64(s.workers.bytes.Load()-workerBytes) / seconds,
	}, nil
}

// process reads the process metrics of the node.
func (s *site) process() (map[string]float64, error) {
	resp, err := http.Get("http://" + s.operators + "/metrics")
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
