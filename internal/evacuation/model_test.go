package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/store"
)

// Guards against a set that differs from the newest records after any order of page reads, repeated reads, listings and
// dropped history, by two readers that share a position.
func TestTrackerFollowsNewestRecords(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tracker := NewTracker(nil)
		var log []store.Record
		next, listed := store.Offset(0), false
		newest := func() map[string]store.Record {
			m := make(map[string]store.Record)
			for _, record := range log {
				m[record.Key] = record
			}
			return m
		}
		write := func() {
			for range rapid.IntRange(0, 3).Draw(r, "writes") {
				record := store.Record{Key: KeyPrefix + rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "domain"), Offset: store.Offset(len(log))}
				if rapid.Bool().Draw(r, "request") {
					record.Value = []byte("{}")
				}
				log = append(log, record)
			}
		}
		list := func() {
			end := store.Offset(len(log))
			write() // while the pages of the listing are read
			var records []store.Record
			m := newest()
			for _, key := range slices.Sorted(maps.Keys(m)) {
				if len(m[key].Value) > 0 || rapid.Bool().Draw(r, "deletion listed") {
					records = append(records, m[key])
				}
			}
			tracker.Relist(records, end)
			next, listed = max(next, end), true
		}
		read := func() {
			from := next
			if rapid.IntRange(0, 3).Draw(r, "repeated") == 0 && from > 0 {
				from -= store.Offset(rapid.IntRange(0, int(from)).Draw(r, "by"))
			}
			to := store.Offset(rapid.IntRange(int(from), len(log)).Draw(r, "to"))
			tracker.Apply(log[from:to], to)
			next = max(next, to)
		}
		for range rapid.IntRange(1, 20).Draw(r, "steps") {
			write()
			if !listed || rapid.IntRange(0, 4).Draw(r, "list") == 0 { // history was dropped
				list()
			} else {
				read()
			}
		}
		tracker.Apply(log[next:], store.Offset(len(log)))
		var want []string
		m := newest()
		for _, domain := range []string{"a", "b", "c"} {
			if len(m[KeyPrefix+domain].Value) > 0 {
				want = append(want, domain)
			}
		}
		if got := tracker.Set().Domains(); fmt.Sprint(got) != fmt.Sprint(want) {
			r.Fatalf("the evacuated failure domains are %v, want %v, of %v", got, want, log)
		}
	})
}

// FuzzTracker applies arbitrary keys and values. Only a panic or a domain without a request is a fault.
func FuzzTracker(f *testing.F) {
	f.Add("evacuate/a", []byte("{}"), "evacuate/a", []byte(nil))
	f.Add("evacuate/", []byte("{"), "config", []byte("null"))
	f.Fuzz(func(t *testing.T, key1 string, value1 []byte, key2 string, value2 []byte) {
		tracker := NewTracker([]string{"a"})
		records := []store.Record{{Key: key1, Value: value1}, {Key: key2, Value: value2, Offset: 1}}
		tracker.Apply(records, 2)
		for _, domain := range tracker.Set().Domains() {
			if domain == "" || key1 != KeyPrefix+domain && key2 != KeyPrefix+domain {
				t.Errorf("%q is evacuated without a request", domain)
			}
		}
		tracker.Relist(records, 2)
		if len(tracker.Relist(nil, 3)) > 2 || len(tracker.Set().Domains()) > 0 {
			t.Error("a request that is not listed is still active")
		}
	})
}
