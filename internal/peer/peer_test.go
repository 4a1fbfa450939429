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

// echoPeer responds to an exchange with the view that it received.
type echoPeer struct{ Peer }

func (echoPeer) Exchange(_ context.Context, v *View) (*View, error) { return v, nil }

// loopbackTransport passes requests to a handler in the same goroutine and records the last one. If tamper is
// set, it changes the response bodies.
type loopbackTransport struct {
	handler http.Handler
	header  http.Header
	body    []byte
	tamper  bool
}

// RoundTrip implements http.RoundTripper.
func (l *loopbackTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	l.body, _ = io.ReadAll(req.Body)
	l.header = req.Header.Clone()
	recorder := httptest.NewRecorder()
	served := req.Clone(req.Context())
	served.Body = io.NopCloser(bytes.NewReader(l.body))
	l.handler.ServeHTTP(recorder, served)
	if l.tamper {
		recorder.Body.WriteByte(0)
	}
	return recorder.Result(), nil
}

func TestAuthentication(t *testing.T) {
	Convey("Given a node that serves its peers", t, func() {
		set := metrics.NewSet()
		transport := &loopbackTransport{handler: NewHandler(echoPeer{}, testKey, set)}
		refused := func(reason string) uint64 {
			return set.GetOrCreateCounter(`cactuswall_peer_requests_refused_total{reason="` + reason + `"}`).Get()
		}
		client := NewClient("10.0.0.1:1", testKey, transport)
		_, err := client.Exchange(t.Context(), &View{From: "a"})
		So(err, ShouldBeNil)

		Convey("the key is not sent", func() {
			for _, values := range transport.header {
				So(values[0], ShouldNotContainSubstring, testKey)
			}
			So(string(transport.body), ShouldNotContainSubstring, testKey)
		})
		Convey("a node with another key is rejected and counted", func() {
			_, err := NewClient("10.0.0.1:1", "another key of sixteen bytes", transport).Exchange(t.Context(), &View{From: "b"})
			So(err, ShouldNotBeNil)
			So(refused(refusedWrongMAC), ShouldEqual, 1)
		})
		Convey("a recorded request is rejected when it is replayed, unchanged or changed", func() {
			send := func(body []byte) int {
				req := httptest.NewRequest(http.MethodPost, PeerPathPrefix+"Exchange", bytes.NewReader(body))
				req.Header = transport.header.Clone()
				recorder := httptest.NewRecorder()
				transport.handler.ServeHTTP(recorder, req)
				return recorder.Code
			}
			So(send(transport.body), ShouldEqual, http.StatusUnauthorized)
			So(refused(refusedReplayed), ShouldEqual, 1)
			So(send(append(transport.body, transport.body...)), ShouldEqual, http.StatusUnauthorized)
			So(refused(refusedWrongMAC), ShouldEqual, 1)
		})
		Convey("a response that was changed in transit is rejected", func() {
			transport.tamper = true
			_, err := client.Exchange(t.Context(), &View{From: "a"})
			So(err, ShouldNotBeNil)
		})
		Convey("a request that is too large is rejected and counted", func() {
			_, err := client.Exchange(t.Context(), &View{From: string(make([]byte, MaxMessageBytes+1))})
			So(err, ShouldNotBeNil)
			So(refused(refusedTooLarge), ShouldBeGreaterThan, 0)
		})
		Convey("the challenge is replaced after many requests, and clients use the new one", func() {
			for range 2*maxNonces + 10 {
				if _, err := client.Exchange(t.Context(), &View{From: "a"}); err != nil {
					t.Fatal(err)
				}
			}
			So(refused(refusedOldChallenge), ShouldEqual, 1)
		})
	})
}

func TestUnknownFieldsAreIgnored(t *testing.T) {
	Convey("A view with a field of a newer version can be decoded", t, func() {
		data, err := proto.Marshal(&View{From: "a"})
		So(err, ShouldBeNil)
		data = protowire.AppendTag(data, 1000, protowire.VarintType)
		data = protowire.AppendVarint(data, 7)
		v := &View{}
		So(proto.Unmarshal(data, v), ShouldBeNil)
		So(v.GetFrom(), ShouldEqual, "a")
	})
}
