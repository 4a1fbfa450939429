package systemtest

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// direction identifies the traffic from one host of the network to another.
type direction struct{ from, to string }

// network is the simulated network between the hosts of a test case. Each direction between two hosts can drop
// everything or be delayed; by default it does neither.
type network struct {
	mu        sync.Mutex
	lost      map[direction]bool
	delays    map[direction]time.Duration
	listeners map[string]*listener
	// changed is closed and replaced whenever a direction is changed.
	changed chan struct{}
}

func newNetwork() *network {
	return &network{
		lost:      make(map[direction]bool),
		delays:    make(map[direction]time.Duration),
		listeners: make(map[string]*listener),
		changed:   make(chan struct{}),
	}
}

// setLost sets whether one direction drops all traffic.
func (n *network) setLost(from, to string, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost[direction{from, to}] = lost
	n.notifyChanged()
}

// setDelay sets the delay of one direction.
func (n *network) setDelay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[direction{from, to}] = d
	n.notifyChanged()
}

// heal removes all losses and delays.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.lost)
	clear(n.delays)
	n.notifyChanged()
}

// notifyChanged wakes up the calls that wait for a change. The caller holds the lock.
func (n *network) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) state(from, to string) (lost bool, delay time.Duration, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := direction{from, to}
	return n.lost[d], n.delays[d], n.changed
}

// waitRestored blocks until the direction no longer drops traffic or done is closed.
func (n *network) waitRestored(from, to string, done <-chan struct{}) {
	for {
		lost, _, changed := n.state(from, to)
		if !lost {
			return
		}
		select {
		case <-changed:
		case <-done:
			return
		}
	}
}

var errConnectionRefused = &net.OpError{Op: "dial", Net: "pipe", Err: errors.New("connection refused")}

// dial connects to the listener at an address, or fails with errConnectionRefused.
func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errConnectionRefused
	}
	client, server := net.Pipe()
	select {
	case l.accepted <- server:
		l.track(server)
		return client, nil
	case <-l.closed:
		return nil, errConnectionRefused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: ctx.Err()}
	}
}

// listen opens a listener on an address.
func (n *network) listen(address string) *listener {
	l := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// transport returns an HTTP transport over the network without idle connections.
func (n *network) transport() *http.Transport {
	return &http.Transport{DialContext: n.dial, DisableKeepAlives: true, DisableCompression: true}
}

// listener accepts in-memory connections.
type listener struct {
	network  *network
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	mu       sync.Mutex
	once     sync.Once
	conns    []net.Conn
}

func (l *listener) track(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.IPAddr{} }

// abort closes the listener and all connections that it has accepted.
func (l *listener) abort() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}
