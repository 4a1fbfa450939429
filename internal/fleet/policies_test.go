package fleet

import (
	"flag"
	"sort"
	"testing"
)

var fleetSeed = flag.Uint64("fleet.seed", 1, "seed of the fleet in BenchmarkPolicies")

// BenchmarkPolicies simulates one hour of a fleet with each policy. Run it with -benchtime=1x.
func BenchmarkPolicies(b *testing.B) {
	for _, name := range []string{"arwyddion", "vinnufata"} {
		for _, policy := range modeNames() {
			b.Run(name+"/"+policy, func(b *testing.B) {
				for range b.N {
					f := newFleet(deployments[name], modes[policy], *fleetSeed)
					for range fleetSeconds {
						f.step()
					}
					f.finish()
					report(b, f)
				}
			})
		}
	}
}

func report(b *testing.B, f *fleet) {
	r := &f.result
	b.ReportMetric(quantile(r.latencies, 0.99), "p99/alone")
	b.ReportMetric(100*float64(r.overTarget)/float64(max(1, r.samples)), "%over-target")
	b.ReportMetric(100*r.done/r.offered, "%work-done")
	b.ReportMetric(100*float64(r.missed)/float64(max(1, r.ended)), "%missed")
	b.ReportMetric(float64(r.evictions), "evictions")
	b.ReportMetric(r.lostCoreSeconds/3600, "core-hours-lost")
	b.ReportMetric(quantile(r.urgentWaits, 0.99), "urgent-p99-s")
}

func modeNames() []string {
	names := make([]string, 0, len(modes))
	for name := range modes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
