package caller

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// hedgeFactor is the multiple of the mean answer time after which a second exchange begins.
	hedgeFactor = 2
	// never is a delay beyond every timeout.
	never = 24 * time.Hour
)

// hedgeDelay returns how long a request waits for its answer before a second exchange begins.
func (h *Handler) hedgeDelay(r *request) time.Duration {
	mean := r.state.queue.State().Service
	if !r.rule.Idempotent || mean == 0 {
		return never
	}
	return hedgeFactor * mean
}

// hedge begins a second exchange when a slot is free at once and the retry budget allows it.
func (h *Handler) hedge(ctx context.Context, r *request) ticket {
	e := r.state.queue.TryAcquire(h.admissionRequest(r))
	if e == nil {
		return ticket{}
	}
	if !r.state.budget.SpendSpare() {
		e.Release(time.Now(), endpoint.Neutral, 0)
		r.state.queue.Release(0)
		h.count("cactuswall_retries_refused_total", "hedge_budget_spent")
		return ticket{}
	}
	r.tried[e] = true
	h.count("cactuswall_retries_total", reasonHedge)
	return h.start(ctx, r, e)
}

// race is one exchange and perhaps a second one for the same request.
type race struct {
	first, hedge ticket
	// failed is how the one that ended first has failed.
	failed *verdict.Error
}

// ended takes the end of one of the two exchanges into account and reports whether it decides the race: an
// answer does, a failure only when the other one has ended too.
func (c *race) ended(which *ticket, got result) bool {
	*which = ticket{}
	if got.failure == nil || (c.first.results == nil && c.hedge.results == nil) {
		return true
	}
	c.failed = got.failure
	return false
}

// finish gives up what still runs and returns the result of the race.
func (h *Handler) finish(c race, got result) (*answer, *verdict.Error) {
	for _, t := range []ticket{c.first, c.hedge} {
		if late, delivered := t.abandon(); delivered {
			h.dropLate(late)
		}
	}
	if got.failure != nil && c.failed != nil && weight(c.failed.Verdict) > weight(got.failure.Verdict) {
		return nil, c.failed
	}
	return got.answer, got.failure
}

// giveUp ends a race whose caller or deadline waits no longer. An exchange that still runs may have reached
// its endpoint.
func (h *Handler) giveUp(c race, r *request) (*answer, *verdict.Error) {
	for _, t := range []*ticket{&c.first, &c.hedge} {
		if got, delivered := t.abandon(); delivered && c.ended(t, got) {
			return h.finish(c, got)
		}
	}
	failure := verdict.New(verdict.MayHaveRun, abandonReason(r), r.Context().Err())
	if c.failed != nil && c.failed.Verdict == verdict.Ran {
		return nil, c.failed
	}
	return nil, failure
}
