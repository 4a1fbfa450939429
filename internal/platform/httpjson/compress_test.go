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

// fakeVMList is a VM list that a test can change.
type fakeVMList struct{ vms []platform.VM }

func (l *fakeVMList) List(context.Context) ([]platform.VM, error) { return l.vms, nil }

// recordingTransport passes requests to a handler and records the status codes and body lengths of its replies.
type recordingTransport struct {
	handler     http.Handler
	codes       []int
	bodyLengths []int
}

// RoundTrip implements http.RoundTripper.
func (s *recordingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	s.handler.ServeHTTP(recorder, req)
	s.codes = append(s.codes, recorder.Code)
	s.bodyLengths = append(s.bodyLengths, recorder.Body.Len())
	return recorder.Result(), nil
}

func TestUnchangedListIsNotResent(t *testing.T) {
	Convey("Given a client that has read the VM list", t, func() {
		list := &fakeVMList{}
		for i := range 100 {
			list.vms = append(list.vms, platform.VM{ID: fmt.Sprint("worker-", i), Kind: platform.WorkerVM, State: platform.Live})
		}
		transport := &recordingTransport{handler: PlatformHandler(nil, list)}
		client := NewClient("10.0.0.1:1", &http.Client{Transport: transport})
		first, err := client.List(t.Context())
		So(err, ShouldBeNil)
		So(len(first), ShouldEqual, 100)

		Convey("an unchanged list is answered with status 304 and no body", func() {
			again, err := client.List(t.Context())
			So(err, ShouldBeNil)
			So(again, ShouldResemble, first)
			So(transport.codes, ShouldResemble, []int{http.StatusOK, http.StatusNotModified})
			So(transport.bodyLengths[1], ShouldEqual, 0)
		})
		Convey("a changed list is sent whole", func() {
			list.vms = list.vms[:99]
			again, err := client.List(t.Context())
			So(err, ShouldBeNil)
			So(len(again), ShouldEqual, 99)
		})
	})
}
