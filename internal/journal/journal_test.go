package journal

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var errReplyLost = errors.New("reply lost")

// fakeLog stores entries in memory and loses the replies to the first lostReplies appends.
type fakeLog struct {
	mu          sync.Mutex
	oldest      platform.Offset
	entries     [][]byte
	lostReplies int
	appends     int
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	l.entries = append(l.entries, data)
	if l.lostReplies > 0 {
		l.lostReplies--
		return 0, errReplyLost
	}
	return l.oldest + platform.Offset(len(l.entries)), nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from platform.Offset, wait time.Duration) (platform.Page, error) {
	deadline := time.Now().Add(wait)
	for {
		page := l.page(from)
		if len(page.Entries) > 0 || !time.Now().Before(deadline) || ctx.Err() != nil {
			return page, nil
		}
		sleep(ctx, time.Millisecond)
	}
}

func (l *fakeLog) page(from platform.Offset) platform.Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := platform.Page{Oldest: l.oldest + 1, Next: max(from, l.oldest+1)}
	for i, data := range l.entries {
		if offset := l.oldest + 1 + platform.Offset(i); offset >= from {
			page.Entries = append(page.Entries, platform.Entry{Offset: offset, Data: data})
			page.Next = offset + 1
		}
	}
	return page
}

func newTestWriter(log platform.Log) (*Writer, *Metrics) {
	m := NewMetrics(metrics.NewSet(), "s")
	return NewWriter(log, "s", "a", 7, m, zap.NewNop()), m
}

func placementRecord() *record.Record {
	return &record.Record{Body: &record.Record_Placement{Placement: &record.Placement{}}}
}

func endRecord() *record.Record {
	return &record.Record{Body: &record.Record_End{End: &record.End{}}}
}

func renewalRecord(token uint64) *record.Record {
	body := &record.Renewal{Claims: []*record.ShardToken{{Token: token}}}
	return &record.Record{Body: &record.Record_Renewal{Renewal: body}}
}

func TestQueueRejectsPlacementsBeforeEnds(t *testing.T) {
	Convey("Given a queue that is full for placements", t, func() {
		w, m := newTestWriter(&fakeLog{})
		for range classLimits[ClassPlacement] {
			w.Enqueue(placementRecord())
		}
		So(len(w.queue), ShouldEqual, classLimits[ClassPlacement])
		So(w.Enqueue(placementRecord()), ShouldBeFalse)
		So(m.QueueFull[ClassPlacement].Get(), ShouldEqual, 1)
		So(w.Enqueue(endRecord()), ShouldBeTrue)
		Convey("renewals are always accepted and only the newest is sent", func() {
			So(w.Enqueue(renewalRecord(1)), ShouldBeTrue)
			So(w.Enqueue(renewalRecord(2)), ShouldBeTrue)
			w.queue = nil
			batch, _ := w.nextBatch()
			So(len(batch.GetRecords()), ShouldEqual, 1)
			So(batch.GetRecords()[0].GetRenewal().GetClaims()[0].GetToken(), ShouldEqual, 2)
		})
	})
}

// runWriter appends one end record to a log that loses replies, with or without a reader that confirms batches.
func runWriter(t *testing.T, lostReplies int, reader bool) (log *fakeLog, m *Metrics, batches []*record.Batch) {
	log = &fakeLog{lostReplies: lostReplies}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var w *Writer
		w, m = newTestWriter(log)
		go func() { _ = w.Run(ctx) }()
		if reader {
			follower := NewFollower(log, "s", 1, func(deliveries []Delivery) {
				for _, d := range deliveries {
					w.Confirm(d.Batch)
				}
			}, NewMetrics(metrics.NewSet(), "s"), zap.NewNop())
			go func() { _ = follower.Run(ctx) }()
		}
		w.Enqueue(endRecord())
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
	})
	for _, data := range log.entries {
		batch, err := record.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		batches = append(batches, batch)
	}
	return log, m, batches
}

func TestLostReplyIsConfirmedByReading(t *testing.T) {
	Convey("With a reader, a batch whose reply was lost is not appended again", t, func() {
		log, m, _ := runWriter(t, 1, true)
		So(log.appends, ShouldEqual, 1)
		So(m.ConfirmedByReading.Get(), ShouldEqual, 1)
	})
	Convey("Without a reader, it is appended again with the same sequence number", t, func() {
		log, m, batches := runWriter(t, 1, false)
		So(log.appends, ShouldEqual, 2)
		So(m.Repeated.Get(), ShouldEqual, 1)
		So(proto.Equal(batches[0], batches[1]), ShouldBeTrue)
	})
}

func TestFollowerReportsGapAndNewerSchema(t *testing.T) {
	Convey("Given a stream whose first entries were removed and that contains a batch with a newer schema", t, func() {
		newer, err := proto.Marshal(&record.Batch{Schema: record.SchemaVersion + 1, Node: "b"})
		So(err, ShouldBeNil)
		follower := NewFollower(&fakeLog{}, "s", 1, nil, NewMetrics(metrics.NewSet(), "s"), zap.NewNop())
		deliveries := follower.decode(platform.Page{Oldest: 5, Next: 6, Entries: []platform.Entry{{Offset: 5, Data: newer}}})
		So(len(deliveries), ShouldEqual, 2)
		So(deliveries[0], ShouldResemble, Delivery{Offset: 4, Gap: true})
		So(deliveries[1].NewerSchema, ShouldBeTrue)
		So(deliveries[1].Batch, ShouldBeNil)
	})
}

// TestReplay delivers a stream with gaps and entries of newer programs at random, and restores snapshots at
// random offsets. It checks that entries are applied in order and none after a missing one.
func TestReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReplay(NewMetrics(metrics.NewSet(), "s"))
		var state platform.Offset
		apply := func(d Delivery) {
			if d.Offset != state+1 {
				t.Fatalf("entry %d was applied to the state at %d", d.Offset, state)
			}
			state = d.Offset
		}
		for offset := platform.Offset(1); offset <= 40; offset++ {
			d := Delivery{Offset: offset}
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				d.Gap = true
			case 1:
				d.NewerSchema = true
			}
			if taken, ok := r.Admit(d); ok {
				apply(taken)
			}
			if at := platform.Offset(rapid.IntRange(1, int(offset)).Draw(t, "snapshot")); r.CompletedBy(at) {
				state = at
				for _, held := range r.SnapshotRestored(at) {
					apply(held)
				}
				if state != offset {
					t.Fatalf("the state is at %d after a snapshot, the stream at %d", state, offset)
				}
			}
			if r.Complete() && r.Applied() != state {
				t.Fatalf("applied %d, state %d", r.Applied(), state)
			}
		}
	})
}
