package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/verdict"
)

// DeadlineHeader is the name of the header with the time in milliseconds that remains for a request. A caller
// may set it to shorten the timeout of the service; the node sets it on the request to the endpoint.
const DeadlineHeader = "Cactuswall-Deadline-Ms"

// requestTimeout returns the timeout of a request: that of the service, or the value of DeadlineHeader if it is
// shorter.
func requestTimeout(r *http.Request, s *manifest.Service) time.Duration {
	timeout := s.Timeout.Std()
	requestedMS, err := strconv.ParseInt(r.Header.Get(DeadlineHeader), 10, 32)
	if err != nil || requestedMS < 0 {
		return timeout
	}
	return min(timeout, time.Duration(requestedMS)*time.Millisecond)
}

// checkTarget refuses the methods CONNECT and TRACE, and paths that the node and an endpoint could interpret
// differently.
func checkTarget(r *http.Request) *verdict.Error {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return verdict.New(verdict.NotRun, ReasonMethodRefused, nil)
	}
	path := strings.ToLower(r.URL.EscapedPath())
	if !strings.HasPrefix(path, "/") || strings.Contains(path, "%2f") || strings.Contains(path, "%5c") {
		return verdict.New(verdict.NotRun, ReasonAmbiguousPath, nil)
	}
	for _, segment := range strings.Split(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return verdict.New(verdict.NotRun, ReasonAmbiguousPath, nil)
		}
	}
	return nil
}

// memoryBudget bounds the total size of the request bodies in memory, in bytes.
type memoryBudget struct {
	max  int64
	used atomic.Int64
}

// reserve reserves n bytes. It returns false if they would exceed the budget.
func (b *memoryBudget) reserve(n int64) bool {
	if b.used.Add(n) > b.max {
		b.used.Add(-n)
		return false
	}
	return true
}

// bodyChunkBytes is the size of the chunks in which a body of unknown length is read, and the minimum that is
// reserved for any body that is not empty.
const bodyChunkBytes = 16 << 10

// readBody reads the whole body of a request into r. The returned function releases the memory that was
// reserved for it and must be called also after a refusal.
func (h *Handler) readBody(w http.ResponseWriter, r *request) (release func(), refusal *verdict.Error) {
	var reserved int64
	release = func() { h.bodyMemory.used.Add(-reserved) }
	limit := h.limits.MaxBodyBytes
	if serviceLimit := r.service.Limits.MaxBodyBytes; serviceLimit > 0 {
		limit = min(limit, serviceLimit)
	}
	if r.ContentLength > limit {
		return release, verdict.New(verdict.NotRun, ReasonBodyTooLarge, nil)
	}
	if r.ContentLength == 0 {
		return release, nil
	}
	var buffer bytes.Buffer
	body := http.MaxBytesReader(w, r.Body, limit)
	for chunk := max(r.ContentLength, bodyChunkBytes); ; chunk = bodyChunkBytes {
		if !h.bodyMemory.reserve(chunk) {
			return release, verdict.New(verdict.NotRun, ReasonBuffersFull, nil)
		}
		reserved += chunk
		n, err := io.CopyN(&buffer, body, chunk)
		if n == r.ContentLength || (err == io.EOF && r.ContentLength < 0) {
			r.body = buffer.Bytes()
			return release, nil
		}
		if err != nil {
			return release, bodyFailure(err)
		}
	}
}

// bodyFailure returns the refusal for an error that occurred while reading a request body.
func bodyFailure(err error) *verdict.Error {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return verdict.New(verdict.NotRun, ReasonBodyTooLarge, err)
	case errors.As(err, &timeout) && timeout.Timeout():
		return verdict.New(verdict.NotRun, ReasonBodyTooSlow, err)
	default:
		return verdict.New(verdict.NotRun, ReasonBodyUnreadable, err)
	}
}

// outgoingRequest returns the request to send to an endpoint. Its body has a Content-Length; trailers of the
// caller's request are dropped.
func outgoingRequest(ctx context.Context, r *request, address string) *http.Request {
	req := r.Clone(ctx)
	req.RequestURI = ""
	req.URL.Scheme = "http"
	req.URL.Host = address
	req.TransferEncoding = nil
	req.Trailer = nil
	req.Close = false
	req.ContentLength = int64(len(r.body))
	req.Body = http.NoBody
	if len(r.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	removeHopByHop(req.Header)
	req.Header.Del("Expect")
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		req.Header.Add("X-Forwarded-For", ip)
	}
	remaining := max(0, time.Until(r.deadline).Milliseconds())
	req.Header.Set(DeadlineHeader, strconv.FormatInt(remaining, 10))
	return req
}

// hopByHopHeaders are the headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopByHop(header http.Header) {
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
