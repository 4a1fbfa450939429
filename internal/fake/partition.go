package fake

import (
	"context"
	"net/http"

	"cactuswall.example/cactuswall/internal/verdict"
)

// domainKey is the context key of the failure domain that a call comes from.
type domainKey struct{}

// WithFailureDomain returns a context for calls that come from a failure domain.
func WithFailureDomain(ctx context.Context, domain string) context.Context {
	return context.WithValue(ctx, domainKey{}, domain)
}

// FromFailureDomain returns a handler that passes requests to next with the failure domain that they come from
// in their context. A fake that is reached over HTTP listens on a separate address for each domain.
func FromFailureDomain(domain string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(WithFailureDomain(r.Context(), domain)))
	})
}

// Partition makes every call from a failure domain get lost while cut is true: the call has no effect and gets
// no reply.
func (f *Faults) Partition(domain string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cutDomains == nil {
		f.cutDomains = make(map[string]bool)
	}
	f.cutDomains[domain] = cut
}

// blockIfCut blocks a call from a failure domain that is cut off until the context of the call is done.
func (f *Faults) blockIfCut(ctx context.Context) error {
	domain, _ := ctx.Value(domainKey{}).(string)
	f.mu.Lock()
	cut := f.cutDomains[domain]
	f.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	return verdict.New(verdict.MayHaveRun, "cut_off", ctx.Err())
}
