package caller

import (
	"bytes"
	"net"

	"cactuswall.example/cactuswall/internal/verdict"
)

// parseErrorHeaders follows the status line of the responses that net/http itself writes for a request that it
// cannot parse or whose header is too large. Responses of a handler don't match, because they have a Date
// header before these headers.
var parseErrorHeaders = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// verdictHeaderLine is added to these responses: a request that was not parsed has not run.
var verdictHeaderLine = []byte("\r\n" + VerdictHeader + ": " + verdict.NotRun.String())

// WithParseErrorVerdicts wraps l so that the responses that net/http itself writes to requests that it cannot
// parse carry a verdict, like every other refusal.
func WithParseErrorVerdicts(l net.Listener) net.Listener { return verdictListener{l} }

type verdictListener struct{ net.Listener }

// Accept implements net.Listener.
func (l verdictListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return verdictConn{c}, nil
}

type verdictConn struct{ net.Conn }

// Write implements net.Conn. It adds the verdict header to a response to a request that could not be parsed.
func (c verdictConn) Write(p []byte) (int, error) {
	lineEnd := bytes.IndexByte(p, '\r')
	if lineEnd < 0 || !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) || !bytes.HasPrefix(p[lineEnd:], parseErrorHeaders) {
		return c.Conn.Write(p)
	}
	resp := make([]byte, 0, len(p)+len(verdictHeaderLine))
	resp = append(resp, p[:lineEnd]...)
	resp = append(resp, verdictHeaderLine...)
	resp = append(resp, p[lineEnd:]...)
	if _, err := c.Conn.Write(resp); err != nil {
		return 0, err
	}
	return len(p), nil
}
