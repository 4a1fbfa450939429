// Package pipenet is a network in memory for tests that run in virtual time (testing/synctest), where real
// sockets would not count as blocked.
package pipenet

import (
	"context"
	"errors"
	"net"
	"sync"
)

// ErrRefused is the error for an address that nobody listens on or that is cut off.
var ErrRefused = errors.New("connection refused")

// Network connects addresses by pipes. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[string]bool
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: make(map[string]*listener), cut: make(map[string]bool)}
}

// Listen returns a listener at an address, which replaces an earlier one.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Cut makes new connections to an address fail while cut is true.
func (n *Network) Cut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// Dial connects to an address.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, cut := n.listeners[address], n.cut[address]
	n.mu.Unlock()
	if l == nil || cut {
		return nil, ErrRefused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- &named{Conn: far, remote: addr("10.0.0.1:1")}:
		return near, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = near.Close()
	_ = far.Close()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return nil, ErrRefused
}

// listener accepts the far ends of pipes.
type listener struct {
	address string
	conns   chan net.Conn
	closing sync.Once
	closed  chan struct{}
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
	l.closing.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

// named is a connection with a remote address like one of TCP.
type named struct {
	net.Conn
	remote addr
}

// RemoteAddr implements net.Conn.
func (c *named) RemoteAddr() net.Addr { return c.remote }

// addr is an address in the network.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
