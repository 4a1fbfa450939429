package failover

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/task"
)

const claimLease = 6 * time.Second

var (
	start = time.Unix(1000, 0)
	// lostNode is a node of the lost domain, which is named home.
	lostNode     = ledger.Writer{Node: "home-1", Incarnation: 1}
	failoverNode = ledger.Writer{Node: "other-1", Incarnation: 1}
)

// fixture simulates the lost domain's stream and the receiving domain's ledger.
type fixture struct {
	now            time.Time
	offset         platform.Offset
	sequence       map[ledger.Writer]uint64
	sent           map[uint64]time.Time
	failover       *Failover
	receiverLedger *ledger.Ledger
	// lostLedger applies the same stream as a node of the lost domain would.
	lostLedger *ledger.Ledger
}

func newReplay() *journal.Replay {
	return journal.NewReplay(journal.NewMetrics(metrics.NewSet(), "home"))
}

func newFixture() *fixture {
	f := &fixture{now: start, sequence: make(map[ledger.Writer]uint64), sent: make(map[uint64]time.Time), receiverLedger: ledger.New(), lostLedger: ledger.New()}
	f.failover = New("home", "other", failoverNode, claimLease, f, newReplay())
	return f
}

// Confirm implements BatchTracker: only the batches of failoverNode are this node's.
func (f *fixture) Confirm(b *record.Batch) (time.Time, bool) {
	return f.now, b.GetNode() == failoverNode.Node
}

func (f *fixture) append(from ledger.Writer, records ...*record.Record) {
	f.offset++
	f.sequence[from]++
	b := &record.Batch{Node: from.Node, Incarnation: from.Incarnation, Sequence: f.sequence[from], Records: records}
	f.failover.Apply([]journal.Delivery{{Offset: f.offset, Batch: b}}, f.now)
	f.lostLedger.Apply(f.offset, b, f.now)
}

// decideAndApply calls Decide once and appends the returned records to both streams.
func (f *fixture) decideAndApply(declared []task.Spec) Records {
	r := f.failover.Decide(declared, f.receiverLedger, f.now)
	if len(r.LostDomain) > 0 {
		f.append(failoverNode, r.LostDomain...)
	}
	if len(r.ReceivingDomain) > 0 {
		f.sequence[ledger.Writer{Node: "own"}]++
		b := &record.Batch{Node: failoverNode.Node, Incarnation: 1, Sequence: f.sequence[ledger.Writer{Node: "own"}], Records: r.ReceivingDomain}
		f.receiverLedger.Apply(platform.Offset(b.Sequence), b, f.now)
	}
	return r
}

// countRecords returns the number of records in a decision.
func countRecords(r Records) int { return len(r.LostDomain) + len(r.ReceivingDomain) }

func claimAll() []*record.Record {
	var records []*record.Record
	for shard := range uint32(failuredomain.ShardsPerDomain) {
		body := &record.Claim{Shard: shard, LeaseMs: uint64(claimLease.Milliseconds())}
		records = append(records, &record.Record{Body: &record.Record_Claim{Claim: body}})
	}
	return records
}

func specs(policy manifest.OnDomainLoss, ids ...string) []task.Spec {
	var all []task.Spec
	for _, id := range ids {
		all = append(all, task.Spec{ID: id, Job: "job", OnDomainLoss: policy, MaxFailures: 3})
	}
	return all
}

func TestFailoverMovesWaitingTasks(t *testing.T) {
	Convey("Given a domain whose node claimed all shards and then stopped", t, func() {
		f := newFixture()
		f.append(lostNode, claimAll()...)
		f.failover.Apply(nil, f.now)
		movable := specs(manifest.RunElsewhere, "job@1/0", "job@1/1")

		Convey("nothing is done while the node's lease may still be valid", func() {
			f.now = start.Add(claimLease)
			So(countRecords(f.decideAndApply(movable)), ShouldEqual, 0)
		})
		Convey("nothing is done before the stream has been read to its end", func() {
			fresh := New("home", "other", failoverNode, claimLease, f, newReplay())
			So(countRecords(fresh.Decide(movable, f.receiverLedger, start.Add(time.Hour))), ShouldEqual, 0)
		})
		Convey("nothing is done if entries of the stream are missing", func() {
			fresh := New("home", "other", failoverNode, claimLease, f, newReplay())
			fresh.Apply([]journal.Delivery{{Offset: 5, Gap: true}}, f.now)
			fresh.Apply(nil, f.now)
			So(countRecords(fresh.Decide(movable, f.receiverLedger, start.Add(time.Hour))), ShouldEqual, 0)

			Convey("until a snapshot in the stream covers them", func() {
				state, err := f.lostLedger.Snapshot()
				So(err, ShouldBeNil)
				body := &record.DomainSnapshot{At: 5, State: state}
				batch := &record.Batch{Node: lostNode.Node, Records: []*record.Record{{Body: &record.Record_DomainSnapshot{DomainSnapshot: body}}}}
				fresh.Apply([]journal.Delivery{{Offset: 6, Batch: batch}}, f.now)
				So(countRecords(fresh.Decide(movable, f.receiverLedger, f.now)), ShouldEqual, 0)
				So(fresh.Decide(movable, f.receiverLedger, start.Add(time.Hour)).LostDomain, ShouldHaveLength, failuredomain.ShardsPerDomain)
			})
		})
		Convey("after the lease has expired each waiting task is moved once", func() {
			f.now = start.Add(2 * claimLease)
			for range 4 {
				f.decideAndApply(movable)
				f.now = f.now.Add(100 * time.Millisecond)
			}
			So(f.lostLedger.TransferredTo("job@1/0"), ShouldEqual, "other")
			So(f.receiverLedger.TransferredIn(), ShouldResemble, []string{"job@1/0", "job@1/1"})
			So(countRecords(f.decideAndApply(movable)), ShouldEqual, 0)

			Convey("and the shards are released to the nodes of the lost domain", func() {
				So(f.lostLedger.Claim(0).Released, ShouldBeTrue)
			})
		})
		Convey("tasks that may not run elsewhere are not moved", func() {
			f.now = start.Add(2 * claimLease)
			So(f.decideAndApply(specs(manifest.WaitHome, "job@1/0")).ReceivingDomain, ShouldBeEmpty)
			So(f.lostLedger.TransferredTo("job@1/0"), ShouldEqual, "")
		})
		Convey("a task with an open attempt is not moved", func() {
			shard := failuredomain.ShardOf("job@1/0")
			held := &record.ShardToken{Shard: shard, Token: uint64(f.lostLedger.Claim(shard).Token)}
			body := &record.Placement{Task: "job@1/0", Attempt: 1, Worker: "w", From: held, To: held}
			f.append(lostNode, &record.Record{Body: &record.Record_Placement{Placement: body}})
			f.now = start.Add(3 * claimLease)
			for range 4 {
				f.decideAndApply(movable)
			}
			So(f.receiverLedger.TransferredIn(), ShouldResemble, []string{"job@1/1"})
		})
		Convey("a node of the lost domain that comes back and claims its shards keeps the tasks that were not moved", func() {
			f.now = start.Add(2 * claimLease)
			f.decideAndApply(movable)
			var claims []*record.Record
			for c := range f.lostLedger.Claims {
				body := &record.Claim{Shard: c.Shard, Replaces: uint64(c.Revision), LeaseMs: uint64(claimLease.Milliseconds())}
				claims = append(claims, &record.Record{Body: &record.Record_Claim{Claim: body}})
			}
			f.append(lostNode, claims...)
			So(countRecords(f.decideAndApply(movable)), ShouldEqual, 0)
			So(f.receiverLedger.TransferredIn(), ShouldBeEmpty)
		})
	})
}

func TestLossDetector(t *testing.T) {
	Convey("Given a loss detector for two domains", t, func() {
		detector := NewLossDetector(time.Minute)
		domains := []string{"a", "b"}
		live := map[string][]string{"a": {"a-1"}}

		Convey("a domain without live nodes is lost only after the whole timeout", func() {
			So(detector.Observe(domains, live, start), ShouldBeEmpty)
			So(detector.Observe(domains, live, start.Add(59*time.Second)), ShouldBeEmpty)
			So(detector.Observe(domains, live, start.Add(time.Minute)), ShouldResemble, []string{"b"})
		})
		Convey("a live node resets the timeout", func() {
			detector.Observe(domains, live, start)
			detector.Observe(domains, map[string][]string{"a": {"a-1"}, "b": {"b-1"}}, start.Add(30*time.Second))
			So(detector.Observe(domains, live, start.Add(time.Minute)), ShouldBeEmpty)
		})
		Convey("the responsible node is a live node of another domain", func() {
			So(ResponsibleNode("b", domains, live), ShouldEqual, "a-1")
			So(ResponsibleNode("a", domains, live), ShouldEqual, "")
		})
	})
}

// Guards against LOST: a declared task whose attempt was ended as cancelled, by an owner with an older manifest, must move.
func TestTasksThatAreDone(t *testing.T) {
	for outcome, want := range map[record.Outcome]bool{
		record.Outcome_OUTCOME_FINISHED: true, record.Outcome_OUTCOME_FAILED: true, record.Outcome_OUTCOME_CANCELLED: false,
		record.Outcome_OUTCOME_LOST: false, record.Outcome_OUTCOME_EVICTED: false, record.Outcome_OUTCOME_NOT_STARTED: false,
	} {
		if got := isDone(&ledger.Attempt{Outcome: outcome, Failures: 3}, task.Spec{MaxFailures: 3}); got != want {
			t.Errorf("%v: done %v, want %v", outcome, got, want)
		}
	}
}

// Guards against LOST: a task that its home domain had transferred to a third domain before the home was lost must arrive there.
func TestArrivalsInOtherDomainsAreCompleted(t *testing.T) {
	f := newFixture()
	f.append(lostNode, claimAll()...)
	var transfers []*record.Record
	for id, to := range map[string]string{"job@1/0": "third", "job@1/1": "other"} {
		shard := f.lostLedger.ShardOf(id)
		from := &record.ShardToken{Shard: shard, Token: uint64(f.lostLedger.Claim(shard).Token)}
		transfers = append(transfers, &record.Record{Body: &record.Record_Transfer{Transfer: &record.Transfer{Task: id, From: from, ToDomain: to}}})
	}
	f.append(lostNode, transfers...)
	if got := f.failover.ArrivalsElsewhere(); len(got) != 0 {
		t.Errorf("arrivals before the stream was read to its end: %v", got)
	}
	f.failover.Apply(nil, f.now)
	got := f.failover.ArrivalsElsewhere()
	arrival := got["job@1/0"]
	if len(got) != 1 || arrival.Domain != "third" || arrival.Record.GetArrival().GetFromDomain() != "home" {
		t.Errorf("arrivals: %v, want one of job@1/0 in third", got)
	}
}
