package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/examples"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/operator"
)

// fakeSource accepts every valid manifest and counts them.
type fakeSource struct {
	accepted int
	ready    bool
}

func (s *fakeSource) Status() operator.Status             { return operator.Status{Ready: s.ready} }
func (s *fakeSource) Tasks() []operator.Task              { return nil }
func (s *fakeSource) Workers() []operator.Worker          { return nil }
func (s *fakeSource) Endpoints() []endpoint.Info          { return nil }
func (s *fakeSource) Nodes() []operator.Node              { return nil }
func (s *fakeSource) Manifest() (operator.Manifest, bool) { return operator.Manifest{}, false }
func (s *fakeSource) Explain(string) (operator.Explanation, bool) {
	return operator.Explanation{}, false
}
func (s *fakeSource) Publish(_ context.Context, p operator.Publication) (operator.Decision, error) {
	if _, err := manifest.Parse([]byte(p.Document)); err != nil {
		return operator.Decision{}, err
	}
	s.accepted++
	return operator.Decision{Accepted: true, Known: true, Version: 1}, nil
}

func request(s *fakeSource, method, path string, body []byte) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	operator.NewHandler(s, metrics.NewSet()).ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewReader(body)))
	return recorder
}

func publication(document string) []byte {
	data, err := json.Marshal(operator.Publication{Document: document})
	if err != nil {
		panic(err) // a string and a number always encode
	}
	return data
}

func TestHandler(t *testing.T) {
	Convey("The operator API", t, func() {
		s := &fakeSource{}
		Convey("fails readiness, and not health, while the node is not ready", func() {
			So(request(s, http.MethodGet, "/readyz", nil).Code, ShouldEqual, http.StatusServiceUnavailable)
			So(request(s, http.MethodGet, "/healthz", nil).Code, ShouldEqual, http.StatusOK)
			s.ready = true
			So(request(s, http.MethodGet, "/readyz", nil).Code, ShouldEqual, http.StatusOK)
		})
		Convey("returns 404 for an unknown task and for a missing manifest", func() {
			So(request(s, http.MethodGet, "/v1/explain?task=x", nil).Code, ShouldEqual, http.StatusNotFound)
			So(request(s, http.MethodGet, "/v1/manifest", nil).Code, ShouldEqual, http.StatusNotFound)
		})
		Convey("names every problem of an invalid manifest and does not accept it", func() {
			reply := request(s, http.MethodPost, "/v1/manifest", publication(`{"release": ""}`))
			So(reply.Code, ShouldEqual, http.StatusBadRequest)
			So(reply.Body.String(), ShouldContainSubstring, `"path":"release"`)
			So(reply.Body.String(), ShouldContainSubstring, `"path":"teams"`)
			So(s.accepted, ShouldEqual, 0)
		})
		Convey("rejects a body that is truncated or too long", func() {
			whole := publication(string(examples.ArwyddionManifest))
			So(request(s, http.MethodPost, "/v1/manifest", whole[:len(whole)/2]).Code, ShouldEqual, http.StatusBadRequest)
			long := publication(strings.Repeat(" ", 3*manifest.MaxDocumentBytes))
			So(request(s, http.MethodPost, "/v1/manifest", long).Code, ShouldEqual, http.StatusBadRequest)
			So(s.accepted, ShouldEqual, 0)
			So(request(s, http.MethodPost, "/v1/manifest", whole).Code, ShouldEqual, http.StatusOK)
			So(s.accepted, ShouldEqual, 1)
		})
	})
}

// FuzzPublish checks that the response to any body is JSON, and that only a valid manifest is accepted.
func FuzzPublish(f *testing.F) {
	f.Add(publication(string(examples.VinnufataManifest)))
	f.Add(publication(`{}`))
	f.Add([]byte(`{"document": 3}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := &fakeSource{}
		reply := request(s, http.MethodPost, "/v1/manifest", body)
		if !json.Valid(reply.Body.Bytes()) {
			t.Fatalf("the response is not JSON: %q", reply.Body)
		}
		if (reply.Code == http.StatusOK) != (s.accepted == 1) || (reply.Code != http.StatusOK && reply.Code != http.StatusBadRequest) {
			t.Fatalf("status %d with %d accepted manifests", reply.Code, s.accepted)
		}
	})
}
