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

// run sends a request until it has an answer or may not be sent again.
func (h *Handler) run(ctx context.Context, r *request) (*answer, *verdict.Error) {
	r.state.budget.Earn(r.service.Limits.RetryPercent)
	var so attempts
	for {
		e, refusal := r.state.queue.Acquire(ctx, h.admissionRequest(r))
		if refusal != nil {
			so.failed(refusal)
			return so.result()
		}
		r.tried[e] = true
		a, failure := h.attempt(ctx, r, e)
		so.take(a, failure)
		reason, again := retryable(r, a, failure)
		if !again || ctx.Err() != nil {
			return so.result()
		}
		if !r.state.budget.Spend() {
			h.count("cactuswall_retries_refused_total", "budget_spent")
			return so.result()
		}
		h.count("cactuswall_retries_total", reason)
	}
}

// attempts joins what came of all attempts of a request. The request as a whole has not run only if no
// attempt may have.
type attempts struct {
	answer *answer
	// past is the failure that says most of whether the request has run.
	past *verdict.Error
}

func (s *attempts) take(a *answer, failure *verdict.Error) {
	if failure != nil {
		s.failed(failure)
		return
	}
	s.answer.drop()
	s.answer = a
}

func (s *attempts) failed(failure *verdict.Error) {
	if s.past == nil || weight(failure.Verdict) > weight(s.past.Verdict) {
		s.past = failure
	}
}

// weight orders verdicts by how much they say of an effect.
func weight(v verdict.Verdict) int {
	switch v {
	case verdict.NotRun:
		return 0
	case verdict.Ran:
		return 2
	default:
		return 1
	}
}

// result returns the newest answer, although a later attempt failed, or the failure that says most.
func (s *attempts) result() (*answer, *verdict.Error) {
	if s.answer != nil {
		return s.answer, nil
	}
	return nil, s.past
}

// retryable reports whether a request may be sent again, and the reason for which it would be.
func retryable(r *request, a *answer, failure *verdict.Error) (verdict.Reason, bool) {
	if failure != nil {
		return failure.Reason, failure.Verdict == verdict.NotRun || r.rule.Idempotent
	}
	return reasonServerError, r.rule.Idempotent && serverError(a.status)
}

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
			return h.chooser.Choose(h.directory.Of(r.service.Name), route.Request{
				Now:       now,
				Deadline:  r.deadline,
				LocalWait: localWait,
				Tried:     r.tried,
				Probe:     r.rule.Idempotent,
			})
		},
	}
}

// attempt is one exchange with an endpoint, and for an idempotent request that takes long a second one with
// another endpoint. The first answer counts.
func (h *Handler) attempt(ctx context.Context, r *request, e *endpoint.Endpoint) (*answer, *verdict.Error) {
	race := race{first: h.start(ctx, r, e)}
	timer := time.NewTimer(h.hedgeDelay(r))
	defer timer.Stop()
	for {
		select {
		case got := <-race.first.results:
			if race.ended(&race.first, got) {
				return h.finish(race, got)
			}
		case got := <-race.hedge.results:
			if race.ended(&race.hedge, got) {
				return h.finish(race, got)
			}
		case <-timer.C:
			race.hedge = h.hedge(ctx, r)
		case <-ctx.Done():
			return h.giveUp(race, r)
		}
	}
}

// start begins an exchange in the background. It goes on after the caller or the deadline has given it up,
// since the endpoint's slot stays taken until the endpoint has answered.
func (h *Handler) start(ctx context.Context, r *request, e *endpoint.Endpoint) ticket {
	t := newTicket()
	linger := time.Until(r.deadline) + r.service.Timeout.Std()
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), linger)
	req := outgoing(detached, r, e.Address)
	go func() {
		a, failure := h.exchange(req, r, e, cancel)
		if !t.deliver(result{a, failure}) {
			h.dropLate(result{a, failure})
		}
	}()
	return t
}

// dropLate drops an answer that nobody waits for any more.
func (h *Handler) dropLate(got result) {
	got.answer.drop()
	if got.failure == nil {
		h.count("cactuswall_answers_dropped_total", "late")
	}
}

func abandonReason(r *request) verdict.Reason {
	if r.Context().Err() != nil {
		return ReasonCallerGone
	}
	return endpoint.ReasonDeadline
}

// exchange sends the request and reads the answer. The endpoint's slot is given back once the answer is
// whole or broken, for a long answer when it is closed.
func (h *Handler) exchange(req *http.Request, r *request, e *endpoint.Endpoint, cancel context.CancelFunc) (*answer, *verdict.Error) {
	sent := time.Now()
	finish := func(outcome endpoint.Outcome) {
		cancel()
		took := time.Since(sent)
		e.Release(time.Now(), outcome, took)
		if outcome != endpoint.Good {
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
		finish(outcomeOf(failure))
		return nil, failure
	}
	a, failure := h.readAnswer(req, resp, finish)
	return a, failure
}

func outcomeOf(failure *verdict.Error) endpoint.Outcome {
	switch failure.Reason {
	case endpoint.ReasonNoSlot, endpoint.ReasonNoConnection:
		return endpoint.Full
	case endpoint.ReasonLeaving, endpoint.ReasonRefused, endpoint.ReasonReused, endpoint.ReasonNotWritten:
		return endpoint.Neutral
	default:
		return endpoint.Failed
	}
}
