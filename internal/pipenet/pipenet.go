// Package pipenet provides an in-memory network for tests that run in virtual time (testing/synctest). A goroutine
// that waits on a real socket does not count as blocked in a synctest bubble, so virtual time would not advance.
package pipenet

import (
	"context"
	"errors"
	"net"
	"sync"
)

// ErrRefused is the error for a connection to an address that has no listener or is cut off.
var ErrRefused = errors.New("connection refused")

// Network connects dialers to the listener at an address through net.Pipe. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[string]bool
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: make(map[string]*listener), cut: make(map[string]bool)}
}

// Listen returns a listener for an address. It replaces an earlier listener for the same address.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// SetUnreachable makes new connections to an address fail with ErrRefused while cut is true. Open connections are
// kept.
func (n *Network) SetUnreachable(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// Dial connects to an address. It waits until the listener accepts the connection, and returns ErrRefused if
// there is no listener, the address is cut off or the listener is closed.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, cut := n.listeners[address], n.cut[address]
	n.mu.Unlock()
	if l == nil || cut {
		return nil, ErrRefused
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.conns <- &remoteAddrConn{Conn: serverEnd, remote: addr("10.0.0.1:1")}:
		return clientEnd, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = clientEnd.Close()
	_ = serverEnd.Close()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return nil, ErrRefused
}

// listener accepts the server ends of pipes.
type listener struct {
	address   string
	conns     chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

// remoteAddrConn is a connection whose remote address looks like that of a TCP connection.
type remoteAddrConn struct {
	net.Conn
	remote addr
}

// RemoteAddr implements net.Conn.
func (c *remoteAddrConn) RemoteAddr() net.Addr { return c.remote }

// addr is a net.Addr that reports the network "tcp".
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
