package caller

import (
	"context"
	"net/http"

	"cactuswall.example/cactuswall/internal/idempotency"
	"cactuswall.example/cactuswall/internal/verdict"
)

// IdempotencyKeyHeader is the name of the header with the idempotency key of a request that must run at most
// once.
const IdempotencyKeyHeader = "Idempotency-Key"

// maxKeyBytes is the maximum length of an idempotency key in bytes. Requests with a longer key are refused.
const maxKeyBytes = 256

// KeyDecision is the decision on whether a request with an idempotency key may run.
type KeyDecision int

// The decisions. The zero value is KeyUnknown, so that an unset decision never lets a request run.
const (
	// KeyUnknown means that it cannot be determined whether a request with the key has run.
	KeyUnknown KeyDecision = iota
	// KeyGranted means that this request may run and no other request with the key may.
	KeyGranted
	// KeyInProgress means that another request with the key has started and not ended.
	KeyInProgress
	// KeyRan means that another request with the key has run or may have run.
	KeyRan
)

// IdempotencyKeys decides which request with an idempotency key may run.
type IdempotencyKeys interface {
	// Begin asks for permission to run a request with the key. The returned claim is passed to End.
	Begin(ctx context.Context, key idempotency.Key) (KeyDecision, KeyClaim)
	// End records the end of a request for which Begin returned KeyGranted or KeyUnknown. It is not called after
	// the other decisions. notRun is set if the request has not run and never will, so that another request with
	// the key may run.
	End(claim KeyClaim, notRun bool)
}

// KeyClaim identifies the permission that Begin was asked for. It is passed to End.
type KeyClaim struct {
	Key     idempotency.Key
	Attempt idempotency.Attempt
	// NodeAddress is the address of the node that was asked last for permission, or empty if none was asked.
	NodeAddress string
}

// idempotencyKey returns the idempotency key of a request that is not idempotent by itself, or "".
func idempotencyKey(r *request) string {
	if r.rule.Idempotent {
		return ""
	}
	return r.Header.Get(IdempotencyKeyHeader)
}

// serveWithKey handles a request with an idempotency key. The request runs only with the permission for its
// key, which only one request can hold. A request with a key longer than maxKeyBytes or with more than one
// IdempotencyKeyHeader is refused.
func (h *Handler) serveWithKey(ctx context.Context, w http.ResponseWriter, r *request, key string) {
	if len(key) > maxKeyBytes || len(r.Header.Values(IdempotencyKeyHeader)) > 1 {
		h.refuse(w, verdict.New(verdict.NotRun, ReasonKeyTooLong, nil))
		return
	}
	if h.idempotencyKeys == nil {
		h.refuse(w, verdict.New(verdict.MayHaveRun, ReasonKeysNotKept, nil))
		return
	}
	decision, claim := h.idempotencyKeys.Begin(ctx, idempotency.KeyOf(r.service.Name, key))
	if decision != KeyGranted {
		if decision == KeyUnknown {
			h.idempotencyKeys.End(claim, true)
		}
		h.refuse(w, keyRefusal(decision))
		return
	}
	res, failure := h.sendWithRetries(ctx, r)
	h.idempotencyKeys.End(claim, failure != nil && failure.Verdict == verdict.NotRun)
	h.reply(ctx, w, r, res, failure)
}

// keyRefusal returns the refusal for a request that may not run because of its idempotency key. The verdict
// says whether any request with the key has run, not only this one.
func keyRefusal(decision KeyDecision) *verdict.Error {
	switch decision {
	case KeyRan, KeyInProgress:
		return verdict.New(verdict.MayHaveRun, ReasonKeyAlreadyUsed, nil)
	default:
		return verdict.New(verdict.MayHaveRun, ReasonKeyStateUnknown, nil)
	}
}
