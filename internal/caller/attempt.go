package caller

import (
	"context"
	"net/http"
	"time"

	"cactuswall.example/cactuswall/internal/admission"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/verdict"
)

// sendWithRetries sends a request until there is a response that is not retried, or the request may not be
// retried or admitted again.
func (h *Handler) sendWithRetries(ctx context.Context, r *request) (*response, *verdict.Error) {
	r.state.budget.Deposit(r.service.Limits.RetryPercent)
	var results attempts
	for {
		e, refusal := r.state.queue.Acquire(ctx, h.admissionRequest(r))
		if refusal != nil {
			results.addFailure(refusal)
			return results.result()
		}
		r.tried[e] = true
		res, failure := h.attempt(ctx, r, e)
		results.add(res, failure)
		reason, retry := retryable(r, res, failure)
		if !retry || ctx.Err() != nil {
			return results.result()
		}
		if !r.state.budget.Spend() {
			h.count("cactuswall_retries_refused_total", "budget_spent")
			return results.result()
		}
		h.count("cactuswall_retries_total", reason)
	}
}

// attempts combines the results of all attempts of a request. The verdict of the request as a whole is NotRun
// only if every attempt has the verdict NotRun.
type attempts struct {
	response *response
	// failure is the failure with the highest verdictRank so far.
	failure *verdict.Error
}

func (s *attempts) add(res *response, failure *verdict.Error) {
	if failure != nil {
		s.addFailure(failure)
		return
	}
	s.response.discard()
	s.response = res
}

func (s *attempts) addFailure(failure *verdict.Error) {
	if s.failure == nil || verdictRank(failure.Verdict) > verdictRank(s.failure.Verdict) {
		s.failure = failure
	}
}

// verdictRank orders verdicts by how certain it is that the request has run.
func verdictRank(v verdict.Verdict) int {
	switch v {
	case verdict.NotRun:
		return 0
	case verdict.Ran:
		return 2
	default:
		return 1
	}
}

// result returns the latest response, even if a later attempt failed, or else the failure with the highest
// verdictRank.
func (s *attempts) result() (*response, *verdict.Error) {
	if s.response != nil {
		return s.response, nil
	}
	return nil, s.failure
}

// retryable reports whether a request may be retried, and the reason for the retry.
func retryable(r *request, res *response, failure *verdict.Error) (verdict.Reason, bool) {
	if failure != nil {
		return failure.Reason, failure.Verdict == verdict.NotRun || r.rule.Idempotent
	}
	return reasonServerError, r.rule.Idempotent && serverError(res.status)
}

// serverError reports whether a status is a server error after which an idempotent request is retried.
func serverError(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (h *Handler) admissionRequest(r *request) admission.Request {
	return admission.Request{
		Class:    r.rule.Class,
		Deadline: r.deadline,
		Choose: func(now time.Time, localWait time.Duration) (*endpoint.Endpoint, route.Result) {
			return h.chooser.Choose(h.directory.ServiceEndpoints(r.service.Name), route.Request{
				Now:       now,
				Deadline:  r.deadline,
				LocalWait: localWait,
				Tried:     r.tried,
				Probe:     r.rule.Idempotent,
			})
		},
	}
}

// attempt makes one attempt at a request: it sends the request to an endpoint and, if the request is idempotent
// and takes long, also to a second endpoint (a hedge). The first response is used. The failure of one exchange
// does not end the attempt while the other exchange still runs.
func (h *Handler) attempt(ctx context.Context, r *request, e *endpoint.Endpoint) (*response, *verdict.Error) {
	pair := exchangePair{first: h.start(ctx, r, e)}
	timer := time.NewTimer(h.hedgeDelay(r))
	defer timer.Stop()
	for {
		select {
		case got := <-pair.first.results:
			if pair.recordEnd(&pair.first, got) {
				return h.finish(pair, got)
			}
		case got := <-pair.hedge.results:
			if pair.recordEnd(&pair.hedge, got) {
				return h.finish(pair, got)
			}
		case <-timer.C:
			pair.hedge = h.hedge(ctx, r)
		case <-ctx.Done():
			return h.abandon(pair, r)
		}
	}
}

// start starts an exchange in the background. The exchange continues after the caller disconnected or the
// deadline passed, because the slot stays in use until the endpoint has responded. It is cancelled at the
// latest when, after the deadline, the timeout of the service has passed once more.
func (h *Handler) start(ctx context.Context, r *request, e *endpoint.Endpoint) pendingExchange {
	pending := newPendingExchange()
	lifetime := time.Until(r.deadline) + r.service.Timeout.Std()
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), lifetime)
	req := outgoingRequest(detached, r, e.Address)
	go func() {
		res, failure := h.exchange(req, r, e, cancel)
		if !pending.deliver(exchangeResult{res, failure}) {
			h.discardLate(exchangeResult{res, failure})
		}
	}()
	return pending
}

// discardLate discards the result of an exchange that is not used, because the attempt was abandoned or has
// another result. It counts the result if it is a response.
func (h *Handler) discardLate(result exchangeResult) {
	result.response.discard()
	if result.failure == nil {
		h.count("cactuswall_answers_dropped_total", "late")
	}
}

// abandonReason returns the reason for which an attempt was abandoned.
func abandonReason(r *request) verdict.Reason {
	if r.Context().Err() != nil {
		return ReasonCallerDisconnected
	}
	return endpoint.ReasonDeadline
}

// exchange sends the request to an endpoint and reads the response. It releases the slot at the endpoint when
// the exchange has failed or the response was read completely. For a streamed response, the slot is released
// when the stream is closed.
func (h *Handler) exchange(req *http.Request, r *request, e *endpoint.Endpoint, cancel context.CancelFunc) (*response, *verdict.Error) {
	sentAt := time.Now()
	release := func(outcome endpoint.Outcome) {
		cancel()
		took := time.Since(sentAt)
		e.Release(time.Now(), outcome, took)
		if outcome != endpoint.OutcomeGood {
			took = 0
		}
		r.state.queue.Release(took)
	}
	resp, err := endpoint.Send(h.transport, req, e)
	if err != nil {
		failure := verdict.From(err)
		if failure.Reason == endpoint.ReasonLeaving {
			e.MarkLeaving()
		}
		release(outcomeOf(failure))
		return nil, failure
	}
	res, failure := h.readResponse(req, resp, release)
	return res, failure
}

// outcomeOf returns the outcome of an exchange that failed.
func outcomeOf(failure *verdict.Error) endpoint.Outcome {
	switch failure.Reason {
	case endpoint.ReasonNoSlot, endpoint.ReasonConnectionLimit:
		return endpoint.OutcomeFull
	case endpoint.ReasonLeaving, endpoint.ReasonRefused, endpoint.ReasonReusedConnectionClosed, endpoint.ReasonNotWritten:
		return endpoint.OutcomeNeutral
	default:
		return endpoint.OutcomeFailed
	}
}
