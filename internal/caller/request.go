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
	"time"

	"cactuswall.example/cactuswall/internal/httpintake"
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

// readBody reads the whole body of a request into r. The returned hold must be released also after a refusal.
func (h *Handler) readBody(w http.ResponseWriter, r *request) (hold httpintake.Hold, refusal *verdict.Error) {
	limit := h.limits.MaxBodyBytes
	if serviceLimit := r.service.Limits.MaxBodyBytes; serviceLimit > 0 {
		limit = min(limit, serviceLimit)
	}
	body, hold, err := h.bodies.ReadBody(r.Request, limit)
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return hold, h.bodyFailure(err)
	}
	r.body = body
	return hold, nil
}

// bodyFailure returns the refusal for an error that occurred while reading a request body.
func (h *Handler) bodyFailure(err error) *verdict.Error {
	var refused *httpintake.RefusedError
	var timeout net.Error
	switch {
	case errors.As(err, &refused):
		if h.bodyRefused != nil {
			h.bodyRefused(refused.Reason)
		}
		switch refused.Reason {
		case httpintake.ReasonStalled:
			return verdict.New(verdict.NotRun, refused.Reason, err)
		case httpintake.ReasonStopping:
			return verdict.New(verdict.NotRun, ReasonStopping, err)
		}
		return verdict.New(verdict.NotRun, ReasonBuffersFull, err)
	case errors.Is(err, httpintake.ErrTooLarge):
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
