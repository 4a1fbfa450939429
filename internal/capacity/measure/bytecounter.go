package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// byteCounter counts the bytes read and written, HTTP headers included, on the connections of its listeners.
type byteCounter struct {
	bytes atomic.Int64
}

// listen opens a loopback listener whose traffic is counted.
func (c *byteCounter) listen() (net.Listener, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: inner, byteCounter: c}, nil
}

// serve runs an HTTP server on a counted loopback listener until stop is called.
func (c *byteCounter) serve(handler http.Handler) (address string, stop func(), err error) {
	listener, err := c.listen()
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

type countingListener struct {
	net.Listener
	byteCounter *byteCounter
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, byteCounter: l.byteCounter}, nil
}

type countingConn struct {
	net.Conn
	byteCounter *byteCounter
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.byteCounter.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.byteCounter.bytes.Add(int64(n))
	return n, err
}
