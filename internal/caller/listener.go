package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/eventstream"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// lastEventID is the header that resumes a stream after an event.
	lastEventID = "Last-Event-Id"
	// moveCheckPeriod is how often a listener looks whether it has to move.
	moveCheckPeriod = 500 * time.Millisecond
	// maxMoves bounds the endpoints that are tried in a row without an event in between.
	maxMoves = 5
	// movePause is the time between two tries to reach another endpoint.
	movePause = 200 * time.Millisecond
)

// errMove ends the stream of an endpoint from which a listener has to move.
var errMove = errors.New("the listener moves to another endpoint")

// listener is one open stream of events towards a caller.
type listener struct {
	h       *Handler
	request *request
	w       http.ResponseWriter

	// mu orders events and heartbeats.
	mu      sync.Mutex
	wroteAt time.Time
	begun   bool
	lastID  string
}

// serveListener answers a listener until it, its endpoints or the node end.
func (h *Handler) serveListener(w http.ResponseWriter, r *request) {
	release, refusal := h.admitListener(r)
	defer release()
	if refusal != nil {
		h.refuse(w, refusal)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	l := &listener{h: h, request: r, w: w, lastID: r.Header.Get(lastEventID), wroteAt: time.Now()}
	go l.heartbeats(ctx, cancel)
	failure := l.run(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if failure != nil && !l.begun {
		h.refuse(w, failure)
		return
	}
	if failure != nil {
		h.count("cactuswall_listeners_ended_total", failure.Reason)
		panic(http.ErrAbortHandler)
	}
}

// admitListener counts a listener against the bounds of the node and of the service.
func (h *Handler) admitListener(r *request) (release func(), refusal *verdict.Error) {
	release = func() {
		h.listeners.Add(-1)
		r.state.listeners.Add(-1)
	}
	all, own := h.listeners.Add(1), r.state.listeners.Add(1)
	bound := r.service.Limits.Listeners
	if all > int64(h.limits.MaxListeners) || (bound > 0 && own > int64(bound)) {
		return release, verdict.New(verdict.NotRun, ReasonListeners, nil)
	}
	return release, nil
}

// run streams from one endpoint after another. It returns nil when the stream ends between two events and
// the caller can resume it.
func (l *listener) run(ctx context.Context) *verdict.Error {
	for moves := 0; moves < maxMoves; moves++ {
		id := l.lastID
		again, failure := l.stream(ctx)
		if !again {
			return failure
		}
		l.h.count("cactuswall_retries_total", reasonListenerMoved)
		if l.lastID != id {
			moves = 0
		}
		select {
		case <-ctx.Done():
			return verdict.New(verdict.Ran, ReasonCallerGone, ctx.Err())
		case <-l.h.stopped:
			return nil
		case <-time.After(movePause):
		}
	}
	return verdict.New(verdict.NotRun, ReasonNoListenerPlace, nil)
}

// stream connects to one endpoint and passes its events on. again is true when the listener may go on at
// another endpoint.
func (l *listener) stream(ctx context.Context) (again bool, failure *verdict.Error) {
	e := l.choose()
	if e == nil {
		return true, nil
	}
	defer e.EndListen()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go l.watch(ctx, e, cancel)
	req := outgoing(ctx, l.request, e.Address)
	req.Header.Del(DeadlineHeader)
	if l.lastID != "" {
		req.Header.Set(lastEventID, l.lastID)
	}
	resp, err := endpoint.Send(l.h.transport, req, e)
	if err != nil {
		return l.notStreaming(e, verdict.From(err))
	}
	defer func() { _ = resp.Body.Close() }()
	if !eventstream.Is(resp) {
		return false, l.passPlain(resp)
	}
	l.begin(resp)
	err = l.pump(eventstream.NewReader(resp.Body))
	return l.afterStream(err)
}

func (l *listener) notStreaming(e *endpoint.Endpoint, failure *verdict.Error) (bool, *verdict.Error) {
	if failure.Reason == endpoint.ReasonLeaving {
		e.MarkLeaving()
	}
	l.request.tried[e] = true
	return l.request.Context().Err() == nil, failure
}

// afterStream decides how to go on after the stream of an endpoint has ended.
func (l *listener) afterStream(err error) (bool, *verdict.Error) {
	select {
	case <-l.h.stopped:
		l.sayRetry()
		return false, nil
	default:
	}
	var slow *slowReader
	switch {
	case l.request.Context().Err() != nil:
		return false, verdict.New(verdict.Ran, ReasonCallerGone, err)
	case errors.As(err, &slow):
		return false, verdict.New(verdict.Ran, ReasonSlowListener, err)
	case errors.Is(err, eventstream.ErrTooLong):
		return false, verdict.New(verdict.Ran, ReasonLongEvent, err)
	case l.lastID == "":
		return false, verdict.New(verdict.Ran, ReasonCannotResume, err)
	default:
		return true, nil
	}
}

// choose takes a connection at the endpoint with the fewest listeners, the own failure domain first.
func (l *listener) choose() *endpoint.Endpoint {
	own := ""
	if a, ok := l.h.chooser.(route.Adaptive); ok {
		own = a.FailureDomain
	}
	refused := make(map[*endpoint.Endpoint]bool)
	for {
		var best *endpoint.Endpoint
		all := l.h.directory.Of(l.request.service.Name)
		first := rand.IntN(max(1, len(all)))
		for i := range all {
			e := all[(first+i)%len(all)]
			if e.Leaving() || refused[e] || l.request.tried[e] {
				continue
			}
			if best == nil || better(e, best, own) {
				best = e
			}
		}
		if best == nil || best.TryListen() {
			return best
		}
		refused[best] = true
	}
}

func better(a, b *endpoint.Endpoint, own string) bool {
	if aOwn, bOwn := a.FailureDomain == own, b.FailureDomain == own; aOwn != bOwn {
		return aOwn
	}
	return a.Listeners() < b.Listeners()
}

// watch ends the stream of an endpoint that is leaving or has too many listeners, and at a planned stop.
func (l *listener) watch(ctx context.Context, e *endpoint.Endpoint, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(moveCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.h.stopped:
			cancel(errMove)
			return
		case <-ticker.C:
			if e.Leaving() || e.Connections() > e.ConnectionLimit() {
				cancel(errMove)
				return
			}
		}
	}
}

// begin writes the header once.
func (l *listener) begin(resp *http.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.begun {
		return
	}
	copyHeader(l.w.Header(), resp.Header)
	l.w.Header().Del("Content-Length")
	l.h.limitWrite(l.w)
	l.w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(l.w).Flush()
	l.begun = true
}

// pump passes whole events on until the stream ends.
func (l *listener) pump(events *eventstream.Reader) error {
	for first := true; ; first = false {
		event, err := events.Next()
		if err != nil {
			return err
		}
		if first && event.HasID && event.ID == l.lastID && l.lastID != "" {
			continue
		}
		if err := l.write(event.Raw); err != nil {
			return &slowReader{err}
		}
		if event.HasID {
			l.lastID = event.ID
		}
	}
}

// slowReader is the failure to write to a caller.
type slowReader struct{ err error }

// Error implements error.
func (s *slowReader) Error() string { return "cannot write to the listener: " + s.err.Error() }

// write writes whole lines to the caller.
func (l *listener) write(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h.limitWrite(l.w)
	if _, err := l.w.Write(data); err != nil {
		return err
	}
	l.wroteAt = time.Now()
	return http.NewResponseController(l.w).Flush()
}

// heartbeats writes a comment whenever the stream was silent for a period, until ctx ends.
func (l *listener) heartbeats(ctx context.Context, cancel context.CancelFunc) {
	period := l.h.limits.ListenerHeartbeat.Std()
	timer := time.NewTimer(period)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		l.mu.Lock()
		silence, begun := time.Since(l.wroteAt), l.begun
		l.mu.Unlock()
		if begun && silence >= period {
			if l.write([]byte(": heartbeat\n\n")) != nil {
				cancel()
				return
			}
			silence = 0
		}
		timer.Reset(period - min(silence, period-time.Millisecond))
	}
}

// maxReconnect bounds the time over which the listeners of a stopping node come back.
const maxReconnect = 2 * time.Second

// sayRetry tells the caller when to reconnect, spread over a time so that not all come at once.
func (l *listener) sayRetry() {
	spread := time.Now().UnixNano() % int64(maxReconnect)
	wait := time.Duration(spread).Milliseconds()
	_ = l.write([]byte("retry: " + strconv.FormatInt(wait, 10) + "\n\n"))
}

// passPlain passes an answer on that is no stream of events.
func (l *listener) passPlain(resp *http.Response) *verdict.Error {
	l.mu.Lock()
	begun := l.begun
	l.mu.Unlock()
	if begun {
		return verdict.New(verdict.Ran, ReasonRefusedOnMove, nil)
	}
	a, failure := l.h.readAnswer(l.request.Request, resp, func(endpoint.Outcome) {})
	if failure == nil {
		l.h.pass(l.request.Context(), l.w, l.request, a)
	}
	return failure
}
