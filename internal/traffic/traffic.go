// Package traffic counts the bytes that a node sends and receives for control, by purpose.
//
// The bytes are counted at the connections, so that headers are included.
package traffic

import (
	"context"
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Purpose says what traffic is for. It is a metric label.
type Purpose string

// The purposes.
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

// NewCounter registers the counters of a purpose.
func NewCounter(set *metrics.Set, purpose Purpose) *Counter {
	bytesOf := func(direction string) *metrics.Counter {
		name := fmt.Sprintf("cactuswall_control_bytes_total{purpose=%q,direction=%q}", purpose, direction)
		return set.GetOrCreateCounter(name)
	}
	return &Counter{sent: bytesOf("sent"), received: bytesOf("received")}
}

// DialFunc makes a connection, as in http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns dial with its connections counted.
func (c *Counter) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: connection, counter: c}, nil
	}
}

// Listener returns l with its connections counted.
func (c *Counter) Listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, counter: c}
}

type countedListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: connection, counter: l.counter}, nil
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
