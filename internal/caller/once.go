package caller

import (
	"context"
	"net/http"

	"cactuswall.example/cactuswall/internal/once"
	"cactuswall.example/cactuswall/internal/verdict"
)

// KeyHeader carries the idempotency key of a request that must run at most once.
const KeyHeader = "Idempotency-Key"

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 256

// KeyAnswer says whether a request with a key may run.
type KeyAnswer int

// The answers. The zero value is KeyUnknown, so that a forgotten answer never runs a request.
const (
	// KeyUnknown: it cannot be known whether the request has run.
	KeyUnknown KeyAnswer = iota
	// KeyGranted: this request alone may run.
	KeyGranted
	// KeyBegun: another request with the key has begun and not ended.
	KeyBegun
	// KeyRan: another request with the key has run, or may have.
	KeyRan
)

// OnceKeys decides which request with an idempotency key may run.
type OnceKeys interface {
	// Begin asks for the right to run the request. The ticket names it in End.
	Begin(ctx context.Context, key once.Key) (KeyAnswer, KeyTicket)
	// End says whether the request has not run, and never will.
	End(ticket KeyTicket, notRun bool)
}

// KeyTicket names the right to run a request.
type KeyTicket struct {
	Key     once.Key
	Attempt once.Attempt
	// Home is the node that was asked.
	Home string
}

// onceKey returns the idempotency key of a request that must run at most once, or "".
func onceKey(r *request) string {
	if r.rule.Idempotent {
		return ""
	}
	return r.Header.Get(KeyHeader)
}

// serveOnce answers a request with an idempotency key. It runs only with the right to, which no other
// request with the key can have.
func (h *Handler) serveOnce(ctx context.Context, w http.ResponseWriter, r *request, given string) {
	if len(given) > maxKeyBytes || len(r.Header.Values(KeyHeader)) > 1 {
		h.refuse(w, verdict.New(verdict.NotRun, ReasonKeyTooLong, nil))
		return
	}
	if h.once == nil {
		h.refuse(w, verdict.New(verdict.MayHaveRun, ReasonKeysUnkept, nil))
		return
	}
	granted, ticket := h.once.Begin(ctx, once.KeyOf(r.service.Name, given))
	if granted != KeyGranted {
		if granted == KeyUnknown {
			h.once.End(ticket, true)
		}
		h.refuse(w, keyRefusal(granted))
		return
	}
	a, failure := h.run(ctx, r)
	h.once.End(ticket, failure != nil && failure.Verdict == verdict.NotRun)
	h.reply(ctx, w, r, a, failure)
}

// keyRefusal returns the verdict on a key that may not run. It speaks of the key: whether any request with
// it has run.
func keyRefusal(a KeyAnswer) *verdict.Error {
	switch a {
	case KeyRan, KeyBegun:
		return verdict.New(verdict.MayHaveRun, ReasonKeySeen, nil)
	default:
		return verdict.New(verdict.MayHaveRun, ReasonKeyUnknown, nil)
	}
}
