// Package httpcall is a client for small HTTP calls to many servers. A call is sent at most once and never repeated, and
// its error tells whether any of it was sent. A call on a kept connection takes two or three system calls.
package httpcall

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// maxConnsPerServer limits the connections to one server; calls beyond wait for one.
const maxConnsPerServer = 512

// readBufferBytes is the size of the buffer for reading a response, whose head must fit into it.
const readBufferBytes = 4096

// NotSentError is the error of a call of which certainly nothing was sent.
type NotSentError struct{ cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// OtherIncarnationError is the error of a call that was not sent because a later incarnation of the server has answered at
// its address than the one that the call is meant for.
type OtherIncarnationError struct {
	// Incarnation is the one that has answered.
	Incarnation int64
}

// Error implements error.
func (e *OtherIncarnationError) Error() string {
	return "not sent: incarnation " + strconv.FormatInt(e.Incarnation, 10) + " of the server has answered"
}

// errUnidentified means that the server does not say, or not as expected, which incarnation it is.
var errUnidentified = errors.New("the server has not been identified as the incarnation that the call is meant for")

// Options are the settings of a Client.
type Options struct {
	// Dialer establishes the connections. Its timeout is shortened to that of the call.
	Dialer net.Dialer
	// IdleTimeout is the time after which idle connections are closed. It should be shorter than that of the servers, so
	// that no request is sent on a connection that the server is closing.
	IdleTimeout time.Duration
	// MaxIdleConnsPerServer is the number of idle connections that are kept to each server.
	MaxIdleConnsPerServer int
	// MaxResponseBytes limits the body of a response.
	MaxResponseBytes int
	// Incarnation returns the incarnation of the server, a number that grows with each start of its process, that a response
	// names, or 0. It is called for the responses on a connection until one names an incarnation. It may be nil.
	Incarnation func(resp *fasthttp.Response) int64
}

// Client makes calls. Its methods may be called concurrently.
type Client struct {
	options Options
	readers sync.Pool // of *bufio.Reader

	mu      sync.RWMutex
	servers map[string]*fasthttp.HostClient
	// pruneAt is the number of servers at which those without connections are removed.
	pruneAt int
}

// New returns a Client.
func New(options Options) *Client {
	return &Client{options: options, servers: make(map[string]*fasthttp.HostClient), pruneAt: minPruneAt}
}

// minPruneAt is the smallest number of servers at which those without connections are removed.
const minPruneAt = 64

// Do sends a request to a server, given as host:port, and reads the response within the timeout. A call that has been
// sent is not cancelled when ctx ends, but ends at its timeout at the latest. The error is a NotSentError if certainly
// nothing was sent.
func (c *Client) Do(ctx context.Context, server string, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	return c.do(ctx, server, Recipient{}, req, resp, timeout)
}

// Recipient is the incarnation of a server that a call is meant for.
type Recipient struct {
	Incarnation int64
	// Identify is a request whose response names the incarnation of the server; see Options.Incarnation. It must not have an
	// effect on an incarnation that it is not meant for.
	Identify *fasthttp.Request
}

// DoAt is Do for a call that must not reach any other incarnation of the server. A connection cannot outlive the process at
// its other end, so the call is sent only on a connection on which that incarnation has answered. On a connection that is
// not identified yet, to.Identify is sent first. The error is an OtherIncarnationError if a later incarnation has answered;
// it is a NotSentError also if the server cannot be identified.
func (c *Client) DoAt(
	ctx context.Context, server string, to Recipient, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration,
) error {
	return c.do(ctx, server, to, req, resp, timeout)
}

// do is DoAt, and Do if to is the zero value.
func (c *Client) do(
	ctx context.Context, server string, to Recipient, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration,
) error {
	deadline := time.Now().Add(timeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	host := c.server(server)
	for {
		if err := ctx.Err(); err != nil {
			return &NotSentError{cause: err}
		}
		left := time.Until(deadline)
		if left <= 0 {
			return &NotSentError{cause: context.DeadlineExceeded}
		}
		pooled, err := host.AcquireConn(left, false)
		if err != nil {
			return &NotSentError{cause: err}
		}
		connection := pooled.Conn().(*conn) // only dial makes connections
		if connection.reused && time.Since(connection.usedAt) > c.options.IdleTimeout {
			host.CloseConn(pooled)
			continue
		}
		if to.Incarnation != 0 {
			switch usable, err := c.identify(connection, to, deadline); {
			case err != nil && usable:
				host.ReleaseConn(pooled) // for calls to the incarnation that has answered
				return err
			case err != nil:
				host.CloseConn(pooled)
				return err
			case !usable:
				host.CloseConn(pooled)
				continue
			}
		}
		reusable, err := c.exchange(connection, req, resp, deadline)
		if reusable && host.IdleConnsCount() < c.options.MaxIdleConnsPerServer {
			host.ReleaseConn(pooled)
			return nil
		}
		reused := connection.reused
		host.CloseConn(pooled)
		switch {
		case err != errNotSent:
			return err
		case !reused:
			return &NotSentError{cause: err}
		}
	}
}

// identify checks that a connection leads to the incarnation that a call is meant for. If it does not, err says why the call
// cannot be sent, or is nil if another connection may do; usable then says whether the connection can be used by other calls.
func (c *Client) identify(connection *conn, to Recipient, deadline time.Time) (usable bool, err error) {
	known := connection.incarnation != 0
	if !known {
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		reused := connection.reused
		reusable, err := c.exchange(connection, to.Identify, resp, deadline)
		switch {
		case err == errNotSent && reused:
			return false, nil // the server has closed an idle connection
		case err != nil:
			return false, &NotSentError{cause: err}
		case !reusable || connection.incarnation == 0:
			return false, &NotSentError{cause: errUnidentified}
		}
	}
	switch {
	case connection.incarnation > to.Incarnation:
		return true, &OtherIncarnationError{Incarnation: connection.incarnation}
	case connection.incarnation == to.Incarnation:
		return true, nil
	case known:
		return false, nil // that incarnation has ended
	}
	return false, &NotSentError{cause: errUnidentified}
}

// exchange sends a request on a connection and reads the response.
func (c *Client) exchange(connection *conn, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) (reusable bool, err error) {
	if err := connection.SetDeadline(deadline); err != nil {
		return false, errNotSent // the connection has been closed
	}
	if _, err := req.WriteTo(connection); err != nil {
		return false, &NotSentError{cause: err} // Write of conn sends nothing
	}
	reader := c.reader(connection)
	defer func() {
		reader.Reset(nil)
		c.readers.Put(reader)
	}()
	// Reading the response would hide the type of the error of sending.
	if _, err := reader.Peek(1); err != nil {
		return false, err
	}
	if err := resp.ReadLimitBody(reader, c.options.MaxResponseBytes); err != nil {
		return false, trace.Wrap(err)
	}
	connection.usedAt, connection.reused = time.Now(), true
	if connection.incarnation == 0 && c.options.Incarnation != nil {
		connection.incarnation = c.options.Incarnation(resp)
	}
	return !resp.ConnectionClose() && reader.Buffered() == 0, nil
}

func (c *Client) reader(connection *conn) *bufio.Reader {
	if reader, ok := c.readers.Get().(*bufio.Reader); ok {
		reader.Reset(connection)
		return reader
	}
	return bufio.NewReaderSize(connection, readBufferBytes)
}

// server returns the connections to a server.
func (c *Client) server(address string) *fasthttp.HostClient {
	c.mu.RLock()
	host := c.servers[address]
	c.mu.RUnlock()
	if host != nil {
		return host
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if host := c.servers[address]; host != nil {
		return host
	}
	c.prune()
	host = &fasthttp.HostClient{
		Addr: address, DialTimeout: c.dial, MaxConns: maxConnsPerServer, MaxConnWaitTimeout: c.options.Dialer.Timeout,
		MaxIdleConnDuration: c.options.IdleTimeout,
	}
	c.servers[address] = host
	return host
}

// prune removes servers without connections if there are many servers. The caller holds mu.
func (c *Client) prune() {
	if len(c.servers) < c.pruneAt {
		return
	}
	for address, host := range c.servers {
		if host.ConnsCount() == 0 {
			delete(c.servers, address)
		}
	}
	c.pruneAt = max(minPruneAt, 2*len(c.servers))
}

// dial establishes a connection; 0 is no timeout besides that of the dialer.
func (c *Client) dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := c.options.Dialer
	if timeout > 0 {
		dialer.Timeout = min(dialer.Timeout, timeout)
	}
	established, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	connection, err := newConn(established.(*net.TCPConn)) // the network is tcp
	if err != nil {
		_ = established.Close()
		return nil, err
	}
	return connection, nil
}
