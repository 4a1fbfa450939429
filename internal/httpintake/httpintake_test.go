package httpintake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"cactuswall.example/cactuswall/internal/intake"
	"cactuswall.example/cactuswall/internal/verdict"
)

const testBodyLimit = 100_000

// testServer echoes bodies of up to testBodyLimit bytes. The budget has room for two of them at a time, but not from one caller.
type testServer struct {
	listener *Listener
	gate     *Gate
	http     *http.Server

	mu      sync.Mutex
	refused []verdict.Reason
	closed  []string
}

func newTestServer(t *testing.T, connections int) *testServer {
	inner, err := Listen("127.0.0.1:0", 32<<10)
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{gate: NewGate(intake.BudgetLimits{
		Bytes: 300_000, SmallBytes: 8 << 10, Stall: 100 * time.Millisecond, ProgressBytes: 8 << 10, MaxWait: 500 * time.Millisecond, MaxWaiting: 8,
	})}
	s.listener = NewListener(inner, ListenerOptions{
		Connections: intake.ConnectionLimits{Max: connections, Stall: 100 * time.Millisecond}, WriteTimeout: 300 * time.Millisecond,
		Closed: func(reason string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.closed = append(s.closed, reason)
		},
	})
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }) // the caller may have gone
	s.http = &http.Server{ReadTimeout: 20 * time.Second, Handler: s.gate.Limit(echo, testBodyLimit, func(r verdict.Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused = append(s.refused, r)
	})}
	s.listener.Configure(s.http)
	go func() { _ = s.http.Serve(s.listener) }() // ends with Close
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

// send opens a connection and sends text on it.
func (s *testServer) send(t *testing.T, text string) net.Conn {
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return c
}

func head(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// receive reads a response and returns its status and body, and whether the server says that it closes the connection.
func receive(c net.Conn) (status int, body string, closing bool, err error) {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", false, err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), resp.Close, err
}

func (s *testServer) awaitUsage(t *testing.T, reached func(Usage) bool) {
	for began := time.Now(); !reached(s.gate.Usage()); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("usage stays at %+v", s.gate.Usage())
		}
	}
}

// Bodies must be delivered whole in every form that callers may send, and nothing may stay charged.
func TestBodiesAreDelivered(t *testing.T) {
	s := newTestServer(t, 40)
	whole := strings.Repeat("x", testBodyLimit)
	chunked := func(text string) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	}
	for name, test := range map[string]struct {
		request, body string
		status        int
	}{
		"empty":             {head(0), "", http.StatusOK},
		"of the limit":      {head(testBodyLimit) + whole, whole, http.StatusOK},
		"small":             {head(3) + "abc", "abc", http.StatusOK},
		"chunked":           {chunked("abc"), "abc", http.StatusOK},
		"chunked at limit":  {chunked(whole), whole, http.StatusOK},
		"chunked too large": {chunked(whole + "x"), ErrTooLarge.Error() + "\n", http.StatusRequestEntityTooLarge},
		"too large":         {head(testBodyLimit + 1), ErrTooLarge.Error() + "\n", http.StatusRequestEntityTooLarge},
	} {
		Convey(name, t, func() {
			status, body, closing, err := receive(s.send(t, test.request))
			So(err, ShouldBeNil)
			So(status, ShouldEqual, test.status)
			So(body == test.body, ShouldBeTrue)
			So(closing, ShouldEqual, test.status != http.StatusOK)
		})
	}
	Convey("expecting 100-continue", t, func() {
		c := s.send(t, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
		line, err := bufio.NewReader(c).ReadString('\n')
		So(err, ShouldBeNil)
		So(line, ShouldStartWith, "HTTP/1.1 100")
	})
	Convey("pipelined", t, func() {
		c := s.send(t, head(1)+"a"+head(1)+"b")
		reader := bufio.NewReader(c)
		for _, want := range []string{"a", "b"} {
			resp, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, want)
		}
	})
	Convey("half-closed", t, func() {
		c := s.send(t, head(3)+"abc")
		So(c.(*net.TCPConn).CloseWrite(), ShouldBeNil)
		status, body, _, err := receive(c)
		So([]any{status, body, err}, ShouldResemble, []any{http.StatusOK, "abc", nil})
	})
	s.awaitUsage(t, func(u Usage) bool { return u.Bytes <= 3+RequestBytes && u.Waiting == 0 }) // that of 100-continue is open
}

// Bodies that stop short must give way to an ordinary one, with a refusal that says so, and nothing may stay charged. Without
// interruption the ordinary caller would be refused after MaxWait.
func TestStalledBodyGivesWay(t *testing.T) {
	s := newTestServer(t, 20)
	var stalled []net.Conn
	for i := range 2 {
		stalled = append(stalled, s.send(t, head(testBodyLimit)+strings.Repeat("x", testBodyLimit-1)))
		s.awaitUsage(t, func(u Usage) bool { return u.Bytes >= testBodyLimit && u.Waiting == i })
	}
	status, _, _, err := receive(s.send(t, head(3)+"abc")) // small bodies have their own part
	Convey("a small body is not affected", t, func() { So([]any{status, err}, ShouldResemble, []any{http.StatusOK, nil}) })
	status, body, closing, err := receive(stalled[0])
	Convey("the stalled one is refused", t, func() {
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(closing, ShouldBeTrue)
		So(body, ShouldContainSubstring, string(ReasonStalled))
	})
	for _, c := range stalled {
		_ = c.Close()
	}
	s.awaitUsage(t, func(u Usage) bool { return u == Usage{Limit: 300_000} })
}

// A body without a length must not be charged as the largest one from the start: few of them would fit.
func TestBodyWithoutLengthIsChargedAsSmall(t *testing.T) {
	s := newTestServer(t, 20)
	c := s.send(t, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
	s.awaitUsage(t, func(u Usage) bool { return u.Bytes == SmallBodyBytes+1+RequestBytes })
	if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", SmallBodyBytes, strings.Repeat("x", SmallBodyBytes)); err != nil {
		t.Fatal(err)
	}
	s.awaitUsage(t, func(u Usage) bool { return u.Bytes == testBodyLimit+1+RequestBytes })
	_ = c.Close()
	s.awaitUsage(t, func(u Usage) bool { return u.Bytes == 0 })
}

// The connection of a refused body must end soon: net/http would otherwise wait for the rest of the body.
func TestRefusedBodyIsNotReadOn(t *testing.T) {
	s := newTestServer(t, 20)
	c := s.send(t, head(testBodyLimit+1)+"x")
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // ReadTimeout is 20 s
	if answer, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 413") {
		t.Errorf("%q, %v", answer, err)
	}
}

// Whatever callers do at random, an ordinary caller must be served in the end and nothing may stay charged.
func TestManyCallersAtOnce(t *testing.T) {
	s := newTestServer(t, 30)
	var callers sync.WaitGroup
	for i := range 60 {
		callers.Go(func() {
			c, err := net.Dial("tcp", s.listener.Addr().String())
			if err != nil {
				return // over the limit
			}
			defer func() { _ = c.Close() }()
			size := 1 + i*testBodyLimit/60
			_, _ = c.Write([]byte(head(size) + strings.Repeat("x", size-1))) // it may be refused
			time.Sleep(time.Duration(i%7) * 50 * time.Millisecond)
			if i%3 > 0 {
				_, _ = c.Write([]byte("x"))
			}
		})
	}
	callers.Wait()
	s.awaitUsage(t, func(u Usage) bool { return u == Usage{Limit: 300_000} })
	status, _, _, err := receive(s.send(t, head(3)+"abc"))
	if status != http.StatusOK {
		t.Errorf("status %d, %v", status, err)
	}
}

// Bytes that were received and not read count towards the memory of the process, so the kernel's buffers must be limited.
func TestKernelBuffersAreLimited(t *testing.T) {
	const want = 32 << 10
	l, err := Listen("127.0.0.1:0", want)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.SO_RCVBUF, unix.SO_SNDBUF} {
			// Linux doubles the size, for its own bookkeeping.
			if size, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, option); err != nil || size > 2*want {
				t.Errorf("option %d: %d bytes, %v", option, size, err)
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Connections beyond the limit must take the place of those that wait for their callers, and the number must stay within the
// limit.
func TestConnectionsAreLimited(t *testing.T) {
	s := newTestServer(t, 4)
	var idle []net.Conn
	for range 3 { // the share of one caller
		idle = append(idle, s.send(t, "POST / HTTP/1.1\r\n"))
	}
	awaitOpen(t, s.listener, 3)
	time.Sleep(150 * time.Millisecond)
	status, _, _, err := receive(s.send(t, head(3)+"abc"))
	if status != http.StatusOK {
		t.Fatalf("status %d, %v", status, err)
	}
	_ = idle[0].SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := idle[0].Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the oldest connection was not closed: %v", err)
	}
	if open, limit := s.listener.Open(); open > limit {
		t.Errorf("%d of %d connections", open, limit)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.closed) != 1 || s.closed[0] != ClosedStalled {
		t.Errorf("closed: %v", s.closed)
	}
}

func awaitOpen(t *testing.T, l *Listener, want int) {
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if open, _ := l.Open(); open == want {
			return
		} else if time.Since(began) > 10*time.Second {
			t.Fatalf("%d connections are open, want %d", open, want)
		}
	}
}

// A caller that reads no response must not keep its connection beyond the timeout of writes.
func TestSlowReaderIsClosed(t *testing.T) {
	s := newTestServer(t, 10)
	c := s.send(t, head(0))
	request := head(testBodyLimit) + strings.Repeat("x", testBodyLimit)
	_ = c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	for {
		if _, err := io.Copy(c, bytes.NewReader([]byte(request))); err != nil {
			break // closed, or the server does not read on
		}
	}
	awaitOpen(t, s.listener, 0)
}

// A planned stop must not wait for callers that send nothing, stop short or do not read.
func TestShutdownIsNotDelayed(t *testing.T) {
	s := newTestServer(t, 20)
	s.send(t, "POST / HTTP/1.1\r\n")
	s.send(t, "")
	s.send(t, head(testBodyLimit)+"x")
	s.send(t, head(10)+"x")
	awaitOpen(t, s.listener, 4)
	s.awaitUsage(t, func(u Usage) bool { return u.Bytes > testBodyLimit })
	s.gate.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second) // ReadTimeout is 20 s
	defer cancel()
	if err := s.listener.Shutdown(ctx, s.http); err != nil {
		t.Error(err)
	}
}
