// Package quota splits the quotas of teams over failure domains without agreement.
//
// Every domain computes the same split from the manifest alone, so the parts never add up to more than
// the quota, also while domains are cut off from each other.
package quota

import (
	"github.com/cespare/xxhash/v2"

	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/units"
)

// Split returns the part of each team's quota that falls to a failure domain. It is empty when the
// manifest does not name the domain.
func Split(m *manifest.Manifest, domain string) map[string]units.Resources {
	parts := make(map[string]units.Resources, len(m.Teams))
	for index, name := range m.DomainNames() {
		if name != domain {
			continue
		}
		for _, t := range m.Teams {
			parts[t.Name] = part(t, index, len(m.FailureDomains))
		}
	}
	return parts
}

// part gives the remainders of a division to the domains from a first one on, which differs between teams.
func part(t manifest.Team, index, count int) units.Resources {
	first := int(xxhash.Sum64String(t.Name) % uint64(count))
	turn := int64((index - first + count) % count)
	return units.Resources{
		MilliProcessors: divide(t.Quota.MilliProcessors, turn, int64(count)),
		MemoryMiB:       divide(t.Quota.MemoryMiB, turn, int64(count)),
		Accelerators:    divide(t.Quota.Accelerators, turn, int64(count)),
	}
}

func divide(total, turn, count int64) int64 {
	if turn < total%count {
		return total/count + 1
	}
	return total / count
}
