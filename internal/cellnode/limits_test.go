package cellnode

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/httpintake"
	"cactuswall.example/cactuswall/internal/jobs"
)

// Ordinary load must never meet a limit: hundreds of callers with kept connections, most of them behind one address, and bodies
// of up to 262,144 bytes, also on the smallest VM.
func TestLimitsAreAboveOrdinaryLoad(t *testing.T) {
	Convey("limits by VM", t, func() {
		for _, megabytes := range []int64{160, 184, 284, 536} {
			l := Limits{MemoryBytes: megabytes << 20, MaxDescriptors: 4096}
			So(l.callerConnections()*3/4, ShouldBeGreaterThanOrEqualTo, 900)
			So(l.callerConnections()+l.peerConnections()+readyConnections+metricsConnections, ShouldBeLessThan, 4096*3/4)
			So(int64(l.callerConnections()*connectionBytes), ShouldBeLessThanOrEqualTo, l.memory()/8)
			bodies := httpintake.Budget(l.memory()/callerMemoryDivisor, 1)
			So(bodies.Bytes/4*3/4, ShouldBeGreaterThan, 500*(1000+httpintake.RequestBytes))                      // 500 small jobs at a time
			So(bodies.Bytes*3/4*3/4, ShouldBeGreaterThan, 30*(defaultMaxBodyBytes+httpintake.RequestBytes))      // 30 of the largest
			So(bodies.Bytes*3/4/8, ShouldBeGreaterThan, defaultMaxBodyBytes)                                     // no body is alone
			So(l.memory()/peerMemoryDivisor*3/4, ShouldBeGreaterThan, 4*(defaultMaxBodyBytes+peerMessageMargin)) // messages with records
		}
	})
	Convey("without settings there are limits as well", t, func() {
		So(Limits{}.callerConnections(), ShouldEqual, 1536)
		So(Limits{CallerConnections: 100}.callerConnections(), ShouldEqual, 100)
	})
}

// Readiness checks must be answered while callers hold all connections that they may.
func TestReadinessIsServedWhileCallersHoldConnections(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	n := d.nodes[0].node
	head := "POST /q/" + testIDPrefix + "01 HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"
	for _, address := range []string{n.settings.CallerAddress, n.settings.ReadyAddress} {
		for range 200 {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = c.Write([]byte(head)) // it may be closed
		}
	}
	time.Sleep(2 * httpintake.StallTime)
	resp, err := http.Get("http://" + n.settings.ReadyAddress + "/ready")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Decoding allocates up to 20 times the size of a body, so only a few large jobs may be decoded at a time.
func TestFewLargeJobsAreDecodedAtATime(t *testing.T) {
	var running, most atomic.Int32
	n := &Node{intake: newIntakeLimits(Limits{}, metrics.NewSet(), zap.NewNop())}
	n.platform.CallerCodec.DecodeJob = func([]byte) (*jobs.Spec, error) {
		now := running.Add(1)
		for before := most.Load(); now > before && !most.CompareAndSwap(before, now); before = most.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		running.Add(-1)
		return nil, nil
	}
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() { _, _ = gateway{n}.decodeJob(make([]byte, httpintake.SmallBodyBytes+1)) })
	}
	callers.Wait()
	if most.Load() > maxDecodedJobs {
		t.Errorf("%d jobs were decoded at a time", most.Load())
	}
}

// A body that stalls while the node stops must be refused, and not cut off without a response.
func TestPlannedStopRefusesStalledBodies(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	c, err := net.Dial("tcp", d.nodes[0].node.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprintf(c, "POST /q/%s23 HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx", testIDPrefix); err != nil {
		t.Fatal(err)
	}
	d.nodes[0].cancel()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if answer, err := io.ReadAll(c); !strings.HasPrefix(string(answer), "HTTP/1.1 503") {
		t.Errorf("%q, %v", answer, err)
	}
}

// A body that is refused must be answered with 503 and a Retry-After, and its job must never run; one above the limit gets 413.
func TestRefusedBodies(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	n := d.nodes[0].node
	address, path := n.settings.CallerAddress, "/q/"
	send := func(id string, length int, body string) string {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", path, id, length, body)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		answer, _ := io.ReadAll(c) // until the node closes the connection
		head, _, _ := strings.Cut(string(answer), "\r\n\r\n")
		return head
	}
	head := send(testIDPrefix+"21", 1<<30, "x")
	if !strings.HasPrefix(head, "HTTP/1.1 413") || !strings.Contains(head, "Connection: close") {
		t.Errorf("a body above the limit: %q", head)
	}
	address, path = n.settings.PeerAddress, cellrpc.CellPathPrefix
	if head = send("Accept", 1<<30, "x"); !strings.HasPrefix(head, "HTTP/1.1 413") {
		t.Errorf("a message of another node above the limit: %q", head)
	}
	address, path = n.settings.CallerAddress, "/q/"
	n.intake.callers.Stop()
	head = send(testIDPrefix+"22", 60, "spec")
	if !strings.HasPrefix(head, "HTTP/1.1 503") || !strings.Contains(head, "Retry-After: 1") || !strings.Contains(head, "Connection: close") {
		t.Errorf("a body that stalled while the node stopped: %q", head)
	}
	d.requestUntil(5*time.Second, 0, http.MethodGet, "/q/"+testIDPrefix+"22", "", http.StatusGone, "")
	var text bytes.Buffer
	n.metrics.WritePrometheus(&text)
	if !strings.Contains(text.String(), `cactuswall_intake_refused_total{listener="callers",reason="bodies_stopped"} 1`) {
		t.Errorf("the refusal was not counted: %s", text.String())
	}
}
