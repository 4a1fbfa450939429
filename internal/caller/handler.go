// Package caller is the edge towards callers: it takes their requests, sends each to an endpoint and
// returns the answer or a refusal with a verdict.
package caller

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cactuswall.example/cactuswall/internal/admission"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/retry"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Handler answers callers.
type Handler struct {
	limits    settings.Callers
	directory *endpoint.Directory
	chooser   route.Chooser
	transport http.RoundTripper
	metrics   *metrics.Set
	manifest  func() *manifest.Manifest
	nodes     func() int
	once      OnceKeys
	callers   *admission.Callers
	buffers   *buffers
	stopping  atomic.Bool
	stopped   chan struct{}
	inFlight  atomic.Int64
	listeners atomic.Int64

	mu       sync.Mutex
	services map[string]*service
}

// service is what the handler keeps for one service.
type service struct {
	queue     *admission.Queue
	budget    *retry.Budget
	listeners atomic.Int64
}

// Options are what a Handler works with.
type Options struct {
	Limits    settings.Callers
	Directory *endpoint.Directory
	Chooser   route.Chooser
	Transport http.RoundTripper
	Metrics   *metrics.Set
	// Manifest returns the manifest in force, or nil.
	Manifest func() *manifest.Manifest
	// Nodes returns the number of nodes that callers' rate limits are divided over. Nil means one.
	Nodes func() int
	// Once keeps the keys of requests that must run at most once. Nil refuses such requests.
	Once OnceKeys
}

// NewHandler returns a handler.
func NewHandler(o Options) *Handler {
	h := &Handler{
		limits:    o.Limits,
		directory: o.Directory,
		chooser:   o.Chooser,
		transport: o.Transport,
		metrics:   o.Metrics,
		manifest:  o.Manifest,
		nodes:     o.Nodes,
		once:      o.Once,
		callers:   admission.NewCallers(o.Limits.MaxTrackedCallers),
		buffers:   &buffers{max: o.Limits.MaxBufferedBytes},
		stopped:   make(chan struct{}),
		services:  make(map[string]*service),
	}
	if h.nodes == nil {
		h.nodes = func() int { return 1 }
	}
	o.Metrics.GetOrCreateGauge("cactuswall_requests_in_flight", func() float64 { return float64(h.InFlight()) })
	o.Metrics.GetOrCreateGauge("cactuswall_listeners", func() float64 { return float64(h.Listeners()) })
	o.Metrics.GetOrCreateGauge("cactuswall_buffered_bytes", func() float64 { return float64(h.buffers.used.Load()) })
	return h
}

// Stop makes the handler refuse new requests and end its listeners between two events. Requests in
// flight go on.
func (h *Handler) Stop() {
	if h.stopping.CompareAndSwap(false, true) {
		close(h.stopped)
	}
}

// InFlight returns the requests in flight, listeners apart.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// Listeners returns the open listeners.
func (h *Handler) Listeners() int64 { return h.listeners.Load() }

// request is one request of a caller on its way.
type request struct {
	*http.Request
	service  *manifest.Service
	state    *service
	rule     manifest.RequestRule
	body     []byte
	deadline time.Time
	tried    map[*endpoint.Endpoint]bool
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Counted before the look at whether the node stops, so that a stop waits for every accepted request.
	inFlight := h.inFlight.Add(1)
	var once sync.Once
	leave := func() { once.Do(func() { h.inFlight.Add(-1) }) }
	defer leave()
	req, refusal := h.accept(r)
	switch {
	case refusal != nil:
		h.refuse(w, refusal)
	case req.rule.Listener:
		leave()
		h.serveListener(w, req)
	case inFlight > int64(h.limits.MaxRequests):
		h.refuse(w, verdict.New(verdict.NotRun, ReasonOverload, nil))
	default:
		h.serve(w, req)
	}
}

// accept finds what a request is for and checks it. Every error is NotRun.
func (h *Handler) accept(r *http.Request) (*request, *verdict.Error) {
	if h.stopping.Load() {
		return nil, verdict.New(verdict.NotRun, ReasonStopping, nil)
	}
	if refusal := checkTarget(r); refusal != nil {
		return nil, refusal
	}
	m := h.manifest()
	if m == nil {
		return nil, verdict.New(verdict.NotRun, ReasonNoManifest, nil)
	}
	s := m.ServiceFor(r.URL.Path)
	if s == nil {
		return nil, verdict.New(verdict.NotRun, ReasonNoService, nil)
	}
	rate := admission.Rate{PerSecond: s.Limits.CallerRate, Burst: s.Limits.CallerBurst}
	if !h.callers.Allow(h.identify(r), s.Name, rate, h.nodes(), time.Now()) {
		return nil, verdict.New(verdict.NotRun, admission.ReasonCallerRate, nil)
	}
	return &request{
		Request:  r,
		service:  s,
		state:    h.stateOf(s),
		rule:     s.RuleFor(r.Method, "/"+strings.TrimPrefix(r.URL.Path, s.PathPrefix)),
		deadline: time.Now().Add(timeoutOf(r, s)),
		tried:    make(map[*endpoint.Endpoint]bool),
	}, nil
}

// identify returns who the caller is: what the balancer says in the header that the settings name, or
// else the IP number that the connection came from.
func (h *Handler) identify(r *http.Request) string {
	if h.limits.CallerHeader != "" {
		if said := r.Header.Get(h.limits.CallerHeader); said != "" {
			return said
		}
	}
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return ip
}

// slotsPerQueued is the number of waiting requests for each slot of an instance, where none is declared.
const slotsPerQueued = 8

// stateOf returns what is kept for a service and brings its bounds in line with the manifest.
func (h *Handler) stateOf(s *manifest.Service) *service {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.services[s.Name]
	if state == nil {
		state = &service{queue: admission.NewQueue(), budget: retry.NewBudget()}
		h.services[s.Name] = state
		h.exposeQueue(s.Name, state.queue)
	}
	length := s.Limits.QueueLength
	if length == 0 {
		length = slotsPerQueued * s.Slots
	}
	state.queue.Configure(length, s.LatencyTarget.Std())
	return state
}

func (h *Handler) exposeQueue(service string, q *admission.Queue) {
	label := `{service="` + service + `"}`
	h.metrics.GetOrCreateGauge("cactuswall_queue_waiting"+label, func() float64 { return float64(q.State().Waiting) })
	h.metrics.GetOrCreateGauge("cactuswall_concurrency_limit"+label, func() float64 { return float64(q.State().Limit) })
}

// serve answers a request that is no listener.
func (h *Handler) serve(w http.ResponseWriter, r *request) {
	release, refusal := h.readBody(w, r)
	defer release()
	if refusal != nil {
		h.refuse(w, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), r.deadline)
	defer cancel()
	if key := onceKey(r); key != "" {
		h.serveOnce(ctx, w, r, key)
		return
	}
	a, failure := h.run(ctx, r)
	h.reply(ctx, w, r, a, failure)
}

// reply passes the answer or the failure on to the caller.
func (h *Handler) reply(ctx context.Context, w http.ResponseWriter, r *request, a *answer, failure *verdict.Error) {
	if failure != nil {
		h.refuse(w, failure)
		return
	}
	h.pass(ctx, w, r, a)
}
