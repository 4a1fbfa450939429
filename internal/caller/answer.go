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

// wholeAnswerBytes is the size up to which an answer is read whole before any of it is passed on.
const wholeAnswerBytes = 64 << 10

// answer is the answer of an endpoint: whole, or its beginning and the rest as a stream.
type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    []byte
	// length is the declared length of the body, or -1.
	length int64
	// rest is the rest of a long answer, or nil.
	rest io.ReadCloser
	// finish gives the endpoint's slot back after the rest, or is nil.
	finish func(endpoint.Outcome)
}

// drop closes an answer that is not passed on. A nil answer is fine.
func (a *answer) drop() {
	if a == nil || a.rest == nil {
		return
	}
	_ = a.rest.Close()
	a.finish(endpoint.Neutral)
}

// readAnswer reads a short answer whole and checks its length. A cut answer is a failure.
func (h *Handler) readAnswer(req *http.Request, resp *http.Response, finish func(endpoint.Outcome)) (*answer, *verdict.Error) {
	if lengthUnknown(req, resp) {
		_ = resp.Body.Close()
		finish(endpoint.Failed)
		return nil, verdict.New(verdict.Ran, ReasonNoLength, nil)
	}
	var buffer bytes.Buffer
	if resp.ContentLength > 0 && req.Method != http.MethodHead {
		buffer.Grow(int(min(resp.ContentLength, wholeAnswerBytes)) + bytes.MinRead)
	}
	_, err := io.Copy(&buffer, io.LimitReader(resp.Body, wholeAnswerBytes))
	a := &answer{status: resp.StatusCode, header: resp.Header, body: buffer.Bytes(), length: resp.ContentLength}
	if err != nil {
		_ = resp.Body.Close()
		finish(endpoint.Failed)
		return nil, verdict.New(endpoint.VerdictAt(endpoint.BodyCut), ReasonCut, err)
	}
	if buffer.Len() == wholeAnswerBytes {
		a.rest = &trailed{ReadCloser: resp.Body, answer: a, response: resp}
		a.finish = finish
		return a, nil
	}
	a.trailer = resp.Trailer
	_ = resp.Body.Close()
	finish(outcomeOfStatus(a.status))
	return a, nil
}

// trailed is the rest of an answer that takes over the trailer at its end.
type trailed struct {
	io.ReadCloser
	answer   *answer
	response *http.Response
}

// Read implements io.Reader.
func (t *trailed) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err == io.EOF {
		t.answer.trailer = t.response.Trailer
	}
	return n, err
}

func outcomeOfStatus(status int) endpoint.Outcome {
	if serverError(status) {
		return endpoint.Failed
	}
	return endpoint.Good
}

// lengthUnknown reports whether the end of the answer is only told by the end of the connection, so that
// a cut could not be seen.
func lengthUnknown(req *http.Request, resp *http.Response) bool {
	if req.Method == http.MethodHead || resp.ContentLength >= 0 {
		return false
	}
	return len(resp.TransferEncoding) == 0
}

// pass passes an answer on. An answer that breaks after its beginning was passed on breaks the caller's
// connection, so that it never passes as whole.
func (h *Handler) pass(ctx context.Context, w http.ResponseWriter, r *request, a *answer) {
	h.count("cactuswall_answers_total", verdict.Reason(strconv.Itoa(a.status)))
	h.limitWrite(w)
	copyHeader(w.Header(), a.header)
	if a.rest == nil && r.Method != http.MethodHead && len(a.trailer) == 0 && bodyAllowed(a.status) {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	for name := range a.trailer {
		w.Header().Del("Content-Length")
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil && bodyAllowed(a.status) && r.Method != http.MethodHead {
		h.count("cactuswall_answers_dropped_total", "caller_gone")
	}
	if a.rest != nil {
		h.passRest(ctx, w, a)
	}
	for name, values := range a.trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
}

// passRest streams the rest of a long answer.
func (h *Handler) passRest(ctx context.Context, w http.ResponseWriter, a *answer) {
	stop := context.AfterFunc(ctx, func() { _ = a.rest.Close() })
	defer stop()
	_, err := io.Copy(deadlineWriter{h, w}, a.rest)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	_ = a.rest.Close()
	if err != nil {
		a.finish(endpoint.Neutral)
		h.count("cactuswall_answers_cut_total", ReasonCut)
		panic(http.ErrAbortHandler)
	}
	a.finish(outcomeOfStatus(a.status))
}

// deadlineWriter gives each write its own time, so that a slow but steady reader is served.
type deadlineWriter struct {
	h *Handler
	w http.ResponseWriter
}

// Write implements io.Writer.
func (d deadlineWriter) Write(p []byte) (int, error) {
	d.h.limitWrite(d.w)
	return d.w.Write(p)
}

// limitWrite bounds the next write to a caller that reads slowly.
func (h *Handler) limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.limits.WriteTimeout.Std()))
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// ownPrefix begins the names of headers that only nodes may set on answers.
const ownPrefix = "Cactuswall-"

// copyHeader passes the end-to-end headers of an answer on.
func copyHeader(to, from http.Header) {
	dropHopByHop(from)
	for name, values := range from {
		if !strings.HasPrefix(name, ownPrefix) {
			to[name] = values
		}
	}
}
