package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/pipenet"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/units"
)

// bridge is one node between raw callers and one raw endpoint.
type bridge struct {
	net     *pipenet.Network
	handler *Handler
	closers []io.Closer
	// seen are the requests that the endpoint read.
	seen chan string
}

const slowCaller = 2 * time.Second

// newBridge runs a node whose endpoint gives the raw answer to every request.
func newBridge(answer string) *bridge {
	b := &bridge{net: pipenet.New(), seen: make(chan string, 100)}
	back := b.net.Listen("e:80")
	go b.answerAll(back, answer)
	limits := settings.Default().Callers
	limits.MaxBodyBytes = 100
	limits.WriteTimeout = units.Duration(slowCaller)
	directory := endpoint.NewDirectory()
	directory.Update([]endpoint.Info{{ID: "e", Service: "s", FailureDomain: "d", Address: "e:80"}})
	directory.Of("s")[0].SetShare(slots, connections)
	transport := endpoint.NewTransport(b.net.Dial)
	m := testManifest()
	b.handler = NewHandler(Options{
		Limits: limits, Directory: directory, Chooser: route.Adaptive{FailureDomain: "d"}, Transport: transport,
		Metrics: metrics.NewSet(), Manifest: func() *manifest.Manifest { return m },
	})
	server := &http.Server{Handler: b.handler, ReadTimeout: slowCaller, MaxHeaderBytes: 8 << 10}
	front := b.net.Listen("n:80")
	go func() { _ = server.Serve(WithVerdicts(front)) }()
	b.closers = append(b.closers, back, closing(func() { transport.CloseIdleConnections() }), server)
	return b
}

type closing func()

func (c closing) Close() error { c(); return nil }

func (b *bridge) answerAll(l net.Listener, answer string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			in := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(req.Body)
				b.seen <- fmt.Sprintf("%s %s %v %s", req.Method, req.URL, req.Header, body)
				if _, err := io.WriteString(c, answer); err != nil {
					return
				}
			}
		}()
	}
}

// ask writes a raw request and returns everything that comes back until silence.
func (b *bridge) ask(raw string) string {
	c, err := b.net.Dial(context.Background(), "tcp", "n:80")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	go func() { _, _ = io.WriteString(c, raw) }()
	_ = c.SetReadDeadline(time.Now().Add(2 * slowCaller))
	got, _ := io.ReadAll(c)
	return string(got)
}

func (b *bridge) close() {
	time.Sleep(time.Minute)
	for _, c := range b.closers {
		_ = c.Close()
	}
	close(b.seen)
}

const plain = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestHTTP(t *testing.T) {
	cases := []struct {
		name, answer, request string
		// want and not are parts that the caller does and does not see; seen and unseen those of the endpoint.
		want, not, seen, unseen string
		requests                int
	}{
		{"hop-by-hop headers of a request stay", plain,
			"GET /s/x HTTP/1.1\r\nHost: n\r\nConnection: X-Private\r\nX-Private: 1\r\nTe: trailers\r\nX-Public: 1\r\n\r\n",
			"200 OK", "", "X-Public", "X-Private", 1},
		{"hop-by-hop headers of an answer stay", "HTTP/1.1 200 OK\r\nConnection: X-Private\r\nX-Private: 1\r\nX-Public: 1\r\nContent-Length: 2\r\n\r\nok",
			"GET /s/x HTTP/1.1\r\nHost: n\r\n\r\n", "X-Public", "X-Private", "GET", "", 1},
		{"an endpoint cannot set a verdict", "HTTP/1.1 200 OK\r\nCactuswall-Verdict: not_run\r\nContent-Length: 2\r\n\r\nok",
			"GET /s/x HTTP/1.1\r\nHost: n\r\n\r\n", "200 OK", "not_run", "GET", "", 1},
		{"trailers are passed on", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\n\r\n",
			"GET /s/x HTTP/1.1\r\nHost: n\r\n\r\n", "X-Sum: 7", "", "GET", "", 1},
		{"an interim answer is skipped", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + plain,
			"GET /s/x HTTP/1.1\r\nHost: n\r\n\r\n", "200 OK", "", "GET", "", 1},
		{"HEAD keeps the length without a body", "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n",
			"HEAD /s/x HTTP/1.1\r\nHost: n\r\n\r\n", "Content-Length: 77", "502", "HEAD", "", 1},
		{"a continue is sent for a body that is wanted", plain,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody", "100 Continue", "", "body", "Expect", 1},
		{"no continue is sent for a body that is too long", plain,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nExpect: 100-continue\r\nContent-Length: 4000\r\n\r\n", "413", "100 Continue", "", "", 0},
		{"a chunked body that is too long is refused", plain,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n" + strings.Repeat("x", 128) + "\r\n0\r\n\r\n", "413", "200 OK", "", "", 0},
		{"conflicting lengths are refused", plain,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!", "400", "200 OK", "", "", 0},
		{"a length next to chunks hides no request", plain,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nConnection: close\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /s/hidden HTTP/1.1\r\nHost: n\r\n\r\n", "", "", "", "hidden", 1},
		{"an unknown transfer encoding is refused", plain,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501", "200 OK", "", "", 0},
		{"dot segments are refused", plain, "GET /s/../admin HTTP/1.1\r\nHost: n\r\n\r\n", "path_ambiguous", "200 OK", "", "", 0},
		{"encoded slashes are refused", plain, "GET /s/a%2Fb HTTP/1.1\r\nHost: n\r\n\r\n", "path_ambiguous", "200 OK", "", "", 0},
		{"TRACE is refused", plain, "TRACE /s/x HTTP/1.1\r\nHost: n\r\n\r\n", "405", "200 OK", "", "", 0},
		{"a header that is too long is refused", plain,
			"GET /s/x HTTP/1.1\r\nHost: n\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", "431", "200 OK", "", "", 0},
		{"a request that cannot be parsed is refused with a verdict", plain, "GARBAGE\r\n\r\n", "400 Bad Request\r\nCactuswall-Verdict: not_run", "200 OK", "", "", 0},
		{"a header that is too long is refused with a verdict", plain,
			"GET /s/x HTTP/1.1\r\nHost: n\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", "Too Large\r\nCactuswall-Verdict: not_run", "200 OK", "", "", 0},
		{"an unknown transfer encoding is refused with a verdict", plain,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "Cactuswall-Verdict: not_run", "200 OK", "", "", 0},
		{"a body that comes too slowly is refused", plain,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nContent-Length: 50\r\n\r\nhalf", "not_run", "200 OK", "", "", 0},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				b := newBridge(c.answer)
				got := b.ask(c.request)
				b.close()
				var seen []string
				for s := range b.seen {
					seen = append(seen, s)
				}
				So(got, ShouldContainSubstring, c.want)
				So(c.not == "" || !strings.Contains(got, c.not), ShouldBeTrue)
				So(seen, ShouldHaveLength, c.requests)
				So(strings.Join(seen, "\n"), ShouldContainSubstring, c.seen)
				So(c.unseen == "" || !strings.Contains(strings.Join(seen, "\n"), c.unseen), ShouldBeTrue)
			})
		})
	}
}

// TestSlowReader checks that a caller which does not read its answer is given up.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A caller that reads nothing of a long answer is given up after the write timeout", t, func() {
			b := newBridge("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1000000))
			c, err := b.net.Dial(t.Context(), "tcp", "n:80")
			So(err, ShouldBeNil)
			_, err = io.WriteString(c, "GET /s/x HTTP/1.1\r\nHost: n\r\n\r\n")
			So(err, ShouldBeNil)
			synctest.Wait()
			So(b.handler.InFlight(), ShouldEqual, 1)
			time.Sleep(slowCaller + time.Second)
			So(b.handler.InFlight(), ShouldEqual, 0)
			_ = c.Close()
			b.close()
		})
	})
}
