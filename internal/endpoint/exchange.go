package endpoint

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"cactuswall.example/cactuswall/internal/verdict"
)

// Phase is how far an exchange with an endpoint came.
type Phase int32

// The phases of an exchange, in their order.
const (
	// NotDialled: no connection was made.
	NotDialled Phase = iota
	// Dialled: there is a connection but nothing was written to it.
	Dialled
	// Written: some of the request was written.
	Written
	// HeaderRead: the header of the answer was read.
	HeaderRead
	// BodyCut: the body of the answer ended before its end.
	BodyCut
)

// VerdictAt returns the verdict for an exchange that broke in a phase.
func VerdictAt(p Phase) verdict.Verdict {
	switch p {
	case NotDialled, Dialled:
		return verdict.NotRun
	case HeaderRead, BodyCut:
		return verdict.Ran
	default:
		return verdict.MayHaveRun
	}
}

// NotRunHeader is set by an endpoint on a refusal that it made without running the request.
const NotRunHeader = "Cactuswall-Not-Run"

// Reasons for which an exchange fails.
const (
	ReasonConnect = verdict.Reason("endpoint_not_reached")
	ReasonBroken  = verdict.Reason("endpoint_broke_off")
	ReasonRefused = verdict.Reason("endpoint_refused")
)

// Send sends one request and returns the answer once its header is read. Errors are of type *verdict.Error.
func Send(transport http.RoundTripper, req *http.Request) (*http.Response, error) {
	var phase atomic.Int32
	reached := func(p Phase) {
		for {
			old := phase.Load()
			if old >= int32(p) || phase.CompareAndSwap(old, int32(p)) {
				return
			}
		}
	}
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { reached(Dialled) },
		WroteHeaders: func() { reached(Written) },
	}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, failure(Phase(phase.Load()), err)
	}
	if reason := resp.Header.Get(NotRunHeader); reason != "" && resp.StatusCode == http.StatusServiceUnavailable {
		_ = resp.Body.Close()
		return nil, verdict.New(verdict.NotRun, ReasonRefused, errors.New(reason))
	}
	return resp, nil
}

func failure(p Phase, err error) *verdict.Error {
	reason := ReasonBroken
	if p == NotDialled {
		reason = ReasonConnect
	}
	return verdict.New(VerdictAt(p), reason, err)
}
