package cell

import (
	"cmp"
	"slices"

	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/jobrecord"
)

// occurrenceSet is a set of occurrences of a job, as sorted ranges that neither overlap nor touch.
type occurrenceSet struct{ ranges []jobrecord.OccurrenceRange }

// newOccurrenceSet returns the set of stored ranges of a job that has so many occurrences.
func newOccurrenceSet(ranges []jobrecord.OccurrenceRange, occurrences int) (occurrenceSet, error) {
	next := 0
	for i, r := range ranges {
		if r.From < next || r.To <= r.From || r.To > occurrences {
			return occurrenceSet{}, trace.BadParameter("range %d of ended occurrences is out of order or beyond the last one", i)
		}
		next = r.To + 1
	}
	return occurrenceSet{ranges}, nil
}

// find returns the index of the first range that ends after an occurrence.
func (s *occurrenceSet) find(occurrence int) int {
	i, _ := slices.BinarySearchFunc(s.ranges, occurrence, func(r jobrecord.OccurrenceRange, k int) int { return cmp.Compare(r.To, k+1) })
	return i
}

func (s *occurrenceSet) contains(occurrence int) bool {
	i := s.find(occurrence)
	return i < len(s.ranges) && s.ranges[i].From <= occurrence
}

// next returns the first occurrence from a given one on that is not in the set.
func (s *occurrenceSet) next(occurrence int) int {
	if i := s.find(occurrence); i < len(s.ranges) && s.ranges[i].From <= occurrence {
		return s.ranges[i].To
	}
	return occurrence
}

// add adds an occurrence that is not in the set, unless the set would have more than maxRanges ranges. It reports whether it did.
func (s *occurrenceSet) add(occurrence, maxRanges int) bool {
	i := s.find(occurrence)
	after := i > 0 && s.ranges[i-1].To == occurrence
	before := i < len(s.ranges) && s.ranges[i].From == occurrence+1
	switch {
	case after && before:
		s.ranges[i-1].To = s.ranges[i].To
		s.ranges = slices.Delete(s.ranges, i, i+1)
	case after:
		s.ranges[i-1].To++
	case before:
		s.ranges[i].From--
	case len(s.ranges) >= maxRanges:
		return false
	default:
		s.ranges = slices.Insert(s.ranges, i, jobrecord.OccurrenceRange{From: occurrence, To: occurrence + 1})
	}
	return true
}
