// Package queue defines the configuration of queues, services and request limits. It selects the queue of a request, and
// ActiveConfig holds the configuration that a node currently uses.
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
	// CriticalPathFactor and DeadlineSlack set the time in which a job should finish: CriticalPathFactor times the
	// estimated duration of its critical path, plus DeadlineSlack.
	CriticalPathFactor float64
	DeadlineSlack      time.Duration
	// Timeout is the time limit of a caller's request.
	Timeout time.Duration
	// Advice is set if only an external advice service knows which workers may run a step.
	Advice *AdviceCost
}

// AdviceCost describes the duration of calls to the advice service and the validity of the tickets that it issues. A
// ticket can be sent with a start order; see workercall.Start.
type AdviceCost struct {
	PerCall        time.Duration // duration of a call, not counting PerWorker
	PerWorker      time.Duration // additional duration for each worker in the call
	TicketLifetime time.Duration // how long a ticket is valid
}

// Service is a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity is set if workers reject tasks that exceed their free resources.
	EnforcesCapacity bool
	// PoweredOff is set for pools whose VMs are powered off.
	PoweredOff bool
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

// Config is one version of the complete configuration. Match and Queue find nothing until ActiveConfig.Update has been
// called with it, because Update builds their index.
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

// ActiveConfig holds the latest configuration that a node has received. Its version never decreases.
type ActiveConfig struct {
	mu      sync.RWMutex
	current *Config
	changed chan struct{}
}

// NewActiveConfig returns an ActiveConfig without a configuration.
func NewActiveConfig() *ActiveConfig { return &ActiveConfig{changed: make(chan struct{})} }

// Update replaces the current configuration if c has a higher version, and reports whether it did.
func (a *ActiveConfig) Update(c *Config) bool {
	c.buildIndex()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && c.Version <= a.current.Version {
		return false
	}
	a.current = c
	close(a.changed)
	a.changed = make(chan struct{})
	return true
}

// Get returns the current configuration, or nil before the first Update. Callers must not modify it.
func (a *ActiveConfig) Get() *Config {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.current
}

// Changed returns a channel that is closed when the current configuration is replaced.
func (a *ActiveConfig) Changed() <-chan struct{} {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.changed
}
