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

// DeadlineHeader carries the milliseconds that are left for a request. A caller may shorten its timeout
// by it; a node sets it on the request to the endpoint.
const DeadlineHeader = "Cactuswall-Deadline-Ms"

// timeoutOf returns the time for a request: the service's timeout, or what the caller gives if less.
func timeoutOf(r *http.Request, s *manifest.Service) time.Duration {
	timeout := s.Timeout.Std()
	given, err := strconv.ParseInt(r.Header.Get(DeadlineHeader), 10, 32)
	if err != nil || given < 0 {
		return timeout
	}
	return min(timeout, time.Duration(given)*time.Millisecond)
}

// checkTarget refuses requests whose target could be read in two ways.
func checkTarget(r *http.Request) *verdict.Error {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return verdict.New(verdict.NotRun, ReasonBadMethod, nil)
	}
	path := strings.ToLower(r.URL.EscapedPath())
	if !strings.HasPrefix(path, "/") || strings.Contains(path, "%2f") || strings.Contains(path, "%5c") {
		return verdict.New(verdict.NotRun, ReasonBadPath, nil)
	}
	for _, segment := range strings.Split(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return verdict.New(verdict.NotRun, ReasonBadPath, nil)
		}
	}
	return nil
}

// buffers bounds the bodies that are held in memory at once.
type buffers struct {
	max  int64
	used atomic.Int64
}

func (b *buffers) take(n int64) bool {
	if b.used.Add(n) > b.max {
		b.used.Add(-n)
		return false
	}
	return true
}

// bodyStep is how much of a body of unknown length is read at a time.
const bodyStep = 16 << 10

// readBody reads the whole body of a request into r. The returned function gives its memory back.
func (h *Handler) readBody(w http.ResponseWriter, r *request) (release func(), refusal *verdict.Error) {
	var taken int64
	release = func() { h.buffers.used.Add(-taken) }
	bound := h.limits.MaxBodyBytes
	if own := r.service.Limits.MaxBodyBytes; own > 0 {
		bound = min(bound, own)
	}
	if r.ContentLength > bound {
		return release, verdict.New(verdict.NotRun, ReasonTooLarge, nil)
	}
	if r.ContentLength == 0 {
		return release, nil
	}
	var buffer bytes.Buffer
	body := http.MaxBytesReader(w, r.Body, bound)
	for step := max(r.ContentLength, bodyStep); ; step = bodyStep {
		if !h.buffers.take(step) {
			return release, verdict.New(verdict.NotRun, ReasonNoMemory, nil)
		}
		taken += step
		n, err := io.CopyN(&buffer, body, step)
		if n == r.ContentLength || (err == io.EOF && r.ContentLength < 0) {
			r.body = buffer.Bytes()
			return release, nil
		}
		if err != nil {
			return release, bodyFailure(err)
		}
	}
}

func bodyFailure(err error) *verdict.Error {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return verdict.New(verdict.NotRun, ReasonTooLarge, err)
	case errors.As(err, &timeout) && timeout.Timeout():
		return verdict.New(verdict.NotRun, ReasonSlowCaller, err)
	default:
		return verdict.New(verdict.NotRun, ReasonBadBody, err)
	}
}

// outgoing makes the request to an endpoint. The body is sent with its length; trailers of the request
// are dropped.
func outgoing(ctx context.Context, r *request, address string) *http.Request {
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
	dropHopByHop(req.Header)
	req.Header.Del("Expect")
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		req.Header.Add("X-Forwarded-For", ip)
	}
	left := max(0, time.Until(r.deadline).Milliseconds())
	req.Header.Set(DeadlineHeader, strconv.FormatInt(left, 10))
	return req
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func dropHopByHop(header http.Header) {
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}
