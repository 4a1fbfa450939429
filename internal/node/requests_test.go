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
	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/idempotency"
	"cactuswall.example/cactuswall/internal/operator"
)

const billingManifest = `{"release": "r", "failure_domains": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
  "teams": [{"name": "t", "quota": {"milli_processors": 8000, "memory_mib": 1000, "accelerators": 0}}],
  "services": [{"name": "s", "team": "t", "path_prefix": "/s/", "instances": 1, "slots": 8, "connections": 64,
    "size": {"milli_processors": 9000, "memory_mib": 10, "accelerators": 0}, "latency_target": "1s", "timeout": "4s",
    "requests": [], "limits": {"caller_rate": 0, "caller_burst": 0, "queue_length": 0, "max_body_bytes": 0, "listeners": 0, "retry_percent": 0}}],
  "jobs": []}`

// billingDeployment is a deployment of two failure domains with one endpoint.
type billingDeployment struct {
	*twoDomainDeployment
	t        *testing.T
	endpoint *fake.Endpoint
	server   *http.Server
	client   *http.Transport
	// target is the address of the node that receives the next request.
	target string
}

func newBillingDeployment(t *testing.T) *billingDeployment {
	d := &billingDeployment{twoDomainDeployment: newTwoDomainDeployment(0), t: t, endpoint: fake.NewEndpoint("e", 8, time.Millisecond)}
	d.list.Put(d.endpoint.VM("s", "a", "e:80"))
	d.server = &http.Server{Handler: d.endpoint}
	listener := d.links.Listen("e:80")
	go func() { _ = d.server.Serve(listener) }()
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return d.links.Dial(ctx, network, d.target)
	}
	d.client = &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return d
}

// postBill sends a request with an idempotency key to a node and returns the status code and the verdict.
func (d *billingDeployment) postBill(node string, incarnation int, key string) string {
	req, _ := http.NewRequestWithContext(d.t.Context(), http.MethodPost, "http://x/s/bills", strings.NewReader("bill"))
	d.target = fmt.Sprint(node, ":callers", incarnation)
	req.Header.Set(caller.IdempotencyKeyHeader, key)
	resp, err := d.client.RoundTrip(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return fmt.Sprint(resp.StatusCode, resp.Header.Get(caller.VerdictHeader))
}

func (d *billingDeployment) expect(what, got, want string, served int64) {
	d.t.Helper()
	if got != want || d.endpoint.Served() != served {
		d.t.Errorf("%s: %q, want %q; the endpoint ran %d requests, want %d", what, got, want, d.endpoint.Served(), served)
	}
}

// keyOf returns an idempotency key whose home failure domain is domain. Different n give different keys.
func keyOf(domain string, n int) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("k%d-%d", n, i)
		if idempotency.KeyOf("s", key).HomeDomain([]string{"a", "b"}) == domain {
			return key
		}
	}
}

// TestIdempotencyKeysRunAtMostOnce repeats requests with the same key through another domain's node, after a
// restart, while the log is unreachable and while the key's home domain is down. No key may run twice.
func TestIdempotencyKeysRunAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newBillingDeployment(t)
		a, killA := d.start("a", 1)
		_, killB := d.start("b", 1)
		time.Sleep(5 * time.Second)
		if _, err := a.Publish(context.Background(), operator.Publication{Document: billingManifest}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if !a.Status().Ready {
			t.Error("the node is not ready")
		}
		first, other := keyOf("a", 1), keyOf("b", 2)
		d.expect("a key", d.postBill("a", 1, first), "200", 1)
		d.expect("the key again", d.postBill("a", 1, first), "409may_have_run", 1)
		d.expect("the key through the other domain", d.postBill("b", 1, first), "409may_have_run", 1)
		d.expect("a key of the other domain", d.postBill("a", 1, other), "200", 2)

		killA()
		d.expect("a key whose home domain is down", d.postBill("b", 1, first), "503may_have_run", 2)
		d.expect("a new key whose home domain is down", d.postBill("b", 1, keyOf("a", 3)), "503may_have_run", 2)
		_, killA = d.start("a", 2)
		time.Sleep(30 * time.Second)
		d.expect("the key after a restart", d.postBill("a", 2, first), "409may_have_run", 2)

		d.log.SetDown(true)
		time.Sleep(time.Second)
		d.expect("the key while the log is down", d.postBill("a", 2, first), "409may_have_run", 2)
		d.expect("a new key while the log is down", d.postBill("a", 2, keyOf("a", 4)), "503may_have_run", 2)
		time.Sleep(time.Minute)
		d.expect("another new key while the log is down", d.postBill("b", 1, keyOf("b", 5)), "503may_have_run", 2)
		d.log.SetDown(false)
		time.Sleep(time.Minute)
		d.expect("a new key after the outage", d.postBill("a", 2, keyOf("a", 6)), "200", 3)

		killA()
		killB()
		d.client.CloseIdleConnections()
		_ = d.server.Close()
	})
}

// TestLeavingEndpointIsLearnedFromPeers checks that when an endpoint rejects a request of one node because
// it is leaving, both nodes know that within seconds, although the VM list still shows the endpoint as live.
func TestLeavingEndpointIsLearnedFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newBillingDeployment(t)
		a, killA := d.start("a", 1)
		b, killB := d.start("b", 1)
		time.Sleep(5 * time.Second)
		if _, err := a.Publish(context.Background(), operator.Publication{Document: billingManifest}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		d.endpoint.SetLeaving(true)
		d.expect("through the node that is rejected", d.postBill("a", 1, "x"), "503not_run", 0)
		time.Sleep(4 * time.Second)
		for _, n := range []*Node{a, b} {
			if !n.Endpoints()[0].Leaving {
				t.Error("a node does not know that the endpoint is leaving")
			}
		}
		killA()
		killB()
		d.client.CloseIdleConnections()
		_ = d.server.Close()
	})
}
