package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cactuswall.example/cactuswall/internal/caller"
	"cactuswall.example/cactuswall/internal/once"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/standin"
)

const billingManifest = `{"release": "r", "failure_domains": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
  "teams": [{"name": "t", "quota": {"milli_processors": 8000, "memory_mib": 1000, "accelerators": 0}}],
  "services": [{"name": "s", "team": "t", "path_prefix": "/s/", "instances": 1, "slots": 8, "connections": 64,
    "size": {"milli_processors": 9000, "memory_mib": 10, "accelerators": 0}, "latency_target": "1s", "timeout": "4s",
    "requests": [], "limits": {"caller_rate": 0, "caller_burst": 0, "queue_length": 0, "max_body_bytes": 0, "listeners": 0, "retry_percent": 0}}],
  "jobs": []}`

// billing is a deployment of two domains with one endpoint.
type billing struct {
	*twoDomains
	t        *testing.T
	endpoint *standin.Endpoint
	server   *http.Server
	client   *http.Transport
	// target is the address of the node that the next request goes to.
	target string
}

func newBilling(t *testing.T) *billing {
	w := &billing{twoDomains: newTwoDomains(0), t: t, endpoint: standin.NewEndpoint("e", 8, time.Millisecond)}
	w.list.Put(w.endpoint.VM("s", "a", "e:80"))
	w.server = &http.Server{Handler: w.endpoint}
	listener := w.links.Listen("e:80")
	go func() { _ = w.server.Serve(listener) }()
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return w.links.Dial(ctx, network, w.target)
	}
	w.client = &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return w
}

// bill sends a request with a key through a node and returns the status and the verdict.
func (w *billing) bill(node string, incarnation int, key string) string {
	req, _ := http.NewRequestWithContext(w.t.Context(), http.MethodPost, "http://x/s/bills", strings.NewReader("bill"))
	w.target = fmt.Sprint(node, ":callers", incarnation)
	req.Header.Set(caller.KeyHeader, key)
	resp, err := w.client.RoundTrip(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return fmt.Sprint(resp.StatusCode, resp.Header.Get(caller.VerdictHeader))
}

func (w *billing) expect(what, got, want string, served int64) {
	w.t.Helper()
	if got != want || w.endpoint.Served() != served {
		w.t.Errorf("%s: %q, want %q; the endpoint ran %d requests, want %d", what, got, want, w.endpoint.Served(), served)
	}
}

// keyOf returns a key whose home is a domain.
func keyOf(domain string, n int) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("k%d-%d", n, i)
		if once.KeyOf("s", key).Home([]string{"a", "b"}) == domain {
			return key
		}
	}
}

// TestKeysRunAtMostOnce sends keys again through another domain's node, after a restart, while the log is
// down and while the key's home domain is gone.
func TestKeysRunAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newBilling(t)
		a, killA := w.start("a", 1)
		_, killB := w.start("b", 1)
		time.Sleep(5 * time.Second)
		if _, err := a.Publish(context.Background(), operator.Publication{Document: billingManifest}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if !a.Status().Ready {
			t.Error("the node is not ready")
		}
		first, other := keyOf("a", 1), keyOf("b", 2)
		w.expect("a key", w.bill("a", 1, first), "200", 1)
		w.expect("the key again", w.bill("a", 1, first), "409may_have_run", 1)
		w.expect("the key through the other domain", w.bill("b", 1, first), "409may_have_run", 1)
		w.expect("a key of the other domain", w.bill("a", 1, other), "200", 2)

		killA()
		w.expect("a key whose home is gone", w.bill("b", 1, first), "503may_have_run", 2)
		w.expect("a new key whose home is gone", w.bill("b", 1, keyOf("a", 3)), "503may_have_run", 2)
		_, killA = w.start("a", 2)
		time.Sleep(30 * time.Second)
		w.expect("the key after a restart", w.bill("a", 2, first), "409may_have_run", 2)

		w.log.SetDown(true)
		time.Sleep(time.Second)
		w.expect("the key while the log is down", w.bill("a", 2, first), "409may_have_run", 2)
		w.expect("a new key while the log is down", w.bill("a", 2, keyOf("a", 4)), "503may_have_run", 2)
		time.Sleep(time.Minute)
		w.expect("another new key while the log is down", w.bill("b", 1, keyOf("b", 5)), "503may_have_run", 2)
		w.log.SetDown(false)
		time.Sleep(time.Minute)
		w.expect("a new key after the outage", w.bill("a", 2, keyOf("a", 6)), "200", 3)

		killA()
		killB()
		w.client.CloseIdleConnections()
		_ = w.server.Close()
	})
}

// TestLeavingIsHeardFromPeers checks that an endpoint which one node was refused by as leaving gets no new
// request from the other node within seconds, although the list still shows it as live.
func TestLeavingIsHeardFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newBilling(t)
		a, killA := w.start("a", 1)
		b, killB := w.start("b", 1)
		time.Sleep(5 * time.Second)
		if _, err := a.Publish(context.Background(), operator.Publication{Document: billingManifest}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		w.endpoint.SetLeaving(true)
		w.expect("through the node that is refused", w.bill("a", 1, "x"), "503not_run", 0)
		time.Sleep(4 * time.Second)
		for _, n := range []*Node{a, b} {
			if !n.Endpoints()[0].Leaving {
				t.Error("a node does not know that the endpoint is leaving")
			}
		}
		killA()
		killB()
		w.client.CloseIdleConnections()
		_ = w.server.Close()
	})
}
