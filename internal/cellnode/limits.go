package cellnode

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/httpintake"
	"cactuswall.example/cactuswall/internal/intake"
	"cactuswall.example/cactuswall/internal/verdict"
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
	// smallBodyBytes is the size up to which a body counts as small. It is above almost all jobs.
	smallBodyBytes = 16 << 10
	// stallTime is how long a caller may be without progress before it gives way to others, if there is no room for all. It is
	// above the time to send a lost packet again, which is 200 ms at first.
	stallTime = 250 * time.Millisecond
	// progressBytes is what counts as progress within stallTime: 32 KB a second.
	progressBytes = 8 << 10
	// maxBodyWait is how long a body waits for memory. Callers wait 3 s for a response.
	maxBodyWait = time.Second
	// writeTimeout is the timeout of one write to a connection.
	writeTimeout = 3 * time.Second
	// callerBufferBytes and peerBufferBytes limit what the kernel keeps for a connection in each direction. 32 KB carry 32 MB a
	// second at a round trip of 1 ms.
	callerBufferBytes = 32 << 10
	peerBufferBytes   = 64 << 10
	// limitLogInterval is the shortest time between two log lines about limits.
	limitLogInterval = 5 * time.Second
	// stopCheckInterval is the interval at which connections that have stalled are closed while the node stops.
	stopCheckInterval = 100 * time.Millisecond
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

// budget returns the limits on bodies that may use a number of bytes, of at most maxWaiting requests that wait.
func budget(bytes int64, maxWaiting int) intake.BudgetLimits {
	return intake.BudgetLimits{
		Bytes: bytes, SmallBytes: smallBodyBytes + httpintake.RequestBytes, Stall: stallTime, ProgressBytes: progressBytes,
		MaxWait: maxBodyWait, MaxWaiting: maxWaiting,
	}
}

// intakeLimits are the limits on what callers and other nodes use of the process.
type intakeLimits struct {
	log     *zap.Logger
	metrics *metrics.Set
	callers *httpintake.Gate
	peers   *httpintake.Gate
	// decoding bounds the jobs above smallBodyBytes that are decoded at a time.
	decoding chan struct{}

	mu       sync.Mutex
	loggedAt time.Time
	unlogged map[string]int // refusals and closed connections since then, by listener and reason
}

// maxDecodedJobs is the number of large jobs that are decoded at a time. Decoding takes a few milliseconds of the processor.
const maxDecodedJobs = 2

func newIntakeLimits(l Limits, set *metrics.Set, log *zap.Logger) *intakeLimits {
	connections := l.callerConnections()
	i := &intakeLimits{
		log: log, metrics: set, unlogged: make(map[string]int), decoding: make(chan struct{}, maxDecodedJobs),
		callers: httpintake.NewGate(budget(cmp.Or(l.CallerBytes, l.memory()/callerMemoryDivisor), connections/2)),
		peers:   httpintake.NewGate(budget(l.memory()/peerMemoryDivisor, l.peerConnections()/2)),
	}
	for name, gate := range map[string]*httpintake.Gate{"callers": i.callers, "peers": i.peers} {
		label := `{listener="` + name + `"}`
		set.NewGauge("cactuswall_intake_bytes"+label, func() float64 { return float64(gate.Usage().Bytes) })
		set.NewGauge("cactuswall_intake_bytes_limit"+label, func() float64 { return float64(gate.Usage().Limit) })
		set.NewGauge("cactuswall_intake_waiting"+label, func() float64 { return float64(gate.Usage().Waiting) })
	}
	return i
}

// listen opens the listener of a server and limits its connections.
func (i *intakeLimits) listen(name, address string, connections, bufferBytes int) (*httpintake.Listener, error) {
	inner, err := httpintake.Listen(address, bufferBytes)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l := httpintake.NewListener(inner, httpintake.ListenerOptions{
		Connections:  intake.ConnectionLimits{Max: connections, Stall: stallTime},
		WriteTimeout: writeTimeout,
		Closed:       func(reason string) { i.count("cactuswall_intake_closed_total", name, reason) },
	})
	label := `{listener="` + name + `"}`
	i.metrics.GetOrCreateGauge("cactuswall_intake_connections"+label, func() float64 { open, _ := l.Open(); return float64(open) })
	i.metrics.GetOrCreateGauge("cactuswall_intake_connections_limit"+label, func() float64 { return float64(connections) })
	return l, nil
}

// refused returns a function that counts and logs the refusal of a body.
func (i *intakeLimits) refused(listener string) func(verdict.Reason) {
	return func(reason verdict.Reason) { i.count("cactuswall_intake_refused_total", listener, string(reason)) }
}

// limitPeers limits the messages of other nodes.
func (i *intakeLimits) limitPeers(next http.Handler, maxRecordBytes int) http.Handler {
	return i.peers.Limit(next, int64(maxRecordBytes)+peerMessageMargin, i.refused("peers"))
}

// count counts something that was refused or closed, and logs what has been since the last line.
func (i *intakeLimits) count(metric, listener, reason string) {
	i.metrics.GetOrCreateCounter(metric + `{listener="` + listener + `",reason="` + reason + `"}`).Inc()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.unlogged[listener+" "+reason]++
	if time.Since(i.loggedAt) < limitLogInterval {
		return
	}
	i.loggedAt = time.Now()
	callers := i.callers.Usage()
	i.log.Warn("limit reached", zap.Any("counts", i.unlogged), zap.Int64("bytes", callers.Bytes), zap.Int64("bytes_limit", callers.Limit),
		zap.Int("waiting", callers.Waiting))
	i.unlogged = make(map[string]int)
}

// closeStalledUntil closes what stalls until done is closed, so that a planned stop does not wait for it.
func (i *intakeLimits) closeStalledUntil(done <-chan struct{}, listener net.Listener) {
	i.callers.Stop()
	limited, _ := listener.(*httpintake.Listener)
	ticker := time.NewTicker(stopCheckInterval)
	defer ticker.Stop()
	for limited != nil {
		limited.CloseStalled()
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}
