package claim

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

// requestRecord returns a request as a node appends it.
func requestRecord(r Request, offset store.Offset) []store.Record {
	value, err := recordcodec.Encode(&r)
	if err != nil {
		panic(err)
	}
	return []store.Record{{Key: RequestKey, Value: value, Offset: offset}}
}

// renewUntil passes a renewal every second to a view until the given time, and returns the end of the topic.
func renewUntil(v *View, r Record, from store.Offset, until time.Duration) store.Offset {
	for at := time.Second; at <= until; at += time.Second {
		v.Observe(encodedRecord(r, from), from+1, at)
		from++
	}
	return from
}

var smallOwner = Record{Holder: "s-1", Node: "s", Epoch: 4}

// A small node that owned the cell kept it as long as it ran.
func TestLargeNodeRequestsCellOfSmallOwner(t *testing.T) {
	Convey("A node reads the claim of an owner with 0.11 of a core:", t, func() {
		records := claimWithDetails(smallOwner, Details{Capacity: 110, Largest: 110}, 0)
		Convey("a clearly larger node requests the cell when the owner has held it for some seconds", func() {
			v := sizedView("l-1", "l", 0, 800)
			v.Observe(records, 2, 0)
			end := renewUntil(v, smallOwner, 2, 2*time.Second)
			So(v.ShouldRequest(2*time.Second), ShouldBeFalse)
			end = renewUntil(v, smallOwner, end, 3*time.Second)
			So(v.ShouldRequest(3*time.Second), ShouldBeTrue)
			So(v.NextRequest(), ShouldResemble, Request{Epoch: 4, Node: "l", Capacity: 800})
			v.RequestAccepted(v.NextRequest(), store.AppendResult{End: end + 1}, 3*time.Second)
			So(v.End(), ShouldEqual, end+1)
			Convey("and again only after a while", func() {
				end = renewUntil(v, smallOwner, end+1, 6*time.Second)
				So(v.ShouldRequest(6*time.Second-1), ShouldBeFalse)
				So(v.ShouldRequest(6*time.Second), ShouldBeTrue)
			})
			Convey("but not if the owner does not renew, the claim is released, or the store is unreachable", func() {
				So(v.ShouldRequest(8*time.Second), ShouldBeFalse)
				renewUntil(v, smallOwner, end+1, 8*time.Second)
				So(v.ShouldRequest(8*time.Second), ShouldBeTrue)
				v.StoreUnreachable()
				So(v.ShouldRequest(8*time.Second), ShouldBeFalse)
				v.Observe(nil, 0, 8*time.Second)
				So(v.ShouldRequest(8*time.Second), ShouldBeFalse)
				released := smallOwner
				released.Released = true
				v.Observe(encodedRecord(released, v.End()), v.End()+1, 12*time.Second)
				So(v.ShouldRequest(12*time.Second), ShouldBeFalse)
			})
		})
		Convey("one of several large nodes requests it, the others wait for the effect", func() {
			v := sizedView("l-2", "l2", 0, 800)
			v.Observe(records, 2, 0)
			end := renewUntil(v, smallOwner, 2, 3*time.Second)
			v.Observe(requestRecord(Request{Epoch: 4, Node: "l1", Capacity: 800}, end), end+1, 3*time.Second)
			So(v.ShouldRequest(3*time.Second), ShouldBeFalse)
		})
		for _, capacity := range []int64{0, 110, 150} {
			Convey(fmt.Sprintf("a node of %d thousandths of a core never requests it", capacity), func() {
				v := sizedView("e-1", "e", 0, capacity)
				v.Observe(records, 2, 0)
				renewUntil(v, smallOwner, 2, 20*time.Second)
				So(v.ShouldRequest(20*time.Second), ShouldBeFalse)
			})
		}
	})
	Convey("The capacity of an owner of an earlier build is unknown, and nobody requests its cell", t, func() {
		v := sizedView("l-1", "l", 0, 800)
		v.Observe(encodedRecord(smallOwner, 0), 1, 0)
		renewUntil(v, smallOwner, 1, 20*time.Second)
		So(v.ShouldRequest(20*time.Second), ShouldBeFalse)
	})
}

// A request to a former owner must not make a later one give up the cell, and one request must not be answered twice.
func TestOwnerTakesEachRequestToItOnce(t *testing.T) {
	Convey("An owner under epoch 1", t, func() {
		v := sizedView("s-1", "s", 0, 110)
		v.Observe(nil, 0, 0)
		r := v.NextClaim("s", "s:1")
		v.Accepted(r, store.AppendResult{End: 1}, 0, 0)
		Convey("takes a request under its epoch once, and knows of the larger node from then on", func() {
			request := Request{Epoch: 1, Node: "l", Capacity: 800}
			v.Observe(requestRecord(request, 1), 2, 0)
			taken, ok := v.TakeRequest()
			So(ok, ShouldBeTrue)
			So(taken, ShouldResemble, request)
			_, ok = v.TakeRequest()
			So(ok, ShouldBeFalse)
			So(v.ReleaseDetails("l"), ShouldResemble, Details{Epoch: 1, Capacity: 110, Largest: 800, Successor: "l"})
		})
		Convey("takes no request under another epoch, nor one after its claim has ended", func() {
			v.Observe(requestRecord(Request{Epoch: 7, Node: "l", Capacity: 800}, 1), 2, 0)
			_, ok := v.TakeRequest()
			So(ok, ShouldBeFalse)
			v.Abandon(1)
			v.Observe(requestRecord(Request{Epoch: 1, Node: "l", Capacity: 800}, 2), 3, 0)
			_, ok = v.TakeRequest()
			So(ok, ShouldBeFalse)
		})
	})
}

// The former owner or a third node claimed before the node to which the cell was handed over, or nobody claimed at all.
func TestSuccessorClaimsBeforeOthersAfterHandOver(t *testing.T) {
	Convey("A release names a successor:", t, func() {
		released := smallOwner
		released.Released = true
		records := claimWithDetails(released, Details{Capacity: 110, Largest: 800, Successor: "l"}, 0)
		former, successor, third := sizedView("s-1", "s", 0, 110), sizedView("l-1", "l", 7, 800), sizedView("t-1", "t", 0, 800)
		for _, v := range []*View{former, successor, third} {
			v.Observe(records, 2, 0)
		}
		Convey("it claims at once", func() {
			So(successor.ShouldClaim(0), ShouldBeTrue)
		})
		Convey("if it does not, another large node claims after the head start, and then the former owner", func() {
			So(third.ShouldClaim(successorHeadStart-1), ShouldBeFalse)
			So(third.ShouldClaim(successorHeadStart), ShouldBeTrue)
			So(former.ShouldClaim(successorHeadStart+smallerNodeDelay-1), ShouldBeFalse)
			So(former.ShouldClaim(successorHeadStart+smallerNodeDelay), ShouldBeTrue)
		})
	})
}
