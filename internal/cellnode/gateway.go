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

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cellrpc"
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
	reasonDetour      = verdict.Reason("owner_did_not_store")
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
	return g.stored(g.store(ctx, store.Record{Key: jobrecord.JobKey(id), Value: value}))
}

// store stores a record of the jobs topic, by way of the owner where the store does not answer this node. A record that
// is stored twice counts once. The error is nil when either way succeeded, and says "not run" only when both did.
func (g gateway) store(ctx context.Context, r store.Record) error {
	ctx, cancel := context.WithTimeout(ctx, maxStoring)
	defer cancel()
	results := make(chan error, 2)
	go func() { results <- g.node.storeRecord(ctx, r) }()
	timer := time.NewTimer(detourAfter)
	defer timer.Stop()
	var own error
	ways := 1
	select {
	case own = <-results:
		if own == nil {
			return nil
		}
		ways--
	case <-timer.C:
	}
	address := g.node.ownerAddress()
	if address == "" {
		if ways == 0 {
			return own
		}
		return <-results
	}
	ways++
	go func() { results <- g.detour(ctx, address, r) }()
	worst := own
	for range ways {
		err := <-results
		if err == nil {
			return nil
		}
		if worst == nil || verdict.Of(err) != verdict.NotRun {
			worst = err
		}
	}
	return worst
}

// storeRecord stores a record of the jobs topic. While the store is in doubt nothing is sent, so that the caller can be
// told at once that nothing has run.
func (n *Node) storeRecord(ctx context.Context, r store.Record) error {
	if n.storeInDoubt() {
		return verdict.New(verdict.NotRun, reasonStoreAway, nil)
	}
	_, err := n.accepts.Append(ctx, []store.Record{r})
	if err == nil {
		n.storeAnswered()
	}
	return err
}

// detour asks the owner to store a record.
func (g gateway) detour(ctx context.Context, address string, r store.Record) error {
	ctx, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	reply, err := g.node.peers.owner(address).Accept(ctx, &cellrpc.AcceptRequest{Key: r.Key, Value: r.Value})
	g.node.log.Info("record sent by way of the owner", zap.String("key", r.Key), zap.String("owner", address),
		zap.Bool("stored", err == nil && reply.Stored), zap.Error(err))
	var dial *net.OpError
	switch {
	case err == nil && reply.Stored:
		return nil
	case err == nil && reply.Refused, errors.As(err, &dial) && dial.Op == "dial":
		return verdict.New(verdict.NotRun, reasonDetour, err)
	}
	return verdict.New(verdict.MayHaveRun, reasonDetour, err)
}

// stored is the answer to a caller whose record was to be stored.
func (g gateway) stored(err error) answer {
	if err == nil {
		return answer{status: http.StatusOK}
	}
	if verdict.Of(err) == verdict.NotRun {
		return answer{status: http.StatusServiceUnavailable, reason: reasonNotStored, retryAfter: g.node.storeRetryAfter()}
	}
	return answer{status: http.StatusGatewayTimeout, reason: reasonStoreUnsure}
}

// storeRetryAfter is when a caller may come back whose record the store did not take.
func (n *Node) storeRetryAfter() time.Duration {
	away := time.Duration(int64(boottime.Now()) - n.storeSeen.Load())
	return min(longestRetryAfter, max(shortestRetryAfter, away))
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

// ask asks the owner for a job's state, for as long as patience if it does not answer.
func (g gateway) ask(ctx context.Context, id jobs.ID, patience time.Duration) (state jobs.State, known, ok bool) {
	began := time.Now()
	for {
		if state, known, ok = g.askOnce(ctx, id); ok {
			return state, known, true
		}
		if time.Since(began)+askPause > patience || ctx.Err() != nil {
			return 0, false, false
		}
		sleep(ctx, askPause)
	}
}

func (g gateway) askOnce(ctx context.Context, id jobs.ID) (state jobs.State, known, ok bool) {
	if o := g.node.owner.Load(); o != nil {
		return o.status(id)
	}
	address := g.node.ownerAddress()
	if address == "" {
		return 0, false, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	reply, err := g.node.peers.owner(address).Status(ctx, &cellrpc.StatusRequest{Job: string(id)})
	if err != nil || !reply.Owner {
		g.node.log.Info("owner did not answer", zap.String("job", string(id)), zap.String("owner", address), zap.Error(err))
		return 0, false, false
	}
	return jobs.State(reply.State), reply.Known, true
}

// ownerAddress is where the owner answers, or empty when none is known.
func (n *Node) ownerAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	newest, ok := n.view.Newest()
	if !ok || newest.Released || newest.Holder == n.holder {
		return ""
	}
	return newest.Address
}

// pending tells how many accepted jobs of a queue have not begun.
func (g gateway) pending(ctx context.Context, q *queue.Queue) answer {
	count, ok := g.countPending(ctx, q.Name)
	if !ok {
		return answer{status: http.StatusServiceUnavailable, reason: reasonNoOwner, retryAfter: retryAfterOwner}
	}
	return answer{status: http.StatusOK, body: g.node.platform.Wire.EncodePending(count)}
}

func (g gateway) countPending(ctx context.Context, name string) (int, bool) {
	if o := g.node.owner.Load(); o != nil {
		return o.pending(name)
	}
	p := g.node.peers
	p.mu.Lock()
	known, found := p.pending[name]
	p.mu.Unlock()
	if found && time.Since(known.at) < pendingAge {
		return known.count, true
	}
	address := g.node.ownerAddress()
	if address == "" {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	asked := time.Now()
	reply, err := p.owner(address).Pending(ctx, &cellrpc.PendingRequest{Queue: name})
	if err != nil || !reply.Owner {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[name] = pendingCount{count: int(reply.Count), at: asked}
	return int(reply.Count), true
}
