package caller

import (
	"context"
	"net/http"

	"cactuswall.example/cactuswall/internal/idempotency"
	"cactuswall.example/cactuswall/internal/verdict"
)

// KeyHeader is the name of the header with the idempotency key of a request that must run at most once.
const KeyHeader = "Idempotency-Key"

// maxKeyBytes is the maximum length of an idempotency key in bytes. Requests with a longer key are refused.
const maxKeyBytes = 256

// KeyAnswer is the decision on whether a request with an idempotency key may run.
type KeyAnswer int

// The decisions. The zero value is KeyUnknown, so that an unset decision never lets a request run.
const (
	// KeyUnknown means that it cannot be determined whether a request with the key has run.
	KeyUnknown KeyAnswer = iota
	// KeyGranted means that this request may run and no other request with the key may.
	KeyGranted
	// KeyBegun means that another request with the key has started and not ended.
	KeyBegun
	// KeyRan means that another request with the key has run or may have run.
	KeyRan
)

// OnceKeys decides which request with an idempotency key may run.
type OnceKeys interface {
	// Begin asks for permission to run a request with the key. The returned ticket is passed to End.
	Begin(ctx context.Context, key idempotency.Key) (KeyAnswer, KeyTicket)
	// End records the end of a request for which Begin returned KeyGranted or KeyUnknown. It is not called after
	// the other decisions. notRun is set if the request has not run and never will, so that another request with
	// the key may run.
	End(ticket KeyTicket, notRun bool)
}

// KeyTicket identifies the permission that Begin was asked for. It is passed to End.
type KeyTicket struct {
	Key     idempotency.Key
	Attempt idempotency.Attempt
	// Home is the address of the node that was asked last for permission, or empty if none was asked.
	Home string
}

// idempotencyKey returns the idempotency key of a request that is not idempotent by itself, or "".
func idempotencyKey(r *request) string {
	if r.rule.Idempotent {
		return ""
	}
	return r.Header.Get(KeyHeader)
}

// serveWithKey handles a request with an idempotency key. The request runs only with the permission for its
// key, which only one request can hold. A request with a key longer than maxKeyBytes or with more than one
// KeyHeader is refused.
func (h *Handler) serveWithKey(ctx context.Context, w http.ResponseWriter, r *request, key string) {
	if len(key) > maxKeyBytes || len(r.Header.Values(KeyHeader)) > 1 {
		h.refuse(w, verdict.New(verdict.NotRun, ReasonKeyTooLong, nil))
		return
	}
	if h.onceKeys == nil {
		h.refuse(w, verdict.New(verdict.MayHaveRun, ReasonKeysUnkept, nil))
		return
	}
	decision, ticket := h.onceKeys.Begin(ctx, idempotency.KeyOf(r.service.Name, key))
	if decision != KeyGranted {
		if decision == KeyUnknown {
			h.onceKeys.End(ticket, true)
		}
		h.refuse(w, keyRefusal(decision))
		return
	}
	res, failure := h.sendWithRetries(ctx, r)
	h.onceKeys.End(ticket, failure != nil && failure.Verdict == verdict.NotRun)
	h.reply(ctx, w, r, res, failure)
}

// keyRefusal returns the refusal for a request that may not run because of its idempotency key. The verdict
// says whether any request with the key has run, not only this one.
func keyRefusal(decision KeyAnswer) *verdict.Error {
	switch decision {
	case KeyRan, KeyBegun:
		return verdict.New(verdict.MayHaveRun, ReasonKeySeen, nil)
	default:
		return verdict.New(verdict.MayHaveRun, ReasonKeyUnknown, nil)
	}
}
