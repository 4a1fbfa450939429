package claim

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

// claimWithDetails returns a claim and its details as an owner appends them.
func claimWithDetails(r Record, d Details, offset store.Offset) []store.Record {
	d.Epoch = r.Epoch
	value, err := recordcodec.Encode(&d)
	if err != nil {
		panic(err)
	}
	return append([]store.Record{{Key: DetailsKey, Value: value, Offset: offset}}, encodedRecord(r, offset+1)...)
}

func sizedView(holder, node string, rank int, capacity int64) *View {
	v := NewView(holder, node, rank)
	v.SetCapacity(capacity)
	return v
}

// Small nodes owned cells that they could not serve, since only a hash of the name decided who claims first.
func TestSmallNodeClaimsAfterLargeNodes(t *testing.T) {
	const lastRank = 7
	held := Record{Holder: "o-1", Node: "o", Epoch: 4}
	released := held
	released.Released = true
	ofLargeOwner := Details{Capacity: 800, Largest: 800}
	for _, c := range []struct {
		branch  string
		records []store.Record
		endsAt  time.Duration // when a candidate without a delay claims
	}{
		{"there is no claim", nil, 0},
		{"the claim was released", claimWithDetails(released, ofLargeOwner, 0), 0},
		{"the claim has expired", claimWithDetails(held, ofLargeOwner, 0), LeaseDuration},
	} {
		Convey("If "+c.branch+",", t, func() {
			large, small := sizedView("l-1", "l", lastRank, 800), sizedView("s-1", "s", 0, 110)
			for _, v := range []*View{large, small} {
				v.Observe(c.records, 2, 0)
			}
			Convey("a large node claims after the delay of its rank only", func() {
				So(large.ShouldClaim(c.endsAt+lastRank*delayPerRank-1), ShouldBeFalse)
				So(large.ShouldClaim(c.endsAt+lastRank*delayPerRank), ShouldBeTrue)
			})
			Convey("a small node waits for all large ones, but not for much longer", func() {
				So(small.ShouldClaim(c.endsAt+lastRank*delayPerRank), ShouldBeFalse)
				So(small.ShouldClaim(c.endsAt+smallerNodeDelay), ShouldBeTrue)
				So(small.ShouldRelease(), ShouldBeFalse)
			})
		})
	}
}

// A cell without large nodes must not wait for any.
func TestNodesOfEqualCapacityClaimWithoutExtraDelay(t *testing.T) {
	for _, capacity := range []int64{0, 110, 400} {
		held := Record{Holder: "o-1", Node: "o", Epoch: 4}
		released := held
		released.Released = true
		details := Details{Capacity: capacity, Largest: capacity}
		Convey("A node that knows of no larger one claims", t, func() {
			v := sizedView("s-1", "s", 0, capacity)
			Convey("at once after a release", func() {
				v.Observe(claimWithDetails(released, details, 0), 2, 0)
				So(v.ShouldClaim(0), ShouldBeTrue)
			})
			Convey("as soon as the claim has expired", func() {
				v.Observe(claimWithDetails(held, details, 0), 2, 0)
				So(v.ShouldClaim(LeaseDuration), ShouldBeTrue)
			})
			Convey("at once if the previous process of its node held the claim", func() {
				next := sizedView("o-2", "o", 0, capacity)
				next.Observe(claimWithDetails(held, details, 0), 2, 0)
				So(next.ShouldRelease(), ShouldBeFalse)
				So(next.ShouldClaim(0), ShouldBeTrue)
			})
		})
	}
}

// After a restart of everything, the next process of a small owner claimed before any large node could.
func TestNextProcessOfSmallOwnerLeavesClaimToLargeNodes(t *testing.T) {
	Convey("A small owner that knew of a large node is killed, and its next process reads the claim:", t, func() {
		held := Record{Holder: "s-1", Node: "s", Address: "s:1", Epoch: 4}
		records := claimWithDetails(held, Details{Capacity: 110, Largest: 800}, 0)
		small, large := sizedView("s-2", "s", 0, 110), sizedView("l-2", "l", 2, 800)
		small.Observe(records, 2, 0)
		large.Observe(records, 2, 0)
		Convey("it releases the claim and does not claim itself", func() {
			So(small.ShouldRelease(), ShouldBeTrue)
			So(small.ShouldClaim(time.Hour), ShouldBeFalse)
		})
		Convey("no other node claims before the release", func() {
			So(large.ShouldRelease(), ShouldBeFalse)
			So(large.ShouldClaim(LeaseDuration-1), ShouldBeFalse)
			So(large.LeaseWait(6*time.Second, time.Second).End, ShouldBeGreaterThan, WorkerRenewalGrace+6*time.Second)
		})
		Convey("after the release the large node claims first, and the small one if it does not", func() {
			released := held
			released.Released = true
			small.Accepted(released, store.AppendResult{End: 3}, time.Second, time.Second)
			large.Observe(encodedRecord(released, 2), 3, time.Second)
			So(small.Owns(), ShouldBeFalse)
			So(small.ShouldRelease(), ShouldBeFalse)
			So(large.ShouldClaim(time.Second+2*delayPerRank), ShouldBeTrue)
			So(small.ShouldClaim(time.Second+2*delayPerRank), ShouldBeFalse)
			So(small.ShouldClaim(time.Second+smallerNodeDelay), ShouldBeTrue)
			So(large.LeaseWait(6*time.Second, time.Second).End, ShouldBeGreaterThan, 7*time.Second)
		})
		Convey("a large next process of the node claims at once", func() {
			v := sizedView("s-2", "s", 7, 800)
			v.Observe(records, 2, 0)
			So(v.ShouldRelease(), ShouldBeFalse)
			So(v.ShouldClaim(0), ShouldBeTrue)
		})
	})
}

// A small owner that had given up its claim claimed again before any large node could.
func TestSmallNodeReleasesClaimThatItAbandoned(t *testing.T) {
	for _, c := range []struct {
		largest  int64
		releases bool
	}{{800, true}, {110, false}} {
		Convey("An owner of 0.11 of a core abandons its claim:", t, func() {
			v := sizedView("s-1", "s", 0, 110)
			v.ApplyDetails(Details{Epoch: 1, Capacity: 110, Largest: c.largest})
			v.Observe(nil, 0, 0)
			r := v.NextClaim("s", "s:1")
			v.Accepted(r, store.AppendResult{End: 1}, 0, 0)
			So(v.ShouldRelease(), ShouldBeFalse)
			v.Abandon(r.Epoch)
			So(v.ShouldRelease(), ShouldEqual, c.releases)
			So(v.ShouldClaim(0), ShouldEqual, !c.releases)
		})
	}
}

// A build that stores no details must neither be taken for a small owner nor break the election.
func TestClaimWithoutDetailsHasUnknownCapacity(t *testing.T) {
	Convey("The claim of an earlier build follows a claim with details:", t, func() {
		v := sizedView("s-1", "s", 0, 110)
		v.Observe(claimWithDetails(Record{Holder: "l-1", Node: "l", Epoch: 4}, Details{Capacity: 800, Largest: 800}, 0), 2, 0)
		So(v.Details().Capacity, ShouldEqual, 800)
		v.Observe(encodedRecord(Record{Holder: "b-1", Node: "b", Epoch: 5}, 2), 3, 0)
		So(v.Details(), ShouldResemble, Details{})
		So(v.NextDetails(), ShouldResemble, Details{Epoch: 6, Capacity: 110, Largest: 800})
	})
}

// Guards against a division for a node that is far too small: it owned the cell first, divided the deployment before the larger
// nodes had asked for the cell, and jobs and workers stayed in cells that were not active any more.
func TestSmallOwnerWaitsForLargerNodesToAsk(t *testing.T) {
	const lastRank = 7
	latest := requestAfter + lastRank*delayPerRank
	for _, c := range []struct {
		name           string
		capacity       int64
		requests       []int64 // capacities of the nodes that request the cell, requestInterval apart
		settled        time.Duration
		largestSettled int64
	}{
		{"a node that suffices decides at once", 800, nil, 0, 800},
		{"one of unknown capacity, too", 0, nil, 0, 0},
		{"a small node waits for larger ones, and decides without any", 192, nil, latest + requestTransitTime + time.Second, 192},
		{"a request tells of a large node", 192, []int64{800}, latest, 800},
		{"after the request of a node that is a little larger comes that of a large one", 192, []int64{300, 800}, latest + requestInterval, 800},
	} {
		Convey(c.name, t, func() {
			v := sizedView("s-1", "s", 0, c.capacity)
			v.Observe(nil, 0, 0)
			v.Accepted(v.NextClaim("s", "s:1"), store.AppendResult{End: 1}, 0, 0)
			settledAt := time.Duration(-1)
			for now := time.Duration(0); now < time.Minute && settledAt < 0; now += 10 * time.Millisecond {
				for i, requested := range c.requests {
					if now == latest+time.Duration(i)*requestInterval {
						v.applyRequest(Request{Epoch: 1, Node: "l", Capacity: requested}, now)
					}
				}
				if Sufficient(v.LargestCapacity()) || v.LargerNodesHeard(now) {
					settledAt = now
				}
			}
			So(settledAt, ShouldBeBetweenOrEqual, c.settled-time.Second, c.settled)
			So(v.LargestCapacity(), ShouldEqual, c.largestSettled)
		})
	}
}
