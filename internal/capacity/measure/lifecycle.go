package main

import (
	"time"

	"cactuswall.example/cactuswall/internal/capacity"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/units"
)

// shortRunTime is the run time of the tasks.
const shortRunTime = 500 * time.Millisecond

// measureStarts measures the cost of a task from its placement to its end, on a single node that does all the
// work. The cost of an idle node over the same time is subtracted.
func measureStarts() ([]capacity.LinearFit, error) {
	sizes := []int{200, 800, 1600}
	processor, log := make([]capacity.Sample, len(sizes)), make([]capacity.Sample, len(sizes))
	for i, tasks := range sizes {
		c, err := measureTaskLifecycles(tasks)
		if err != nil {
			return nil, err
		}
		processor[i] = capacity.Sample{Size: float64(tasks), Value: c.processor}
		log[i] = capacity.Sample{Size: float64(tasks), Value: c.platformTraffic}
	}
	return []capacity.LinearFit{
		capacity.FitLine("start: processor for a task's life", "ms", "task", processor),
		capacity.FitLine("start: log traffic of a task's life, written and read", "bytes", "task", log),
	}, nil
}

// measureTaskLifecycles runs tasks to their end. In the cost it returns, processor is the processor time in
// milliseconds and platformTraffic the number of bytes written to and read from the platform.
func measureTaskLifecycles(tasks int) (cost, error) {
	s, err := newTestbed()
	if err != nil {
		return cost{}, err
	}
	defer s.close()
	const workers = 40
	for i := range workers {
		if err := s.addWorker(i, shortRunTime); err != nil {
			return cost{}, err
		}
	}
	if err := s.startNode(); err != nil {
		return cost{}, err
	}
	time.Sleep(settleTime)
	idle, err := s.averageCost(settleTime)
	if err != nil {
		return cost{}, err
	}
	before, err := s.processMetrics()
	if err != nil {
		return cost{}, err
	}
	bytes, start := s.platformCounter.bytes.Load(), time.Now()
	if err := s.publish(shortTaskManifest(tasks), "finished", tasks); err != nil {
		return cost{}, err
	}
	took := time.Since(start).Seconds()
	after, err := s.processMetrics()
	if err != nil {
		return cost{}, err
	}
	return cost{
		processor:       1000*(after["process_cpu_seconds_total"]-before["process_cpu_seconds_total"]) - idle.processor*took,
		platformTraffic: float64(s.platformCounter.bytes.Load()-bytes) - idle.platformTraffic*took,
	}, nil
}

// shortTaskManifest returns a manifest with batch tasks only.
func shortTaskManifest(tasks int) *manifest.Manifest {
	m := mixedManifest(1)
	m.Services = nil
	const tasksPerJob = 100
	for i := 0; tasks > 0; i++ {
		m.Jobs = append(m.Jobs, manifest.Job{
			Name: "short-" + string(rune('a'+i)), Team: "team", Tasks: min(tasks, tasksPerJob),
			Size:    units.Resources{MilliProcessors: 1000, MemoryMiB: 1000},
			RunTime: units.Duration(shortRunTime), Deadline: units.Duration(time.Hour), Priority: manifest.Batch, OnDomainLoss: manifest.WaitHome,
		})
		tasks -= tasksPerJob
	}
	return m
}
