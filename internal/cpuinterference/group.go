package cpuinterference

import (
	"cmp"
	"slices"
	"strings"
)

// group holds the latest observation of each task of a group, sorted by task.
type group struct {
	service *service
	latest  []*observation
}

// observation is a reading of a task. shares are the reading's CPUShares, sorted by index.
type observation struct {
	task    string
	reading Reading
	shares  []indexedShare
}

// indexedShare is the CPU share, from 0 to 1, of the best-effort image with an index of coefficientIndex.
type indexedShare struct {
	index int
	share float64
}

// find returns the position of a task in latest, or the one where it is to be inserted.
func (g *group) find(task string) (position int, found bool) {
	return slices.BinarySearchFunc(g.latest, task, func(o *observation, task string) int {
		return strings.Compare(o.task, task)
	})
}

// appendRecentSiblings appends to list the observations of the siblings of current's task that are recent enough to be
// compared with current, sorted by task. It deletes expired observations.
func (g *group) appendRecentSiblings(list []*observation, current *observation) []*observation {
	expired := false
	for _, o := range g.latest {
		age := current.reading.At - o.reading.At
		expired = expired || age > readingExpiry
		if o != current && age <= maxSiblingAge {
			list = append(list, o)
		}
	}
	if expired {
		g.latest = slices.DeleteFunc(g.latest, func(o *observation) bool {
			return current.reading.At-o.reading.At > readingExpiry
		})
	}
	return list
}

// indexShares returns the shares by coefficientIndex, sorted by index. New images get their indexes in the order of
// their names, so that sums over the shares do not depend on the order of the map.
func (s *service) indexShares(shares CPUShares) []indexedShare {
	indexed := make([]indexedShare, 0, len(shares))
	for image, share := range shares {
		if i, known := s.indexes[image]; known {
			indexed = append(indexed, indexedShare{index: i, share: share})
		}
	}
	if len(indexed) < len(shares) {
		for _, image := range sortedKeys(shares) {
			s.coefficientIndex(image)
		}
		return s.indexShares(shares)
	}
	slices.SortFunc(indexed, func(a, b indexedShare) int { return cmp.Compare(a.index, b.index) })
	return indexed
}
