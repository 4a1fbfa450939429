package standin

import (
	"context"
	"net/http"

	"cactuswall.example/cactuswall/internal/verdict"
)

// domainKey is the key of the failure domain that a call comes from, in its context.
type domainKey struct{}

// WithFailureDomain returns a context for calls that come from a failure domain.
func WithFailureDomain(ctx context.Context, domain string) context.Context {
	return context.WithValue(ctx, domainKey{}, domain)
}

// From marks every request that next serves as coming from a failure domain. A stand-in that is reached over
// HTTP answers each domain on an address of its own.
func From(domain string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(WithFailureDomain(r.Context(), domain)))
	})
}

// CutOff loses every call from a failure domain while cut is true: it has no effect and gets no answer.
func (f *Faults) CutOff(domain string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut == nil {
		f.cut = make(map[string]bool)
	}
	f.cut[domain] = cut
}

// awaitCut holds a call from a domain that is cut off until its caller gives up.
func (f *Faults) awaitCut(ctx context.Context) error {
	domain, _ := ctx.Value(domainKey{}).(string)
	f.mu.Lock()
	cut := f.cut[domain]
	f.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	return verdict.New(verdict.MayHaveRun, "cut_off", ctx.Err())
}
