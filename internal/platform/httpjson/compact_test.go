package httpjson

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/platform"
)

// fakeList is a list that a test changes.
type fakeList struct{ vms []platform.VM }

func (l *fakeList) List(context.Context) ([]platform.VM, error) { return l.vms, nil }

// statuses records the statuses and lengths of replies on the wire.
type statuses struct {
	handler http.Handler
	codes   []int
	bytes   []int
}

// RoundTrip implements http.RoundTripper.
func (s *statuses) RoundTrip(req *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	s.handler.ServeHTTP(recorder, req)
	s.codes = append(s.codes, recorder.Code)
	s.bytes = append(s.bytes, recorder.Body.Len())
	return recorder.Result(), nil
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	Convey("Given a client that has read the list", t, func() {
		list := &fakeList{}
		for i := range 100 {
			list.vms = append(list.vms, platform.VM{ID: fmt.Sprint("worker-", i), Kind: platform.WorkerVM, State: platform.Live})
		}
		wire := &statuses{handler: PlatformHandler(nil, list)}
		client := NewClient("10.0.0.1:1", &http.Client{Transport: wire})
		first, err := client.List(t.Context())
		So(err, ShouldBeNil)
		So(len(first), ShouldEqual, 100)

		Convey("an unchanged list costs no body", func() {
			again, err := client.List(t.Context())
			So(err, ShouldBeNil)
			So(again, ShouldResemble, first)
			So(wire.codes, ShouldResemble, []int{http.StatusOK, http.StatusNotModified})
			So(wire.bytes[1], ShouldEqual, 0)
		})
		Convey("a changed list is read whole", func() {
			list.vms = list.vms[:99]
			again, err := client.List(t.Context())
			So(err, ShouldBeNil)
			So(len(again), ShouldEqual, 99)
		})
	})
}
