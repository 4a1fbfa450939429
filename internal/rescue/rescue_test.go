package rescue

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
	start    = time.Unix(1000, 0)
	homeNode = ledger.Writer{Node: "home-1", Incarnation: 1}
	rescuer  = ledger.Writer{Node: "other-1", Incarnation: 1}
)

// world holds the lost domain's stream and the receiving domain's ledger.
type world struct {
	now      time.Time
	offset   platform.Offset
	sequence map[ledger.Writer]uint64
	sent     map[uint64]time.Time
	rescue   *Case
	own      *ledger.Ledger
	// home replays the same stream as a node of the lost domain does.
	home *ledger.Ledger
}

func replay() *journal.Replay {
	return journal.NewReplay(journal.NewMetrics(metrics.NewSet(), "home"))
}

func newWorld() *world {
	w := &world{now: start, sequence: make(map[ledger.Writer]uint64), sent: make(map[uint64]time.Time), own: ledger.New(), home: ledger.New()}
	w.rescue = NewCase("home", "other", rescuer, claimLease, w, replay())
	return w
}

// Settle implements Settler.
func (w *world) Settle(b *record.Batch) (time.Time, bool) {
	return w.now, b.GetNode() == rescuer.Node
}

func (w *world) append(from ledger.Writer, records ...*record.Record) {
	w.offset++
	w.sequence[from]++
	b := &record.Batch{Node: from.Node, Incarnation: from.Incarnation, Sequence: w.sequence[from], Records: records}
	w.rescue.Take([]journal.Delivery{{Offset: w.offset, Batch: b}}, w.now)
	w.home.Apply(w.offset, b, w.now)
}

// step runs one decision and carries it out in both streams.
func (w *world) step(declared []task.Spec) Records {
	r := w.rescue.Decide(declared, w.own, w.now)
	if len(r.Lost) > 0 {
		w.append(rescuer, r.Lost...)
	}
	if len(r.Receiver) > 0 {
		w.sequence[ledger.Writer{Node: "own"}]++
		b := &record.Batch{Node: rescuer.Node, Incarnation: 1, Sequence: w.sequence[ledger.Writer{Node: "own"}], Records: r.Receiver}
		w.own.Apply(platform.Offset(b.Sequence), b, w.now)
	}
	return r
}

// count returns the number of records that a decision holds.
func count(r Records) int { return len(r.Lost) + len(r.Receiver) }

func claimAll() []*record.Record {
	var records []*record.Record
	for shard := range uint32(failuredomain.Shards) {
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

func TestCase(t *testing.T) {
	Convey("Given a domain whose node claimed all shards and fell silent", t, func() {
		w := newWorld()
		w.append(homeNode, claimAll()...)
		w.rescue.Take(nil, w.now)
		movable := specs(manifest.RunElsewhere, "job@1/0", "job@1/1")

		Convey("nothing is done while its lease may still hold", func() {
			w.now = start.Add(claimLease)
			So(count(w.step(movable)), ShouldEqual, 0)
		})
		Convey("nothing is done before the stream has been read to its end", func() {
			fresh := NewCase("home", "other", rescuer, claimLease, w, replay())
			So(count(fresh.Decide(movable, w.own, start.Add(time.Hour))), ShouldEqual, 0)
		})
		Convey("nothing is done when entries of the stream were lost", func() {
			fresh := NewCase("home", "other", rescuer, claimLease, w, replay())
			fresh.Take([]journal.Delivery{{Offset: 5, Gap: true}}, w.now)
			fresh.Take(nil, w.now)
			So(count(fresh.Decide(movable, w.own, start.Add(time.Hour))), ShouldEqual, 0)

			Convey("until a snapshot in the stream covers them", func() {
				state, err := w.home.Snapshot()
				So(err, ShouldBeNil)
				body := &record.DomainSnapshot{At: 5, State: state}
				batch := &record.Batch{Node: homeNode.Node, Records: []*record.Record{{Body: &record.Record_DomainSnapshot{DomainSnapshot: body}}}}
				fresh.Take([]journal.Delivery{{Offset: 6, Batch: batch}}, w.now)
				So(count(fresh.Decide(movable, w.own, w.now)), ShouldEqual, 0)
				So(fresh.Decide(movable, w.own, start.Add(time.Hour)).Lost, ShouldHaveLength, failuredomain.Shards)
			})
		})
		Convey("after its lease the waiting tasks move, once each", func() {
			w.now = start.Add(2 * claimLease)
			for range 4 {
				w.step(movable)
				w.now = w.now.Add(100 * time.Millisecond)
			}
			So(w.home.DepartedTo("job@1/0"), ShouldEqual, "other")
			So(w.own.Guests(), ShouldResemble, []string{"job@1/0", "job@1/1"})
			So(count(w.step(movable)), ShouldEqual, 0)

			Convey("and the shards have been released for the home nodes", func() {
				So(w.home.Claim(0).Released, ShouldBeTrue)
			})
		})
		Convey("tasks that wait for their home stay", func() {
			w.now = start.Add(2 * claimLease)
			So(w.step(specs(manifest.WaitHome, "job@1/0")).Receiver, ShouldBeEmpty)
			So(w.home.DepartedTo("job@1/0"), ShouldEqual, "")
		})
		Convey("a task with an open attempt stays", func() {
			shard := failuredomain.ShardOf("job@1/0")
			held := &record.ShardToken{Shard: shard, Token: uint64(w.home.Claim(shard).Token)}
			body := &record.Placement{Task: "job@1/0", Attempt: 1, Worker: "w", From: held, To: held}
			w.append(homeNode, &record.Record{Body: &record.Record_Placement{Placement: body}})
			w.now = start.Add(3 * claimLease)
			for range 4 {
				w.step(movable)
			}
			So(w.own.Guests(), ShouldResemble, []string{"job@1/1"})
		})
		Convey("a home node that comes back and claims again keeps what is left", func() {
			w.now = start.Add(2 * claimLease)
			w.step(movable)
			var claims []*record.Record
			for c := range w.home.Claims {
				body := &record.Claim{Shard: c.Shard, Replaces: uint64(c.Revision), LeaseMs: uint64(claimLease.Milliseconds())}
				claims = append(claims, &record.Record{Body: &record.Record_Claim{Claim: body}})
			}
			w.append(homeNode, claims...)
			So(count(w.step(movable)), ShouldEqual, 0)
			So(w.own.Guests(), ShouldBeEmpty)
		})
	})
}

func TestWatch(t *testing.T) {
	Convey("Given a watch over two domains", t, func() {
		watch := NewWatch(time.Minute)
		domains := []string{"a", "b"}
		live := map[string][]string{"a": {"a-1"}}

		Convey("a silent domain is lost only after the whole silence", func() {
			So(watch.Observe(domains, live, start), ShouldBeEmpty)
			So(watch.Observe(domains, live, start.Add(59*time.Second)), ShouldBeEmpty)
			So(watch.Observe(domains, live, start.Add(time.Minute)), ShouldResemble, []string{"b"})
		})
		Convey("a sign of life starts the silence anew", func() {
			watch.Observe(domains, live, start)
			watch.Observe(domains, map[string][]string{"a": {"a-1"}, "b": {"b-1"}}, start.Add(30*time.Second))
			So(watch.Observe(domains, live, start.Add(time.Minute)), ShouldBeEmpty)
		})
		Convey("the rescuer is a live node of another domain", func() {
			So(Rescuer("b", domains, live), ShouldEqual, "a-1")
			So(Rescuer("a", domains, live), ShouldEqual, "")
		})
	})
}
