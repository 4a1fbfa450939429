// Package httpcall is a client for small HTTP calls to many servers. A call is sent at most once and never repeated, and
// its error tells whether any of it was sent. A call on a kept connection takes two or three system calls.
package httpcall

import (
	"bufio"
	"context"
	"net"
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
