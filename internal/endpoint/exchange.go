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

// Phase is the last phase that an exchange with an endpoint reached. An exchange is one request and its
// response.
type Phase int32

// The phases of an exchange, in the order in which they are reached.
const (
	// PhaseNotConnected means that no connection was established.
	PhaseNotConnected Phase = iota
	// PhaseConnected means that there was a connection, but nothing of the request was written to it.
	PhaseConnected
	// PhaseWritten means that at least a part of the request may have been written.
	PhaseWritten
	// PhaseHeaderRead means that the header of the response was read.
	PhaseHeaderRead
	// PhaseBodyTruncated means that the body of the response was truncated.
	PhaseBodyTruncated
)

// VerdictAt returns the verdict for an exchange that failed in the given phase.
func VerdictAt(p Phase) verdict.Verdict {
	switch p {
	case PhaseNotConnected, PhaseConnected:
		return verdict.NotRun
	case PhaseHeaderRead, PhaseBodyTruncated:
		return verdict.Ran
	default:
		return verdict.MayHaveRun
	}
}

// NotRunHeader is set by an endpoint on a response with status 503 when it refuses a request without running
// it. The value is the reason.
const NotRunHeader = "Cactuswall-Not-Run"

// The values of NotRunHeader that the node acts on.
const (
	// NotRunLeaving means that the endpoint is leaving and accepts no new requests.
	NotRunLeaving = "leaving"
	// NotRunNoSlot means that all slots of the endpoint are in use.
	NotRunNoSlot = "no_slot"
)

// Reasons for which an exchange fails.
const (
	ReasonConnectFailed          = verdict.Reason("endpoint_not_reached")
	ReasonConnectionLimit        = verdict.Reason("endpoint_connections_all_open")
	ReasonNotWritten             = verdict.Reason("endpoint_closed_before_request")    // nothing of the request was written
	ReasonReusedConnectionClosed = verdict.Reason("endpoint_closed_reused_connection") // like ReasonConnectionClosed, but on a reused connection
	ReasonConnectionClosed       = verdict.Reason("endpoint_broke_off")                // a new connection failed after a part of the request may have been written
	ReasonDeadline               = verdict.Reason("endpoint_deadline")
	ReasonAbandoned              = verdict.Reason("exchange_abandoned") // the context of the request was cancelled
	ReasonLeaving                = verdict.Reason("endpoint_leaving")
	ReasonNoSlot                 = verdict.Reason("endpoint_no_slot")
	ReasonRefused                = verdict.Reason("endpoint_refused")
	ReasonProtocolSwitched       = verdict.Reason("endpoint_switched_protocol")
)

// Send sends a request to e and returns the response once its header was read. Errors are of type
// *verdict.Error. The request is written at most once: automatic retries of http.Transport are disabled.
func Send(transport http.RoundTripper, req *http.Request, e *Endpoint) (*http.Response, error) {
	x := &exchange{}
	ctx := context.WithValue(req.Context(), endpointKey{}, e)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
	req = req.WithContext(ctx)
	disableReplay(req)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, x.failure(err)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return nil, verdict.New(verdict.Ran, ReasonProtocolSwitched, nil)
	}
	if notRun := resp.Header.Get(NotRunHeader); notRun != "" && resp.StatusCode == http.StatusServiceUnavailable {
		drain(resp.Body)
		return nil, verdict.New(verdict.NotRun, refusalReason(notRun), errors.New(notRun))
	}
	return resp, nil
}

// maxDrainBytes bounds how much of an unused body is read so that its connection can be reused.
const maxDrainBytes = 4 << 10

// drain reads the rest of a small body and closes it.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}

func refusalReason(notRun string) verdict.Reason {
	switch notRun {
	case NotRunLeaving:
		return ReasonLeaving
	case NotRunNoSlot:
		return ReasonNoSlot
	default:
		return ReasonRefused
	}
}

// replayHeaders maps the canonical names of the headers by which http.Transport treats any request as
// idempotent to names under which it does not find them.
var replayHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// disableReplay prevents http.Transport from retrying req. The transport retries a request on another
// connection when it has no body (or has GetBody) and either a safe method or one of replayHeaders.
func disableReplay(req *http.Request) {
	req.GetBody = nil
	for canonical, alias := range replayHeaders {
		if values, set := req.Header[canonical]; set {
			delete(req.Header, canonical)
			req.Header[alias] = values
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

// emptyBody is an empty body that http.Transport does not recognise as empty, unlike http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// exchange tracks how far one request to an endpoint got.
type exchange struct {
	mu        sync.Mutex
	connected bool
	reused    bool
	conn      *trackedConn
	// writesBefore is the number of writes on conn before this request.
	writesBefore uint64
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.connected = true
	x.reused = info.Reused
	x.conn, _ = info.Conn.(*trackedConn)
	if x.conn != nil {
		x.writesBefore = x.conn.writeCount()
	}
}

// phase returns the phase in which the exchange failed and blocks further writes on its connection, so that the
// phase is final.
func (x *exchange) phase() Phase {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case !x.connected:
		return PhaseNotConnected
	case x.conn != nil && x.conn.blockWrites() == x.writesBefore:
		return PhaseConnected
	default:
		return PhaseWritten
	}
}

func (x *exchange) failure(err error) *verdict.Error {
	p := x.phase()
	return verdict.New(VerdictAt(p), x.reason(p, err), err)
}

func (x *exchange) reason(p Phase, err error) verdict.Reason {
	switch {
	case errors.Is(err, errConnectionLimit):
		return ReasonConnectionLimit
	case errors.Is(err, context.DeadlineExceeded):
		return ReasonDeadline
	case errors.Is(err, context.Canceled):
		return ReasonAbandoned
	case p == PhaseNotConnected:
		return ReasonConnectFailed
	case p == PhaseConnected:
		return ReasonNotWritten
	case x.reused:
		return ReasonReusedConnectionClosed
	default:
		return ReasonConnectionClosed
	}
}
