// Package httpintake applies the decisions of package intake to HTTP servers: it bounds the connections of a server, and the
// memory that the bodies of requests use.
package httpintake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"cactuswall.example/cactuswall/internal/intake"
)

// began is the start of the clock of this package.
var began = time.Now()

func now() time.Duration { return time.Since(began) }

// Reasons for which connections are closed, as given to ListenerOptions.Closed.
const (
	// ClosedOverLimit is a new connection for which there is no place.
	ClosedOverLimit = "over_limit"
	// ClosedStalled is a connection that gives way to a new one.
	ClosedStalled = "stalled"
	// ClosedStopping is a connection that has stalled while the process stops.
	ClosedStopping = "stopping"
)

// ListenerOptions are the settings of a Listener.
type ListenerOptions struct {
	Connections intake.ConnectionLimits
	// WriteTimeout is the timeout of each write to a connection.
	WriteTimeout time.Duration
	// Closed is called with the reason for which a connection was closed.
	Closed func(reason string)
}

// Listener accepts connections within a limit.
type Listener struct {
	net.Listener
	options ListenerOptions

	mu    sync.Mutex
	table *intake.Connections
}

// NewListener returns a Listener that accepts the connections of another one.
func NewListener(l net.Listener, options ListenerOptions) *Listener {
	return &Listener{Listener: l, options: options, table: intake.NewConnections(options.Connections)}
}

// Listen listens on an address. The buffers that the kernel keeps for each connection are limited to about bufferBytes in each
// direction, since bytes that were received and not read count towards the memory of the process.
func Listen(address string, bufferBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return trace.Wrap(c.Control(func(fd uintptr) {
			for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
				// If the system does not know the option, its own limits apply.
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, bufferBytes)
			}
		}))
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	return l, trace.Wrap(err)
}

// Configure has a server report the states of its connections to the Listener that it serves. It must be called once the server
// has its handler.
func (l *Listener) Configure(s *http.Server) {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.handling.Store(true)
		defer func() {
			c.handling.Store(false)
			// Until the response and a body that the handler has not read are through, and after that for the next request.
			c.awaitCaller()
		}()
		next.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		limited, ok := c.(*conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			limited.serve()
		case http.StateIdle:
			limited.awaitCaller()
		case http.StateHijacked, http.StateClosed:
			limited.closed()
		}
	}
}

// Open returns the number of open connections and their limit.
func (l *Listener) Open() (open, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Open(), l.table.Limit()
}

// Shutdown shuts a server of the Listener down gracefully. Until then it closes connections whose callers have made no progress
// for ConnectionLimits.Stall, for which the server would wait. Responses that were written are delivered. The Gate of the server
// should be stopped before.
func (l *Listener) Shutdown(ctx context.Context, s *http.Server) error {
	done := make(chan struct{})
	defer close(done)
	go func() {
		ticker := time.NewTicker(stopCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C: // by then, bodies that the Gate has interrupted have got their responses
				l.closeStalled()
			}
		}
	}()
	return s.Shutdown(ctx)
}

// stopCheckInterval is the interval at which connections that have stalled are closed during a shutdown.
const stopCheckInterval = 100 * time.Millisecond

func (l *Listener) closeStalled() {
	l.mu.Lock()
	stalled := l.table.CloseStalled(now())
	l.mu.Unlock()
	for _, c := range stalled {
		c.Close()
		l.options.Closed(ClosedStopping)
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err // net/http looks at its type
		}
		l.mu.Lock()
		caller := callerOf(accepted.RemoteAddr())
		entry, victim := l.table.Arrive(now(), caller)
		var c *conn
		if entry != nil {
			c = &conn{Conn: accepted, listener: l, entry: entry, caller: caller}
			entry.Close = func() { _ = accepted.Close() } // the kernel still delivers what was written
		}
		l.mu.Unlock()
		if victim != nil {
			victim.Close()
			l.options.Closed(ClosedStalled)
		}
		if c != nil {
			return c, nil
		}
		_ = accepted.Close() // refused
		l.options.Closed(ClosedOverLimit)
	}
}

// callerOf returns the address of a caller without the port.
func callerOf(address net.Addr) string {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return address.String()
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// connOf returns the connection of a request, or nil if its server has no Listener.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// conn is a connection that counts towards the limit of its Listener.
type conn struct {
	net.Conn
	listener *Listener
	entry    *intake.Connection
	caller   string
	// handling is set while a request is being handled.
	handling atomic.Bool
}

// Write implements net.Conn. While it lasts, the connection waits for its caller.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.listener.options.WriteTimeout)); err != nil {
		return 0, err
	}
	c.awaitCaller()
	n, err := c.Conn.Write(p)
	if c.handling.Load() {
		c.serve()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// CloseWrite is used by net/http before it closes a connection, so that the caller can read the response.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

func (c *conn) awaitCaller() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.table.AwaitCaller(c.entry, now())
}

func (c *conn) serve() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.table.Serve(c.entry)
}

func (c *conn) closed() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.table.Closed(c.entry)
}
