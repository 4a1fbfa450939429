package ledger

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// stream builds batches of one record and applies them to a ledger.
type stream struct {
	ledger   *Ledger
	offset   platform.Offset
	sequence map[string]uint64
}

func newStream() *stream {
	return &stream{ledger: New(), sequence: make(map[string]uint64)}
}

func (s *stream) apply(node string, r *record.Record) Rejection {
	s.offset++
	s.sequence[node]++
	batch := &record.Batch{Node: node, Incarnation: 1, Sequence: s.sequence[node], Records: []*record.Record{r}}
	return s.ledger.Apply(s.offset, batch, time.Time{})[0].Rejection
}

func claimRecord(shard uint32, replaces platform.Offset) *record.Record {
	return &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{Shard: shard, Replaces: uint64(replaces)}}}
}

func placementRecord(task string, attempt uint32, from, to *record.ShardToken) *record.Record {
	body := &record.Placement{Task: task, Attempt: attempt, Worker: "w", From: from, To: to}
	return &record.Record{Body: &record.Record_Placement{Placement: body}}
}

func endRecord(task string, attempt uint32, by *record.ShardToken, outcome record.Outcome) *record.Record {
	body := &record.End{Task: task, Attempt: attempt, By: by, Outcome: outcome}
	return &record.Record{Body: &record.Record_End{End: body}}
}

func shardToken(shard uint32, offset platform.Offset) *record.ShardToken {
	return &record.ShardToken{Shard: shard, Token: uint64(offset)}
}

func TestPlacement(t *testing.T) {
	Convey("Given a task whose shard is claimed by node a", t, func() {
		s := newStream()
		shard := failuredomain.ShardOf("job/0")
		So(s.apply("a", claimRecord(shard, 0)), ShouldEqual, Accepted)
		held := shardToken(shard, 1)

		Convey("a second placement is rejected while the first attempt is open", func() {
			So(s.apply("a", placementRecord("job/0", 1, held, held)), ShouldEqual, Accepted)
			So(s.apply("a", placementRecord("job/0", 2, held, held)), ShouldEqual, AlreadyOpen)
		})
		Convey("a finished task is never placed again", func() {
			So(s.apply("a", placementRecord("job/0", 1, held, held)), ShouldEqual, Accepted)
			So(s.apply("a", endRecord("job/0", 1, held, record.Outcome_OUTCOME_FINISHED)), ShouldEqual, Accepted)
			So(s.apply("a", placementRecord("job/0", 2, held, held)), ShouldEqual, AlreadyFinished)
		})
		Convey("a placement under a superseded claim is rejected", func() {
			So(s.apply("b", claimRecord(shard, 1)), ShouldEqual, Accepted)
			So(s.apply("a", placementRecord("job/0", 1, held, held)), ShouldEqual, StaleToken)
		})
		Convey("a claim that does not name the revision of the current claim is rejected", func() {
			So(s.apply("b", claimRecord(shard, 0)), ShouldEqual, StaleClaim)
		})
		Convey("a second copy of a batch changes nothing", func() {
			batch := &record.Batch{Node: "a", Incarnation: 1, Sequence: 1, Records: []*record.Record{claimRecord(shard, 1)}}
			So(s.ledger.Apply(9, batch, time.Time{})[0].Rejection, ShouldEqual, DuplicateBatch)
			So(s.ledger.Claim(shard).Token, ShouldEqual, 1)
		})
	})
}

// TestOneOpenAttempt applies random records from two competing nodes and checks that a task never has two
// open attempts and is never placed after it has finished.
func TestOneOpenAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStream()
		open := make(map[string]uint32)
		finished := make(map[string]bool)
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			node := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node")
			task := fmt.Sprintf("job/%d", rapid.IntRange(0, 2).Draw(t, "task"))
			shard := s.ledger.ShardOf(task)
			held := shardToken(shard, s.ledger.Claim(shard).Token)
			attempt := uint32(rapid.IntRange(1, 4).Draw(t, "attempt"))
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				s.apply(node, claimRecord(shard, s.ledger.Claim(shard).Token))
			case 1:
				if s.apply(node, placementRecord(task, attempt, held, held)) != Accepted {
					continue
				}
				if open[task] != 0 || finished[task] {
					t.Fatalf("%s was placed although attempt %d was open (0 means none) or it had finished (%v)", task, open[task], finished[task])
				}
				open[task] = attempt
			case 2:
				outcome := rapid.SampledFrom([]record.Outcome{record.Outcome_OUTCOME_FINISHED, record.Outcome_OUTCOME_LOST}).Draw(t, "outcome")
				if s.apply(node, endRecord(task, attempt, held, outcome)) != Accepted {
					continue
				}
				if open[task] != attempt {
					t.Fatalf("attempt %d of %s ended, but the open attempt was %d", attempt, task, open[task])
				}
				open[task] = 0
				finished[task] = outcome == record.Outcome_OUTCOME_FINISHED
			}
		}
	})
}
