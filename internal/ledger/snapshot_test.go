package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

func renewalRecord(t *record.ShardToken) *record.Record {
	return &record.Record{Body: &record.Record_Renewal{Renewal: &record.Renewal{Claims: []*record.ShardToken{t}}}}
}

func TestClaimNamesNewestRenewal(t *testing.T) {
	Convey("Given a claim that its owner has renewed", t, func() {
		s := newStream()
		So(s.apply("a", claimRecord(0, 0)), ShouldEqual, Accepted)
		So(s.apply("a", renewalRecord(shardToken(0, 1))), ShouldEqual, Accepted)

		Convey("a claim by a node that has not read the renewal is rejected", func() {
			So(s.apply("b", claimRecord(0, 1)), ShouldEqual, StaleClaim)
			So(s.ledger.Claim(0).Owner.Node, ShouldEqual, "a")
		})
		Convey("a claim by a node that has read it is accepted, and the previous owner can no longer renew", func() {
			So(s.apply("b", claimRecord(0, 2)), ShouldEqual, Accepted)
			So(s.apply("a", renewalRecord(shardToken(0, 1))), ShouldEqual, StaleToken)
		})
	})
}

func TestSnapshotOfNewerSchema(t *testing.T) {
	Convey("A snapshot with a newer schema is rejected", t, func() {
		encoded, err := proto.Marshal(&record.LedgerState{Schema: record.SchemaVersion + 1})
		So(err, ShouldBeNil)
		_, err = Restore(record.Compress(encoded), time.Time{})
		So(errors.Is(err, record.ErrNewerSchema), ShouldBeTrue)
	})
}

// TestSnapshotReplay applies random records to a ledger and, from a random point on, also to a ledger
// restored from a snapshot taken at that point. It checks that both accept the same records and end in the
// same state.
func TestSnapshotReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStream()
		count := rapid.IntRange(1, 40).Draw(t, "records")
		snapshotAt := rapid.IntRange(0, count-1).Draw(t, "snapshot")
		var restored *Ledger
		var sent []*record.Batch
		for i := range count {
			if i == snapshotAt {
				restored = roundTrip(t, s.ledger)
			}
			batch := drawBatch(t, s, sent)
			sent = append(sent, batch)
			s.offset++
			got := s.ledger.Apply(s.offset, batch, time.Time{})
			if restored == nil {
				continue
			}
			replayed := restored.Apply(s.offset, batch, time.Time{})
			if (got[0].Rejection == Accepted) != (replayed[0].Rejection == Accepted) {
				t.Fatalf("record %d: rejection %q by the original ledger, %q by the restored one", i, got[0].Rejection, replayed[0].Rejection)
			}
		}
		if !bytes.Equal(encode(t, s.ledger), encode(t, restored)) {
			t.Fatal("the original and the restored ledger differ at the end")
		}
	})
}

// drawBatch draws a batch with one random record, or repeats one that was already sent.
func drawBatch(t *rapid.T, s *stream, sent []*record.Batch) *record.Batch {
	if len(sent) > 0 && rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
		return rapid.SampledFrom(sent).Draw(t, "copy")
	}
	node := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node")
	incarnation := uint64(rapid.IntRange(1, 2).Draw(t, "incarnation"))
	task := fmt.Sprintf("job/%d", rapid.IntRange(0, 2).Draw(t, "task"))
	shard := s.ledger.ShardOf(task)
	current := s.ledger.Claim(shard)
	to := uint32(rapid.IntRange(0, failuredomain.ShardsPerDomain-1).Draw(t, "to"))
	attempt := uint32(rapid.IntRange(1, 3).Draw(t, "attempt"))
	held := shardToken(shard, current.Token)
	var r *record.Record
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0, 1:
		r = claimRecord(shard, current.Revision)
	case 2:
		r = renewalRecord(held)
	case 3:
		r = placementRecord(task, attempt, held, shardToken(to, s.ledger.Claim(to).Token))
	case 4:
		r = endRecord(task, attempt, shardToken(shard, current.Token), record.Outcome_OUTCOME_EVICTED)
	case 5:
		r = &record.Record{Body: &record.Record_Forget{Forget: &record.Forget{By: held, Tasks: []string{task}}}}
	case 6:
		body := &record.Transfer{Task: task, From: held, ToShard: to, ToDomain: rapid.SampledFrom([]string{"", "d"}).Draw(t, "domain")}
		r = &record.Record{Body: &record.Record_Transfer{Transfer: body}}
	case 7:
		r = &record.Record{Body: &record.Record_Arrival{Arrival: &record.Arrival{Task: task, FromDomain: "d", Attempt: attempt}}}
	case 8:
		by := shardToken(failuredomain.ShardOf(task), s.ledger.Claim(failuredomain.ShardOf(task)).Token)
		body := &record.WorkerAbsence{By: by, Worker: task, LeasesEndMs: 1000, Over: rapid.Bool().Draw(t, "over")}
		r = &record.Record{Body: &record.Record_WorkerAbsence{WorkerAbsence: body}}
	}
	key := fmt.Sprintf("%s.%d", node, incarnation)
	s.sequence[key]++
	return &record.Batch{Node: node, Incarnation: incarnation, Sequence: s.sequence[key], Records: []*record.Record{r}}
}

func encode(t *rapid.T, l *Ledger) []byte {
	data, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func roundTrip(t *rapid.T, l *Ledger) *Ledger {
	restored, err := Restore(encode(t, l), time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// BenchmarkRecovery measures how long a new node takes to rebuild the state of a failure domain, from a
// snapshot and from all records since the beginning of the stream.
func BenchmarkRecovery(b *testing.B) {
	for _, tasks := range []int{1_500, 15_000, 150_000} {
		s := newStream()
		var batches []*record.Batch
		send := func(records ...*record.Record) {
			s.offset++
			s.sequence["a"]++
			batch := &record.Batch{Node: "a", Incarnation: 1, Sequence: s.sequence["a"], Records: records}
			for _, r := range s.ledger.Apply(s.offset, batch, time.Time{}) {
				if r.Rejection != Accepted {
					b.Fatal(r.Rejection)
				}
			}
			batches = append(batches, batch)
		}
		for shard := range uint32(failuredomain.ShardsPerDomain) {
			send(claimRecord(shard, 0))
		}
		held := func(id string) *record.ShardToken {
			shard := s.ledger.ShardOf(id)
			return shardToken(shard, s.ledger.Claim(shard).Token)
		}
		for i := range tasks {
			id := fmt.Sprintf("rebuild-timetable-%d@%d/%d", i/40, 1000+i/40, i%40)
			send(placementRecord(id, 1, held(id), held(id)), endRecord(id, 1, held(id), record.Outcome_OUTCOME_FINISHED))
		}
		data, err := s.ledger.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("snapshot-%d", tasks), func(b *testing.B) {
			for b.Loop() {
				if _, err := Restore(data, time.Time{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
		b.Run(fmt.Sprintf("records-%d", tasks), func(b *testing.B) { replayAll(b, batches) })
	}
}

func replayAll(b *testing.B, batches []*record.Batch) {
	encoded := make([][]byte, len(batches))
	size := 0
	for i, batch := range batches {
		data, err := record.Encode(batch)
		if err != nil {
			b.Fatal(err)
		}
		encoded[i] = data
		size += len(data)
	}
	for b.Loop() {
		l := New()
		for i, data := range encoded {
			batch, err := record.Decode(data)
			if err != nil {
				b.Fatal(err)
			}
			l.Apply(platform.Offset(i+1), batch, time.Time{})
		}
	}
	b.ReportMetric(float64(size), "bytes")
}
