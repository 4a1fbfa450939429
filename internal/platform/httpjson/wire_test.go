package httpjson

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/verdict"
)

// fixedReply returns a handler that always sends the same reply.
func fixedReply(status int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})
}

func TestAppendErrorVerdicts(t *testing.T) {
	Convey("The error of a failed append says whether the append may have taken effect", t, func() {
		for _, c := range []struct {
			name    string
			handler http.Handler
			verdict verdict.Verdict
			reason  verdict.Reason
		}{
			{"a rejection with a verdict", fixedReply(http.StatusServiceUnavailable, `{"verdict":"not_run","reason":"log_down"}`), verdict.NotRun, platform.ReasonLogUnavailable},
			{"a rejection that is not JSON", fixedReply(http.StatusServiceUnavailable, "busy"), verdict.MayHaveRun, reasonMalformed},
			{"a rejection with an unknown verdict", fixedReply(http.StatusConflict, `{"verdict":"perhaps","reason":"x"}`), verdict.MayHaveRun, "x"},
			{"a successful reply that is not JSON", fixedReply(http.StatusOK, "yes"), verdict.MayHaveRun, reasonMalformed},
			{"a lost reply", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), verdict.MayHaveRun, reasonReplyLost},
		} {
			Convey(c.name, func() {
				server := httptest.NewServer(c.handler)
				defer server.Close()
				client := NewClient(server.Listener.Addr().String(), server.Client())
				_, err := client.Append(context.Background(), "manifest", []byte("x"))
				So(verdict.Of(err), ShouldEqual, c.verdict)
				So(verdict.ReasonOf(err), ShouldEqual, c.reason)
			})
		}
		Convey("a refused connection", func() {
			server := httptest.NewServer(nil)
			address := server.Listener.Addr().String()
			server.Close()
			_, err := NewClient(address, &http.Client{Timeout: time.Minute}).Append(context.Background(), "manifest", []byte("x"))
			So(verdict.Of(err), ShouldEqual, verdict.NotRun)
			So(verdict.ReasonOf(err), ShouldEqual, reasonNotReached)
		})
	})
}

// FuzzDecodeReply checks that decodeReply does not panic on any reply from the platform, that it fails for
// every status other than 200, and that a successful reply that cannot be decoded never has the verdict
// NotRun.
func FuzzDecodeReply(f *testing.F) {
	f.Add(http.StatusOK, []byte(`{"offset": 3}`))
	f.Add(http.StatusOK, []byte(`{"entries": [{"Offset": 1, "Data": "eA=="}], "oldest": 1, "next": 2}`))
	f.Add(http.StatusOK, []byte(`[{"ID": "w", "Kind": "worker", "State": "live"}]`))
	f.Add(http.StatusOK, []byte(`{"Capacity": {"memory_mib": 1}, "Runs": [{"ID": {"task": "t"}}]}`))
	f.Add(http.StatusConflict, []byte(`{"verdict": "not_run", "reason": "fenced"}`))
	f.Add(http.StatusBadGateway, []byte(`<html>`))
	f.Fuzz(func(t *testing.T, status int, data []byte) {
		for _, reply := range []any{&appendReply{}, &pageReply{}, &[]platform.VM{}, &platform.Report{}, nil} {
			err := decodeReply(status, data, reply)
			switch {
			case err == nil && status != http.StatusOK:
				t.Fatalf("status %d was accepted as a success", status)
			case err != nil && status == http.StatusOK && verdict.Of(err) == verdict.NotRun:
				t.Fatalf("a reply that cannot be decoded has the verdict NotRun: %v", err)
			}
		}
	})
}
