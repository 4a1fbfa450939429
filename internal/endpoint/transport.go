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
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept. It is short, so that the node closes a connection
	// before the endpoint does.
	idleTimeout = 15 * time.Second
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 8
	// maxAnswerHeaderBytes bounds the header of an answer.
	maxAnswerHeaderBytes = 64 << 10
)

var (
	errConnectionLimit = errors.New("every connection that this node may have to the endpoint is open")
	errSealed          = errors.New("the request on this connection was given up")
)

// DialFunc makes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport to endpoints. A nil dial means TCP. Connections are counted on the
// endpoint that the request is for and never pass its limit, and they tell Send whether a request that
// failed was ever written.
func NewTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext:            guarded(dial),
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		DisableCompression:     true,
	}
}

// endpointKey is the context key of the endpoint that a request is for.
type endpointKey struct{}

func guarded(dial DialFunc) DialFunc {
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
		return &guardedConn{Conn: conn, endpoint: e}, nil
	}
}

// guardedConn is a connection that knows how many writes were begun and can be sealed against more.
type guardedConn struct {
	net.Conn
	endpoint *Endpoint
	closing  sync.Once

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn. After seal it writes nothing.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	err := c.Conn.Close()
	if c.endpoint != nil {
		c.closing.Do(c.endpoint.closeConnection)
	}
	return err
}

// begun returns the writes that were begun so far.
func (c *guardedConn) begun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes and returns the writes that were begun.
func (c *guardedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}
