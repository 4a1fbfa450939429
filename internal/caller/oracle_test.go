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

// mode is how an endpoint behaves.
type mode int

const (
	modeGood mode = iota
	modeNoSlot
	modeLeaving
	modeCloseBefore
	modeCloseAfter
	modeCut
	modeCutChunked
	modeNoLength
	modeServerError
	modes
)

// oracle knows what each endpoint really ran and what each caller saw.
type oracle struct {
	mu       sync.Mutex
	runs     map[string]int
	writes   map[string]int
	outcomes []outcome
	faults   []string
}

func newOracle() *oracle {
	return &oracle{runs: make(map[string]int), writes: make(map[string]int)}
}

func (o *oracle) fault(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

// ran records that an endpoint ran a request.
func (o *oracle) ran(method, run, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[id]++
	if method == http.MethodPost || method == http.MethodDelete {
		o.writes[run]++
	}
}

func (o *oracle) take(got outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes = append(o.outcomes, got)
}

// judge returns what was wrong, after everything has ended.
func (o *oracle) judge() []string {
	for run, n := range o.writes {
		if n > 1 {
			o.faults = append(o.faults, fmt.Sprintf("%s is not idempotent and ran %d times", run, n))
		}
	}
	for _, got := range o.outcomes {
		if why := o.wrong(got); why != "" {
			o.faults = append(o.faults, fmt.Sprintf("%s %s (%s): %s", got.method, got.id, got.run, why))
		}
	}
	return o.faults
}

func (o *oracle) wrong(got outcome) string {
	id := got.id
	if got.method == http.MethodGet || got.method == http.MethodHead {
		id = got.run
	}
	n := o.runs[id]
	switch {
	case got.verdict == "not_run" && n > 0:
		return fmt.Sprintf("not run, but it ran %d times", n)
	case got.verdict == "ran" && n == 0:
		return "ran, but it never did"
	case got.verdict == "" && got.status == http.StatusOK && n == 0:
		return "answered, but it never ran"
	case got.verdict == "" && got.status == http.StatusOK && got.bodyErr == nil && got.method != http.MethodHead:
		if want := answerTo(got.method, got.run, got.id, got.wholeBody); got.body != want {
			return fmt.Sprintf("the answer has %d bytes and starts with %.30q, not %d bytes and %.30q", len(got.body), got.body, len(want), want)
		}
	}
	return ""
}

// answerTo is the right answer to a request.
func answerTo(method, run, id string, size int) string {
	if method == http.MethodGet || method == http.MethodHead {
		id = ""
	}
	return method + " " + run + " " + id + strings.Repeat(".", size)
}

// fakeEndpoint answers requests in the mode that is set.
type fakeEndpoint struct {
	info      endpoint.Info
	oracle    *oracle
	busy      atomic.Int64
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
			e.oracle.fault("%s has %d connections", e.info.ID, n)
		}
	case http.StateClosed, http.StateHijacked:
		e.conns.Add(-1)
	}
}

// ServeHTTP answers one request.
func (e *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	m, delay := e.mode, e.delay
	e.mu.Unlock()
	if r.URL.Path == "/s/watch" {
		e.watch(w, r)
		return
	}
	switch m {
	case modeNoSlot, modeLeaving:
		word := map[mode]string{modeNoSlot: endpoint.NotRunNoSlot, modeLeaving: endpoint.NotRunLeaving}[m]
		w.Header().Set(endpoint.NotRunHeader, word)
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
	if n := e.busy.Add(1); n > slots {
		e.oracle.fault("%s works on %d requests", e.info.ID, n)
	}
	defer e.busy.Add(-1)
	run := strings.TrimPrefix(r.URL.Path, "/s/")
	id := string(body)
	if id == "" {
		id = run
	}
	e.oracle.ran(r.Method, run, id)
	time.Sleep(delay)
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	answer := answerTo(r.Method, run, string(body), size)
	switch m {
	case modeCloseAfter:
		panic(http.ErrAbortHandler)
	case modeServerError:
		w.WriteHeader(http.StatusInternalServerError)
	case modeCut, modeCutChunked:
		if m == modeCut {
			w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		}
		_, _ = io.WriteString(w, answer[:len(answer)-1])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case modeNoLength:
		e.withoutLength(w, answer[:len(answer)-1])
	default:
		_, _ = io.WriteString(w, answer)
	}
}

// withoutLength sends a cut answer whose end only the connection's end tells.
func (e *fakeEndpoint) withoutLength(w http.ResponseWriter, answer string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+answer)
	_ = conn.Close()
}

// watch streams events with rising IDs, ten a second, and breaks off in the middle of one when leaving.
func (e *fakeEndpoint) watch(w http.ResponseWriter, r *http.Request) {
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
