// Package traffic counts the bytes of control-plane traffic that a node sends and receives, by purpose.
//
// The bytes are counted on the connections, so that headers are included.
package traffic

import (
	"context"
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Purpose is the kind of a control-plane connection. It is a metric label.
type Purpose string

// The purposes: the platform's log, the platform's VM list, other nodes, and the agents of workers.
const (
	Log     Purpose = "log"
	List    Purpose = "list"
	Peers   Purpose = "peers"
	Workers Purpose = "workers"
)

// Counter counts the bytes of one purpose.
type Counter struct {
	sent     *metrics.Counter
	received *metrics.Counter
}

// NewCounter registers the metrics of a purpose in set and returns its Counter.
func NewCounter(set *metrics.Set, purpose Purpose) *Counter {
	counterFor := func(direction string) *metrics.Counter {
		name := fmt.Sprintf("cactuswall_control_bytes_total{purpose=%q,direction=%q}", purpose, direction)
		return set.GetOrCreateCounter(name)
	}
	return &Counter{sent: counterFor("sent"), received: counterFor("received")}
}

// DialFunc opens a connection; it has the type of http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial wraps dial so that the bytes of its connections are counted.
func (c *Counter) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, counter: c}, nil
	}
}

// Listener wraps l so that the bytes of its connections are counted.
func (c *Counter) Listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, counter: c}
}

type countedListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: l.counter}, nil
}

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(n)
	return n, err
}
