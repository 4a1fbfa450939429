package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout is the maximum time for establishing a connection.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept open. It is short so that the node closes a connection
	// before the endpoint does.
	idleTimeout = 15 * time.Second
	// maxIdlePerEndpoint is the maximum number of idle connections to one endpoint.
	maxIdlePerEndpoint = 8
	// maxResponseHeaderBytes is the maximum size of a response header.
	maxResponseHeaderBytes = 64 << 10
)

var (
	errConnectionLimit = errors.New("all connections in this node's share of the endpoint are in use")
	errWritesBlocked   = errors.New("writes on the connection are blocked: its request has failed")
)

// DialFunc establishes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport for requests to endpoints. If dial is nil, it uses TCP. Connections count
// towards the connection limit of the endpoint that the request is for, and dialling fails at the limit. The
// connections count their writes, from which Send determines whether a failed request may have reached the
// endpoint.
func NewTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext:            trackConns(dial),
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

// endpointKey is the context key for the endpoint that a request is sent to.
type endpointKey struct{}

// trackConns wraps dial so that each connection counts towards the limit of the endpoint in the context and
// tracks its writes.
func trackConns(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		e, _ := ctx.Value(endpointKey{}).(*Endpoint)
		if e != nil && !e.openConnection() {
			return nil, errConnectionLimit
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			if e != nil {
				e.closeConnection()
			}
			return nil, err
		}
		return &trackedConn{Conn: conn, endpoint: e}, nil
	}
}

// trackedConn is a connection that counts the writes that were started and can block further writes.
type trackedConn struct {
	net.Conn
	endpoint  *Endpoint
	closeOnce sync.Once

	mu            sync.Mutex
	writes        uint64
	writesBlocked bool
}

// Write implements net.Conn. After blockWrites it writes nothing and returns errWritesBlocked.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	if c.endpoint != nil {
		c.closeOnce.Do(c.endpoint.closeConnection)
	}
	return err
}

// writeCount returns the number of writes that were started so far.
func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// blockWrites blocks further writes and returns the number of writes that were started.
func (c *trackedConn) blockWrites() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.writes
}
