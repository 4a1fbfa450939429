// Package quota splits the quotas of teams among failure domains without coordination.
//
// Every domain computes the same split from the manifest alone, so the shares never add up to more than the
// quota, even while domains are partitioned from each other.
package quota

import (
	"github.com/cespare/xxhash/v2"

	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/units"
)

// Split returns a failure domain's share of each team's quota, by team name. A quota is divided evenly among the
// failure domains of the manifest. The result is empty when the manifest does not contain the domain.
func Split(m *manifest.Manifest, domain string) map[string]units.Resources {
	shares := make(map[string]units.Resources, len(m.Teams))
	for index, name := range m.DomainNames() {
		if name != domain {
			continue
		}
		for _, t := range m.Teams {
			shares[t.Name] = teamShare(t, index, len(m.FailureDomains))
		}
	}
	return shares
}

// teamShare returns the share of a team's quota for the domain at index out of count. The remainders of the
// divisions go to consecutive domains, starting at one that depends on the team's name.
func teamShare(t manifest.Team, index, count int) units.Resources {
	first := int(xxhash.Sum64String(t.Name) % uint64(count))
	position := int64((index - first + count) % count)
	return units.Resources{
		MilliProcessors: evenShare(t.Quota.MilliProcessors, position, int64(count)),
		MemoryMiB:       evenShare(t.Quota.MemoryMiB, position, int64(count)),
		Accelerators:    evenShare(t.Quota.Accelerators, position, int64(count)),
	}
}

// evenShare returns the share of total for the domain at position out of count. The first total%count
// positions get one more than the others.
func evenShare(total, position, count int64) int64 {
	if position < total%count {
		return total/count + 1
	}
	return total / count
}
