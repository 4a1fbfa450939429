package node

import (
	"context"
	"net"
	"net/http"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/httpintake"
	"cactuswall.example/cactuswall/internal/intake"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/peer"
)

const (
	// maxPeerConnections and maxOperatorConnections limit the connections of other nodes, of which a deployment has some
	// hundred, and of operators.
	maxPeerConnections     = 1024
	maxOperatorConnections = 128
	// peerMessages and publications are the numbers of the largest messages of nodes and operators that are in memory at a time.
	peerMessages = 8
	publications = 4
)

// intakeLimits are the limits on the connections and bodies of a node's servers.
type intakeLimits struct {
	reporter                  *httpintake.Reporter
	callers, peers, operators *httpintake.Gate
}

func newIntakeLimits(n *Node) *intakeLimits {
	limits := n.settings.Callers
	gate := func(bytes int64, connections int) *httpintake.Gate {
		return httpintake.NewGate(httpintake.Budget(bytes, connections/2))
	}
	i := &intakeLimits{
		callers:   gate(limits.MaxBufferedBytes, limits.MaxConnections),
		peers:     gate(peerMessages*peer.MaxMessageBytes, maxPeerConnections),
		operators: gate(publications*manifest.MaxDocumentBytes, maxOperatorConnections),
	}
	i.reporter = httpintake.NewReporter(n.metrics, func(counts map[string]int) {
		n.options.Logger.Warn("limit reached", zap.Any("counts", counts))
	})
	i.reporter.RegisterGate("callers", i.callers)
	i.reporter.RegisterGate("peers", i.peers)
	i.reporter.RegisterGate("operators", i.operators)
	return i
}

// addServer adds a server with at most maxConnections connections to the group.
func (n *Node) addServer(group *run.Group, name string, inner net.Listener, maxConnections int, handler http.Handler) {
	limits := n.settings.Callers
	listener := httpintake.NewListener(inner, httpintake.ListenerOptions{
		Connections:  intake.ConnectionLimits{Max: maxConnections, Stall: httpintake.StallTime},
		WriteTimeout: limits.WriteTimeout.Std(),
		Closed:       n.intake.reporter.Closed(name),
	})
	n.intake.reporter.RegisterListener(name, listener)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.ReadTimeout.Std(),
		ReadTimeout:       limits.ReadTimeout.Std(),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(n.options.Logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	listener.Configure(server)
	group.Add(func() error { return server.Serve(listener) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_ = listener.Shutdown(ctx, server)
	})
}
