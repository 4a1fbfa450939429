package httpintake

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cactuswall.example/cactuswall/internal/verdict"
)

// reportInterval is the shortest time between two reports.
const reportInterval = 5 * time.Second

// Reporter counts what the limits of a process refuse and close, and reports it at most once in reportInterval.
type Reporter struct {
	set *metrics.Set
	log func(counts map[string]int)

	mu         sync.Mutex
	reportedAt time.Time
	counts     map[string]int // since then, by listener and reason
}

// NewReporter returns a Reporter. log is called with the counts since its last call, by listener and reason.
func NewReporter(set *metrics.Set, log func(counts map[string]int)) *Reporter {
	return &Reporter{set: set, log: log, counts: make(map[string]int)}
}

// Closed returns a function that counts a connection of a listener that was closed.
func (r *Reporter) Closed(listener string) func(reason string) {
	return func(reason string) { r.count("cactuswall_intake_closed_total", listener, reason) }
}

// Refused returns a function that counts a body that was refused.
func (r *Reporter) Refused(listener string) func(verdict.Reason) {
	return func(reason verdict.Reason) { r.count("cactuswall_intake_refused_total", listener, string(reason)) }
}

func (r *Reporter) count(metric, listener, reason string) {
	r.set.GetOrCreateCounter(metric + `{listener="` + listener + `",reason="` + reason + `"}`).Inc()
	r.mu.Lock()
	r.counts[listener+" "+reason]++
	counts := r.counts
	due := time.Since(r.reportedAt) >= reportInterval
	if due {
		r.reportedAt, r.counts = time.Now(), make(map[string]int)
	}
	r.mu.Unlock()
	if due {
		r.log(counts)
	}
}

// RegisterGate registers the gauges of a gate.
func (r *Reporter) RegisterGate(listener string, g *Gate) {
	label := `{listener="` + listener + `"}`
	r.set.GetOrCreateGauge("cactuswall_intake_bytes"+label, func() float64 { return float64(g.Usage().Bytes) })
	r.set.GetOrCreateGauge("cactuswall_intake_bytes_limit"+label, func() float64 { return float64(g.Usage().Limit) })
	r.set.GetOrCreateGauge("cactuswall_intake_waiting"+label, func() float64 { return float64(g.Usage().Waiting) })
}

// RegisterListener registers the gauges of a listener.
func (r *Reporter) RegisterListener(listener string, l *Listener) {
	label := `{listener="` + listener + `"}`
	r.set.GetOrCreateGauge("cactuswall_intake_connections"+label, func() float64 { open, _ := l.Open(); return float64(open) })
	r.set.GetOrCreateGauge("cactuswall_intake_connections_limit"+label, func() float64 { _, limit := l.Open(); return float64(limit) })
}
