package cellnode

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/packed"
	"cactuswall.example/cactuswall/internal/queue"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// defaultBody bounds a request's body until the configuration says otherwise.
	defaultBody = 256 << 10
	// defaultDeadline is how long a caller waits who does not say.
	defaultDeadline = 3 * time.Second
	// deadlineMargin is left of a caller's time for the answer to travel.
	deadlineMargin = 150 * time.Millisecond
	// detourAfter is how long the store may take before the owner is asked to store a record as well: some ten times
	// what an append takes on calm days, and less than a caller's objective.
	detourAfter = 150 * time.Millisecond
	// maxStoring is how long a record may take to be stored: an append that has no answer is repeated, but a caller is not
	// kept to the end of its time.
	maxStoring = 2 * time.Second
	// askPause is between two questions to an owner that does not answer.
	askPause = 100 * time.Millisecond
	// maxAsking bounds the time for which a question is tried: a planned change of owner is over by then.
	maxAsking = 1500 * time.Millisecond
	// A caller who was refused because the store is away may come back after as long as the store has been away
	// already: a short outage is over soon, and a long one is not asked at in vain several times.
	shortestRetryAfter = time.Second
	longestRetryAfter  = 5 * time.Second
	// retryAfterOwner is when a caller may come back whose question found no owner: about a take-over's time.
	retryAfterOwner = time.Second
)

// Reasons of refusals to callers.
const (
	reasonNoConfig    = verdict.Reason("no_configuration")
	reasonNoQueue     = verdict.Reason("no_such_queue")
	reasonNoJob       = verdict.Reason("no_such_job")
	reasonBadRequest  = verdict.Reason("bad_request")
	reasonTooLarge    = verdict.Reason("too_large")
	reasonMethod      = verdict.Reason("method_not_allowed")
	reasonNoOwner     = verdict.Reason("no_owner")
	reasonNotStored   = verdict.Reason("not_stored")
	reasonStoreUnsure = verdict.Reason("store_unsure")
	reasonStoreAway   = verdict.Reason("store_away")
	// reasonCopy is no refusal: the request was accepted before.
	reasonCopy   = verdict.Reason("accepted_before")
	reasonDetour = verdict.Reason("owner_did_not_store")
)

// gateway answers callers.
type gateway struct{ node *Node }

// answer is what a caller is told.
type answer struct {
	status     int
	body       []byte
	reason     verdict.Reason
	retryAfter time.Duration
}

// ServeHTTP implements http.Handler.
func (g gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	config := g.node.config.Get()
	a, job := g.handle(r, config)
	if g.node.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "application/json")
	if a.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((a.retryAfter+time.Second-1)/time.Second)))
	}
	if a.body == nil {
		a.body = []byte(`{}`)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		g.node.log.Info("answer not delivered", zap.String("job", string(job)), zap.Error(err))
	}
	g.node.answered(r.Method, a, job, config, time.Since(began))
}

func (n *Node) answered(method string, a answer, job jobs.ID, config *queue.Config, took time.Duration) {
	reason := string(a.reason)
	if reason == "" {
		reason = "ok"
	}
	n.metrics.GetOrCreateCounter(`cactuswall_answers_total{method="` + metricMethod(method) + `",status="` + strconv.Itoa(a.status) + `",reason="` + reason + `"}`).Inc()
	n.metrics.GetOrCreateHistogram(`cactuswall_answer_seconds{method="` + metricMethod(method) + `"}`).Update(took.Seconds())
	if method == http.MethodGet && a.status == http.StatusOK {
		return
	}
	version := int64(0)
	if config != nil {
		version = config.Version
	}
	n.log.Info("answered", zap.String("method", method), zap.String("job", string(job)), zap.Int("status", a.status),
		zap.String("reason", reason), zap.Int64("config", version), zap.Duration("took", took))
}

// metricMethod keeps methods that callers make up out of the metrics.
func metricMethod(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

func refusal(status int, reason verdict.Reason) answer { return answer{status: status, reason: reason} }

func (g gateway) handle(r *http.Request, config *queue.Config) (answer, jobs.ID) {
	if config == nil {
		return answer{status: http.StatusServiceUnavailable, reason: reasonNoConfig, retryAfter: retryAfterOwner}, ""
	}
	q := config.Match(hostOf(r), r.URL.Path)
	if q == nil {
		return refusal(http.StatusNotFound, reasonNoQueue), ""
	}
	ctx, cancel := context.WithTimeout(r.Context(), g.patience(r))
	defer cancel()
	rest := strings.TrimPrefix(r.URL.Path, q.Prefix)
	if rest == "" && r.Method == http.MethodGet {
		return g.pending(ctx, q), ""
	}
	id, err := g.node.platform.Wire.ParseJobID(rest)
	if err != nil {
		return refusal(http.StatusNotFound, reasonNoJob), ""
	}
	switch r.Method {
	case http.MethodPost:
		return g.submit(ctx, r, q, config, id), id
	case http.MethodGet:
		return g.status(ctx, id), id
	case http.MethodDelete:
		return g.cancel(ctx, id), id
	}
	return refusal(http.StatusMethodNotAllowed, reasonMethod), id
}

func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// patience is how long a caller waits.
func (g gateway) patience(r *http.Request) time.Duration {
	text := r.Header.Get(g.node.platform.Wire.DeadlineHeader)
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > int64(time.Hour/time.Millisecond) {
		return defaultDeadline - deadlineMargin
	}
	d := time.Duration(ms) * time.Millisecond
	return max(d/2, d-deadlineMargin)
}

// submit stores a job.
func (g gateway) submit(ctx context.Context, r *http.Request, q *queue.Queue, config *queue.Config, id jobs.ID) answer {
	limit := config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	received := time.Now().UnixMilli()
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal(http.StatusRequestEntityTooLarge, reasonTooLarge)
	}
	if err != nil {
		return refusal(http.StatusBadRequest, reasonBadRequest)
	}
	spec, err := g.node.platform.Wire.DecodeJob(body)
	if err != nil {
		g.node.log.Info("job not readable", zap.String("job", string(id)), zap.Error(err))
		return refusal(http.StatusBadRequest, reasonBadRequest)
	}
	value, err := packed.Encode(&jobrecord.Job{
		Queue: q.Name, Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		Stretch: q.Stretch, LatencyMS: q.Latency.Milliseconds(), ReceivedMS: received, Spec: *spec,
	})
	if err != nil || len(value) > g.node.settings.MaxRecordBytes {
		return refusal(http.StatusRequestEntityTooLarge, reasonTooLarge)
	}
	if g.node.accepted.has(id) {
		return answer{status: http.StatusOK, reason: reasonCopy}
	}
	err = g.store(ctx, store.Record{Key: jobrecord.JobKey(id, g.node.writer), Value: value})
	if err == nil {
		g.node.accepted.add(id)
	}
	return g.stored(err)
}

// cancel stores the cancellation of a job.
func (g gateway) cancel(ctx context.Context, id jobs.ID) answer {
	if _, known, ok := g.ask(ctx, id, 0); ok && !known {
		return refusal(http.StatusGone, reasonNoJob)
	}
	return g.stored(g.store(ctx, store.Record{Key: jobrecord.CancelKey(id), Value: []byte{1}}))
}

// status tells a job's state.
func (g gateway) status(ctx context.Context, id jobs.ID) answer {
	state, known, ok := g.ask(ctx, id, maxAsking)
	switch {
	case !ok:
		return answer{status: http.StatusServiceUnavailable, reason: reasonNoOwner, retryAfter: retryAfterOwner}
	case !known:
		return refusal(http.StatusGone, reasonNoJob)
	}
	return answer{status: http.StatusOK, body: g.node.platform.Wire.EncodeState(state)}
}

// pending tells how many accepted jobs of a queue have not begun.
func (g gateway) pending(ctx context.Context, q *queue.Queue) answer {
	count, ok := g.countPending(ctx, q.Name)
	if !ok {
		return answer{status: http.StatusServiceUnavailable, reason: reasonNoOwner, retryAfter: retryAfterOwner}
	}
	return answer{status: http.StatusOK, body: g.node.platform.Wire.EncodePending(count)}
}
