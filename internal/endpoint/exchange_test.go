package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/pipenet"
	"cactuswall.example/cactuswall/internal/verdict"
)

const address = "10.0.1.1:80"

// rawServer reads requests and writes raw responses. seen counts the requests that were read.
type rawServer struct {
	net  *pipenet.Network
	l    net.Listener
	seen atomic.Int64
}

// newRawServer starts a rawServer. serve gets the number of the request, beginning at 1, and returns the raw
// response, or "" to close the connection.
func newRawServer(serve func(nth int) string) *rawServer {
	s := &rawServer{net: pipenet.New()}
	s.l = s.net.Listen(address)
	go func() {
		for {
			c, err := s.l.Accept()
			if err != nil {
				return
			}
			go s.handle(c, serve)
		}
	}()
	return s
}

func (s *rawServer) handle(c net.Conn, serve func(int) string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		nth := s.seen.Add(1)
		response := serve(int(nth))
		if response == "" {
			return
		}
		_, _ = io.WriteString(c, response)
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// newTestEndpoint returns an endpoint with more slots and connections than the tests need.
func newTestEndpoint() *Endpoint {
	e := New(Info{ID: "e", Address: address})
	e.SetShare(8, 64)
	return e
}

func send(ctx context.Context, transport http.RoundTripper, e *Endpoint, method, body string, header ...string) error {
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+address+"/", strings.NewReader(body))
	for _, name := range header {
		req.Header.Set(name, "1")
	}
	resp, err := Send(transport, req, e)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

func TestVerdictByPhase(t *testing.T) {
	cases := []struct {
		name    string
		serve   func(int) string
		listen  bool
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		{"nobody listens", nil, false, verdict.NotRun, ReasonConnectFailed},
		{"closed after reading", func(int) string { return "" }, true, verdict.MayHaveRun, ReasonConnectionClosed},
		{"malformed response", func(int) string { return "nonsense\r\n\r\n" }, true, verdict.MayHaveRun, ReasonConnectionClosed},
		{"refused as leaving", func(int) string {
			return "HTTP/1.1 503 x\r\nCactuswall-Not-Run: leaving\r\nContent-Length: 0\r\n\r\n"
		}, true, verdict.NotRun, ReasonLeaving},
		{"refused because no slot is free", func(int) string {
			return "HTTP/1.1 503 x\r\nCactuswall-Not-Run: no_slot\r\nContent-Length: 0\r\n\r\n"
		}, true, verdict.NotRun, ReasonNoSlot},
		{"switched protocols", func(int) string {
			return "HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
		}, true, verdict.Ran, ReasonProtocolSwitched},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey("An exchange that fails: "+c.name, t, func() {
				s := newRawServer(c.serve)
				if !c.listen {
					s.net.SetUnreachable(address, true)
				}
				transport := NewTransport(s.net.Dial)
				err := send(t.Context(), transport, newTestEndpoint(), "POST", "x")
				So(verdict.Of(err), ShouldEqual, c.verdict)
				So(verdict.ReasonOf(err), ShouldEqual, c.reason)
				transport.CloseIdleConnections()
				_ = s.l.Close()
			})
		})
	}
}

func TestReusedConnectionIsNotReplayed(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST", "DELETE"} {
		synctest.Test(t, func(t *testing.T) {
			Convey("A "+method+" on a reused connection that the endpoint closes is not retried", t, func() {
				s := newRawServer(func(nth int) string {
					if nth == 1 {
						return okResponse
					}
					return ""
				})
				transport := NewTransport(s.net.Dial)
				e := newTestEndpoint()
				So(send(t.Context(), transport, e, "GET", ""), ShouldBeNil)
				synctest.Wait()
				err := send(t.Context(), transport, e, method, "", "Idempotency-Key", "X-Idempotency-Key")
				So(verdict.Of(err), ShouldEqual, verdict.MayHaveRun)
				So(verdict.ReasonOf(err), ShouldEqual, ReasonReusedConnectionClosed)
				synctest.Wait()
				So(s.seen.Load(), ShouldEqual, 2)
				So(e.Connections(), ShouldEqual, 0)
				_ = s.l.Close()
			})
		})
	}
}

func TestAbandonedWhileDialling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A request that is abandoned while dialling has the verdict not_run and is never sent later", t, func() {
			s := newRawServer(func(int) string { return okResponse })
			slow := func(ctx context.Context, network, address string) (net.Conn, error) {
				time.Sleep(time.Second)
				return s.net.Dial(context.WithoutCancel(ctx), network, address)
			}
			transport := NewTransport(slow)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			err := send(ctx, transport, newTestEndpoint(), "POST", "x")
			So(verdict.Of(err), ShouldEqual, verdict.NotRun)
			So(verdict.ReasonOf(err), ShouldEqual, ReasonDeadline)
			time.Sleep(time.Minute)
			So(s.seen.Load(), ShouldEqual, 0)
			transport.CloseIdleConnections()
			_ = s.l.Close()
		})
	})
}

func TestConnectionsStayWithinShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("With a share of two connections, a third request fails with the verdict not_run", t, func() {
			s := newRawServer(func(int) string {
				time.Sleep(time.Second)
				return okResponse
			})
			transport := NewTransport(s.net.Dial)
			e := newTestEndpoint()
			e.SetShare(8, 2)
			errs := make(chan error, 3)
			for range 3 {
				go func() { errs <- send(t.Context(), transport, e, "POST", "x") }()
			}
			first := <-errs
			So(verdict.ReasonOf(first), ShouldEqual, ReasonConnectionLimit)
			So(verdict.Of(first), ShouldEqual, verdict.NotRun)
			So(errors.Join(<-errs, <-errs), ShouldBeNil)
			transport.CloseIdleConnections()
			_ = s.l.Close()
		})
	})
}

func TestEjectionAndProbing(t *testing.T) {
	Convey("An endpoint is ejected after consecutive failures, probed once, and returns with a slow start", t, func() {
		e, now := newTestEndpoint(), time.Unix(1000, 0)
		for range ejectConsecutive {
			So(e.TryAcquire(now), ShouldBeTrue)
			e.Release(now, OutcomeFailed, 0)
		}
		So(e.Snapshot(now).Ejected, ShouldBeTrue)
		now = now.Add(baseEjectionTime)
		So(e.Snapshot(now).Ejected, ShouldBeFalse)
		So(e.TryAcquire(now), ShouldBeTrue)
		So(e.TryAcquire(now), ShouldBeFalse)
		before := newTestEndpoint().Snapshot(now).Score
		e.Release(now, OutcomeGood, initialLatency)
		after := e.Snapshot(now)
		So(after.Free, ShouldBeTrue)
		So(after.Score, ShouldBeGreaterThan, 5*before)
		So(e.Snapshot(now).Probing, ShouldBeFalse)
	})
}
