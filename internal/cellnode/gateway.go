package cellnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/httpintake"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/queue"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// defaultMaxBodyBytes is the maximum size of a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 256 << 10
	// defaultTimeout is the timeout that is assumed for a caller that sends no valid deadline header.
	defaultTimeout = 3 * time.Second
	// deadlineMargin is the part of a caller's timeout that is reserved for transmitting the response.
	deadlineMargin = 150 * time.Millisecond
	// forwardAfter is how long an append by this node may take before the owner is asked to store the record as well.
	// It is about ten times as long as an append normally takes, and below the callers' latency objective.
	forwardAfter = 150 * time.Millisecond
	// storeTimeout is the maximum time to store a record, including repeated appends. It is below defaultTimeout, so
	// that callers get an error response before they time out.
	storeTimeout = 2 * time.Second
	// queryRetryDelay is the delay between two queries to an owner that does not answer.
	queryRetryDelay = 100 * time.Millisecond
	// statusQueryTimeout is how long a status query is retried. It is longer than a planned change of owner takes, so
	// that queries succeed during one.
	statusQueryTimeout = 1500 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the Retry-After header of responses to callers whose record was not stored.
	// Between these limits, the header is the time since the last successful call to the store, so that callers retry
	// soon after a short outage and less often during a long one.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
	// retryAfterNoOwner is the Retry-After header of responses to callers if no owner could answer or this node has no
	// configuration yet. It is about the duration of a take-over.
	retryAfterNoOwner = time.Second
)

// Reasons for responses to callers and for errors from storing a record, used in logs and metrics.
// reasonStoreUnavailable, reasonOwnerRefused and reasonOwnerDidNotStore are only reasons of such errors, never of responses.
// reasonDuplicate marks a successful response; all others mark error responses.
const (
	reasonNoConfig            = verdict.Reason("no_configuration")
	reasonNoQueue             = verdict.Reason("no_such_queue")
	reasonNoJob               = verdict.Reason("no_such_job")
	reasonBadRequest          = verdict.Reason("bad_request")
	reasonTooLarge            = verdict.Reason("too_large")
	reasonMethod              = verdict.Reason("method_not_allowed")
	reasonNoOwner             = verdict.Reason("no_owner")
	reasonNotStored           = verdict.Reason("not_stored")
	reasonStoreOutcomeUnknown = verdict.Reason("store_unsure")
	reasonStoreUnavailable    = verdict.Reason("store_away")
	// reasonDuplicate marks the successful response to a request that submits a job again.
	reasonDuplicate        = verdict.Reason("accepted_before")
	reasonOwnerDidNotStore = verdict.Reason("owner_did_not_store")
	reasonOwnerRefused     = verdict.Reason("owner_refused_to_store")
)

// gateway serves callers' requests.
type gateway struct{ node *Node }

// response is the response to a caller's request.
type response struct {
	status     int
	body       []byte         // nil: an empty JSON object
	reason     verdict.Reason // empty: success without a particular reason, logged as "ok"
	retryAfter time.Duration  // 0: no Retry-After header
	close      bool           // the connection is closed after the response
}

// ServeHTTP answers a caller's request, and logs and counts the response.
func (g gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	config := g.node.config.Get()
	resp, job := g.handle(r, config)
	if g.node.stopping.Load() || resp.close {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "application/json")
	if resp.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((resp.retryAfter+time.Second-1)/time.Second)))
	}
	if resp.body == nil {
		resp.body = []byte(`{}`)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	w.WriteHeader(resp.status)
	if _, err := w.Write(resp.body); err != nil {
		g.node.log.Info("failed to write response", zap.String("job", string(job)), zap.Error(err))
	}
	g.node.recordResponse(r.Method, resp, job, config, time.Since(start))
}

// recordResponse logs a response and updates the metrics. Successful GET requests are not logged.
func (n *Node) recordResponse(method string, resp response, job jobs.ID, config *queue.Config, took time.Duration) {
	reason := string(resp.reason)
	if reason == "" {
		reason = "ok"
	}
	n.metrics.GetOrCreateCounter(`cactuswall_answers_total{method="` + metricMethod(method) + `",status="` + strconv.Itoa(resp.status) + `",reason="` + reason + `"}`).Inc()
	n.metrics.GetOrCreateHistogram(`cactuswall_answer_seconds{method="` + metricMethod(method) + `"}`).Update(took.Seconds())
	if method == http.MethodGet && resp.status == http.StatusOK {
		return
	}
	version := int64(0)
	if config != nil {
		version = config.Version
	}
	n.log.Info("answered", zap.String("method", method), zap.String("job", string(job)), zap.Int("status", resp.status),
		zap.String("reason", reason), zap.Int64("config", version), zap.Duration("took", took))
}

// metricMethod returns the metric label of an HTTP method. Unsupported methods share one label, so that callers cannot create
// arbitrary metrics.
func metricMethod(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

func errorResponse(status int, reason verdict.Reason) response {
	return response{status: status, reason: reason}
}

// handle routes a request by queue and method. It returns the response and the ID of the job, which is empty if the
// request names none.
func (g gateway) handle(r *http.Request, config *queue.Config) (response, jobs.ID) {
	if config == nil {
		return response{status: http.StatusServiceUnavailable, reason: reasonNoConfig, retryAfter: retryAfterNoOwner}, ""
	}
	q := config.Match(hostOf(r), r.URL.Path)
	if q == nil {
		return errorResponse(http.StatusNotFound, reasonNoQueue), ""
	}
	ctx, cancel := context.WithTimeout(r.Context(), g.requestTimeout(r))
	defer cancel()
	idText := strings.TrimPrefix(r.URL.Path, q.Prefix)
	if idText == "" && r.Method == http.MethodGet {
		return g.pending(ctx, q), ""
	}
	id, err := g.node.platform.CallerCodec.ParseJobID(idText)
	if err != nil {
		return errorResponse(http.StatusNotFound, reasonNoJob), ""
	}
	switch r.Method {
	case http.MethodPost:
		return g.submit(ctx, r, q, config, id), id
	case http.MethodGet:
		return g.status(ctx, id), id
	case http.MethodDelete:
		return g.cancel(ctx, id), id
	}
	return errorResponse(http.StatusMethodNotAllowed, reasonMethod), id
}

// hostOf returns the host of a request without the port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// requestTimeout returns how long handling a request may take: the timeout in the caller's deadline header less
// deadlineMargin, but at least half of that timeout. Without a valid header, it is defaultTimeout less deadlineMargin.
func (g gateway) requestTimeout(r *http.Request) time.Duration {
	text := r.Header.Get(g.node.platform.CallerCodec.DeadlineHeader)
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > int64(time.Hour/time.Millisecond) {
		return defaultTimeout - deadlineMargin
	}
	timeout := time.Duration(ms) * time.Millisecond
	return max(timeout/2, timeout-deadlineMargin)
}

// submit decodes a job and stores it, unless this process has stored it recently.
func (g gateway) submit(ctx context.Context, r *http.Request, q *queue.Queue, config *queue.Config, id jobs.ID) response {
	limit := config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	received := time.Now().UnixMilli()
	body, hold, err := g.node.intake.callers.ReadBody(r, limit)
	defer hold.Release()
	if err != nil {
		return g.bodyError(err)
	}
	bodyBytes := len(body)
	spec, err := g.decodeJob(body)
	if err != nil {
		g.node.log.Info("failed to decode job", zap.String("job", string(id)), zap.Error(err))
		return errorResponse(http.StatusBadRequest, reasonBadRequest)
	}
	if _, accepted := g.node.acceptedJobs.cellOf(id); accepted {
		return response{status: http.StatusOK, reason: reasonDuplicate}
	}
	value, err := recordcodec.Encode(&jobrecord.Job{
		Queue: q.Name, Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		CriticalPathFactor: q.CriticalPathFactor, DeadlineSlackMS: q.DeadlineSlack.Milliseconds(), ReceivedMS: received, Spec: *spec,
	})
	if err != nil || len(value) > store.MaxValueBytes(g.node.settings.MaxRecordBytes) {
		return errorResponse(http.StatusRequestEntityTooLarge, reasonTooLarge)
	}
	if bodyBytes > httpintake.SmallBodyBytes {
		hold.Shrink(len(value)) // the body is not used any more
	}
	accepted, refused := g.admit(ctx, id, q, spec)
	if refused != nil {
		return *refused
	}
	cell := g.node.admission.accepted(id, accepted, g.node.chooseCell(spec))
	err = g.storeOrForward(ctx, cell, store.Record{Key: jobrecord.JobKey(id, g.node.nextWriter(), cell), Value: value})
	if err == nil {
		g.node.acceptedJobs.add(id, cell)
	}
	return g.storeResponse(err)
}

// bodyError returns the response to a request whose body was not read. The connection is closed after it.
func (g gateway) bodyError(err error) response {
	var refusal *httpintake.RefusedError
	switch {
	case errors.As(err, &refusal):
		g.node.intake.reporter.Refused("callers")(refusal.Reason)
		return response{status: http.StatusServiceUnavailable, reason: refusal.Reason, retryAfter: minRetryAfter, close: true}
	case errors.Is(err, httpintake.ErrTooLarge):
		return response{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge, close: true}
	}
	return response{status: http.StatusBadRequest, reason: reasonBadRequest, close: true}
}

// decodeJob decodes a job. A job may use many times the size of its body while it is decoded, so only maxDecodedJobs large ones are
// decoded at a time.
func (g gateway) decodeJob(body []byte) (*jobs.Spec, error) {
	if len(body) > httpintake.SmallBodyBytes {
		g.node.intake.decoding <- struct{}{}
		defer func() { <-g.node.intake.decoding }()
	}
	return g.node.platform.CallerCodec.DecodeJob(body)
}

// status responds with the state of a job.
func (g gateway) status(ctx context.Context, id jobs.ID) response {
	status, ok := g.queryStatus(ctx, id, statusQueryTimeout)
	switch {
	case !ok:
		return response{status: http.StatusServiceUnavailable, reason: reasonNoOwner, retryAfter: retryAfterNoOwner}
	case !status.known:
		return errorResponse(http.StatusGone, reasonNoJob)
	}
	return response{status: http.StatusOK, body: g.node.platform.CallerCodec.EncodeState(status.state)}
}

// pending responds with the number of accepted jobs of a queue that have not started.
func (g gateway) pending(ctx context.Context, q *queue.Queue) response {
	count, ok := g.countPending(ctx, q.Name)
	if !ok {
		return response{status: http.StatusServiceUnavailable, reason: reasonNoOwner, retryAfter: retryAfterNoOwner}
	}
	return response{status: http.StatusOK, body: g.node.platform.CallerCodec.EncodePending(count)}
}
