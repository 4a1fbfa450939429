// Package admission decides which requests a node sends to endpoints. Each service has a bounded queue that
// respects request deadlines and classes, and a concurrency limit that adapts to the measured latency. Callers
// have rate limits. A request is either admitted with a slot at an endpoint or refused with a reason.
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

// Reasons for which a request is not admitted. A refused request was not sent to any endpoint.
const (
	ReasonQueueFull          = verdict.Reason("queue_full")
	ReasonShed               = verdict.Reason("shed_by_class")            // removed from the full queue for a more important request
	ReasonDeadlineUnmeetable = verdict.Reason("deadline_cannot_be_met")   // refused at once because the expected wait is too long
	ReasonDeadlinePassed     = verdict.Reason("deadline_passed_in_queue") // the deadline passed while the request waited
	ReasonCallerDisconnected = verdict.Reason("caller_gone_in_queue")
	ReasonNoEndpoint         = verdict.Reason("no_endpoint")
)

// redispatchPeriod is the time between two attempts to dispatch waiting requests while no response frees a
// slot.
const redispatchPeriod = 5 * time.Millisecond

// ChooseEndpoint selects an endpoint for a request and takes a slot there. localWait is the expected time in
// this node's queue. The endpoint is nil unless the result is route.Chosen. On route.Busy the request waits; on
// route.None it is refused. ChooseEndpoint is called with the queue locked and must not call the queue.
type ChooseEndpoint func(now time.Time, localWait time.Duration) (*endpoint.Endpoint, route.Result)

// Request describes a request that is to be admitted.
type Request struct {
	Class    manifest.RequestClass
	Deadline time.Time
	Choose   ChooseEndpoint
}

// Queue admits the requests of one service. It is safe for concurrent use.
type Queue struct {
	mu         sync.Mutex
	maxWaiting int
	inFlight   int
	limit      *concurrencyLimit
	waiting    [classCount][]*waiter
	// meanServiceTime is the moving average of the time from sending a request to its complete response.
	meanServiceTime     time.Duration
	redispatchScheduled bool
}

// waiter is a request in the queue. Exactly one decision is sent to decided, unless the request leaves the
// queue before.
type waiter struct {
	request Request
	decided chan decision
}

// decision holds the endpoint of an admitted request, or the reason for which a request was refused.
type decision struct {
	endpoint *endpoint.Endpoint
	refusal  verdict.Reason
}

// classCount is the number of request classes.
const classCount = 3

// classIndex returns the position of a class in the order of importance; the most important class has index 0.
func classIndex(c manifest.RequestClass) int {
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
func NewQueue() *Queue { return &Queue{limit: newConcurrencyLimit()} }

// Configure sets the maximum number of waiting requests and the latency target.
func (q *Queue) Configure(maxWaiting int, latencyTarget time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.maxWaiting = maxWaiting
	q.limit.latencyTarget = latencyTarget
}

// Acquire waits until a request is admitted and returns the endpoint at which it holds a slot. Every error has
// the verdict NotRun.
func (q *Queue) Acquire(ctx context.Context, r Request) (*endpoint.Endpoint, *verdict.Error) {
	w, d, decided := q.admitOrEnqueue(r)
	if !decided {
		d = q.awaitDecision(ctx, w)
	}
	if d.refusal != "" {
		return nil, verdict.New(verdict.NotRun, d.refusal, nil)
	}
	return d.endpoint, nil
}

// TryAcquire admits a request if a slot is free, no request is waiting and the concurrency limit leaves room
// for the least important class. Otherwise it returns nil without waiting. It is used for hedges; the class and
// the deadline of the request are ignored.
func (q *Queue) TryAcquire(r Request) *endpoint.Endpoint {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waitingCount() > 0 || q.inFlight >= q.limit.maxInFlight(classCount-1) {
		return nil
	}
	e, result := r.Choose(time.Now(), 0)
	if result != route.Chosen {
		return nil
	}
	q.inFlight++
	return e
}

// admitOrEnqueue admits or refuses a request immediately and returns the decision and true, or enqueues the
// request and returns its waiter and false.
func (q *Queue) admitOrEnqueue(r Request) (*waiter, decision, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	class := classIndex(r.Class)
	ahead := q.ahead(class)
	wait := q.expectedWait(ahead)
	if ahead == 0 && q.inFlight < q.limit.maxInFlight(class) {
		e, result := r.Choose(now, wait)
		switch result {
		case route.Chosen:
			q.inFlight++
			return nil, decision{endpoint: e}, true
		case route.None:
			return nil, decision{refusal: ReasonNoEndpoint}, true
		}
	}
	if now.Add(wait + q.meanServiceTime).After(r.Deadline) {
		return nil, decision{refusal: ReasonDeadlineUnmeetable}, true
	}
	if q.waitingCount() >= q.maxWaiting && !q.shedLowerClass(class) {
		return nil, decision{refusal: ReasonQueueFull}, true
	}
	w := &waiter{request: r, decided: make(chan decision, 1)}
	q.waiting[class] = append(q.waiting[class], w)
	q.scheduleRedispatch()
	return w, decision{}, false
}

func (q *Queue) awaitDecision(ctx context.Context, w *waiter) decision {
	timer := time.NewTimer(time.Until(w.request.Deadline))
	defer timer.Stop()
	select {
	case d := <-w.decided:
		return d
	case <-timer.C:
		return q.abandonWait(w, ReasonDeadlinePassed)
	case <-ctx.Done():
		return q.abandonWait(w, ReasonCallerDisconnected)
	}
}

// abandonWait removes a request from the queue and returns a refusal with the reason. If the request was
// decided in the meantime, it returns that decision.
func (q *Queue) abandonWait(w *waiter, reason verdict.Reason) decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	class := classIndex(w.request.Class)
	for i, other := range q.waiting[class] {
		if other == w {
			q.waiting[class] = append(q.waiting[class][:i], q.waiting[class][i+1:]...)
			return decision{refusal: reason}
		}
	}
	return <-w.decided
}

// Release ends an admitted request whose slot at the endpoint was already released. took is the time from
// sending the request to its complete response; zero leaves the service time and the concurrency limit
// unchanged.
func (q *Queue) Release(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight--
	if took > 0 {
		q.meanServiceTime += (took - q.meanServiceTime) / serviceTimeSmoothing
		q.limit.observe(time.Now(), took, q.inFlight+1)
	}
	q.dispatch(time.Now())
}

// serviceTimeSmoothing is the divisor by which each sample is weighted in the moving average of the service
// time.
const serviceTimeSmoothing = 16

// dispatch admits waiting requests while slots are free, the most important class first.
func (q *Queue) dispatch(now time.Time) {
	for class := range q.waiting {
		for i := 0; i < len(q.waiting[class]) && q.inFlight < q.limit.maxInFlight(class); {
			w := q.waiting[class][i]
			e, result := w.request.Choose(now, q.expectedWait(q.ahead(class)))
			if result == route.Busy {
				return
			}
			q.waiting[class] = append(q.waiting[class][:i], q.waiting[class][i+1:]...)
			if result == route.None {
				w.decided <- decision{refusal: ReasonNoEndpoint}
				continue
			}
			q.inFlight++
			w.decided <- decision{endpoint: e}
		}
	}
}

// shedLowerClass refuses the newest waiting request of the least important class below class. It reports
// whether there was one.
func (q *Queue) shedLowerClass(class int) bool {
	for c := classCount - 1; c > class; c-- {
		if n := len(q.waiting[c]); n > 0 {
			q.waiting[c][n-1].decided <- decision{refusal: ReasonShed}
			q.waiting[c] = q.waiting[c][:n-1]
			return true
		}
	}
	return false
}

// scheduleRedispatch dispatches waiting requests after redispatchPeriod and repeats this while requests wait,
// because slots also become free without a response: by a larger share, a new endpoint, or the end of the pause
// after an endpoint reported that it had no free slot.
func (q *Queue) scheduleRedispatch() {
	if q.redispatchScheduled {
		return
	}
	q.redispatchScheduled = true
	time.AfterFunc(redispatchPeriod, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.redispatchScheduled = false
		q.dispatch(time.Now())
		if q.waitingCount() > 0 {
			q.scheduleRedispatch()
		}
	})
}

// ahead returns the number of waiting requests that are admitted before a new request of the class.
func (q *Queue) ahead(class int) int {
	n := 0
	for c := 0; c <= class; c++ {
		n += len(q.waiting[c])
	}
	return n
}

func (q *Queue) waitingCount() int { return q.ahead(classCount - 1) }

// expectedWait returns how long a request with the given number of requests ahead of it is expected to wait.
func (q *Queue) expectedWait(ahead int) time.Duration {
	return time.Duration(ahead) * q.meanServiceTime / time.Duration(max(1, q.inFlight))
}

// State is a snapshot of a queue.
type State struct {
	Waiting          int
	InFlight         int
	ConcurrencyLimit int
	// MeanServiceTime is the moving average of the time from sending a request to its complete response, or zero
	// if nothing was measured yet.
	MeanServiceTime time.Duration
}

// State returns a snapshot of the queue.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return State{Waiting: q.waitingCount(), InFlight: q.inFlight, ConcurrencyLimit: int(q.limit.value), MeanServiceTime: q.meanServiceTime}
}
