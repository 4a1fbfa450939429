package claim

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/packed"
	"cactuswall.example/cactuswall/internal/store"
)

func record(r Record, offset store.Offset) []store.Record {
	value, err := packed.Encode(&r)
	if err != nil {
		panic(err)
	}
	return []store.Record{{Key: Key, Value: value, Offset: offset}}
}

func TestView(t *testing.T) {
	other := Record{Holder: "b-1", Node: "b", Address: "b:1", Epoch: 4}
	Convey("A candidate that reads the renewals of another owner", t, func() {
		v := NewView("a-1", "a", 0)
		v.Observe(record(other, 0), 1, 0)
		Convey("claims when they have stopped for a lease", func() {
			So(v.ShouldClaim(Lease-time.Millisecond), ShouldBeFalse)
			So(v.ShouldClaim(Lease), ShouldBeTrue)
			So(v.Next("a", "a:1").Epoch, ShouldEqual, 5)
		})
		Convey("claims at once after a release", func() {
			released := other
			released.Released = true
			v.Observe(record(released, 1), 2, time.Second)
			So(v.ShouldClaim(time.Second), ShouldBeTrue)
		})
		Convey("does not claim while the store is out of reach, nor before the owner could renew after that", func() {
			v.OutOfContact()
			So(v.ShouldClaim(time.Minute), ShouldBeFalse)
			v.Observe(nil, 1, time.Minute)
			So(v.ShouldClaim(time.Minute), ShouldBeFalse)
			So(v.ShouldClaim(time.Minute+AfterContact), ShouldBeTrue)
		})
		Convey("passes over an older epoch and what cannot be read", func() {
			So(v.Observe(record(Record{Holder: "c", Epoch: 3}, 1), 2, time.Second), ShouldEqual, 0)
			So(v.Observe([]store.Record{{Key: Key, Value: []byte("?"), Offset: 2}}, 3, time.Second), ShouldEqual, 1)
			newest, _ := v.Newest()
			So(newest.Epoch, ShouldEqual, 4)
		})
		Convey("waits for its turn by rank", func() {
			second := NewView("c-1", "c", 2)
			second.Observe(record(other, 0), 1, 0)
			So(second.ShouldClaim(Lease), ShouldBeFalse)
			So(second.ShouldClaim(Lease+2*rankDelay), ShouldBeTrue)
		})
	})
	Convey("A process claims at once what the former process of its node held", t, func() {
		v := NewView("b-2", "b", 7)
		v.Observe(record(other, 0), 1, 0)
		So(v.ShouldClaim(0), ShouldBeTrue)
	})
	Convey("An owner", t, func() {
		v := NewView("a-1", "a", 0)
		v.Observe(nil, 0, 0)
		r := v.Next("a", "a:1")
		v.Accepted(r, store.Appended{End: 1}, 10*time.Second, 10*time.Second+200*time.Millisecond)
		Convey("may decide for a lease from when it sent its record, and hold for longer", func() {
			So(v.MayDecide(10*time.Second+Lease-1), ShouldBeTrue)
			So(v.MayDecide(10*time.Second+Lease), ShouldBeFalse)
			So(v.MayHold(10*time.Second+HoldWithoutStore-1), ShouldBeTrue)
			So(v.MayHold(10*time.Second+HoldWithoutStore), ShouldBeFalse)
		})
		Convey("renews in time", func() {
			So(v.RenewalDue(10*time.Second), ShouldBeFalse)
			So(v.RenewalDue(10*time.Second+RenewEvery), ShouldBeTrue)
		})
		Convey("stops when it reads another's claim", func() {
			v.Observe(record(Record{Holder: "c-1", Epoch: 9}, 1), 2, 11*time.Second)
			So(v.Owns(), ShouldBeFalse)
			So(v.MayHold(11*time.Second), ShouldBeFalse)
		})
	})
	Convey("A new owner waits longer than any lease that a former owner can have extended", t, func() {
		const longest = 6 * time.Second
		const slowest = longest * 102 / 100
		v := NewView("a-1", "a", 0)
		v.Observe(record(other, 0), 1, 10*time.Second)
		Convey("who fell silent: it may have renewed leases until its own time without the store was over", func() {
			So(v.LeasesEnd(longest, 13*time.Second), ShouldBeGreaterThanOrEqualTo, 10*time.Second+HoldWithoutStore+slowest)
			Convey("and no longer, also when the store was away for everybody meanwhile", func() {
				So(v.LeasesEnd(longest, 20*time.Second), ShouldBeLessThan, 22*time.Second)
			})
		})
		Convey("who released the cell: it renewed nothing after that", func() {
			released := other
			released.Released = true
			v.Observe(record(released, 1), 2, 12*time.Second)
			So(v.LeasesEnd(longest, 12*time.Second), ShouldBeBetween, 12*time.Second+slowest, 19*time.Second)
		})
		Convey("who was the former process of the same node: it has ended by now", func() {
			restarted := NewView("b-2", "b", 0)
			restarted.Observe(record(other, 0), 1, 10*time.Second)
			So(restarted.LeasesEnd(longest, 11*time.Second), ShouldBeGreaterThanOrEqualTo, 11*time.Second+slowest)
		})
	})
}

func TestGivenUpClaim(t *testing.T) {
	Convey("An owner whose store was away too long has given up when a renewal is accepted after all", t, func() {
		v := NewView("a-1", "a", 2)
		v.Observe(nil, 0, 0)
		r := v.Next("a", "a:1")
		v.Accepted(r, store.Appended{End: 1}, 10*time.Second, 10*time.Second)
		v.Lose(r.Epoch)
		late := 15 * time.Second
		v.Accepted(r, store.Appended{End: 2}, late-50*time.Millisecond, late)
		Convey("it does not own the cell again under that epoch, so it renews no more", func() {
			So(v.Owns(), ShouldBeFalse)
			So(v.MayHold(late), ShouldBeFalse)
			So(v.RenewalDue(late+time.Hour), ShouldBeFalse)
		})
		Convey("it claims under the next epoch at once, and counts its own former leases in full", func() {
			So(v.ShouldClaim(late), ShouldBeTrue)
			So(v.LeasesEnd(6*time.Second, late), ShouldBeGreaterThanOrEqualTo, late+6*time.Second)
			next := v.Next("a", "a:1")
			So(next.Epoch, ShouldEqual, r.Epoch+1)
			v.Accepted(next, store.Appended{End: 3}, late, late)
			So(v.Owns(), ShouldBeTrue)
		})
		Convey("another node's claim that comes first stands", func() {
			v.Observe(record(Record{Holder: "c-1", Node: "c", Epoch: 9}, 2), 3, late)
			So(v.ShouldClaim(late), ShouldBeFalse)
		})
	})
}
