package admission

import (
	"container/list"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cactuswall.example/cactuswall/internal/verdict"
)

// ReasonCallerRateLimit is the reason for refusing a request that exceeds its caller's rate limit.
const ReasonCallerRateLimit = verdict.Reason("caller_rate")

// RateLimit is the rate limit of one caller, summed over all nodes.
type RateLimit struct {
	// PerSecond is the number of requests per second. Zero means no limit.
	PerSecond float64
	// Burst is the number of requests that may arrive at once. Zero means as many as PerSecond allows in one
	// second.
	Burst int
}

// perNode returns the rate and burst that one of the given number of nodes enforces. The burst is at least 1.
func (r RateLimit) perNode(nodes int) (rate.Limit, int) {
	n := float64(max(1, nodes))
	burst := float64(r.Burst)
	if burst == 0 {
		burst = r.PerSecond
	}
	return rate.Limit(r.PerSecond / n), max(1, int(math.Floor(burst/n)))
}

// RateLimiter enforces a rate limit for each pair of caller and service. It tracks a bounded number of pairs
// and evicts the least recently used one when it is full. It is safe for concurrent use.
type RateLimiter struct {
	mu       sync.Mutex
	capacity int
	entries  map[string]*list.Element
	lru      *list.List
}

type callerLimiter struct {
	key     string
	limiter *rate.Limiter
}

// NewRateLimiter returns a RateLimiter that tracks at most capacity pairs of caller and service.
func NewRateLimiter(capacity int) *RateLimiter {
	return &RateLimiter{capacity: capacity, entries: make(map[string]*list.Element), lru: list.New()}
}

// Allow reports whether a request of a caller to a service is within the limit r, and counts it if so. The
// limit is divided evenly among the given number of nodes.
func (c *RateLimiter) Allow(caller, service string, r RateLimit, nodes int, now time.Time) bool {
	if r.PerSecond <= 0 {
		return true
	}
	perSecond, burst := r.perNode(nodes)
	c.mu.Lock()
	defer c.mu.Unlock()
	limiter := c.limiterFor(service+"\x00"+caller, perSecond, burst)
	if limiter.Limit() != perSecond {
		limiter.SetLimitAt(now, perSecond)
	}
	if limiter.Burst() != burst {
		limiter.SetBurstAt(now, burst)
	}
	return limiter.AllowN(now, 1)
}

func (c *RateLimiter) limiterFor(key string, perSecond rate.Limit, burst int) *rate.Limiter {
	if element, known := c.entries[key]; known {
		c.lru.MoveToFront(element)
		return element.Value.(*callerLimiter).limiter
	}
	if c.lru.Len() >= c.capacity {
		oldest := c.lru.Back()
		delete(c.entries, oldest.Value.(*callerLimiter).key)
		c.lru.Remove(oldest)
	}
	entry := &callerLimiter{key: key, limiter: rate.NewLimiter(perSecond, burst)}
	c.entries[key] = c.lru.PushFront(entry)
	return entry.limiter
}
