package caller

import (
	"bytes"
	"net"

	"cactuswall.example/cactuswall/internal/verdict"
)

// unparsedEnd follows the status line of the replies that net/http writes by itself to a request that it
// cannot parse or whose header is too large. Answers of a handler hold a Date before they could hold this.
var unparsedEnd = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// verdictLine is added to those replies: a request that was not parsed did not run.
var verdictLine = []byte("\r\n" + VerdictHeader + ": " + verdict.NotRun.String())

// WithVerdicts returns l with connections on which the replies to requests that cannot be parsed carry a verdict
// like every other refusal.
func WithVerdicts(l net.Listener) net.Listener { return verdictListener{l} }

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

// Write implements net.Conn.
func (c verdictConn) Write(p []byte) (int, error) {
	end := bytes.IndexByte(p, '\r')
	if end < 0 || !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) || !bytes.HasPrefix(p[end:], unparsedEnd) {
		return c.Conn.Write(p)
	}
	reply := make([]byte, 0, len(p)+len(verdictLine))
	reply = append(reply, p[:end]...)
	reply = append(reply, verdictLine...)
	reply = append(reply, p[end:]...)
	if _, err := c.Conn.Write(reply); err != nil {
		return 0, err
	}
	return len(p), nil
}
