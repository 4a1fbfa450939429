package ledger

import (
	"fmt"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/lease"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

// Guards against two runs at a time: an absence holds for the next owner only, and not after the worker has answered.
func TestAbsence(t *testing.T) {
	const worker, remaining = "w", 10 * time.Second
	shard := failuredomain.ShardOf(worker)
	task := ""
	for i := 0; task == "" || failuredomain.ShardOf(task) != shard; i++ {
		task = fmt.Sprintf("job/%d", i)
	}
	absence := func(token platform.Offset, milliseconds uint64, over bool) *record.Record {
		body := &record.WorkerAbsence{By: shardToken(shard, token), Worker: worker, LeasesEndMs: milliseconds, Over: over}
		return &record.Record{Body: &record.Record_WorkerAbsence{WorkerAbsence: body}}
	}
	type step struct {
		node string
		r    *record.Record
		want Rejection
	}
	declared := []step{
		{"a", claimRecord(shard, 0), Accepted},
		{"a", placementRecord(task, 1, shardToken(shard, 1), shardToken(shard, 1)), Accepted},
		{"a", absence(1, 10000, false), Accepted},
	}
	for name, c := range map[string]struct {
		steps []step
		known bool
	}{
		"declared":                   {nil, true},
		"next owner":                 {[]step{{"b", claimRecord(shard, 1), Accepted}}, true},
		"owner after the next":       {[]step{{"b", claimRecord(shard, 1), Accepted}, {"c", claimRecord(shard, 4), Accepted}}, false},
		"declared by the next owner": {[]step{{"b", claimRecord(shard, 1), Accepted}, {"b", absence(4, 10000, false), Accepted}, {"c", claimRecord(shard, 4), Accepted}}, true},
		"over":                       {[]step{{"a", absence(1, 0, true), Accepted}}, false},
		"over by a former owner":     {[]step{{"b", claimRecord(shard, 1), Accepted}, {"a", absence(1, 0, true), StaleToken}}, true},
		"by a former owner":          {[]step{{"b", claimRecord(shard, 1), Accepted}, {"c", claimRecord(shard, 4), Accepted}, {"a", absence(1, 10000, false), StaleToken}}, false},
		"longer than any lease":      {[]step{{"a", absence(1, 0, true), Accepted}, {"a", absence(1, 1<<63, false), UnknownRecord}}, false},
		"no open attempt":            {[]step{{"a", endRecord(task, 1, shardToken(shard, 1), record.Outcome_OUTCOME_LOST), Accepted}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStream()
			for i, step := range append(declared[:len(declared):len(declared)], c.steps...) {
				if got := s.apply(step.node, step.r); got != step.want {
					t.Fatalf("record %d: %q, want %q", i, got, step.want)
				}
			}
			data, err := s.ledger.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			now := time.Now()
			restored, err := Restore(data, now)
			if err != nil {
				t.Fatal(err)
			}
			for _, l := range []*Ledger{s.ledger, restored} {
				if a, known := l.Absence(worker); known != c.known || known && a.Remaining != remaining {
					t.Errorf("absence %+v, known %v, want %v", a, known, c.known)
				}
			}
			if a, known := restored.Absence(worker); known && !a.LeasesEnd().Equal(lease.ObserverExpiry(now, remaining)) {
				t.Errorf("a restored absence ends after %v", a.LeasesEnd().Sub(now))
			}
		})
	}
}
