package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactuswall.example/cactuswall/internal/endpoint"
)

// mode is the behaviour of a fake endpoint.
type mode int

const (
	modeGood mode = iota
	modeNoSlot
	modeLeaving
	modeCloseBefore // closes the connection without running the request
	modeCloseAfter  // runs the request and closes the connection without a response
	modeCut         // truncates the response body
	modeCutChunked  // truncates a chunked response body
	modeNoLength    // truncates a response body without a length
	modeServerError
	modeCount
)

// oracle records which requests the endpoints ran and what the callers received.
type oracle struct {
	mu sync.Mutex
	// runsByID counts the runs of each request by its ID.
	runsByID map[string]int
	// writesByName counts the runs of requests that are not idempotent, by their name in the URL. Requests with
	// the same idempotency key have the same name.
	writesByName map[string]int
	outcomes     []outcome
	violations   []string
}

func newOracle() *oracle {
	return &oracle{runsByID: make(map[string]int), writesByName: make(map[string]int)}
}

func (o *oracle) violation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// ran records that an endpoint ran a request.
func (o *oracle) ran(method, name, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runsByID[id]++
	if method == http.MethodPost || method == http.MethodDelete {
		o.writesByName[name]++
	}
}

func (o *oracle) addOutcome(got outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes = append(o.outcomes, got)
}

// check returns all violations. It must be called after all requests have ended.
func (o *oracle) check() []string {
	for name, n := range o.writesByName {
		if n > 1 {
			o.violations = append(o.violations, fmt.Sprintf("request %s is not idempotent and ran %d times", name, n))
		}
	}
	for _, got := range o.outcomes {
		if problem := o.mismatch(got); problem != "" {
			o.violations = append(o.violations, fmt.Sprintf("%s %s (%s): %s", got.method, got.id, got.name, problem))
		}
	}
	return o.violations
}

// mismatch describes how an outcome contradicts what the endpoints ran. It returns "" if it does not.
func (o *oracle) mismatch(got outcome) string {
	id := got.id
	if got.method == http.MethodGet || got.method == http.MethodHead {
		id = got.name
	}
	n := o.runsByID[id]
	switch {
	case got.verdict == "not_run" && n > 0:
		return fmt.Sprintf("verdict not_run, but the request ran %d times", n)
	case got.verdict == "ran" && n == 0:
		return "verdict ran, but the request never ran"
	case got.verdict == "" && got.status == http.StatusOK && n == 0:
		return "status 200, but the request never ran"
	case got.verdict == "" && got.status == http.StatusOK && got.bodyErr == nil && got.method != http.MethodHead:
		if want := expectedBody(got.method, got.name, got.id, got.bodySize); got.body != want {
			return fmt.Sprintf("response has %d bytes and starts with %.30q, want %d bytes and %.30q", len(got.body), got.body, len(want), want)
		}
	}
	return ""
}

// expectedBody returns the body of the correct response to a request.
func expectedBody(method, name, id string, size int) string {
	if method == http.MethodGet || method == http.MethodHead {
		id = ""
	}
	return method + " " + name + " " + id + strings.Repeat(".", size)
}

// fakeEndpoint is an endpoint whose behaviour is set by mode. Once it is leaving, the mode is final.
type fakeEndpoint struct {
	info      endpoint.Info
	oracle    *oracle
	inFlight  atomic.Int64
	conns     atomic.Int64
	listeners atomic.Int64

	mu    sync.Mutex
	mode  mode
	delay time.Duration
}

func newFakeEndpoint(i int, o *oracle) *fakeEndpoint {
	id := fmt.Sprintf("e%d", i)
	return &fakeEndpoint{info: endpoint.Info{ID: id, Service: "s", FailureDomain: "d", Address: id + ":80"}, oracle: o}
}

func (e *fakeEndpoint) set(m mode, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mode != modeLeaving {
		e.mode, e.delay = m, delay
	}
}

func (e *fakeEndpoint) connState(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if n := e.conns.Add(1); n > connections {
			e.oracle.violation("endpoint %s has %d connections", e.info.ID, n)
		}
	case http.StateClosed, http.StateHijacked:
		e.conns.Add(-1)
	}
}

// ServeHTTP implements http.Handler.
func (e *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	m, delay := e.mode, e.delay
	e.mu.Unlock()
	if r.URL.Path == "/s/watch" {
		e.streamEvents(w, r)
		return
	}
	switch m {
	case modeNoSlot, modeLeaving:
		value := map[mode]string{modeNoSlot: endpoint.NotRunNoSlot, modeLeaving: endpoint.NotRunLeaving}[m]
		w.Header().Set(endpoint.NotRunHeader, value)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case modeCloseBefore:
		panic(http.ErrAbortHandler)
	}
	e.run(w, r, m, delay)
}

func (e *fakeEndpoint) run(w http.ResponseWriter, r *http.Request, m mode, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if n := e.inFlight.Add(1); n > slots {
		e.oracle.violation("endpoint %s runs %d requests at once", e.info.ID, n)
	}
	defer e.inFlight.Add(-1)
	name := strings.TrimPrefix(r.URL.Path, "/s/")
	id := string(body)
	if id == "" {
		id = name
	}
	e.oracle.ran(r.Method, name, id)
	time.Sleep(delay)
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	respBody := expectedBody(r.Method, name, string(body), size)
	switch m {
	case modeCloseAfter:
		panic(http.ErrAbortHandler)
	case modeServerError:
		w.WriteHeader(http.StatusInternalServerError)
	case modeCut, modeCutChunked:
		if m == modeCut {
			w.Header().Set("Content-Length", strconv.Itoa(len(respBody)))
		}
		_, _ = io.WriteString(w, respBody[:len(respBody)-1])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case modeNoLength:
		e.writeWithoutLength(w, respBody[:len(respBody)-1])
	default:
		_, _ = io.WriteString(w, respBody)
	}
}

// writeWithoutLength writes a truncated response whose end is marked only by the end of the connection.
func (e *fakeEndpoint) writeWithoutLength(w http.ResponseWriter, body string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
	_ = conn.Close()
}

// streamEvents streams ten events per second with increasing IDs.
func (e *fakeEndpoint) streamEvents(w http.ResponseWriter, r *http.Request) {
	e.listeners.Add(1)
	defer e.listeners.Add(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for {
		last++
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", last); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
