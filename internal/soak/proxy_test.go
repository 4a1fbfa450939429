package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// echo returns the address of a server that sends back each line, and a proxy in front of it.
func echo(t *testing.T) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	p, err := newProxy("127.0.0.1:0", listener.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	return p
}

// exchange sends a line and returns what came back within a time.
func exchange(conn net.Conn, timeout time.Duration) (string, error) {
	if _, err := conn.Write([]byte("x\n")); err != nil {
		return "", err
	}
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	return bufio.NewReader(conn).ReadString('\n')
}

func TestProxy(t *testing.T) {
	const short = 100 * time.Millisecond
	p := echo(t)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", p.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if line, err := exchange(conn, time.Second); err != nil || line != "x\n" {
			t.Fatalf("got %q, %v", line, err)
		}
		return conn
	}
	for name, state := range map[string]linkState{"cut": {holdRequests: true, holdAnswers: true}, "answers lost": {holdAnswers: true}} {
		t.Run(name+": what was sent arrives once that is over", func(t *testing.T) {
			conn := dial()
			p.set(state)
			if _, err := exchange(conn, short); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("got %v, want a time-out", err)
			}
			p.set(linkState{})
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || line != "x\n" {
				t.Errorf("got %q, %v", line, err)
			}
		})
	}
	t.Run("delay", func(t *testing.T) {
		conn := dial()
		p.set(linkState{delay: short})
		began := time.Now()
		if _, err := exchange(conn, time.Second); err != nil || time.Since(began) < 2*short {
			t.Errorf("got %v after %v", err, time.Since(began))
		}
		p.set(linkState{})
	})
	t.Run("silence: open connections deliver nothing, new ones work", func(t *testing.T) {
		conn := dial()
		p.silence()
		if _, err := exchange(conn, short); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("got %v, want a time-out", err)
		}
		dial()
	})
	t.Run("reset", func(t *testing.T) {
		conn := dial()
		p.reset()
		if _, err := exchange(conn, time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("got %v, want a reset", err)
		}
	})
}
