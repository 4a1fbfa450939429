package jobs

import (
	"testing"
	"time"
)

// Guards against an occurrence that starts before its time because the distance to the first one does not fit into a duration.
func TestOccurrencesAreDueInOrder(t *testing.T) {
	const year = 365 * 24 * time.Hour
	for name, interval := range map[string]time.Duration{"a second": time.Second, "a year": year, "200 years": 200 * year} {
		spec := Spec{OccurrenceCount: MaxOccurrences, StartAt: time.UnixMilli(1_800_000_000_000), Interval: interval}
		for _, k := range []int{1, 2, 292, 293, 1000, MaxOccurrences - 1} {
			if due := spec.DueAt(k); due.Before(spec.DueAt(k-1)) || due.Before(spec.StartAt.Add(interval)) {
				t.Errorf("%s apart: occurrence %d is due at %v", name, k, due)
			}
		}
	}
}
