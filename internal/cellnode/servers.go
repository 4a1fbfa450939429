package cellnode

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/httpintake"
)

const (
	// Limits on the connections of all servers of a node. They equal the limits that the platform's configuration
	// usually sets for callers, but do not depend on it. headerTimeout limits the time to read the headers of a request,
	// bodyTimeout the time to read a whole request, headers included.
	headerTimeout = 3 * time.Second
	bodyTimeout   = 5 * time.Second
	idleTimeout   = 15 * time.Second
	headerBytes   = 16 << 10
	// idleCloseDelay is how long after the request to stop the callers' idle connections are closed. By then two
	// readiness checks, which the platform sends once a second, have failed, and the platform opens no new connections
	// to this node.
	idleCloseDelay = 2500 * time.Millisecond
	// settleTime is how long the process must have been running, without having been suspended, before connections are closed.
	settleTime = 100 * time.Millisecond
	// exitMargin is how long before the platform kills the process the node stops serving callers, so that it exits in
	// time.
	exitMargin = 900 * time.Millisecond
	// handOverTimeout is the timeout for handing over the cell.
	handOverTimeout = 1500 * time.Millisecond
	// releaseRetryDelay is the delay between two attempts to release the claim.
	releaseRetryDelay = 50 * time.Millisecond
)

// server is an HTTP server with its listener.
type server struct {
	name     string
	listener *httpintake.Listener
	http     *http.Server
}

// serve serves requests until the server fails or ctx is done. When the server is shut down, requests that were accepted
// before are still being answered: returning then would have the node end.
func (s *server) serve(ctx context.Context) error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return trace.Wrap(err, "%s server failed", s.name)
}

func (s *server) close() { _ = s.http.Close() }

// listen opens the listeners of all servers. The server for callers is the first in the list.
func (n *Node) listen() ([]*server, error) {
	var servers []*server
	limits := n.settings.Limits
	for _, s := range []struct {
		name, address            string
		connections, bufferBytes int
		handler                  http.Handler
	}{
		{"callers", n.settings.CallerAddress, limits.callerConnections(), callerBufferBytes, gateway{n}},
		{"ready", n.settings.ReadyAddress, readyConnections, callerBufferBytes, http.HandlerFunc(n.serveReady)},
		{"peers", n.settings.PeerAddress, limits.peerConnections(), peerBufferBytes,
			n.intake.limitPeers(n.peerHandler(), n.settings.MaxRecordBytes)},
		{"metrics", n.settings.MetricsAddress, metricsConnections, callerBufferBytes, http.HandlerFunc(n.serveMetrics)},
	} {
		if s.address == "" {
			continue
		}
		listener, err := n.intake.listen(s.name, s.address, s.connections, s.bufferBytes)
		if err != nil {
			return nil, trace.Wrap(err, "failed to listen on the %s address", s.name)
		}
		added := &server{name: s.name, listener: listener, http: &http.Server{
			Handler: s.handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: headerBytes, ErrorLog: zap.NewStdLog(n.log),
		}}
		listener.Configure(added.http)
		servers = append(servers, added)
	}
	return servers, nil
}

// serveReady answers the platform's readiness check.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != n.platform.CallerCodec.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case n.ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether the node should receive requests: it is not stopping, has a configuration, and has reached the
// store recently.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.config.Get() != nil && n.storeReachable()
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// awaitStop waits until ctx ends, which is the request to stop, hands over the cells and shuts down the server for
// callers gracefully.
func (n *Node) awaitStop(ctx, workCtx context.Context, servers []*server) error {
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
		return workCtx.Err()
	}
	stopRequested := boottime.Now()
	n.stopping.Store(true)
	n.log.Info("stop requested", zap.Duration("grace", n.settings.StopGracePeriod))
	var handOvers sync.WaitGroup
	for _, o := range n.owners() {
		handOvers.Go(func() { o.member.handOver(workCtx, o, "") })
	}
	handOvers.Wait()
	sleep(workCtx, idleCloseDelay-settleTime-(boottime.Now()-stopRequested))
	awaitRunning(workCtx)
	shutdownCtx, cancel := context.WithTimeout(workCtx, n.settings.StopGracePeriod-exitMargin-(boottime.Now()-stopRequested))
	defer cancel()
	n.intake.callers.Stop()
	err := servers[0].listener.Shutdown(shutdownCtx, servers[0].http)
	n.log.Info("caller server shut down", zap.Duration("took", boottime.Now()-stopRequested), zap.Error(err))
	return nil
}

// awaitRunning waits until the process has been running for settleTime without having been suspended. Requests that arrived during a
// suspension have been read by then; their connections would still look idle.
func awaitRunning(ctx context.Context) {
	for ctx.Err() == nil {
		began := boottime.Now()
		sleep(ctx, settleTime)
		if boottime.Now()-began < 2*settleTime {
			return
		}
	}
}

// handOver stops the owner, unless it is nil, and releases the claim, so that the successor can claim the cell
// immediately. If successor is empty, any node can.
func (m *membership) handOver(ctx context.Context, o *owner, successor string) {
	if o == nil {
		return
	}
	handOverCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	o.stopAndWait(handOverCtx)
	for handOverCtx.Err() == nil {
		m.mu.Lock()
		latest, _ := m.view.Latest()
		owns, end := m.view.Owns(), m.view.End()
		details := m.view.ReleaseDetails(successor)
		m.mu.Unlock()
		if !owns || latest.Epoch != o.epoch {
			return
		}
		latest.Released = true
		if m.writeClaim(handOverCtx, claimWrite{owner: o, record: latest, details: &details, end: end}) {
			m.log.Info("cell handed over", zap.Int64("epoch", o.epoch), zap.String("successor", successor))
			return
		}
		sleep(handOverCtx, releaseRetryDelay)
	}
	m.log.Warn("cell not handed over", zap.Int64("epoch", o.epoch))
}

// stopAndWait stops the owner and waits until run has returned or ctx ends. It does not wait for calls to workers that
// are in flight.
func (o *owner) stopAndWait(ctx context.Context) {
	o.stop()
	select {
	case <-o.done:
	case <-ctx.Done():
	}
}
