package admission

import (
	"container/list"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cactuswall.example/cactuswall/internal/verdict"
)

// ReasonCallerRate refuses a request beyond its caller's rate limit.
const ReasonCallerRate = verdict.Reason("caller_rate")

// Rate is a caller's rate limit over all nodes together.
type Rate struct {
	// PerSecond is the number of requests a second. Zero means no limit.
	PerSecond float64
	// Burst is the number of requests at once. Zero means one second's worth.
	Burst int
}

// part returns the rate that falls to each of a number of nodes.
func (r Rate) part(nodes int) (rate.Limit, int) {
	n := float64(max(1, nodes))
	burst := float64(r.Burst)
	if burst == 0 {
		burst = r.PerSecond
	}
	return rate.Limit(r.PerSecond / n), max(1, int(math.Floor(burst/n)))
}

// Callers holds the rate limits of callers. Its size is bounded: the caller that was idle longest goes
// first. It is safe for concurrent use.
type Callers struct {
	mu    sync.Mutex
	size  int
	rows  map[string]*list.Element
	order *list.List
}

type callerRow struct {
	key     string
	limiter *rate.Limiter
}

// NewCallers returns limits for at most size callers.
func NewCallers(size int) *Callers {
	return &Callers{size: size, rows: make(map[string]*list.Element), order: list.New()}
}

// Allow takes one request of a caller into account and reports whether it is within the limit. nodes is
// the number of nodes that the limit is divided over.
func (c *Callers) Allow(caller, service string, r Rate, nodes int, now time.Time) bool {
	if r.PerSecond <= 0 {
		return true
	}
	perSecond, burst := r.part(nodes)
	c.mu.Lock()
	defer c.mu.Unlock()
	limiter := c.limiter(service+"\x00"+caller, perSecond, burst)
	if limiter.Limit() != perSecond {
		limiter.SetLimitAt(now, perSecond)
	}
	if limiter.Burst() != burst {
		limiter.SetBurstAt(now, burst)
	}
	return limiter.AllowN(now, 1)
}

func (c *Callers) limiter(key string, perSecond rate.Limit, burst int) *rate.Limiter {
	if element, known := c.rows[key]; known {
		c.order.MoveToFront(element)
		return element.Value.(*callerRow).limiter
	}
	if c.order.Len() >= c.size {
		oldest := c.order.Back()
		delete(c.rows, oldest.Value.(*callerRow).key)
		c.order.Remove(oldest)
	}
	row := &callerRow{key: key, limiter: rate.NewLimiter(perSecond, burst)}
	c.rows[key] = c.order.PushFront(row)
	return row.limiter
}
