package cellnode

import (
	"time"

	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/verdict"
)

// CallObserver returns a function that counts the calls to a target, "store" or "worker", by kind and result and
// records their duration. It is called after each call, with a nil error if the call succeeded.
func (n *Node) CallObserver(target string) func(kind string, err error, took time.Duration) {
	return func(kind string, err error, took time.Duration) {
		result := "ok"
		if err != nil {
			result = string(verdict.ReasonOf(err))
		}
		n.metrics.GetOrCreateCounter(`cactuswall_calls_total{target="` + target + `",kind="` + kind + `",result="` + result + `"}`).Inc()
		n.metrics.GetOrCreateHistogram(`cactuswall_call_seconds{target="` + target + `",kind="` + kind + `"}`).Update(took.Seconds())
	}
}

// LogCounts provides the number of log lines that were not written: those dropped because the reader of the log was too
// slow, and those sampled out because there were too many of their kind.
type LogCounts interface {
	Dropped() int64
	Omitted() int64
}

// RegisterLogMetrics registers gauges for the log lines that were not written, for whether this node owns the cell, for
// the epoch of the latest claim, and for the processor capacity of its owner in cores. It must be called at most once.
func (n *Node) RegisterLogMetrics(log LogCounts) {
	n.metrics.NewGauge(`cactuswall_log_lines_dropped`, func() float64 { return float64(log.Dropped()) })
	n.metrics.NewGauge(`cactuswall_log_lines_sampled`, func() float64 { return float64(log.Omitted()) })
	n.metrics.NewGauge(`cactuswall_owner`, func() float64 {
		if n.owner.Load() == nil {
			return 0
		}
		return 1
	})
	n.metrics.NewGauge(`cactuswall_claim_epoch`, func() float64 { return float64(n.latestClaim().Epoch) })
	n.metrics.NewGauge(`cactuswall_owner_capacity`, func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(n.view.Details().Capacity) / 1000
	})
}

func (n *Node) latestClaim() claim.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	latest, _ := n.view.Latest()
	return latest
}
