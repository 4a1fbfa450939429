package cellnode

import (
	"cmp"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/httpintake"
	"cactuswall.example/cactuswall/internal/intake"
)

// Limits are the limits of the process. What is 0 has a default.
type Limits struct {
	MemoryBytes    int64 // of the process
	MaxDescriptors int   // of the process
	// CallerBytes is the memory for the bodies of callers' requests, CallerConnections the number of their connections.
	CallerBytes       int64
	CallerConnections int
}

// The division of the process's memory and descriptors. The Go runtime's soft limit is 40% of the memory. What is not named
// here is left to the state of owners, the store, the workers and the runtime.
const (
	defaultMemoryBytes    = 256 << 20
	defaultMaxDescriptors = 4096
	// callerMemoryDivisor is the part of the memory for bodies of callers. On the smallest VM, of 160 MB, it is 16 MB: some 3,000
	// small requests at a time.
	callerMemoryDivisor = 10
	// peerMemoryDivisor is the part of the memory for bodies of other nodes' calls.
	peerMemoryDivisor = 32
	// connectionMemoryDivisor is the part of the memory for callers' connections: 1,280 of them on the smallest VM.
	connectionMemoryDivisor = 8
	// connectionBytes is what a connection uses in the process: two buffers of 4 KB, the stack of a goroutine and the state of
	// net/http.
	connectionBytes = 16 << 10
	// Callers may use three eighths of the descriptors, other nodes a quarter: each of them keeps up to 4 idle connections. The
	// rest is left to connections to the store, to workers and to other nodes, to files and to the other servers.
	callerDescriptorNumerator, callerDescriptorDenominator = 3, 8
	peerDescriptorDivisor                                  = 4
	readyConnections                                       = 64
	metricsConnections                                     = 16
	// minConnections is the lowest limit of callers and of other nodes.
	minConnections = 16
	// peerMessageMargin is how much larger than a record the message is that carries it.
	peerMessageMargin = 64 << 10
)

const (
	// callerBufferBytes and peerBufferBytes limit what the kernel keeps for a connection in each direction. 32 KB carry 32 MB a
	// second at a round trip of 1 ms.
	callerBufferBytes = 32 << 10
	peerBufferBytes   = 64 << 10
	// writeTimeout is the timeout of one write to a connection.
	writeTimeout = 3 * time.Second
)

// memory returns the memory of the process.
func (l Limits) memory() int64 { return cmp.Or(l.MemoryBytes, defaultMemoryBytes) }

func (l Limits) callerConnections() int {
	descriptors := cmp.Or(l.MaxDescriptors, defaultMaxDescriptors) * callerDescriptorNumerator / callerDescriptorDenominator
	byMemory := int(l.memory() / connectionMemoryDivisor / connectionBytes)
	return max(minConnections, cmp.Or(l.CallerConnections, min(descriptors, byMemory)))
}

func (l Limits) peerConnections() int {
	return max(minConnections, cmp.Or(l.MaxDescriptors, defaultMaxDescriptors)/peerDescriptorDivisor)
}

// intakeLimits are the limits on what callers and other nodes use of the process.
type intakeLimits struct {
	reporter *httpintake.Reporter
	callers  *httpintake.Gate
	peers    *httpintake.Gate
	// decoding bounds the jobs above httpintake.SmallBodyBytes that are decoded at a time.
	decoding chan struct{}
}

// maxDecodedJobs is the number of large jobs that are decoded at a time. Decoding takes a few milliseconds of the processor.
const maxDecodedJobs = 2

func newIntakeLimits(l Limits, set *metrics.Set, log *zap.Logger) *intakeLimits {
	i := &intakeLimits{
		decoding: make(chan struct{}, maxDecodedJobs),
		callers:  httpintake.NewGate(httpintake.Budget(cmp.Or(l.CallerBytes, l.memory()/callerMemoryDivisor), l.callerConnections()/2)),
		peers:    httpintake.NewGate(httpintake.Budget(l.memory()/peerMemoryDivisor, l.peerConnections()/2)),
	}
	i.reporter = httpintake.NewReporter(set, func(counts map[string]int) {
		callers := i.callers.Usage()
		log.Warn("limit reached", zap.Any("counts", counts), zap.Int64("bytes", callers.Bytes), zap.Int64("bytes_limit", callers.Limit),
			zap.Int("waiting", callers.Waiting))
	})
	i.reporter.RegisterGate("callers", i.callers)
	i.reporter.RegisterGate("peers", i.peers)
	return i
}

// listen opens the listener of a server and limits its connections.
func (i *intakeLimits) listen(name, address string, connections, bufferBytes int) (*httpintake.Listener, error) {
	inner, err := httpintake.Listen(address, bufferBytes)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l := httpintake.NewListener(inner, httpintake.ListenerOptions{
		Connections:  intake.ConnectionLimits{Max: connections, Stall: httpintake.StallTime},
		WriteTimeout: writeTimeout,
		Closed:       i.reporter.Closed(name),
	})
	i.reporter.RegisterListener(name, l)
	return l, nil
}

// limitPeers limits the messages of other nodes.
func (i *intakeLimits) limitPeers(next http.Handler, maxRecordBytes int) http.Handler {
	return i.peers.Limit(next, int64(maxRecordBytes)+peerMessageMargin, i.reporter.Refused("peers"))
}
