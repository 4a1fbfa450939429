package httpintake

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
)

// A response of any size must not be read into memory, whether it says its length or not.
func TestResponsesAreLimited(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, _ := strconv.Atoi(r.URL.Query().Get("size")) // set by the test
		if r.URL.Query().Get("length") != "" {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		_, _ = w.Write(make([]byte, size)) // the client may stop reading
	}))
	defer server.Close()
	client := http.Client{Transport: LimitResponses(http.DefaultTransport, 100_000)}
	for query, want := range map[string]error{
		"size=100000": nil, "size=100001": ErrResponseTooLarge, "size=100000&length=1": nil, "size=100001&length=1": ErrResponseTooLarge,
	} {
		resp, err := client.Get(server.URL + "?" + query)
		if err == nil {
			var body []byte
			if body, err = io.ReadAll(resp.Body); err == nil && len(body) != 100_000 {
				t.Errorf("%s: %d bytes", query, len(body))
			}
			_ = resp.Body.Close()
		}
		if !errors.Is(err, want) {
			t.Errorf("%s: error %v, want %v", query, err, want)
		}
	}
}
