package main

import (
	"time"

	"cactuswall.example/cactuswall/internal/capacity"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/units"
)

// shortRun is how long the tasks run that are started to be counted.
const shortRun = 500 * time.Millisecond

// measureStarts measures what the life of a task costs, from its placement to its end, on one node that does
// all of it. What an idle node takes in the same time is taken off.
func measureStarts() ([]capacity.Slope, error) {
	sizes := []int{200, 800, 1600}
	processor, log := make([]capacity.Sample, len(sizes)), make([]capacity.Sample, len(sizes))
	for i, tasks := range sizes {
		c, err := measureLives(tasks)
		if err != nil {
			return nil, err
		}
		processor[i] = capacity.Sample{Size: float64(tasks), Value: c.processor}
		log[i] = capacity.Sample{Size: float64(tasks), Value: c.platform}
	}
	return []capacity.Slope{
		capacity.Line("start: processor for a task's life", "ms", "task", processor),
		capacity.Line("start: log traffic of a task's life, written and read", "bytes", "task", log),
	}, nil
}

// measureLives returns the processor time in milliseconds, and the bytes of the log, for the lives of tasks.
func measureLives(tasks int) (cost, error) {
	s, err := newSite()
	if err != nil {
		return cost{}, err
	}
	defer s.close()
	const workers = 40
	for i := range workers {
		if err := s.addWorker(i, shortRun); err != nil {
			return cost{}, err
		}
	}
	if err := s.startNode(); err != nil {
		return cost{}, err
	}
	time.Sleep(settleTime)
	idle, err := s.watch(settleTime)
	if err != nil {
		return cost{}, err
	}
	before, err := s.process()
	if err != nil {
		return cost{}, err
	}
	bytes, start := s.platform.bytes.Load(), time.Now()
	if err := s.publish(shortTasks(tasks), "finished", tasks); err != nil {
		return cost{}, err
	}
	took := time.Since(start).Seconds()
	after, err := s.process()
	if err != nil {
		return cost{}, err
	}
	return cost{
		processor: 1000*(after["process_cpu_seconds_total"]-before["process_cpu_seconds_total"]) - idle.processor*took,
		platform:  float64(s.platform.bytes.Load()-bytes) - idle.platform*took,
	}, nil
}

// shortTasks returns a manifest of batch tasks alone.
func shortTasks(tasks int) *manifest.Manifest {
	m := load(1)
	m.Services = nil
	const tasksPerJob = 100
	for i := 0; tasks > 0; i++ {
		m.Jobs = append(m.Jobs, manifest.Job{
			Name: "short-" + string(rune('a'+i)), Team: "team", Tasks: min(tasks, tasksPerJob),
			Size:    units.Resources{MilliProcessors: 1000, MemoryMiB: 1000},
			RunTime: units.Duration(shortRun), Deadline: units.Duration(time.Hour), Priority: manifest.Batch, OnDomainLoss: manifest.WaitHome,
		})
		tasks -= tasksPerJob
	}
	return m
}
