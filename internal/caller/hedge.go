package caller

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// hedgeFactor is the multiple of the mean service time after which a hedge is sent, that is, the same request
	// to a second endpoint.
	hedgeFactor = 2
	// noHedgeDelay is longer than any request timeout, so that no hedge is sent.
	noHedgeDelay = 24 * time.Hour
)

// hedgeDelay returns how long to wait for the response to a request before a hedge is sent. It returns
// noHedgeDelay if the request is not idempotent or no service time was measured yet.
func (h *Handler) hedgeDelay(r *request) time.Duration {
	mean := r.state.queue.State().MeanServiceTime
	if !r.rule.Idempotent || mean == 0 {
		return noHedgeDelay
	}
	return hedgeFactor * mean
}

// hedge starts a second exchange for a request if a slot is free immediately and the retry budget allows it.
// Otherwise it returns the zero value.
func (h *Handler) hedge(ctx context.Context, r *request) pendingExchange {
	e := r.state.queue.TryAcquire(h.admissionRequest(r))
	if e == nil {
		return pendingExchange{}
	}
	if !r.state.budget.SpendHedge() {
		e.Release(time.Now(), endpoint.OutcomeNeutral, 0)
		r.state.queue.Release(0)
		h.count("cactuswall_retries_refused_total", "hedge_budget_spent")
		return pendingExchange{}
	}
	r.tried[e] = true
	h.count("cactuswall_retries_total", reasonHedge)
	return h.start(ctx, r, e)
}

// exchangePair holds an exchange for a request and its hedge, if there is one.
type exchangePair struct {
	first, hedge pendingExchange
	// firstFailure is the failure of the exchange that ended first, if it failed.
	firstFailure *verdict.Error
}

// recordEnd records the result of one of the two exchanges and reports whether it decides the attempt: a
// response does, a failure only if the other exchange has ended too.
func (p *exchangePair) recordEnd(ended *pendingExchange, result exchangeResult) bool {
	*ended = pendingExchange{}
	if result.failure == nil || (p.first.results == nil && p.hedge.results == nil) {
		return true
	}
	p.firstFailure = result.failure
	return false
}

// finish abandons the exchange that still runs, if any, and returns the result of the attempt. If both
// exchanges failed, that is the failure with the higher verdictRank, or the later failure if the ranks are
// equal.
func (h *Handler) finish(pair exchangePair, result exchangeResult) (*response, *verdict.Error) {
	for _, pending := range []pendingExchange{pair.first, pair.hedge} {
		if late, delivered := pending.abandon(); delivered {
			h.discardLate(late)
		}
	}
	if result.failure != nil && pair.firstFailure != nil && verdictRank(pair.firstFailure.Verdict) > verdictRank(result.failure.Verdict) {
		return nil, pair.firstFailure
	}
	return result.response, result.failure
}

// abandon ends an attempt when the caller disconnected or the deadline passed. If a result that decides the
// attempt was delivered in the meantime, it returns that result. Otherwise it returns a failure: that of the
// exchange that has ended if its verdict is Ran, or else one with the verdict MayHaveRun, because an exchange
// that still runs may have reached its endpoint.
func (h *Handler) abandon(pair exchangePair, r *request) (*response, *verdict.Error) {
	for _, pending := range []*pendingExchange{&pair.first, &pair.hedge} {
		if result, delivered := pending.abandon(); delivered && pair.recordEnd(pending, result) {
			return h.finish(pair, result)
		}
	}
	failure := verdict.New(verdict.MayHaveRun, abandonReason(r), r.Context().Err())
	if pair.firstFailure != nil && pair.firstFailure.Verdict == verdict.Ran {
		return nil, pair.firstFailure
	}
	return nil, failure
}
