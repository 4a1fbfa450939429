// Package caller is the edge towards callers: it takes their requests, sends each to an endpoint and
// returns the answer or a refusal with a verdict.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/verdict"
)

// VerdictHeader carries the verdict of every refusal and failure to the caller.
const VerdictHeader = "Cactuswall-Verdict"

// Reasons for which the node itself refuses a request.
const (
	ReasonNoManifest = verdict.Reason("no_manifest")
	ReasonNoService  = verdict.Reason("no_such_service")
	ReasonNoEndpoint = verdict.Reason("no_endpoint")
	ReasonStopping   = verdict.Reason("node_stopping")
	ReasonTooLarge   = verdict.Reason("body_too_large")
	ReasonBadBody    = verdict.Reason("body_unreadable")
	ReasonOverload   = verdict.Reason("too_many_requests_in_node")
)

// Failure is the body of every refusal and failure that the node itself answers with.
type Failure struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Message string          `json:"message,omitempty"`
}

// Handler answers callers.
type Handler struct {
	limits    settings.Callers
	directory *endpoint.Directory
	chooser   route.Chooser
	transport http.RoundTripper
	metrics   *metrics.Set
	manifest  func() *manifest.Manifest
	stopping  atomic.Bool
	inFlight  atomic.Int64
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
}

// NewHandler returns a handler.
func NewHandler(o Options) *Handler {
	return &Handler{
		limits:    o.Limits,
		directory: o.Directory,
		chooser:   o.Chooser,
		transport: o.Transport,
		metrics:   o.Metrics,
		manifest:  o.Manifest,
	}
}

// Stop makes the handler refuse new requests. Requests in flight go on.
func (h *Handler) Stop() { h.stopping.Store(true) }

// InFlight returns the requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inFlight := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() {
		h.refuse(w, http.StatusServiceUnavailable, verdict.New(verdict.NotRun, ReasonStopping, nil))
		return
	}
	if inFlight > int64(h.limits.MaxRequests) {
		h.refuse(w, http.StatusServiceUnavailable, verdict.New(verdict.NotRun, ReasonOverload, nil))
		return
	}
	m := h.manifest()
	if m == nil {
		h.refuse(w, http.StatusServiceUnavailable, verdict.New(verdict.NotRun, ReasonNoManifest, nil))
		return
	}
	service := m.ServiceFor(r.URL.Path)
	if service == nil {
		h.refuse(w, http.StatusNotFound, verdict.New(verdict.NotRun, ReasonNoService, nil))
		return
	}
	h.serve(w, r, service)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, service *manifest.Service) {
	body, refusal := h.readBody(w, r)
	if refusal != nil {
		h.refuse(w, statusOf(refusal.Reason), refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), service.Timeout.Std())
	defer cancel()
	rule := service.RuleFor(r.Method, "/"+strings.TrimPrefix(r.URL.Path, service.PathPrefix))
	tried := make(map[*endpoint.Endpoint]bool)
	failure := verdict.New(verdict.NotRun, ReasonNoEndpoint, nil)
	for {
		e := h.chooser.Choose(h.directory.Of(service.Name), tried)
		if e == nil {
			h.refuse(w, http.StatusServiceUnavailable, failure)
			return
		}
		tried[e] = true
		err := h.exchange(ctx, w, r, body, e)
		if err == nil {
			return
		}
		failure = err
		if !mayRetry(ctx, rule, err) {
			h.refuse(w, http.StatusBadGateway, err)
			return
		}
		h.count("cactuswall_retries_total", err.Reason)
	}
}

func mayRetry(ctx context.Context, rule manifest.RequestRule, err *verdict.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	return err.Verdict == verdict.NotRun || (err.Verdict == verdict.MayHaveRun && rule.Idempotent)
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *verdict.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.limits.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.New(verdict.NotRun, ReasonTooLarge, err)
	}
	return nil, verdict.New(verdict.NotRun, ReasonBadBody, err)
}

func statusOf(reason verdict.Reason) int {
	if reason == ReasonTooLarge {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// exchange sends the request to an endpoint and passes the answer on. It returns an error only while
// nothing has been written to the caller.
func (h *Handler) exchange(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte, e *endpoint.Endpoint) *verdict.Error {
	e.Acquire()
	defer e.Release()
	req := outgoing(ctx, r, body, e.Address)
	resp, err := endpoint.Send(h.transport, req)
	if err != nil {
		var failure *verdict.Error
		errors.As(err, &failure)
		if failure.Reason == endpoint.ReasonRefused && failure.Err.Error() == "leaving" {
			e.MarkLeaving()
		}
		return failure
	}
	defer func() { _ = resp.Body.Close() }()
	h.count("cactuswall_answers_total", verdict.Reason(http.StatusText(resp.StatusCode)))
	copyAnswer(w, resp)
	return nil
}

// outgoing makes the request to the endpoint.
func outgoing(ctx context.Context, r *http.Request, body []byte, address string) *http.Request {
	req := r.Clone(ctx)
	req.RequestURI = ""
	req.URL.Scheme = "http"
	req.URL.Host = address
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	req.TransferEncoding = nil
	dropHopByHop(req.Header)
	return req
}

// copyAnswer passes an answer on. An answer that is cut short breaks the caller's connection, so that it
// never passes as whole.
func copyAnswer(w http.ResponseWriter, resp *http.Response) {
	dropHopByHop(resp.Header)
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func dropHopByHop(header http.Header) {
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

func (h *Handler) refuse(w http.ResponseWriter, status int, failure *verdict.Error) {
	h.count("cactuswall_refusals_total", failure.Reason)
	body := Failure{Verdict: failure.Verdict, Reason: failure.Reason}
	if failure.Err != nil {
		body.Message = failure.Err.Error()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(VerdictHeader, failure.Verdict.String())
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (h *Handler) count(name string, reason verdict.Reason) {
	h.metrics.GetOrCreateCounter(name + `{reason="` + string(reason) + `"}`).Inc()
}
