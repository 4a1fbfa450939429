// Package caller is the HTTP proxy between callers and the endpoints of services. It admits the requests of
// callers, sends each to an endpoint, and returns the response of the endpoint or a refusal. A refusal carries
// a verdict, which says whether the request has run.
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
	"cactuswall.example/cactuswall/internal/httpintake"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/retry"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Handler is the http.Handler that serves callers.
type Handler struct {
	limits          settings.Callers
	directory       *endpoint.Directory
	chooser         route.Chooser
	transport       http.RoundTripper
	metrics         *metrics.Set
	manifest        func() *manifest.Manifest
	nodes           func() int
	idempotencyKeys IdempotencyKeys
	callerRates     *admission.RateLimiter
	bodies          *httpintake.Gate
	bodyRefused     func(verdict.Reason)
	// stopping is set by Stop, which then closes stopped.
	stopping  atomic.Bool
	stopped   chan struct{}
	inFlight  atomic.Int64
	listeners atomic.Int64

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is the state of the handler for one service.
type serviceState struct {
	queue     *admission.Queue
	budget    *retry.Budget
	listeners atomic.Int64
}

// Options configure a Handler.
type Options struct {
	Limits settings.Callers
	// Bodies bounds the memory of the bodies of requests. Nil means a gate with the limits in Limits.
	Bodies *httpintake.Gate
	// BodyRefused is called with the reason for which Bodies refused a body. It may be nil.
	BodyRefused func(verdict.Reason)
	Directory   *endpoint.Directory
	Chooser     route.Chooser
	Transport   http.RoundTripper
	Metrics     *metrics.Set
	// Manifest returns the current manifest, or nil if there is none yet.
	Manifest func() *manifest.Manifest
	// Nodes returns the number of nodes among which the rate limits of callers are divided. Nil means one node.
	Nodes func() int
	// IdempotencyKeys decides which requests with an idempotency key may run. If it is nil, requests that are not
	// idempotent and have a key are refused.
	IdempotencyKeys IdempotencyKeys
}

// NewHandler returns a Handler and registers its metrics.
func NewHandler(o Options) *Handler {
	h := &Handler{
		limits:          o.Limits,
		directory:       o.Directory,
		chooser:         o.Chooser,
		transport:       o.Transport,
		metrics:         o.Metrics,
		manifest:        o.Manifest,
		nodes:           o.Nodes,
		idempotencyKeys: o.IdempotencyKeys,
		callerRates:     admission.NewRateLimiter(o.Limits.MaxTrackedCallers),
		bodies:          o.Bodies,
		bodyRefused:     o.BodyRefused,
		stopped:         make(chan struct{}),
		services:        make(map[string]*serviceState),
	}
	if h.bodies == nil {
		h.bodies = httpintake.NewGate(httpintake.Budget(o.Limits.MaxBufferedBytes, o.Limits.MaxRequests))
	}
	if h.nodes == nil {
		h.nodes = func() int { return 1 }
	}
	o.Metrics.GetOrCreateGauge("cactuswall_requests_in_flight", func() float64 { return float64(h.InFlight()) })
	o.Metrics.GetOrCreateGauge("cactuswall_listeners", func() float64 { return float64(h.Listeners()) })
	o.Metrics.GetOrCreateGauge("cactuswall_buffered_bytes", func() float64 { return float64(h.bodies.Usage().Bytes) })
	return h
}

// Stop makes the handler refuse new requests and end the event streams to callers, each between two events.
// Requests in flight continue.
func (h *Handler) Stop() {
	if h.stopping.CompareAndSwap(false, true) {
		h.bodies.Stop()
		close(h.stopped)
	}
}

// InFlight returns the number of requests in flight, without listeners.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// Listeners returns the number of open listeners, that is, streams of server-sent events to callers.
func (h *Handler) Listeners() int64 { return h.listeners.Load() }

// request is a caller's request that is being served.
type request struct {
	*http.Request
	service  *manifest.Service
	state    *serviceState
	rule     manifest.RequestRule
	body     []byte
	deadline time.Time
	// tried holds the endpoints to which the request was already sent. For a listener, it holds only those at
	// which the request failed before the stream began.
	tried map[*endpoint.Endpoint]bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Count the request before checking whether the handler is stopping, so that a stop waits for every accepted
	// request.
	inFlight := h.inFlight.Add(1)
	var once sync.Once
	done := func() { once.Do(func() { h.inFlight.Add(-1) }) }
	defer done()
	req, refusal := h.accept(r)
	switch {
	case refusal != nil:
		h.refuse(w, refusal)
	case req.rule.Listener:
		done()
		h.serveListener(w, req)
	case inFlight > int64(h.limits.MaxRequests):
		h.refuse(w, verdict.New(verdict.NotRun, ReasonTooManyRequests, nil))
	default:
		h.serve(w, req)
	}
}

// accept checks a request and determines its service, rule and deadline. Every error has the verdict NotRun.
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
		return nil, verdict.New(verdict.NotRun, ReasonUnknownService, nil)
	}
	rate := admission.RateLimit{PerSecond: s.Limits.CallerRate, Burst: s.Limits.CallerBurst}
	if !h.callerRates.Allow(h.callerID(r), s.Name, rate, h.nodes(), time.Now()) {
		return nil, verdict.New(verdict.NotRun, admission.ReasonCallerRateLimit, nil)
	}
	return &request{
		Request:  r,
		service:  s,
		state:    h.stateFor(s),
		rule:     s.RuleFor(r.Method, "/"+strings.TrimPrefix(r.URL.Path, s.PathPrefix)),
		deadline: time.Now().Add(requestTimeout(r, s)),
		tried:    make(map[*endpoint.Endpoint]bool),
	}, nil
}

// callerID returns the identity of the caller for rate limits: the value of the header that the settings name,
// which the load balancer sets, or else the IP address of the connection's peer.
func (h *Handler) callerID(r *http.Request) string {
	if h.limits.CallerHeader != "" {
		if id := r.Header.Get(h.limits.CallerHeader); id != "" {
			return id
		}
	}
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return ip
}

// queueLengthPerSlot is the number of requests that may wait per slot of an endpoint, if the service declares
// no queue length.
const queueLengthPerSlot = 8

// stateFor returns the state for a service, creates it if necessary, and applies the limits in the manifest to
// it.
func (h *Handler) stateFor(s *manifest.Service) *serviceState {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.services[s.Name]
	if state == nil {
		state = &serviceState{queue: admission.NewQueue(), budget: retry.NewBudget()}
		h.services[s.Name] = state
		h.registerQueueMetrics(s.Name, state.queue)
	}
	length := s.Limits.QueueLength
	if length == 0 {
		length = queueLengthPerSlot * s.Slots
	}
	state.queue.Configure(length, s.LatencyTarget.Std())
	return state
}

func (h *Handler) registerQueueMetrics(service string, q *admission.Queue) {
	label := `{service="` + service + `"}`
	h.metrics.GetOrCreateGauge("cactuswall_queue_waiting"+label, func() float64 { return float64(q.State().Waiting) })
	h.metrics.GetOrCreateGauge("cactuswall_concurrency_limit"+label, func() float64 { return float64(q.State().ConcurrencyLimit) })
}

// serve handles a request that is not a listener.
func (h *Handler) serve(w http.ResponseWriter, r *request) {
	hold, refusal := h.readBody(w, r)
	defer hold.Release()
	if refusal != nil {
		h.refuse(w, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), r.deadline)
	defer cancel()
	if key := idempotencyKey(r); key != "" {
		h.serveWithKey(ctx, w, r, key)
		return
	}
	res, failure := h.sendWithRetries(ctx, r)
	h.reply(ctx, w, r, res, failure)
}

// reply writes the response or the failure to the caller.
func (h *Handler) reply(ctx context.Context, w http.ResponseWriter, r *request, res *response, failure *verdict.Error) {
	if failure != nil {
		h.refuse(w, failure)
		return
	}
	h.writeResponse(ctx, w, r, res)
}
