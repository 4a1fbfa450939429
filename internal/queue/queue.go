// Package queue defines the configuration of queues, services and request limits. It selects the queue of a request, and
// InForce holds the configuration that a node currently uses.
package queue

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Queue is an entry point to which callers submit jobs, with the settings of those jobs.
type Queue struct {
	Name string
	// Host and Prefix select the queue: it receives requests for the host whose path starts with the prefix.
	Host   string
	Prefix string
	// Service is the name of the service whose workers run the queue's tasks.
	Service string
	// Priority orders queues; 0 is the highest. Tasks of queues with priority 0 may preempt those of other queues.
	Priority int
	// MaxAttempts is the maximum number of failed runs of a task.
	MaxAttempts int
	// Stretch and Latency set the time in which a job should finish: Stretch times the estimated duration of its
	// critical path, plus Latency.
	Stretch float64
	Latency time.Duration
	// Timeout is the time limit of a caller's request.
	Timeout time.Duration
	// Advice is set if only an external advice service knows which workers may run a step.
	Advice *Advice
}

// Advice describes the duration of calls to the advice service and the validity of the tickets that it issues. A ticket
// can be sent with a start order; see workercall.Start.
type Advice struct {
	Decide time.Duration // duration of a call, not counting Each
	Each   time.Duration // additional duration for each worker in the call
	Valid  time.Duration // how long a ticket is valid
}

// Service is a pool of workers.
type Service struct {
	Name string
	// GuardsRoom is set if workers reject tasks that exceed their free resources.
	GuardsRoom bool
	// Spare is set for pools whose VMs are powered off.
	Spare bool
	// MaxConnections is the maximum number of connections that a node may open to one worker of the service.
	MaxConnections int
}

// Limits are the limits on the size, in bytes, and the duration of callers' requests. If BodyBytes is 0, nodes use
// their own limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the complete configuration. Match and Queue find nothing until InForce.Put has been called
// with it, because Put builds their index.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits

	byName map[string]*Queue
	byHost map[string][]*Queue
}

// buildIndex builds the lookup tables. For each host, queues with longer prefixes come first.
func (c *Config) buildIndex() {
	c.byName = make(map[string]*Queue, len(c.Queues))
	c.byHost = make(map[string][]*Queue)
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byName[q.Name] = q
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
	for _, queues := range c.byHost {
		sort.SliceStable(queues, func(i, j int) bool { return len(queues[i].Prefix) > len(queues[j].Prefix) })
	}
}

// Match returns the queue with the longest prefix that matches a request, or nil.
func (c *Config) Match(host, path string) *Queue {
	for _, q := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) {
			return q
		}
	}
	return nil
}

// Queue returns the queue with the given name, or nil.
func (c *Config) Queue(name string) *Queue { return c.byName[name] }

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// InForce holds the latest configuration that a node has received. Its version never decreases.
type InForce struct {
	mu      sync.RWMutex
	current *Config
	changed chan struct{}
}

// NewInForce returns an InForce without a configuration.
func NewInForce() *InForce { return &InForce{changed: make(chan struct{})} }

// Put replaces the current configuration if c has a higher version, and reports whether it did.
func (f *InForce) Put(c *Config) bool {
	c.buildIndex()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && c.Version <= f.current.Version {
		return false
	}
	f.current = c
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// Get returns the current configuration, or nil before the first Put. Callers must not modify it.
func (f *InForce) Get() *Config {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.current
}

// Changed returns a channel that is closed when the current configuration is replaced.
func (f *InForce) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}
