package claim

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

func encodedRecord(r Record, offset store.Offset) []store.Record {
	value, err := recordcodec.Encode(&r)
	if err != nil {
		panic(err)
	}
	return []store.Record{{Key: Key, Value: value, Offset: offset}}
}

func TestView(t *testing.T) {
	other := Record{Holder: "b-1", Node: "b", Address: "b:1", Epoch: 4}
	Convey("A candidate that reads the renewals of another owner", t, func() {
		v := NewView("a-1", "a", 0)
		v.Observe(encodedRecord(other, 0), 1, 0)
		Convey("claims when no renewal has been read for a lease", func() {
			So(v.ShouldClaim(LeaseDuration-time.Millisecond), ShouldBeFalse)
			So(v.ShouldClaim(LeaseDuration), ShouldBeTrue)
			So(v.NextClaim("a", "a:1").Epoch, ShouldEqual, 5)
		})
		Convey("claims at once after a release", func() {
			released := other
			released.Released = true
			v.Observe(encodedRecord(released, 1), 2, time.Second)
			So(v.ShouldClaim(time.Second), ShouldBeTrue)
		})
		Convey("does not claim while the store is unreachable, nor until the owner has had time to renew afterwards", func() {
			v.StoreUnreachable()
			So(v.ShouldClaim(time.Minute), ShouldBeFalse)
			v.Observe(nil, 1, time.Minute)
			So(v.ShouldClaim(time.Minute), ShouldBeFalse)
			So(v.ShouldClaim(time.Minute+ReconnectDelay), ShouldBeTrue)
		})
		Convey("ignores older epochs and records that cannot be decoded", func() {
			So(v.Observe(encodedRecord(Record{Holder: "c", Epoch: 3}, 1), 2, time.Second), ShouldEqual, 0)
			So(v.Observe([]store.Record{{Key: Key, Value: []byte("?"), Offset: 2}}, 3, time.Second), ShouldEqual, 1)
			latest, _ := v.Latest()
			So(latest.Epoch, ShouldEqual, 4)
		})
		Convey("waits longer at a higher rank", func() {
			second := NewView("c-1", "c", 2)
			second.Observe(encodedRecord(other, 0), 1, 0)
			So(second.ShouldClaim(LeaseDuration), ShouldBeFalse)
			So(second.ShouldClaim(LeaseDuration+2*delayPerRank), ShouldBeTrue)
		})
	})
	Convey("A process claims at once if the previous process of its node held the claim", t, func() {
		v := NewView("b-2", "b", 7)
		v.Observe(encodedRecord(other, 0), 1, 0)
		So(v.ShouldClaim(0), ShouldBeTrue)
	})
	Convey("An owner", t, func() {
		v := NewView("a-1", "a", 0)
		v.Observe(nil, 0, 0)
		r := v.NextClaim("a", "a:1")
		v.Accepted(r, store.AppendResult{End: 1}, 10*time.Second, 10*time.Second+200*time.Millisecond)
		Convey("may decide for a lease after it sent its record, and renew worker leases for longer", func() {
			So(v.MayDecide(10*time.Second+LeaseDuration-1), ShouldBeTrue)
			So(v.MayDecide(10*time.Second+LeaseDuration), ShouldBeFalse)
			So(v.MayRenewWorkerLeases(10*time.Second+WorkerRenewalGrace-1), ShouldBeTrue)
			So(v.MayRenewWorkerLeases(10*time.Second+WorkerRenewalGrace), ShouldBeFalse)
		})
		Convey("renews its claim after RenewEvery", func() {
			So(v.RenewalDue(10*time.Second), ShouldBeFalse)
			So(v.RenewalDue(10*time.Second+RenewInterval), ShouldBeTrue)
		})
		Convey("loses ownership when it reads another process's claim", func() {
			v.Observe(encodedRecord(Record{Holder: "c-1", Epoch: 9}, 1), 2, 11*time.Second)
			So(v.Owns(), ShouldBeFalse)
			So(v.MayRenewWorkerLeases(11*time.Second), ShouldBeFalse)
		})
	})
	Convey("A new owner waits until every lease that a previous owner can have renewed has expired:", t, func() {
		const maxLease = 6 * time.Second
		const maxLeaseOnSlowClock = maxLease * 102 / 100
		v := NewView("a-1", "a", 0)
		v.Observe(encodedRecord(other, 0), 1, 10*time.Second)
		Convey("an owner whose renewals are no longer read may have renewed leases for WorkerRenewalGrace", func() {
			So(v.LeaseWait(maxLease, 13*time.Second).End, ShouldBeGreaterThanOrEqualTo, 10*time.Second+WorkerRenewalGrace+maxLeaseOnSlowClock)
			Convey("but not for longer, even if no node could reach the store", func() {
				So(v.LeaseWait(maxLease, 20*time.Second).End, ShouldBeLessThan, 22*time.Second)
			})
		})
		Convey("an owner that released the cell renewed nothing after that", func() {
			released := other
			released.Released = true
			v.Observe(encodedRecord(released, 1), 2, 12*time.Second)
			So(v.LeaseWait(maxLease, 12*time.Second).End, ShouldBeBetween, 12*time.Second+maxLeaseOnSlowClock, 19*time.Second)
		})
		Convey("the previous process of the same node has exited by now", func() {
			restarted := NewView("b-2", "b", 0)
			restarted.Observe(encodedRecord(other, 0), 1, 10*time.Second)
			So(restarted.LeaseWait(maxLease, 11*time.Second).End, ShouldBeGreaterThanOrEqualTo, 11*time.Second+maxLeaseOnSlowClock)
		})
	})
}

func TestRenewalAcceptedAfterClaimWasAbandoned(t *testing.T) {
	Convey("An owner abandons its claim while the store is unreachable, and then a late renewal is accepted:", t, func() {
		v := NewView("a-1", "a", 2)
		v.Observe(nil, 0, 0)
		r := v.NextClaim("a", "a:1")
		v.Accepted(r, store.AppendResult{End: 1}, 10*time.Second, 10*time.Second)
		v.Abandon(r.Epoch)
		late := 15 * time.Second
		v.Accepted(r, store.AppendResult{End: 2}, late-50*time.Millisecond, late)
		Convey("it does not own the cell under that epoch again and sends no more renewals", func() {
			So(v.Owns(), ShouldBeFalse)
			So(v.MayRenewWorkerLeases(late), ShouldBeFalse)
			So(v.RenewalDue(late+time.Hour), ShouldBeFalse)
		})
		Convey("it claims at once under the next epoch and waits until the leases that it renewed earlier have expired", func() {
			So(v.ShouldClaim(late), ShouldBeTrue)
			So(v.LeaseWait(6*time.Second, late).End, ShouldBeGreaterThanOrEqualTo, late+6*time.Second)
			next := v.NextClaim("a", "a:1")
			So(next.Epoch, ShouldEqual, r.Epoch+1)
			v.Accepted(next, store.AppendResult{End: 3}, late, late)
			So(v.Owns(), ShouldBeTrue)
		})
		Convey("it does not claim if another node has claimed first", func() {
			v.Observe(encodedRecord(Record{Holder: "c-1", Node: "c", Epoch: 9}, 2), 3, late)
			So(v.ShouldClaim(late), ShouldBeFalse)
		})
	})
}
