package httpintake

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/intake"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Reasons for which a body is not read. All have the verdict NotRun, and their response is a 503.
const (
	ReasonTooManyWaiting = verdict.Reason("bodies_waiting_full")
	ReasonWaitedTooLong  = verdict.Reason("body_waited_too_long")
	ReasonStalled        = verdict.Reason("body_stalled")
	ReasonStopping       = verdict.Reason("bodies_stopped")
)

var reasons = map[intake.Refusal]verdict.Reason{
	intake.TooManyWaiting: ReasonTooManyWaiting, intake.WaitedTooLong: ReasonWaitedTooLong, intake.MadeNoProgress: ReasonStalled, intake.Stopped: ReasonStopping,
}

// RefusedError is the error of a body that is not read for want of memory.
type RefusedError struct{ Reason verdict.Reason }

// Error implements error.
func (e *RefusedError) Error() string { return "the body was not read: " + string(e.Reason) }

// ErrTooLarge is the error of a body above its limit.
var ErrTooLarge = errors.New("the body exceeds its limit")

const (
	// RequestBytes is what each request with a body is charged in addition to its body: buffers, headers and stacks.
	RequestBytes = 4 << 10
	// readBytes is the size of the reads of a body.
	readBytes = 16 << 10
	// minSettleDelay is the shortest time between two decisions that nothing but time has caused.
	minSettleDelay = 10 * time.Millisecond
)

const (
	// SmallBodyBytes is the size up to which a body counts as small.
	SmallBodyBytes = 16 << 10
	// StallTime is how long a caller may be without progress before it gives way to others, if there is no room for all. It is
	// above the time to send a lost packet again, which is 200 ms at first, and above the time for which a process that lacks
	// processor time does not read: with 250 ms, one of 2,000 ordinary bodies was interrupted in a trial with 400 callers at once.
	StallTime = 500 * time.Millisecond
	// progressBytes is what counts as progress within StallTime: 16 KB a second.
	progressBytes = 8 << 10
	// maxBodyWait is how long a body waits for memory. Callers wait 3 s for a response, and reading and storing a body takes some
	// milliseconds, so a burst of large bodies is served as long as that helps.
	maxBodyWait = 2 * time.Second
)

// Budget returns the limits on bodies that may use a number of bytes, of at most maxWaiting requests that wait.
func Budget(bytes int64, maxWaiting int) intake.BudgetLimits {
	return intake.BudgetLimits{
		Bytes: bytes, SmallBytes: SmallBodyBytes + 1 + RequestBytes, Stall: StallTime, ProgressBytes: progressBytes,
		MaxWait: maxBodyWait, MaxWaiting: maxWaiting,
	}
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Gate bounds the memory that the bodies of requests use.
type Gate struct {
	mu      sync.Mutex
	budget  *intake.Budget
	waiters map[*intake.Request]chan struct{}
	timer   *time.Timer // nil while no decision depends on time
	timerAt time.Duration
}

// NewGate returns a Gate.
func NewGate(limits intake.BudgetLimits) *Gate {
	return &Gate{budget: intake.NewBudget(limits), waiters: make(map[*intake.Request]chan struct{})}
}

// Usage is what requests use of a Gate.
type Usage struct {
	Bytes, Limit int64
	Waiting      int
}

// Usage returns the current usage.
func (g *Gate) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{Bytes: g.budget.Used(), Limit: g.budget.Limit(), Waiting: g.budget.WaitingCount()}
}

// Stop has bodies that would have to wait refused, and those that stall interrupted.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Stop()
	g.settle()
}

// Hold is the memory that a request uses. The zero value is none.
type Hold struct {
	gate    *Gate
	request *intake.Request
}

// Release ends the use.
func (h Hold) Release() {
	if h.gate == nil {
		return
	}
	h.gate.mu.Lock()
	defer h.gate.mu.Unlock()
	h.gate.budget.Release(h.request)
	delete(h.gate.waiters, h.request)
	h.gate.settle()
}

// Shrink reduces the use to a number of bytes in addition to RequestBytes, if that is less.
func (h Hold) Shrink(size int) {
	if h.gate == nil {
		return
	}
	h.gate.mu.Lock()
	defer h.gate.mu.Unlock()
	h.gate.budget.Shrink(h.request, int64(size)+RequestBytes)
	h.gate.settle()
}

// ReadBody reads the body of a request of at most limit bytes. It waits until there is memory for the body before it reads any
// of it. The error is ErrTooLarge, a RefusedError, or that of reading; the rest of the body is not read then, and the response
// must say that the connection will be closed. The Hold must be released in any case, once the body is not used any more.
func (g *Gate) ReadBody(r *http.Request, limit int64) ([]byte, Hold, error) {
	c := connOf(r)
	body, hold, err := g.readBody(r, c, limit)
	if err != nil && c != nil {
		// Otherwise net/http would go on reading the body, to use the connection again.
		_ = c.SetReadDeadline(past) // it fails if the connection is closed
	}
	return body, hold, err
}

func (g *Gate) readBody(r *http.Request, c *conn, limit int64) ([]byte, Hold, error) {
	switch {
	case r.ContentLength == 0:
		return nil, Hold{}, nil
	case r.ContentLength > limit:
		return nil, Hold{}, ErrTooLarge
	}
	if r.ContentLength > 0 {
		hold, err := g.acquire(r, c, r.ContentLength+RequestBytes)
		if err != nil {
			return nil, hold, err
		}
		body, ended, err := hold.fill(r, c, make([]byte, 0, r.ContentLength))
		if ended && int64(len(body)) < r.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return hold.complete(c, body, err)
	}
	return g.readUnannounced(r, c, limit)
}

// readUnannounced reads a body without a length. Most are small, so it is charged as a small one until it turns out to be large,
// and then as one of the limit.
func (g *Gate) readUnannounced(r *http.Request, c *conn, limit int64) ([]byte, Hold, error) {
	size := min(limit, SmallBodyBytes) + 1 // one byte more tells a body of that size from a larger one
	hold, err := g.acquire(r, c, size+RequestBytes)
	if err != nil {
		return nil, hold, err
	}
	body, ended, err := hold.fill(r, c, make([]byte, 0, size))
	if err == nil && !ended && size <= limit {
		if _, hold, err = hold.complete(c, body, nil); err != nil {
			return nil, hold, err
		}
		first := hold
		hold, err = g.acquire(r, c, limit+1+RequestBytes)
		first.Release()
		if err != nil {
			return nil, hold, err
		}
		for !ended && err == nil && int64(len(body)) <= limit {
			body = append(make([]byte, 0, min(2*int64(cap(body)), limit+1)), body...)
			body, ended, err = hold.fill(r, c, body)
		}
	}
	if err == nil && int64(len(body)) > limit {
		err = ErrTooLarge
	}
	return hold.complete(c, body, err)
}

// complete ends the reading of a body with err. The body is not interrupted any more.
func (h Hold) complete(c *conn, body []byte, err error) ([]byte, Hold, error) {
	if c != nil && err == nil {
		c.serve()
	}
	h.gate.mu.Lock()
	defer h.gate.mu.Unlock()
	switch {
	case h.request.State() == intake.Interrupted:
		return nil, h, &RefusedError{Reason: reasons[h.request.Refusal()]}
	case err != nil:
		return nil, h, err
	}
	h.gate.budget.Complete(h.request, int64(len(body))+RequestBytes)
	h.gate.settle()
	return body, h, nil
}

// fill reads until body has its capacity or the body of the request has ended, and notes progress.
func (h Hold) fill(r *http.Request, c *conn, body []byte) (filled []byte, ended bool, err error) {
	if c != nil {
		c.awaitCaller()
	}
	for len(body) < cap(body) {
		n, err := r.Body.Read(body[len(body):min(cap(body), len(body)+readBytes)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		if len(body) < cap(body) {
			h.progress(c, n)
		}
	}
	return body, false, nil
}

// progress notes that n bytes more were read.
func (h Hold) progress(c *conn, n int) {
	h.gate.mu.Lock()
	marked := h.gate.budget.Progress(h.request, now(), int64(n))
	h.gate.mu.Unlock()
	if marked && c != nil {
		c.awaitCaller()
	}
}

// acquire waits until there is memory for a request.
func (g *Gate) acquire(r *http.Request, c *conn, size int64) (Hold, error) {
	caller := ""
	if c != nil {
		caller = c.caller
	} else if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		caller = host
	}
	g.mu.Lock()
	hold := Hold{gate: g, request: g.budget.Arrive(now(), caller, size)}
	hold.request.User = c
	if hold.request.State() != intake.Waiting {
		g.settle() // once the gate is stopped, the body may stall without others that wait
		err := hold.refusal()
		g.mu.Unlock()
		return hold, err
	}
	if c != nil {
		c.serve() // it is not the caller that makes no progress
	}
	decided := make(chan struct{})
	g.waiters[hold.request] = decided
	g.settle()
	g.mu.Unlock()
	<-decided // at the latest after BudgetLimits.MaxWait
	g.mu.Lock()
	defer g.mu.Unlock()
	return hold, hold.refusal()
}

// refusal returns the error of a request that was refused. The caller holds mu.
func (h Hold) refusal() error {
	if h.request.State() == intake.Refused {
		return &RefusedError{Reason: reasons[h.request.Refusal()]}
	}
	return nil
}

// settle has the budget decide, carries the decisions out and sets the timer for the next one. The caller holds mu.
func (g *Gate) settle() {
	if _, needed := g.budget.Due(); !needed {
		return // no request waits
	}
	changes := g.budget.Settle(now())
	for _, requests := range [][]*intake.Request{changes.Granted, changes.Refused} {
		for _, request := range requests {
			close(g.waiters[request])
			delete(g.waiters, request)
		}
	}
	for _, request := range changes.Interrupted {
		if c, _ := request.User.(*conn); c != nil {
			_ = c.SetReadDeadline(past) // it fails if the connection is closed
		}
	}
	due, needed := g.budget.Due()
	if !needed {
		return
	}
	delay := max(due-now(), minSettleDelay)
	at := now() + delay
	if g.timer != nil {
		if g.timerAt <= at {
			return
		}
		g.timer.Stop() // if it has fired, its call finds nothing to do
	}
	g.timerAt = at
	g.timer = time.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.timer = nil
		g.settle()
	})
}

// Limit returns a handler that reads the bodies of requests through the gate before it calls next. refused is called with the
// reason of each refusal.
func (g *Gate) Limit(next http.Handler, limit int64, refused func(verdict.Reason)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, hold, err := g.ReadBody(r, limit)
		defer hold.Release()
		if err == nil {
			r.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(w, r)
			return
		}
		status := http.StatusBadRequest
		var refusal *RefusedError
		switch {
		case errors.As(err, &refusal):
			refused(refusal.Reason)
			w.Header().Set("Retry-After", "1")
			status = http.StatusServiceUnavailable
		case errors.Is(err, ErrTooLarge):
			status = http.StatusRequestEntityTooLarge
		}
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), status)
	})
}
