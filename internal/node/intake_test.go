package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/httpintake"
	"cactuswall.example/cactuswall/internal/peer"
	"cactuswall.example/cactuswall/internal/settings"
)

// Connections that do not end and messages of any size must not exhaust a process that is configured by settings of the project.
func TestServersAreLimited(t *testing.T) {
	n := &Node{settings: settings.Default(), options: Options{Logger: zap.NewNop()}, metrics: metrics.NewSet()}
	n.intake = newIntakeLimits(n)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }) // the caller may have gone
	var group run.Group
	n.addServer(&group, "peers", listener, 20, n.intake.peers.Limit(handler, peer.MaxMessageBytes, n.intake.reporter.Refused("peers")))
	stop, stopped := make(chan struct{}), make(chan error)
	group.Add(func() error { <-stop; return nil }, func(error) {})
	go func() { stopped <- group.Run() }()
	for range 60 {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\n") // it may be closed
	}
	time.Sleep(2 * httpintake.StallTime)
	for length, want := range map[int]string{3: "HTTP/1.1 200", peer.MaxMessageBytes + 1: "HTTP/1.1 413"} {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: n\r\nConnection: close\r\nContent-Length: %d\r\n\r\nabc", length)
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if answer, err := io.ReadAll(c); !strings.HasPrefix(string(answer), want) {
			t.Errorf("%d bytes: %q, %v", length, answer, err)
		}
		_ = c.Close()
	}
	var text bytes.Buffer
	n.metrics.WritePrometheus(&text)
	for _, line := range []string{
		`cactuswall_intake_connections_limit{listener="peers"} 20`, `cactuswall_intake_closed_total{listener="peers"`,
	} {
		if !strings.Contains(text.String(), line) {
			t.Errorf("%s is missing in %s", line, text.String())
		}
	}
	close(stop)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
