package caller

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// step is one event in a randomized run.
type step struct {
	kind string
	wait time.Duration

	// node, method, key, size and timeout describe a request.
	node    int
	method  string
	key     string
	size    int
	timeout time.Duration

	// endpoint, mode and delay describe a change in the behaviour of an endpoint.
	endpoint int
	mode     mode
	delay    time.Duration
}

// burstSize is the number of requests in a burst. It is larger than the number of slots.
const burstSize = endpointCount*slots + 4

func drawSteps(t *rapid.T) []step {
	kinds := []string{"request", "request", "request", "request", "request", "burst", "endpoint", "leave", "join", "wait"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		s := step{kind: rapid.SampledFrom(kinds).Draw(t, "kind")}
		s.wait = time.Duration(rapid.IntRange(0, 20).Draw(t, "wait")) * time.Millisecond
		switch s.kind {
		case "request", "burst":
			s.node = rapid.IntRange(0, nodeCount-1).Draw(t, "node")
			s.method = rapid.SampledFrom([]string{"GET", "PUT", "POST", "DELETE", "HEAD"}).Draw(t, "method")
			s.key = rapid.SampledFrom([]string{"", "", "a", "b", "c"}).Draw(t, "key")
			s.size = rapid.SampledFrom([]int{0, 10, bufferedResponseBytes - 1, bufferedResponseBytes, 2 * bufferedResponseBytes}).Draw(t, "size")
			s.timeout = time.Duration(rapid.SampledFrom([]int{5, 50, 60000}).Draw(t, "timeout")) * time.Millisecond
		case "endpoint":
			s.endpoint = rapid.IntRange(0, endpointCount-1).Draw(t, "endpoint")
			s.mode = mode(rapid.IntRange(0, int(modeCount)-1).Draw(t, "mode"))
			s.delay = time.Duration(rapid.SampledFrom([]int{1, 10, 100, 1500}).Draw(t, "delay")) * time.Millisecond
		case "leave":
			s.endpoint = rapid.IntRange(0, endpointCount-1).Draw(t, "endpoint")
		case "wait":
			s.wait = time.Duration(rapid.IntRange(1, 5000).Draw(t, "long wait")) * time.Millisecond
		}
		return s
	}), 1, 60).Draw(t, "steps")
}

// TestVerdictsAndResponses sends random requests through several nodes to endpoints that fail in all the ways
// that mode lists. An oracle that records which requests the endpoints ran checks each verdict and each
// response, that requests which are not idempotent run at most once, and that the limits on slots and
// connections are kept.
func TestVerdictsAndResponses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster()
			for _, s := range steps {
				time.Sleep(s.wait)
				cluster.apply(s)
			}
			cluster.finish()
			violations = cluster.oracle.check()
		})
		if len(violations) > 0 {
			rt.Fatalf("%d violations, the first: %s", len(violations), violations[0])
		}
	})
}

func (c *testCluster) apply(s step) {
	switch s.kind {
	case "request":
		c.send(s)
	case "burst":
		for range burstSize {
			c.send(s)
		}
	case "endpoint":
		c.endpoints[s.endpoint].set(s.mode, s.delay)
	case "leave":
		c.endpoints[s.endpoint].set(modeLeaving, 0)
	case "join":
		c.join()
	}
}

// send starts the request of one caller in the background.
func (c *testCluster) send(s step) {
	c.requests++
	id := fmt.Sprintf("r%d", c.requests)
	name := id
	if s.key != "" && (s.method == http.MethodPost || s.method == http.MethodDelete) {
		name = "key-" + s.key
	}
	address := c.nodes[s.node].address
	c.callers.Go(func() { c.oracle.addOutcome(c.call(address, id, name, s)) })
}

// TestListenerMoves checks that no event is lost or duplicated when an endpoint leaves, and that a planned stop
// of the node ends the stream between two events.
func TestListenerMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster()
		got := cluster.listen(0)
		time.Sleep(3 * time.Second)
		first := cluster.endpointOfListener()
		first.set(modeLeaving, 0)
		cluster.markLeaving(first.info.ID)
		time.Sleep(4 * time.Second)
		if first.listeners.Load() != 0 {
			t.Fatal("the listener is still at an endpoint that is leaving")
		}
		cluster.nodes[0].handler.Stop()
		synctest.Wait()
		time.Sleep(time.Second)
		ids, whole := got()
		cluster.finish()
		if !whole || len(ids) < 60 {
			t.Fatalf("stream ended without an error: %v, with %d events; want true and at least 60 events", whole, len(ids))
		}
		for i, id := range ids {
			if id != i+1 {
				t.Fatalf("event %d has ID %d", i+1, id)
			}
		}
		if cluster.endpointOfListener() != nil {
			t.Fatal("an endpoint still has a listener after the node stopped")
		}
	})
}
