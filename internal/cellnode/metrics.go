package cellnode

import (
	"time"

	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/verdict"
)

// ObserveCalls returns an observer that counts the calls to a target by kind and result and measures them.
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

// LogCounts tells how many lines a log left out.
type LogCounts interface {
	Dropped() int64
	Sampled() int64
}

// WatchLog serves the counts of lines that the log left out, and the state of the claim, as metrics.
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
