package cellnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cellrpc"
)

const (
	// Bounds of callers' connections. They are those that the platform's configuration usually names.
	headerTimeout = 3 * time.Second
	bodyTimeout   = 5 * time.Second
	idleTimeout   = 15 * time.Second
	headerBytes   = 16 << 10
	// closeAfter is how long after the request to stop idle connections of callers are closed: by then the
	// platform has missed two answers to its question, asked once a second, and opens no more.
	closeAfter = 2500 * time.Millisecond
	// exitBefore is left of the time between the request to stop and the kill.
	exitBefore = 900 * time.Millisecond
	// handOver bounds the handing over of the cell.
	handOver = 1500 * time.Millisecond
	// releasePause is between two tries to release the claim.
	releasePause = 50 * time.Millisecond
)

// server is one listening server.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err, "the %s server failed", s.name)
}

func (s *server) close() { _ = s.http.Close() }

// listen opens all servers' sockets. The servers for callers come first.
func (n *Node) listen() ([]*server, error) {
	var servers []*server
	add := func(name, address string, handler http.Handler) error {
		if address == "" {
			return nil
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return trace.Wrap(err, "%s address", name)
		}
		servers = append(servers, &server{name: name, listener: listener, http: &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: headerBytes, ErrorLog: zap.NewStdLog(n.log),
		}})
		return nil
	}
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", n.settings.CallerAddress, gateway{n}},
		{"ready", n.settings.ReadyAddress, http.HandlerFunc(n.serveReady)},
		{"peers", n.settings.PeerAddress, cellrpc.NewCellServer(cellServer{n})},
		{"metrics", n.settings.MetricsAddress, http.HandlerFunc(n.serveMetrics)},
	} {
		if err := add(s.name, s.address, s.handler); err != nil {
			return nil, err
		}
	}
	return servers, nil
}

// serveReady tells whether callers should be sent here.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != n.platform.Wire.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case n.ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) ready() bool {
	return !n.stopping.Load() && n.config.Get() != nil && n.storeReachable()
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// awaitStop waits for the request to stop, hands the cell over and ends the callers' connections gracefully.
func (n *Node) awaitStop(ctx, inner context.Context, servers []*server) error {
	select {
	case <-ctx.Done():
	case <-inner.Done():
		return inner.Err()
	}
	began := boottime.Now()
	n.stopping.Store(true)
	n.log.Info("stop requested", zap.Duration("grace", n.settings.Grace))
	n.handOver(inner)
	sleep(inner, closeAfter-(boottime.Now()-began))
	limited, cancel := context.WithTimeout(inner, n.settings.Grace-exitBefore-(boottime.Now()-began))
	defer cancel()
	err := servers[0].http.Shutdown(limited)
	n.log.Info("callers served", zap.Duration("took", boottime.Now()-began), zap.Error(err))
	return nil
}

// handOver releases the cell, so that another node claims it at once.
func (n *Node) handOver(ctx context.Context) {
	o := n.owner.Load()
	if o == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, handOver)
	defer cancel()
	o.quiesce(limited)
	for limited.Err() == nil {
		n.mu.Lock()
		newest, _ := n.view.Newest()
		owns := n.view.Owns()
		n.mu.Unlock()
		if !owns || newest.Epoch != o.epoch {
			return
		}
		newest.Released = true
		if n.putClaim(limited, newest) {
			n.log.Info("cell handed over", zap.Int64("epoch", o.epoch))
			return
		}
		sleep(limited, releasePause)
	}
	n.log.Warn("cell not handed over", zap.Int64("epoch", o.epoch))
}

// quiesce ends the owner and waits until its goroutines have ended.
func (o *owner) quiesce(ctx context.Context) {
	o.stop()
	select {
	case <-o.done:
	case <-ctx.Done():
	}
}
