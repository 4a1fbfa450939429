package node

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/platform/httpjson"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/traffic"
)

const (
	// dialTimeout is the limit for opening a connection.
	dialTimeout = time.Second
	// idleConnections is the maximum number of idle connections per address.
	idleConnections = 16
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 90 * time.Second
)

// NewTransport returns an HTTP transport for unencrypted connections to IP addresses.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Listen opens the listening sockets for callers, operators and peers. On an error it closes those already
// opened.
func Listen(s settings.Settings) (Listeners, error) {
	var l Listeners
	var err error
	if l.Callers, err = listen(s.CallerAddress); err != nil {
		return Listeners{}, err
	}
	if l.Operators, err = listen(s.OperatorAddress); err != nil {
		_ = l.Callers.Close()
		return Listeners{}, err
	}
	if l.Peers, err = listen(s.PeerAddress); err != nil {
		_ = l.Callers.Close()
		_ = l.Operators.Close()
		return Listeners{}, err
	}
	return l, nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "cannot listen on %s; check whether the port is in use", address)
	}
	return l, nil
}

// NewDaemon returns a node that connects to the platform, workers, endpoints and peers over HTTP. The
// transports to the platform, workers and peers and the peer listener count traffic in the node's metrics;
// the transport to endpoints does not.
func NewDaemon(s settings.Settings, listeners Listeners, logger *zap.Logger) *Node {
	set := metrics.NewSet()
	counted := func(purpose traffic.Purpose) *http.Transport {
		transport := NewTransport()
		transport.DisableCompression = purpose == traffic.Peers
		transport.DialContext = traffic.NewCounter(set, purpose).Dial(transport.DialContext)
		return transport
	}
	platform := func(purpose traffic.Purpose) *httpjson.Client {
		return httpjson.NewClient(s.PlatformAddress, &http.Client{Transport: counted(purpose)})
	}
	listeners.Peers = traffic.NewCounter(set, traffic.Peers).Listener(listeners.Peers)
	return New(Options{
		Settings:    s,
		Log:         platform(traffic.Log),
		List:        platform(traffic.List),
		Workers:     httpjson.NewWorkerClient(&http.Client{Transport: counted(traffic.Workers)}, s.Scheduling.WorkerCallTimeout.Std()),
		Listeners:   listeners,
		Endpoints:   endpoint.NewTransport(nil),
		Peers:       counted(traffic.Peers),
		Logger:      logger.With(zap.String("node", s.Node)),
		Incarnation: uint64(time.Now().UnixNano()),
		Metrics:     set,
	})
}
