package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

const testKey = "a key of sixteen bytes or more"

// echo answers an exchange with the view that it was sent.
type echo struct{ Peer }

func (echo) Exchange(_ context.Context, v *View) (*View, error) { return v, nil }

// loop serves requests in the same goroutine and records the last one.
type loop struct {
	handler http.Handler
	header  http.Header
	body    []byte
	forge   bool
}

// RoundTrip implements http.RoundTripper.
func (l *loop) RoundTrip(req *http.Request) (*http.Response, error) {
	l.body, _ = io.ReadAll(req.Body)
	l.header = req.Header.Clone()
	recorder := httptest.NewRecorder()
	again := req.Clone(req.Context())
	again.Body = io.NopCloser(bytes.NewReader(l.body))
	l.handler.ServeHTTP(recorder, again)
	if l.forge {
		recorder.Body.WriteByte(0)
	}
	return recorder.Result(), nil
}

func TestAuthentication(t *testing.T) {
	Convey("Given a node that answers its peers", t, func() {
		set := metrics.NewSet()
		link := &loop{handler: NewHandler(echo{}, testKey, set)}
		refused := func(reason string) uint64 {
			return set.GetOrCreateCounter(`cactuswall_peer_requests_refused_total{reason="` + reason + `"}`).Get()
		}
		client := NewClient("10.0.0.1:1", testKey, link)
		_, err := client.Exchange(t.Context(), &View{From: "a"})
		So(err, ShouldBeNil)

		Convey("the key does not travel", func() {
			for _, values := range link.header {
				So(values[0], ShouldNotContainSubstring, testKey)
			}
			So(string(link.body), ShouldNotContainSubstring, testKey)
		})
		Convey("a node with another key is refused and counted", func() {
			_, err := NewClient("10.0.0.1:1", "another key of sixteen bytes", link).Exchange(t.Context(), &View{From: "b"})
			So(err, ShouldNotBeNil)
			So(refused(refusedCode), ShouldEqual, 1)
		})
		Convey("a recorded request is refused when it is sent again, whole or changed", func() {
			send := func(body []byte) int {
				req := httptest.NewRequest(http.MethodPost, PeerPathPrefix+"Exchange", bytes.NewReader(body))
				req.Header = link.header.Clone()
				recorder := httptest.NewRecorder()
				link.handler.ServeHTTP(recorder, req)
				return recorder.Code
			}
			So(send(link.body), ShouldEqual, http.StatusUnauthorized)
			So(refused(refusedReplay), ShouldEqual, 1)
			So(send(append(link.body, link.body...)), ShouldEqual, http.StatusUnauthorized)
			So(refused(refusedCode), ShouldEqual, 1)
		})
		Convey("an answer that was changed on the way is not taken", func() {
			link.forge = true
			_, err := client.Exchange(t.Context(), &View{From: "a"})
			So(err, ShouldNotBeNil)
		})
		Convey("a request that is too large is refused and counted", func() {
			_, err := client.Exchange(t.Context(), &View{From: string(make([]byte, maxMessageBytes+1))})
			So(err, ShouldNotBeNil)
			So(refused(refusedSize), ShouldBeGreaterThan, 0)
		})
		Convey("the challenge changes after many requests and clients follow", func() {
			for range 2*maxNonces + 10 {
				if _, err := client.Exchange(t.Context(), &View{From: "a"}); err != nil {
					t.Fatal(err)
				}
			}
			So(refused(refusedChallenge), ShouldEqual, 1)
		})
	})
}

func TestUnknownFieldsAreTolerated(t *testing.T) {
	Convey("A view with a field of a later version is read", t, func() {
		data, err := proto.Marshal(&View{From: "a"})
		So(err, ShouldBeNil)
		data = protowire.AppendTag(data, 1000, protowire.VarintType)
		data = protowire.AppendVarint(data, 7)
		v := &View{}
		So(proto.Unmarshal(data, v), ShouldBeNil)
		So(v.GetFrom(), ShouldEqual, "a")
	})
}
