// Package admission decides which requests a node takes on: a bounded queue with deadlines and classes
// for each service, a concurrency limit that follows measured latency, and rate limits for callers.
package admission

import (
	"context"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Reasons for which a request is not admitted. Nothing of the request has run then.
const (
	ReasonQueueFull  = verdict.Reason("queue_full")
	ReasonShed       = verdict.Reason("shed_by_class")
	ReasonNoTime     = verdict.Reason("deadline_cannot_be_met")
	ReasonWaitedOut  = verdict.Reason("deadline_passed_in_queue")
	ReasonCallerGone = verdict.Reason("caller_gone_in_queue")
	ReasonNoEndpoint = verdict.Reason("no_endpoint")
)

// nudgePeriod is how often waiting requests are tried again when no answer has freed a slot.
const nudgePeriod = 5 * time.Millisecond

// Choose tries to take a slot for a request. localWait is the wait that the queue expects.
type Choose func(now time.Time, localWait time.Duration) (*endpoint.Endpoint, route.Result)

// Request is one request that asks for admission.
type Request struct {
	Class    manifest.RequestClass
	Deadline time.Time
	Choose   Choose
}

// Queue admits the requests of one service. It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	length   int
	inFlight int
	limit    *limit
	waiting  [classes][]*waiter
	// service is the smoothed time that an admitted request takes.
	service time.Duration
	nudging bool
}

// waiter is one request in the queue. granted gets its end, once.
type waiter struct {
	request Request
	granted chan grant
}

type grant struct {
	endpoint *endpoint.Endpoint
	refusal  verdict.Reason
}

// classes is the number of request classes.
const classes = 3

// rank orders classes, the most important first.
func rank(c manifest.RequestClass) int {
	switch c {
	case manifest.Critical:
		return 0
	case manifest.Sheddable:
		return 2
	default:
		return 1
	}
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{limit: newLimit()} }

// Configure sets the number of requests that may wait and the answer time that is wanted.
func (q *Queue) Configure(length int, latencyTarget time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.length = length
	q.limit.target = latencyTarget
}

// Acquire admits a request and returns the endpoint at which it has a slot. Every error is NotRun.
func (q *Queue) Acquire(ctx context.Context, r Request) (*endpoint.Endpoint, *verdict.Error) {
	w, g, settled := q.enter(r)
	if !settled {
		g = q.wait(ctx, w)
	}
	if g.refusal != "" {
		return nil, verdict.New(verdict.NotRun, g.refusal, nil)
	}
	return g.endpoint, nil
}

// TryAcquire admits a request that can have a slot at once and would not delay another one. It returns nil
// otherwise.
func (q *Queue) TryAcquire(r Request) *endpoint.Endpoint {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waitingCount() > 0 || q.inFlight >= q.limit.allowed(classes-1) {
		return nil
	}
	e, result := r.Choose(time.Now(), 0)
	if result != route.Chosen {
		return nil
	}
	q.inFlight++
	return e
}

// enter admits or refuses a request at once, or puts it into the queue.
func (q *Queue) enter(r Request) (*waiter, grant, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	class := rank(r.Class)
	ahead := q.ahead(class)
	wait := q.expectedWait(ahead)
	if ahead == 0 && q.inFlight < q.limit.allowed(class) {
		e, result := r.Choose(now, wait)
		switch result {
		case route.Chosen:
			q.inFlight++
			return nil, grant{endpoint: e}, true
		case route.None:
			return nil, grant{refusal: ReasonNoEndpoint}, true
		}
	}
	if now.Add(wait + q.service).After(r.Deadline) {
		return nil, grant{refusal: ReasonNoTime}, true
	}
	if q.waitingCount() >= q.length && !q.shedBelow(class) {
		return nil, grant{refusal: ReasonQueueFull}, true
	}
	w := &waiter{request: r, granted: make(chan grant, 1)}
	q.waiting[class] = append(q.waiting[class], w)
	q.nudgeLater()
	return w, grant{}, false
}

func (q *Queue) wait(ctx context.Context, w *waiter) grant {
	timer := time.NewTimer(time.Until(w.request.Deadline))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g
	case <-timer.C:
		return q.leave(w, ReasonWaitedOut)
	case <-ctx.Done():
		return q.leave(w, ReasonCallerGone)
	}
}

// leave takes a request out of the queue, unless it was granted in the meantime.
func (q *Queue) leave(w *waiter, reason verdict.Reason) grant {
	q.mu.Lock()
	defer q.mu.Unlock()
	class := rank(w.request.Class)
	for i, other := range q.waiting[class] {
		if other == w {
			q.waiting[class] = append(q.waiting[class][:i], q.waiting[class][i+1:]...)
			return grant{refusal: reason}
		}
	}
	return <-w.granted
}

// Release ends an admitted request after its slot was given back. took is the time from sending to the
// whole answer; zero leaves the measures as they are.
func (q *Queue) Release(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight--
	if took > 0 {
		q.service += (took - q.service) / serviceSmoothing
		q.limit.observe(time.Now(), took, q.inFlight+1)
	}
	q.dispatch(time.Now())
}

// serviceSmoothing is the divisor of the smoothed service time.
const serviceSmoothing = 16

// dispatch gives free slots to waiting requests, the most important class first.
func (q *Queue) dispatch(now time.Time) {
	for class := range q.waiting {
		for i := 0; i < len(q.waiting[class]) && q.inFlight < q.limit.allowed(class); {
			w := q.waiting[class][i]
			e, result := w.request.Choose(now, q.expectedWait(q.ahead(class)))
			if result == route.Busy {
				return
			}
			q.waiting[class] = append(q.waiting[class][:i], q.waiting[class][i+1:]...)
			if result == route.None {
				w.granted <- grant{refusal: ReasonNoEndpoint}
				continue
			}
			q.inFlight++
			w.granted <- grant{endpoint: e}
		}
	}
}

// shedBelow refuses the newest waiting request of the least important class below class.
func (q *Queue) shedBelow(class int) bool {
	for c := classes - 1; c > class; c-- {
		if n := len(q.waiting[c]); n > 0 {
			q.waiting[c][n-1].granted <- grant{refusal: ReasonShed}
			q.waiting[c] = q.waiting[c][:n-1]
			return true
		}
	}
	return false
}

// nudgeLater tries the waiting requests again after a while, since slots also come free without an
// answer: by a new share, a new endpoint or the end of a pause.
func (q *Queue) nudgeLater() {
	if q.nudging {
		return
	}
	q.nudging = true
	time.AfterFunc(nudgePeriod, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.nudging = false
		q.dispatch(time.Now())
		if q.waitingCount() > 0 {
			q.nudgeLater()
		}
	})
}

// ahead returns the waiting requests that are served before a new one of the class.
func (q *Queue) ahead(class int) int {
	n := 0
	for c := 0; c <= class; c++ {
		n += len(q.waiting[c])
	}
	return n
}

func (q *Queue) waitingCount() int { return q.ahead(classes - 1) }

// expectedWait returns how long a request with so many ahead of it waits.
func (q *Queue) expectedWait(ahead int) time.Duration {
	return time.Duration(ahead) * q.service / time.Duration(max(1, q.inFlight))
}

// State is a copy of the queue's measures.
type State struct {
	Waiting  int
	InFlight int
	Limit    int
	// Service is the smoothed time that an admitted request takes, or zero.
	Service time.Duration
}

// State returns the queue's measures.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return State{Waiting: q.waitingCount(), InFlight: q.inFlight, Limit: int(q.limit.value), Service: q.service}
}
