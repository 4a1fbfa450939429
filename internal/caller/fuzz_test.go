package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/settings"
)

// recordingTransport records every request to an endpoint and responds with status 200.
type recordingTransport struct {
	seen []*http.Request
}

func (r *recordingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Body != nil {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return nil, err
		}
	}
	r.seen = append(r.seen, req)
	return &http.Response{
		StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: req,
		Header: http.Header{"Content-Length": {"2"}}, ContentLength: 2, Body: io.NopCloser(strings.NewReader("ok")),
	}, nil
}

// FuzzRequest checks that no request makes the handler panic, that every refusal carries a verdict, and that no
// request with the verdict not_run reached an endpoint.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		"GET /s/board HTTP/1.1\r\nHost: x\r\n\r\n",
		"PUT /s/a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
		"POST /s/%2e%2e/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST /s/ HTTP/1.1\r\nHost: x\r\nConnection: close, X-Secret\r\nX-Secret: 1\r\nContent-Length: 9\r\n\r\nshort",
		"POST /s/bills HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nCactuswall-Deadline-Ms: -1\r\nContent-Length: 0\r\n\r\n",
		"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil || strings.HasPrefix(req.URL.Path, "/s/watch") {
			return // not HTTP, or a listener, which the fake endpoint does not support
		}
		req.RemoteAddr = "127.0.0.1:1"
		transport := &recordingTransport{}
		response := httptest.NewRecorder()
		fuzzHandler(transport).ServeHTTP(response, req)
		checkResponse(t, response, transport)
	})
}

func fuzzHandler(transport http.RoundTripper) *Handler {
	directory := endpoint.NewDirectory()
	directory.Update([]endpoint.Info{{ID: "e", Service: "s", FailureDomain: "d", Address: "e:80"}})
	for _, e := range directory.All() {
		e.SetShare(slots, connections)
	}
	m := testManifest()
	return NewHandler(Options{
		Limits: settings.Default().Callers, Directory: directory, Chooser: route.Adaptive{FailureDomain: "d"},
		Transport: transport, Metrics: metrics.NewSet(), Manifest: func() *manifest.Manifest { return m },
	})
}

func checkResponse(t *testing.T, response *httptest.ResponseRecorder, transport *recordingTransport) {
	t.Helper()
	for _, seen := range transport.seen {
		if seen.URL.Host != "e:80" || !strings.HasPrefix(seen.URL.Path, "/s/") || seen.Header.Get("Connection") != "" {
			t.Fatalf("invalid request to the endpoint: %s %s %v", seen.Method, seen.URL, seen.Header)
		}
	}
	verdict := response.Header().Get(VerdictHeader)
	if verdict == "" {
		if response.Code != http.StatusOK || len(transport.seen) != 1 {
			t.Fatalf("status %d without a verdict after %d exchanges", response.Code, len(transport.seen))
		}
		return
	}
	var body ErrorResponse
	if err := json.Unmarshal(response.Body.Bytes(), &body); err != nil || body.Reason == "" || body.Verdict.String() != verdict {
		t.Fatalf("refusal %q with verdict %s: %v", response.Body, verdict, err)
	}
	if verdict == "not_run" && len(transport.seen) != 0 {
		t.Fatalf("verdict not_run, but an endpoint received the request; reason: %s", body.Reason)
	}
}
