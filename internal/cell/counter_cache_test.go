package cell

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// TestCountersByLabel checks the names and values of counters with a label.
func TestCountersByLabel(t *testing.T) {
	set := metrics.NewSet()
	m := NewMetrics(set)
	for range 3 {
		m.countEndedRun("done")
	}
	m.countEndedRun("failed")
	m.countStop("failed")
	var text strings.Builder
	set.WritePrometheus(&text)
	for _, line := range []string{
		`cactuswall_cell_runs_ended_total{how="done"} 3`, `cactuswall_cell_runs_ended_total{how="failed"} 1`,
		`cactuswall_cell_stops_total{reason="failed"} 1`,
	} {
		if !strings.Contains(text.String(), line) {
			t.Errorf("%s is missing in\n%s", line, text.String())
		}
	}
}

func BenchmarkCountEndedRun(b *testing.B) {
	m := NewMetrics(metrics.NewSet())
	for range b.N {
		m.countEndedRun("done")
	}
}
