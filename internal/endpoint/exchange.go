package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

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

// The values of NotRunHeader that the node acts on.
const (
	// NotRunLeaving: the endpoint is leaving and takes no new work.
	NotRunLeaving = "leaving"
	// NotRunNoSlot: every slot of the endpoint is taken.
	NotRunNoSlot = "no_slot"
)

// Reasons for which an exchange fails.
const (
	ReasonConnect      = verdict.Reason("endpoint_not_reached")
	ReasonNoConnection = verdict.Reason("endpoint_connections_all_open")
	ReasonNotWritten   = verdict.Reason("endpoint_closed_before_request")
	ReasonReused       = verdict.Reason("endpoint_closed_reused_connection")
	ReasonBroken       = verdict.Reason("endpoint_broke_off")
	ReasonDeadline     = verdict.Reason("endpoint_deadline")
	ReasonAbandoned    = verdict.Reason("exchange_abandoned")
	ReasonLeaving      = verdict.Reason("endpoint_leaving")
	ReasonNoSlot       = verdict.Reason("endpoint_no_slot")
	ReasonRefused      = verdict.Reason("endpoint_refused")
	ReasonUpgrade      = verdict.Reason("endpoint_switched_protocol")
)

// Send sends one request to e and returns the answer once its header is read. Errors are of type
// *verdict.Error. The request is written at most once: the transport's own repetition is switched off.
func Send(transport http.RoundTripper, req *http.Request, e *Endpoint) (*http.Response, error) {
	x := &exchange{}
	ctx := context.WithValue(req.Context(), endpointKey{}, e)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
	req = req.WithContext(ctx)
	forbidReplay(req)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, x.failure(err)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return nil, verdict.New(verdict.Ran, ReasonUpgrade, nil)
	}
	if word := resp.Header.Get(NotRunHeader); word != "" && resp.StatusCode == http.StatusServiceUnavailable {
		discard(resp.Body)
		return nil, verdict.New(verdict.NotRun, refusalReason(word), errors.New(word))
	}
	return resp, nil
}

// maxDiscardBytes bounds what is read of an unwanted body to keep its connection.
const maxDiscardBytes = 4 << 10

func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDiscardBytes)
	_ = body.Close()
}

func refusalReason(word string) verdict.Reason {
	switch word {
	case NotRunLeaving:
		return ReasonLeaving
	case NotRunNoSlot:
		return ReasonNoSlot
	default:
		return ReasonRefused
	}
}

// replayHeaders are header names whose presence makes http.Transport take any request for idempotent.
var replayHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// forbidReplay keeps http.Transport from repeating req by itself. The transport repeats a request on
// another connection when it has no body (or GetBody) and either a safe method or one of replayHeaders.
func forbidReplay(req *http.Request) {
	req.GetBody = nil
	for canonical, plain := range replayHeaders {
		if values, set := req.Header[canonical]; set {
			delete(req.Header, canonical)
			req.Header[plain] = values
		}
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if req.Body == nil || req.Body == http.NoBody {
			req.Body = emptyBody{}
			req.ContentLength = 0
		}
	}
}

// emptyBody is an empty body that http.Transport does not recognise as http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// exchange follows one request through the transport.
type exchange struct {
	mu     sync.Mutex
	got    bool
	reused bool
	conn   *guardedConn
	before uint64
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.got = true
	x.reused = info.Reused
	x.conn, _ = info.Conn.(*guardedConn)
	if x.conn != nil {
		x.before = x.conn.begun()
	}
}

// phase returns how far the failed exchange came and makes sure that it comes no further.
func (x *exchange) phase() Phase {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case !x.got:
		return NotDialled
	case x.conn != nil && x.conn.seal() == x.before:
		return Dialled
	default:
		return Written
	}
}

func (x *exchange) failure(err error) *verdict.Error {
	p := x.phase()
	return verdict.New(VerdictAt(p), x.reason(p, err), err)
}

func (x *exchange) reason(p Phase, err error) verdict.Reason {
	switch {
	case errors.Is(err, errConnectionLimit):
		return ReasonNoConnection
	case errors.Is(err, context.DeadlineExceeded):
		return ReasonDeadline
	case errors.Is(err, context.Canceled):
		return ReasonAbandoned
	case p == NotDialled:
		return ReasonConnect
	case p == Dialled:
		return ReasonNotWritten
	case x.reused:
		return ReasonReused
	default:
		return ReasonBroken
	}
}
