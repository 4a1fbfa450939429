package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// wire counts the bytes that pass through listeners, headers included.
type wire struct {
	bytes atomic.Int64
}

// listen opens a loopback listener whose bytes are counted.
func (w *wire) listen() (net.Listener, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: inner, wire: w}, nil
}

// serve answers on a counted loopback address until stop is called.
func (w *wire) serve(handler http.Handler) (address string, stop func(), err error) {
	listener, err := w.listen()
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

type countingListener struct {
	net.Listener
	wire *wire
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, wire: l.wire}, nil
}

type countingConn struct {
	net.Conn
	wire *wire
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.bytes.Add(int64(n))
	return n, err
}
