package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactuswall.example/cactuswall/internal/cellnode"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/queue"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	configTopic  = "config"
	workersTopic = "workers"
	// storeDelay is how long an append takes.
	storeDelay = 4 * time.Millisecond
)

// load is an in-memory store with the records of the workers, to which it appends jobs.
type load struct {
	starts atomic.Int64 // stored runs, an upper bound of the start orders

	mu      sync.Mutex
	records map[string][]store.Record
	changed chan struct{}
}

func newLoad(addresses []string) *load {
	l := &load{records: map[string][]store.Record{configTopic: {{Key: "config", Value: []byte("1")}}}, changed: make(chan struct{})}
	for i, address := range addresses {
		l.records[workersTopic] = append(l.records[workersTopic], store.Record{
			Key: fmt.Sprintf("w%03d", i), Value: []byte(address), Offset: store.Offset(i),
		})
	}
	return l
}

func (l *load) topics() cellnode.Topics {
	return cellnode.Topics{
		Config: store.Partition{Topic: configTopic}, ConfigKey: "config", Workers: store.Partition{Topic: workersTopic},
		DecodeConfig: func([]byte) (*queue.Config, error) {
			return &queue.Config{Version: 1, Queues: []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 3, CriticalPathFactor: 2}},
				Services: []queue.Service{{Name: "s", EnforcesCapacity: true}}}, nil
		},
		DecodeWorker: func(id string, value []byte) (workercall.Worker, error) {
			return workercall.Worker{ID: id, Service: "s", Address: string(value), FailureDomain: "d", Rack: "r" + id[:3], StartedAtMS: 1,
				Capacity: jobs.Resources{MilliCPU: 16000, MemoryMB: 62500}}, nil
		},
	}
}

// Append implements cellnode.Store.
func (l *load) Append(_ context.Context, a store.AppendRequest) (store.AppendResult, error) {
	time.Sleep(storeDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(a.Partition.Topic, a.Records), nil
}

func (l *load) append(topic string, records []store.Record) store.AppendResult {
	first := store.Offset(len(l.records[topic]))
	for i, r := range records {
		r.Offset = first + store.Offset(i)
		l.records[topic] = append(l.records[topic], r)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return store.AppendResult{First: first, End: store.Offset(len(l.records[topic]))}
}

// Read implements cellnode.Store.
func (l *load) Read(ctx context.Context, p store.Partition, from store.Offset, wait time.Duration) (store.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		records, changed := l.records[p.Topic], l.changed
		l.mu.Unlock()
		end := store.Offset(len(records))
		if from < end {
			return store.Page{Records: records[from:], Next: end, End: end}, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return store.Page{Next: from, End: end}, nil
		case <-ctx.Done():
			return store.Page{}, ctx.Err()
		}
	}
}

// List implements cellnode.Store.
func (l *load) List(_ context.Context, p store.Partition, _ string) (store.ListPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := l.records[p.Topic]
	return store.ListPage{Records: append([]store.Record(nil), records...), End: store.Offset(len(records))}, nil
}

// submitJobs appends jobs at a steady rate, alternating between the two kinds of the grown deployments: 16 short tasks
// of which 10 come first, and two steps of 20 tasks.
func (l *load) submitJobs(ctx context.Context, perSecond float64) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		spec := jobs.Spec{Payload: strings.Repeat("x", 200), Steps: []jobs.Step{
			{Count: 10, Request: jobs.Resources{MilliCPU: 2000, MemoryMB: 500}, Estimate: taskTime},
			{Count: 6, Request: jobs.Resources{MilliCPU: 2000, MemoryMB: 500}, Estimate: taskTime, DependsOn: []int{0}},
		}}
		if i%2 == 1 {
			spec.Steps[0].Count, spec.Steps[1].Count = 20, 20
		}
		value, err := recordcodec.Encode(&jobrecord.Job{Queue: "q", Service: "s", MaxAttempts: 3, CriticalPathFactor: 2,
			ReceivedMS: time.Now().UnixMilli(), Spec: spec})
		if err != nil {
			panic(err) // the record has no values that cannot be encoded
		}
		for _, s := range spec.Steps {
			l.starts.Add(int64(s.Count))
		}
		l.mu.Lock()
		l.append(jobrecord.JobsTopic, []store.Record{{Key: jobrecord.JobKey(jobs.ID(fmt.Sprintf("%016x", i)), "n", 0), Value: value}})
		l.mu.Unlock()
	}
}
