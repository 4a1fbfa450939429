package cellnode

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/verdict"
)

// CallObserver returns a function that counts the calls to a target, "store" or "worker", by kind and result and
// records their duration. It is called after each call, with a nil error if the call succeeded.
func (n *Node) CallObserver(target string) func(kind string, err error, took time.Duration) {
	o := &callObserver{metrics: n.metrics, target: target, byResult: make(map[callResult]callMetrics)}
	return o.observe
}

// callObserver keeps the metrics of the calls to a target, because a look-up by their names costs more than their update.
type callObserver struct {
	metrics *metrics.Set
	target  string

	mu       sync.RWMutex
	byResult map[callResult]callMetrics
}

type callResult struct {
	kind   string
	result verdict.Reason
}

// callMetrics are the metrics of the calls with one result. Calls of one kind share their histogram.
type callMetrics struct {
	count    *metrics.Counter
	duration *metrics.Histogram
}

func (o *callObserver) observe(kind string, err error, took time.Duration) {
	result := callResult{kind: kind, result: "ok"}
	if err != nil {
		result.result = verdict.ReasonOf(err)
	}
	o.mu.RLock()
	m, ok := o.byResult[result]
	o.mu.RUnlock()
	if !ok {
		m = o.register(result)
	}
	m.count.Inc()
	m.duration.Update(took.Seconds())
}

func (o *callObserver) register(r callResult) callMetrics {
	m := callMetrics{
		count:    o.metrics.GetOrCreateCounter(`cactuswall_calls_total{target="` + o.target + `",kind="` + r.kind + `",result="` + string(r.result) + `"}`),
		duration: o.metrics.GetOrCreateHistogram(`cactuswall_call_seconds{target="` + o.target + `",kind="` + r.kind + `"}`),
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byResult[r] = m
	return m
}

// LogCounts provides the number of log lines that were not written: those dropped because the reader of the log was too
// slow, and those sampled out because there were too many of their kind.
type LogCounts interface {
	Dropped() int64
	Omitted() int64
}

// RegisterLogMetrics registers gauges for the log lines that were not written, for the cells that this node owns and the
// active ones, and for the first cell of its failure domain: the epoch of the latest claim and the processor capacity of
// the owner in cores. It must be called at most once.
func (n *Node) RegisterLogMetrics(log LogCounts) {
	n.metrics.NewGauge(`cactuswall_log_lines_dropped`, func() float64 { return float64(log.Dropped()) })
	n.metrics.NewGauge(`cactuswall_log_lines_sampled`, func() float64 { return float64(log.Omitted()) })
	n.metrics.NewGauge(`cactuswall_owner`, func() float64 {
		if len(n.owners()) == 0 {
			return 0
		}
		return 1
	})
	n.metrics.NewGauge(`cactuswall_cells_owned`, func() float64 { return float64(len(n.owners())) })
	n.metrics.NewGauge(`cactuswall_cells_active`, func() float64 { return float64(len(n.cells.table().Plan().Active())) })
	n.metrics.NewGauge(`cactuswall_claim_epoch`, func() float64 { return float64(n.homeMembership().latestClaim().Epoch) })
	n.metrics.NewGauge(`cactuswall_owner_capacity`, func() float64 {
		m := n.homeMembership()
		m.mu.Lock()
		defer m.mu.Unlock()
		return float64(m.view.Details().Capacity) / 1000
	})
}

// homeMembership returns the node's part in the first cell of its failure domain.
func (n *Node) homeMembership() *membership {
	return n.membership(n.cells.table().Plan().Homes(n.settings.FailureDomain)[0])
}

func (m *membership) latestClaim() claim.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest, _ := m.view.Latest()
	return latest
}
