package cellnode

import (
	"time"

	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/verdict"
)

// ObserveCalls returns a function that counts the calls to a target by kind and result and records their duration.
func (n *Node) ObserveCalls(target string) func(kind string, err error, took time.Duration) {
	return func(kind string, err error, took time.Duration) {
		result := "ok"
		if err != nil {
			result = string(verdict.ReasonOf(err))
		}
		n.metrics.GetOrCreateCounter(`cactuswall_calls_total{target="` + target + `",kind="` + kind + `",result="` + result + `"}`).Inc()
		n.metrics.GetOrCreateHistogram(`cactuswall_call_seconds{target="` + target + `",kind="` + kind + `"}`).Update(took.Seconds())
	}
}

// LogCounts provides the number of log lines that were dropped or sampled out.
type LogCounts interface {
	Dropped() int64
	Sampled() int64
}

// WatchLog registers metrics for the log lines that were left out and for the state of the claim.
func (n *Node) WatchLog(log LogCounts) {
	n.metrics.NewGauge(`cactuswall_log_lines_dropped`, func() float64 { return float64(log.Dropped()) })
	n.metrics.NewGauge(`cactuswall_log_lines_sampled`, func() float64 { return float64(log.Sampled()) })
	n.metrics.NewGauge(`cactuswall_owner`, func() float64 {
		if n.owner.Load() == nil {
			return 0
		}
		return 1
	})
	n.metrics.NewGauge(`cactuswall_claim_epoch`, func() float64 { return float64(n.newestClaim().Epoch) })
}

func (n *Node) newestClaim() claim.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	newest, _ := n.view.Newest()
	return newest
}
