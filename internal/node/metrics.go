package node

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/verdict"
)

// engineMetrics holds the metrics of the engine.
type engineMetrics struct {
	set         *metrics.Set
	strayRuns   *metrics.Counter
	transfers   *metrics.Counter
	resizes     *metrics.Counter
	throttles   *metrics.Counter
	quarantines *metrics.Counter
	urgentStart *metrics.Histogram
}

func newEngineMetrics(set *metrics.Set) *engineMetrics {
	return &engineMetrics{
		set:         set,
		strayRuns:   set.NewCounter("cactuswall_stray_runs_total"),
		transfers:   set.NewCounter("cactuswall_transfers_total"),
		resizes:     set.NewCounter("cactuswall_resizes_total"),
		throttles:   set.NewCounter("cactuswall_throttles_total"),
		quarantines: set.NewCounter("cactuswall_quarantines_total"),
		urgentStart: set.NewHistogram("cactuswall_urgent_start_seconds"),
	}
}

func (m *engineMetrics) count(name, label, value string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", name, label, value)).Inc()
}

func (m *engineMetrics) countRejection(r ledger.Rejection) {
	m.count("cactuswall_records_rejected_total", "reason", string(r))
}

func (m *engineMetrics) countEviction(reason string) {
	m.count("cactuswall_evictions_total", "reason", reason)
}

func (m *engineMetrics) countWorkerFailure(r verdict.Reason) {
	m.count("cactuswall_worker_call_failures_total", "reason", string(r))
}

func (m *engineMetrics) countPublication(r config.Rejection) {
	result := string(r)
	if r == config.Accepted {
		result = "accepted"
	}
	m.count("cactuswall_publications_total", "result", result)
}

// countPeerExchange counts the result of an exchange with a peer. The result absurd_word counts a member
// entry that was rejected in a peer's view.
func (m *engineMetrics) countPeerExchange(result string) {
	m.count("cactuswall_peer_exchanges_total", "result", result)
}

func (m *engineMetrics) countSnapshot(stream, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cactuswall_snapshots_total{stream=%q,result=%q}", stream, result)).Inc()
}
