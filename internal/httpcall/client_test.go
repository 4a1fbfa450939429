package httpcall

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
)

// server answers each request on each connection with answer, which returns false to close the connection instead.
type server struct {
	listener net.Listener
	requests atomic.Int64
	conns    atomic.Int64

	mu   sync.Mutex
	open []net.Conn
}

// serve starts a server. answer is called with the connection and the content of each request.
func serve(t *testing.T, answer func(conn net.Conn, body string) bool) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener}
	t.Cleanup(s.close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			s.mu.Lock()
			s.open = append(s.open, conn)
			s.mu.Unlock()
			go s.serveConn(conn, answer)
		}
	}()
	return s
}

func (s *server) serveConn(conn net.Conn, answer func(net.Conn, string) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if !answer(conn, string(body)) {
			return
		}
	}
}

func (s *server) address() string { return s.listener.Addr().String() }

// closeConns closes the connections that were accepted so far.
func (s *server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.open {
		_ = conn.Close()
	}
	s.open = nil
}

func (s *server) close() {
	_ = s.listener.Close()
	s.closeConns()
}

func respond(conn net.Conn, body string) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

func itoa(n int) string { return string(fasthttp.AppendUint(nil, n)) }

func echo(conn net.Conn, body string) bool { return respond(conn, body) }

func newClient() *Client {
	return New(Options{
		Dialer: net.Dialer{Timeout: 300 * time.Millisecond}, IdleTimeout: 400 * time.Millisecond, MaxIdleConnsPerServer: 2,
		MaxResponseBytes: 1 << 20,
	})
}

// do makes a call and returns the body of the response.
func do(ctx context.Context, c *Client, address, body string, timeout time.Duration) (string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost(address)
	req.Header.SetRequestURI("/x")
	req.SetBodyString(body)
	err := c.Do(ctx, address, req, resp, timeout)
	return string(resp.Body()), err
}

func wasSent(err error) bool {
	var notSent *NotSentError
	return !errors.As(err, &notSent)
}

func TestCalls(t *testing.T) {
	ctx := context.Background()
	Convey("Calls one after another use one connection, whatever the size of their bodies", t, func() {
		s, c := serve(t, echo), newClient()
		for _, size := range []int{0, 1, 4000, 4096, 100_000, 1 << 20, 5} {
			body, err := do(ctx, c, s.address(), strings.Repeat("x", size), 5*time.Second)
			So(err, ShouldBeNil)
			So(len(body), ShouldEqual, size)
		}
		So(s.conns.Load(), ShouldEqual, 1)
		So(s.requests.Load(), ShouldEqual, 7)
	})
	Convey("Concurrent calls get their own responses, and excess idle connections are closed", t, func() {
		s, c := serve(t, echo), newClient()
		var group sync.WaitGroup
		var wrong atomic.Int64
		for i := range 16 {
			group.Go(func() {
				for j := range 50 {
					text := itoa(i) + "." + itoa(j)
					if body, err := do(ctx, c, s.address(), text, 5*time.Second); err != nil || body != text {
						wrong.Add(1)
					}
				}
			})
		}
		group.Wait()
		So(wrong.Load(), ShouldEqual, 0)
		So(s.requests.Load(), ShouldEqual, 800)
		So(c.server(s.address()).IdleConnsCount(), ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("A response over the limit is an error of a call that was sent", t, func() {
		s, c := serve(t, func(conn net.Conn, _ string) bool { return respond(conn, strings.Repeat("x", 1<<20+1)) }), newClient()
		_, err := do(ctx, c, s.address(), "", 5*time.Second)
		So(err, ShouldNotBeNil)
		So(wasSent(err), ShouldBeTrue)
		So(s.requests.Load(), ShouldEqual, 1)
	})
	Convey("Bytes after a response are not taken for the next response", t, func() {
		c := newClient()
		s := serve(t, func(conn net.Conn, body string) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"+body+"HTTP/1.1 500 Bad\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		})
		for _, text := range []string{"a", "b", "c"} {
			body, err := do(ctx, c, s.address(), text, 5*time.Second)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, text)
		}
	})
	Convey("A request that the server is slow to read is sent in full", t, func() {
		s, c := serve(t, echo), newClient()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				time.Sleep(200 * time.Millisecond)
				s.serveConn(conn, func(conn net.Conn, body string) bool { return respond(conn, itoa(len(body))) })
			}
		}()
		body, err := do(ctx, c, listener.Addr().String(), strings.Repeat("x", 20<<20), 20*time.Second)
		So(err, ShouldBeNil)
		So(body, ShouldEqual, itoa(20<<20))
	})
}

func TestFailures(t *testing.T) {
	ctx := context.Background()
	Convey("A call to a port without a listener was not sent", t, func() {
		_, err := do(ctx, newClient(), "127.0.0.1:1", "", time.Second)
		So(err, ShouldNotBeNil)
		So(wasSent(err), ShouldBeFalse)
	})
	Convey("After the end of the context or without time left, nothing is sent", t, func() {
		s, c := serve(t, echo), newClient()
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, err := do(ended, c, s.address(), "", time.Second)
		So(wasSent(err), ShouldBeFalse)
		_, err = do(ctx, c, s.address(), "", 0)
		So(wasSent(err), ShouldBeFalse)
		So(s.requests.Load(), ShouldEqual, 0)
	})
	Convey("A call without an answer ends at its timeout, and its connection is not used again", t, func() {
		var silent atomic.Bool
		s, c := serve(t, func(conn net.Conn, body string) bool { return silent.Load() || respond(conn, body) }), newClient()
		_, err := do(ctx, c, s.address(), "a", time.Second)
		So(err, ShouldBeNil)
		silent.Store(true)
		start := time.Now()
		_, err = do(ctx, c, s.address(), "b", 150*time.Millisecond)
		So(err, ShouldNotBeNil)
		So(wasSent(err), ShouldBeTrue)
		So(time.Since(start), ShouldBeBetween, 140*time.Millisecond, 800*time.Millisecond)
		silent.Store(false)
		body, err := do(ctx, c, s.address(), "c", time.Second)
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "c")
		So(s.conns.Load(), ShouldEqual, 2)
		So(s.requests.Load(), ShouldEqual, 3)
	})
	Convey("A call whose connection ends before or within the response is not repeated", t, func() {
		for _, part := range []string{"", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "no http\r\n\r\n"} {
			var failing atomic.Bool
			s, c := serve(t, func(conn net.Conn, body string) bool {
				if !failing.Load() {
					return respond(conn, body)
				}
				_, _ = io.WriteString(conn, part)
				return false
			}), newClient()
			for _, warm := range []bool{false, true} {
				failing.Store(false)
				if warm {
					_, err := do(ctx, c, s.address(), "", time.Second)
					So(err, ShouldBeNil)
				}
				failing.Store(true)
				before := s.requests.Load()
				_, err := do(ctx, c, s.address(), "x", time.Second)
				So(err, ShouldNotBeNil)
				So(wasSent(err), ShouldBeTrue)
				So(s.requests.Load(), ShouldEqual, before+1)
			}
		}
	})
}

// noticeTime is longer than it takes until a closed connection is noticed on the same machine.
const noticeTime = 20 * time.Millisecond

func TestKeptConnections(t *testing.T) {
	ctx := context.Background()
	Convey("A call does not use a connection that the server has closed", t, func() {
		s, c := serve(t, echo), newClient()
		for range 20 {
			_, err := do(ctx, c, s.address(), "", time.Second)
			So(err, ShouldBeNil)
			s.closeConns()
			time.Sleep(noticeTime)
		}
		So(s.conns.Load(), ShouldEqual, 20)
		So(s.requests.Load(), ShouldEqual, 20)
	})
	Convey("A call after the server has gone was not sent", t, func() {
		s, c := serve(t, echo), newClient()
		_, err := do(ctx, c, s.address(), "", time.Second)
		So(err, ShouldBeNil)
		s.close()
		time.Sleep(noticeTime)
		_, err = do(ctx, c, s.address(), "", time.Second)
		So(err, ShouldNotBeNil)
		So(wasSent(err), ShouldBeFalse)
	})
	Convey("Idle connections are closed after the idle timeout", t, func() {
		s, c := serve(t, echo), newClient()
		_, err := do(ctx, c, s.address(), "", time.Second)
		So(err, ShouldBeNil)
		So(c.server(s.address()).ConnsCount(), ShouldEqual, 1)
		time.Sleep(time.Second)
		So(c.server(s.address()).ConnsCount(), ShouldEqual, 0)
	})
	Convey("Servers without connections are removed when there are many", t, func() {
		c := newClient()
		for i := range 10 * minPruneAt {
			c.server("10.0.0.1:" + itoa(i))
		}
		So(len(c.servers), ShouldBeLessThanOrEqualTo, minPruneAt)
	})
}
