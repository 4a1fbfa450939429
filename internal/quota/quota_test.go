package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/testseed"
	"cactuswall.example/cactuswall/internal/units"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// TestSplitAddsUp checks that the shares of all domains add up to exactly the quota.
func TestSplitAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &manifest.Manifest{}
		for i := range rapid.IntRange(1, 11).Draw(t, "domains") {
			m.FailureDomains = append(m.FailureDomains, manifest.FailureDomain{Name: fmt.Sprintf("d%d", i)})
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "teams") {
			m.Teams = append(m.Teams, manifest.Team{Name: fmt.Sprintf("t%d", i), Quota: units.Resources{
				MilliProcessors: rapid.Int64Range(0, 100000).Draw(t, "processors"),
				MemoryMiB:       rapid.Int64Range(0, 100000).Draw(t, "memory"),
				Accelerators:    rapid.Int64Range(0, 20).Draw(t, "accelerators"),
			}})
		}
		for _, team := range m.Teams {
			var sum units.Resources
			for _, d := range m.DomainNames() {
				sum = sum.Add(Split(m, d)[team.Name])
			}
			if sum != team.Quota {
				t.Fatalf("the shares of team %s add up to %v, want the quota %v", team.Name, sum, team.Quota)
			}
		}
	})
}
