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
	// lastEventIDHeader is the name of the header by which a caller resumes a stream after the event with the
	// given ID.
	lastEventIDHeader = "Last-Event-Id"
	// moveCheckPeriod is how often to check whether a listener has to move to another endpoint.
	moveCheckPeriod = 500 * time.Millisecond
	// maxMoves is the maximum number of consecutive attempts to connect to an endpoint, counted from the latest
	// one that delivered an event with a new ID. An attempt that finds no free endpoint counts too.
	maxMoves = 5
	// moveDelay is the time before each attempt to connect to another endpoint.
	moveDelay = 200 * time.Millisecond
)

// errMove is the cause with which the stream of an endpoint is cancelled when its listener has to move.
var errMove = errors.New("the listener is moved to another endpoint")

// listener is an open stream of server-sent events to a caller. When the endpoint of the stream is leaving or
// the stream breaks, the listener resumes it at another endpoint.
type listener struct {
	h       *Handler
	request *request
	w       http.ResponseWriter

	// mu serialises the writes of events and heartbeats.
	mu            sync.Mutex
	lastWrite     time.Time
	headerWritten bool
	lastID        string
}

// serveListener serves a listener until the caller disconnects, no endpoint continues the stream, or the node
// stops.
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
	l := &listener{h: h, request: r, w: w, lastID: r.Header.Get(lastEventIDHeader), lastWrite: time.Now()}
	go l.sendHeartbeats(ctx, cancel)
	failure := l.run(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if failure != nil && !l.headerWritten {
		h.refuse(w, failure)
		return
	}
	if failure != nil {
		h.count("cactuswall_listeners_ended_total", failure.Reason)
		panic(http.ErrAbortHandler)
	}
}

// admitListener counts a listener and refuses it if it exceeds the limit of the node or of the service. release
// must be called also after a refusal.
func (h *Handler) admitListener(r *request) (release func(), refusal *verdict.Error) {
	release = func() {
		h.listeners.Add(-1)
		r.state.listeners.Add(-1)
	}
	total, ofService := h.listeners.Add(1), r.state.listeners.Add(1)
	limit := r.service.Limits.Listeners
	if total > int64(h.limits.MaxListeners) || (limit > 0 && ofService > int64(limit)) {
		return release, verdict.New(verdict.NotRun, ReasonTooManyListeners, nil)
	}
	return release, nil
}

// run streams events from one endpoint after another. It returns nil if the handler was stopped, which ends the
// stream between two events so that the caller can resume it, or if a response that is not an event stream was
// forwarded.
func (l *listener) run(ctx context.Context) *verdict.Error {
	for moves := 0; moves < maxMoves; moves++ {
		id := l.lastID
		move, failure := l.stream(ctx)
		if !move {
			return failure
		}
		l.h.count("cactuswall_retries_total", reasonListenerMoved)
		if l.lastID != id {
			moves = 0
		}
		select {
		case <-ctx.Done():
			return verdict.New(verdict.Ran, ReasonCallerDisconnected, ctx.Err())
		case <-l.h.stopped:
			return nil
		case <-time.After(moveDelay):
		}
	}
	return verdict.New(verdict.NotRun, ReasonNoEndpointForListener, nil)
}

// stream connects to one endpoint and forwards its events. move is true if the listener may continue at another
// endpoint; failure is then ignored.
func (l *listener) stream(ctx context.Context) (move bool, failure *verdict.Error) {
	e := l.acquireEndpoint()
	if e == nil {
		return true, nil
	}
	defer e.ReleaseListener()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go l.watchEndpoint(ctx, e, cancel)
	req := outgoingRequest(ctx, l.request, e.Address)
	req.Header.Del(DeadlineHeader)
	if l.lastID != "" {
		req.Header.Set(lastEventIDHeader, l.lastID)
	}
	resp, err := endpoint.Send(l.h.transport, req, e)
	if err != nil {
		return l.handleSendFailure(e, verdict.From(err))
	}
	defer func() { _ = resp.Body.Close() }()
	if !eventstream.Is(resp) {
		return false, l.forwardPlainResponse(resp)
	}
	l.writeHeader(resp)
	err = l.forwardEvents(eventstream.NewReader(resp.Body))
	return l.handleStreamEnd(err)
}

// handleSendFailure handles a request to an endpoint that failed before the stream began. It reports whether
// the listener may try another endpoint.
func (l *listener) handleSendFailure(e *endpoint.Endpoint, failure *verdict.Error) (bool, *verdict.Error) {
	if failure.Reason == endpoint.ReasonLeaving {
		e.MarkLeaving()
	}
	l.request.tried[e] = true
	return l.request.Context().Err() == nil, failure
}

// handleStreamEnd handles the end of the stream of an endpoint. It reports whether the listener continues at
// another endpoint, or else the failure, which is nil at a planned stop of the node.
func (l *listener) handleStreamEnd(err error) (bool, *verdict.Error) {
	select {
	case <-l.h.stopped:
		l.sendReconnectDelay()
		return false, nil
	default:
	}
	var writeFailure *writeError
	switch {
	case l.request.Context().Err() != nil:
		return false, verdict.New(verdict.Ran, ReasonCallerDisconnected, err)
	case errors.As(err, &writeFailure):
		return false, verdict.New(verdict.Ran, ReasonSlowListener, err)
	case errors.Is(err, eventstream.ErrTooLong):
		return false, verdict.New(verdict.Ran, ReasonEventTooLong, err)
	case l.lastID == "":
		return false, verdict.New(verdict.Ran, ReasonCannotResume, err)
	default:
		return true, nil
	}
}

// acquireEndpoint reserves a connection at an endpoint and returns the endpoint. It skips endpoints that are
// leaving and those at which this listener's request failed before the stream began. It prefers the node's own
// failure domain, then the endpoint with the fewest listeners of this node. It returns nil if none of them has
// a free connection.
func (l *listener) acquireEndpoint() *endpoint.Endpoint {
	ownDomain := ""
	if a, ok := l.h.chooser.(route.Adaptive); ok {
		ownDomain = a.FailureDomain
	}
	full := make(map[*endpoint.Endpoint]bool)
	for {
		var best *endpoint.Endpoint
		all := l.h.directory.ServiceEndpoints(l.request.service.Name)
		offset := rand.IntN(max(1, len(all)))
		for i := range all {
			e := all[(offset+i)%len(all)]
			if e.Leaving() || full[e] || l.request.tried[e] {
				continue
			}
			if best == nil || preferred(e, best, ownDomain) {
				best = e
			}
		}
		if best == nil || best.AcquireListener() {
			return best
		}
		full[best] = true
	}
}

// preferred reports whether endpoint a is to be preferred to b by a node in ownDomain.
func preferred(a, b *endpoint.Endpoint, ownDomain string) bool {
	if aOwn, bOwn := a.FailureDomain == ownDomain, b.FailureDomain == ownDomain; aOwn != bOwn {
		return aOwn
	}
	return a.Listeners() < b.Listeners()
}

// watchEndpoint cancels the stream when the endpoint is leaving, when the node has more connections there than
// its share, or when the handler stops.
func (l *listener) watchEndpoint(ctx context.Context, e *endpoint.Endpoint, cancel context.CancelCauseFunc) {
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

// writeHeader writes the response header to the caller, unless it was already written.
func (l *listener) writeHeader(resp *http.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.headerWritten {
		return
	}
	copyHeader(l.w.Header(), resp.Header)
	l.w.Header().Del("Content-Length")
	l.h.setWriteDeadline(l.w)
	l.w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(l.w).Flush()
	l.headerWritten = true
}

// forwardEvents forwards complete events until the stream ends. It skips the first event if the caller already
// has it.
func (l *listener) forwardEvents(events *eventstream.Reader) error {
	for first := true; ; first = false {
		event, err := events.Next()
		if err != nil {
			return err
		}
		if first && event.HasID && event.ID == l.lastID && l.lastID != "" {
			continue
		}
		if err := l.write(event.Raw); err != nil {
			return &writeError{err}
		}
		if event.HasID {
			l.lastID = event.ID
		}
	}
}

// writeError is a failure to write to the caller, usually because the caller reads too slowly.
type writeError struct{ err error }

// Error implements error.
func (e *writeError) Error() string { return "failed to write to the listener: " + e.err.Error() }

// write writes complete lines to the caller and flushes them.
func (l *listener) write(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h.setWriteDeadline(l.w)
	if _, err := l.w.Write(data); err != nil {
		return err
	}
	l.lastWrite = time.Now()
	return http.NewResponseController(l.w).Flush()
}

// sendHeartbeats writes a comment line whenever nothing was written for the heartbeat period, until ctx is
// done. It calls cancel if a write fails.
func (l *listener) sendHeartbeats(ctx context.Context, cancel context.CancelFunc) {
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
		idle, headerWritten := time.Since(l.lastWrite), l.headerWritten
		l.mu.Unlock()
		if headerWritten && idle >= period {
			if l.write([]byte(": heartbeat\n\n")) != nil {
				cancel()
				return
			}
			idle = 0
		}
		timer.Reset(period - min(idle, period-time.Millisecond))
	}
}

// maxReconnectDelay is the upper bound of the delay after which the callers of a stopping node's listeners are
// told to reconnect.
const maxReconnectDelay = 2 * time.Second

// sendReconnectDelay tells the caller how long to wait before it reconnects. The delay varies between
// listeners, so that their callers don't all reconnect at once.
func (l *listener) sendReconnectDelay() {
	delay := time.Now().UnixNano() % int64(maxReconnectDelay)
	delayMS := time.Duration(delay).Milliseconds()
	_ = l.write([]byte("retry: " + strconv.FormatInt(delayMS, 10) + "\n\n"))
}

// forwardPlainResponse forwards a response that is not an event stream. It fails if the caller already got the
// header of a stream.
func (l *listener) forwardPlainResponse(resp *http.Response) *verdict.Error {
	l.mu.Lock()
	headerWritten := l.headerWritten
	l.mu.Unlock()
	if headerWritten {
		return verdict.New(verdict.Ran, ReasonRefusedOnMove, nil)
	}
	res, failure := l.h.readResponse(l.request.Request, resp, func(endpoint.Outcome) {})
	if failure == nil {
		l.h.writeResponse(l.request.Context(), l.w, l.request, res)
	}
	return failure
}
