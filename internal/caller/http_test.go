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

// testProxy is a node with one endpoint. Requests and responses are written as raw bytes, without an HTTP
// client or server in between.
type testProxy struct {
	net     *pipenet.Network
	handler *Handler
	closers []io.Closer
	// seen receives the requests that the endpoint read.
	seen chan string
}

const ioTimeout = 2 * time.Second

// newTestProxy starts a node whose endpoint writes the given raw response to every request.
func newTestProxy(response string) *testProxy {
	p := &testProxy{net: pipenet.New(), seen: make(chan string, 100)}
	endpointListener := p.net.Listen("e:80")
	go p.serveEndpoint(endpointListener, response)
	limits := settings.Default().Callers
	limits.MaxBodyBytes = 100
	limits.WriteTimeout = units.Duration(ioTimeout)
	directory := endpoint.NewDirectory()
	directory.Update([]endpoint.Info{{ID: "e", Service: "s", FailureDomain: "d", Address: "e:80"}})
	directory.ServiceEndpoints("s")[0].SetShare(slots, connections)
	transport := endpoint.NewTransport(p.net.Dial)
	m := testManifest()
	p.handler = NewHandler(Options{
		Limits: limits, Directory: directory, Chooser: route.Adaptive{FailureDomain: "d"}, Transport: transport,
		Metrics: metrics.NewSet(), Manifest: func() *manifest.Manifest { return m },
	})
	server := &http.Server{Handler: p.handler, ReadTimeout: ioTimeout, MaxHeaderBytes: 8 << 10}
	nodeListener := p.net.Listen("n:80")
	go func() { _ = server.Serve(WithParseErrorVerdicts(nodeListener)) }()
	p.closers = append(p.closers, endpointListener, closerFunc(func() { transport.CloseIdleConnections() }), server)
	return p
}

type closerFunc func()

func (c closerFunc) Close() error { c(); return nil }

func (p *testProxy) serveEndpoint(l net.Listener, response string) {
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
				p.seen <- fmt.Sprintf("%s %s %v %s", req.Method, req.URL, req.Header, body)
				if _, err := io.WriteString(c, response); err != nil {
					return
				}
			}
		}()
	}
}

// sendRaw writes a raw request and returns everything that is received until the connection is closed or the
// read deadline passes.
func (p *testProxy) sendRaw(raw string) string {
	c, err := p.net.Dial(context.Background(), "tcp", "n:80")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	go func() { _, _ = io.WriteString(c, raw) }()
	_ = c.SetReadDeadline(time.Now().Add(2 * ioTimeout))
	got, _ := io.ReadAll(c)
	return string(got)
}

func (p *testProxy) close() {
	time.Sleep(time.Minute)
	for _, c := range p.closers {
		_ = c.Close()
	}
	close(p.seen)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestHTTP(t *testing.T) {
	cases := []struct {
		name, response, request string
		// want and notWant are substrings that the caller must and must not receive; seen and notSeen are those
		// for the endpoint. requests is the number of requests that reach the endpoint.
		want, notWant, seen, notSeen string
		requests                     int
	}{
		{"hop-by-hop headers of a request are not forwarded", okResponse,
			"GET /s/x HTTP/1.1\r\nHost: n\r\nConnection: X-Private\r\nX-Private: 1\r\nTe: trailers\r\nX-Public: 1\r\n\r\n",
			"200 OK", "", "X-Public", "X-Private", 1},
		{"hop-by-hop headers of a response are not forwarded", "HTTP/1.1 200 OK\r\nConnection: X-Private\r\nX-Private: 1\r\nX-Public: 1\r\nContent-Length: 2\r\n\r\nok",
			"GET /s/x HTTP/1.1\r\nHost: n\r\n\r\n", "X-Public", "X-Private", "GET", "", 1},
		{"an endpoint cannot set a verdict", "HTTP/1.1 200 OK\r\nCactuswall-Verdict: not_run\r\nContent-Length: 2\r\n\r\nok",
			"GET /s/x HTTP/1.1\r\nHost: n\r\n\r\n", "200 OK", "not_run", "GET", "", 1},
		{"trailers are forwarded", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\n\r\n",
			"GET /s/x HTTP/1.1\r\nHost: n\r\n\r\n", "X-Sum: 7", "", "GET", "", 1},
		{"an interim response is skipped", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse,
			"GET /s/x HTTP/1.1\r\nHost: n\r\n\r\n", "200 OK", "", "GET", "", 1},
		{"the response to HEAD keeps its Content-Length and has no body", "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n",
			"HEAD /s/x HTTP/1.1\r\nHost: n\r\n\r\n", "Content-Length: 77", "502", "HEAD", "", 1},
		{"100 Continue is sent for a body that is accepted", okResponse,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody", "100 Continue", "", "body", "Expect", 1},
		{"100 Continue is not sent for a body that is too large", okResponse,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nExpect: 100-continue\r\nContent-Length: 4000\r\n\r\n", "413", "100 Continue", "", "", 0},
		{"a chunked body that is too large is refused", okResponse,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n" + strings.Repeat("x", 128) + "\r\n0\r\n\r\n", "413", "200 OK", "", "", 0},
		{"conflicting Content-Length headers are refused", okResponse,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!", "400", "200 OK", "", "", 0},
		{"a Content-Length with a chunked body does not allow request smuggling", okResponse,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nConnection: close\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /s/hidden HTTP/1.1\r\nHost: n\r\n\r\n", "", "", "", "hidden", 1},
		{"an unknown transfer encoding is refused", okResponse,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "501", "200 OK", "", "", 0},
		{"dot segments are refused", okResponse, "GET /s/../admin HTTP/1.1\r\nHost: n\r\n\r\n", "path_ambiguous", "200 OK", "", "", 0},
		{"encoded slashes are refused", okResponse, "GET /s/a%2Fb HTTP/1.1\r\nHost: n\r\n\r\n", "path_ambiguous", "200 OK", "", "", 0},
		{"TRACE is refused", okResponse, "TRACE /s/x HTTP/1.1\r\nHost: n\r\n\r\n", "405", "200 OK", "", "", 0},
		{"a header that is too large is refused", okResponse,
			"GET /s/x HTTP/1.1\r\nHost: n\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", "431", "200 OK", "", "", 0},
		{"a request that cannot be parsed is refused with a verdict", okResponse, "GARBAGE\r\n\r\n", "400 Bad Request\r\nCactuswall-Verdict: not_run", "200 OK", "", "", 0},
		{"a header that is too large is refused with a verdict", okResponse,
			"GET /s/x HTTP/1.1\r\nHost: n\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", "Too Large\r\nCactuswall-Verdict: not_run", "200 OK", "", "", 0},
		{"an unknown transfer encoding is refused with a verdict", okResponse,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "Cactuswall-Verdict: not_run", "200 OK", "", "", 0},
		{"a body that is sent too slowly is refused", okResponse,
			"POST /s/x HTTP/1.1\r\nHost: n\r\nContent-Length: 50\r\n\r\nhalf", "not_run", "200 OK", "", "", 0},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				proxy := newTestProxy(c.response)
				got := proxy.sendRaw(c.request)
				proxy.close()
				var seen []string
				for s := range proxy.seen {
					seen = append(seen, s)
				}
				So(got, ShouldContainSubstring, c.want)
				So(c.notWant == "" || !strings.Contains(got, c.notWant), ShouldBeTrue)
				So(seen, ShouldHaveLength, c.requests)
				So(strings.Join(seen, "\n"), ShouldContainSubstring, c.seen)
				So(c.notSeen == "" || !strings.Contains(strings.Join(seen, "\n"), c.notSeen), ShouldBeTrue)
			})
		})
	}
}

// TestSlowReader checks that a request ends when its caller doesn't read the response.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A request whose caller reads nothing of a long response ends after the write timeout", t, func() {
			proxy := newTestProxy("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1000000))
			c, err := proxy.net.Dial(t.Context(), "tcp", "n:80")
			So(err, ShouldBeNil)
			_, err = io.WriteString(c, "GET /s/x HTTP/1.1\r\nHost: n\r\n\r\n")
			So(err, ShouldBeNil)
			synctest.Wait()
			So(proxy.handler.InFlight(), ShouldEqual, 1)
			time.Sleep(ioTimeout + time.Second)
			So(proxy.handler.InFlight(), ShouldEqual, 0)
			_ = c.Close()
			proxy.close()
		})
	})
}
