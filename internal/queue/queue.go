// Package queue holds the configuration of queues that is in force on a node.
package queue

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Queue is where callers hand in jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix select the queue: a request for the host whose path begins with the prefix.
	Host   string
	Prefix string
	// Service names the workers that run the queue's tasks.
	Service string
	// Priority orders queues; 0 comes first and may preempt others.
	Priority int
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int
	// Stretch times the longest chain of work, and Latency more, is the time in which a job should be done.
	Stretch float64
	Latency time.Duration
	// Timeout bounds a caller's request.
	Timeout time.Duration
	// Advice is set where only a service that gives advice knows which workers may run a step.
	Advice *Advice
}

// Advice describes the cost of asking for advice.
type Advice struct {
	Decide time.Duration // each call takes this long
	Each   time.Duration // and this much more for each worker named
	Valid  time.Duration // for how long a ticket may be used
}

// Service is a pool of workers.
type Service struct {
	Name string
	// GuardsRoom is set where workers refuse what does not fit.
	GuardsRoom bool
	// Spare is set for pools whose VMs are off.
	Spare bool
	// MaxConnections bounds the connections to one worker.
	MaxConnections int
}

// Limits bound callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the whole configuration.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits

	byName map[string]*Queue
	byHost map[string][]*Queue
}

// index makes the lookups; longer prefixes come first.
func (c *Config) index() {
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

// Match returns the queue that a request is for, or nil.
func (c *Config) Match(host, path string) *Queue {
	for _, q := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) {
			return q
		}
	}
	return nil
}

// Queue returns the queue with that name, or nil.
func (c *Config) Queue(name string) *Queue { return c.byName[name] }

// Service returns the service with that name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// InForce holds the newest configuration that a node has seen. Versions only rise.
type InForce struct {
	mu      sync.RWMutex
	current *Config
	changed chan struct{}
}

// NewInForce returns a holder without a configuration.
func NewInForce() *InForce { return &InForce{changed: make(chan struct{})} }

// Put takes a configuration in when it is newer than the one in force, and tells whether it was.
func (f *InForce) Put(c *Config) bool {
	c.index()
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

// Get returns the configuration in force, or nil before the first one. It is not to be changed.
func (f *InForce) Get() *Config {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.current
}

// Changed returns a channel that is closed when the next configuration comes into force.
func (f *InForce) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}
