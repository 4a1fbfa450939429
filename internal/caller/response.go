package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/verdict"
)

// bufferedResponseBytes is the size below which a response is read completely before any of it is passed on.
const bufferedResponseBytes = 64 << 10

// response is the response of an endpoint. A short response is complete in body; of a long one, body holds the
// beginning and rest streams the remainder.
type response struct {
	status  int
	header  http.Header
	trailer http.Header
	body    []byte
	// length is the declared length of the body in bytes, or -1.
	length int64
	// rest is the remainder of a long response, or nil.
	rest io.ReadCloser
	// release releases the slot at the endpoint after the remainder was read. It is nil if rest is.
	release func(endpoint.Outcome)
}

// discard closes a response that is not passed on. The response may be nil.
func (res *response) discard() {
	if res == nil || res.rest == nil {
		return
	}
	_ = res.rest.Close()
	res.release(endpoint.OutcomeNeutral)
}

// readResponse reads a short response completely, or the beginning of a long one. A truncated response is a
// failure, and so is a response whose truncation could not be detected. readResponse calls release, unless it
// returns a response with a remainder; then the reader of the remainder calls response.release.
func (h *Handler) readResponse(req *http.Request, resp *http.Response, release func(endpoint.Outcome)) (*response, *verdict.Error) {
	if lengthUnknown(req, resp) {
		_ = resp.Body.Close()
		release(endpoint.OutcomeFailed)
		return nil, verdict.New(verdict.Ran, ReasonResponseLengthUnknown, nil)
	}
	var buffer bytes.Buffer
	if resp.ContentLength > 0 && req.Method != http.MethodHead {
		buffer.Grow(int(min(resp.ContentLength, bufferedResponseBytes)) + bytes.MinRead)
	}
	_, err := io.Copy(&buffer, io.LimitReader(resp.Body, bufferedResponseBytes))
	res := &response{status: resp.StatusCode, header: resp.Header, body: buffer.Bytes(), length: resp.ContentLength}
	if err != nil {
		_ = resp.Body.Close()
		release(endpoint.OutcomeFailed)
		return nil, verdict.New(endpoint.VerdictAt(endpoint.PhaseBodyTruncated), ReasonResponseTruncated, err)
	}
	if buffer.Len() == bufferedResponseBytes {
		res.rest = &trailerReader{ReadCloser: resp.Body, response: res, upstream: resp}
		res.release = release
		return res, nil
	}
	res.trailer = resp.Trailer
	_ = resp.Body.Close()
	release(outcomeOfStatus(res.status))
	return res, nil
}

// trailerReader reads the remainder of a response and copies the trailer at its end.
type trailerReader struct {
	io.ReadCloser
	response *response
	upstream *http.Response
}

// Read implements io.Reader.
func (t *trailerReader) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err == io.EOF {
		t.response.trailer = t.upstream.Trailer
	}
	return n, err
}

func outcomeOfStatus(status int) endpoint.Outcome {
	if serverError(status) {
		return endpoint.OutcomeFailed
	}
	return endpoint.OutcomeGood
}

// lengthUnknown reports whether the end of the response is marked only by the end of the connection, so that a
// truncated response could not be detected.
func lengthUnknown(req *http.Request, resp *http.Response) bool {
	if req.Method == http.MethodHead || resp.ContentLength >= 0 {
		return false
	}
	return len(resp.TransferEncoding) == 0
}

// writeResponse writes a response to the caller. If the remainder of the response fails after its beginning was
// written, the connection to the caller is aborted, so that the caller doesn't take the response for complete.
func (h *Handler) writeResponse(ctx context.Context, w http.ResponseWriter, r *request, res *response) {
	h.count("cactuswall_answers_total", verdict.Reason(strconv.Itoa(res.status)))
	h.setWriteDeadline(w)
	copyHeader(w.Header(), res.header)
	if res.rest == nil && r.Method != http.MethodHead && len(res.trailer) == 0 && bodyAllowed(res.status) {
		w.Header().Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	for name := range res.trailer {
		w.Header().Del("Content-Length")
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(res.status)
	if _, err := w.Write(res.body); err != nil && bodyAllowed(res.status) && r.Method != http.MethodHead {
		h.count("cactuswall_answers_dropped_total", "caller_gone")
	}
	if res.rest != nil {
		h.streamRest(ctx, w, res)
	}
	for name, values := range res.trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
}

// streamRest writes the remainder of a long response to the caller.
func (h *Handler) streamRest(ctx context.Context, w http.ResponseWriter, res *response) {
	stop := context.AfterFunc(ctx, func() { _ = res.rest.Close() })
	defer stop()
	_, err := io.Copy(deadlineWriter{h, w}, res.rest)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	_ = res.rest.Close()
	if err != nil {
		res.release(endpoint.OutcomeNeutral)
		h.count("cactuswall_answers_cut_total", ReasonResponseTruncated)
		panic(http.ErrAbortHandler)
	}
	res.release(outcomeOfStatus(res.status))
}

// deadlineWriter sets a new deadline before each write, so that a caller that reads slowly but steadily is
// served.
type deadlineWriter struct {
	h *Handler
	w http.ResponseWriter
}

// Write implements io.Writer.
func (d deadlineWriter) Write(p []byte) (int, error) {
	d.h.setWriteDeadline(d.w)
	return d.w.Write(p)
}

// setWriteDeadline limits the time that the next write may take if the caller reads slowly.
func (h *Handler) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.limits.WriteTimeout.Std()))
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// reservedHeaderPrefix is the prefix of the headers that only nodes may set on responses.
const reservedHeaderPrefix = "Cactuswall-"

// copyHeader copies the end-to-end headers of a response, except those with the reserved prefix. It removes the
// hop-by-hop headers of from.
func copyHeader(to, from http.Header) {
	removeHopByHop(from)
	for name, values := range from {
		if !strings.HasPrefix(name, reservedHeaderPrefix) {
			to[name] = values
		}
	}
}
