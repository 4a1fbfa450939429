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

// step is one thing that happens in a run.
type step struct {
	kind  string
	after time.Duration

	// node, method, key, size and patience describe a request.
	node     int
	method   string
	key      string
	size     int
	patience time.Duration

	// endpoint, mode and delay describe a change of an endpoint.
	endpoint int
	mode     mode
	delay    time.Duration
}

// burst is the number of requests of a burst: more than there are slots.
const burst = endpointCount*slots + 4

func drawSteps(t *rapid.T) []step {
	kinds := []string{"request", "request", "request", "request", "request", "burst", "endpoint", "leave", "join", "wait"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		s := step{kind: rapid.SampledFrom(kinds).Draw(t, "kind")}
		s.after = time.Duration(rapid.IntRange(0, 20).Draw(t, "after")) * time.Millisecond
		switch s.kind {
		case "request", "burst":
			s.node = rapid.IntRange(0, nodeCount-1).Draw(t, "node")
			s.method = rapid.SampledFrom([]string{"GET", "PUT", "POST", "DELETE", "HEAD"}).Draw(t, "method")
			s.key = rapid.SampledFrom([]string{"", "", "a", "b", "c"}).Draw(t, "key")
			s.size = rapid.SampledFrom([]int{0, 10, wholeAnswerBytes - 1, wholeAnswerBytes, 2 * wholeAnswerBytes}).Draw(t, "size")
			s.patience = time.Duration(rapid.SampledFrom([]int{5, 50, 60000}).Draw(t, "patience")) * time.Millisecond
		case "endpoint":
			s.endpoint = rapid.IntRange(0, endpointCount-1).Draw(t, "endpoint")
			s.mode = mode(rapid.IntRange(0, int(modes)-1).Draw(t, "mode"))
			s.delay = time.Duration(rapid.SampledFrom([]int{1, 10, 100, 1500}).Draw(t, "delay")) * time.Millisecond
		case "leave":
			s.endpoint = rapid.IntRange(0, endpointCount-1).Draw(t, "endpoint")
		case "wait":
			s.after = time.Duration(rapid.IntRange(1, 5000).Draw(t, "long")) * time.Millisecond
		}
		return s
	}), 1, 60).Draw(t, "steps")
}

// TestVerdictsAndAnswers sends random requests through several nodes to endpoints that misbehave in every
// way. An oracle that knows what each endpoint really ran checks each verdict and each answer, that
// requests which are not idempotent run at most once, and that slots and connections are never passed.
func TestVerdictsAndAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			w := newWorld()
			for _, s := range steps {
				time.Sleep(s.after)
				w.take(s)
			}
			w.finish()
			faults = w.oracle.judge()
		})
		if len(faults) > 0 {
			rt.Fatalf("%d faults, the first: %s", len(faults), faults[0])
		}
	})
}

func (w *world) take(s step) {
	switch s.kind {
	case "request":
		w.send(s)
	case "burst":
		for range burst {
			w.send(s)
		}
	case "endpoint":
		w.endpoints[s.endpoint].set(s.mode, s.delay)
	case "leave":
		w.endpoints[s.endpoint].set(modeLeaving, 0)
	case "join":
		w.join()
	}
}

// send starts one caller's request.
func (w *world) send(s step) {
	w.requests++
	id := fmt.Sprintf("r%d", w.requests)
	run := id
	if s.key != "" && (s.method == http.MethodPost || s.method == http.MethodDelete) {
		run = "key-" + s.key
	}
	address := w.nodes[s.node].address
	w.callers.Go(func() { w.oracle.take(w.call(address, id, run, s)) })
}

// TestListenerMoves checks that no event is lost or doubled when an endpoint leaves, and that a planned
// stop ends the stream whole.
func TestListenerMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		got := w.listen(0)
		time.Sleep(3 * time.Second)
		first := w.endpointOfListener()
		first.set(modeLeaving, 0)
		w.markLeaving(first.info.ID)
		time.Sleep(4 * time.Second)
		if first.listeners.Load() != 0 {
			t.Fatal("the listener stays at an endpoint that is leaving")
		}
		w.nodes[0].handler.Stop()
		synctest.Wait()
		time.Sleep(time.Second)
		ids, whole := got()
		w.finish()
		if !whole || len(ids) < 60 {
			t.Fatalf("the stream ended whole: %v, with %d events", whole, len(ids))
		}
		for i, id := range ids {
			if id != i+1 {
				t.Fatalf("event %d has ID %d", i+1, id)
			}
		}
		if w.endpointOfListener() != nil {
			t.Fatal("an endpoint still has a listener")
		}
	})
}
