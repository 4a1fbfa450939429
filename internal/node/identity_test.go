package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

func TestIncarnationAfterClockMovesBack(t *testing.T) {
	Convey("Given a process whose clock is behind that of an earlier process of the same node", t, func() {
		now := time.Now()
		e := newTestEngine(t, "a")
		old := entry(1, "a", 1, claimRecord(3, 0))
		old.Batch.Incarnation = 500

		Convey("it raises its incarnation above the one in the log before it writes anything", func() {
			e.handleDomainEntries([]journal.Delivery{old}, now)
			e.handleDomainEntries(nil, now)
			e.updateClaims(now)
			So(e.self.Incarnation, ShouldEqual, 501)
			So(e.members.Self().Incarnation, ShouldEqual, 501)
			So(e.replacedErr, ShouldBeNil)
		})
		Convey("it raises its incarnation above the one that a peer reports", func() {
			e.members.Merge(membership.Member{Node: "a", Incarnation: 700}, false, now)
			e.handleDomainEntries(nil, now)
			e.updateClaims(now)
			So(e.self.Incarnation, ShouldEqual, 701)
		})
		Convey("it exits if a higher incarnation appears after it has started to write", func() {
			e.handleDomainEntries(nil, now)
			e.updateClaims(now)
			e.handleDomainEntries([]journal.Delivery{old}, now)
			e.updateClaims(now)
			So(e.replacedErr, ShouldNotBeNil)
		})
	})
}

func TestLeavingEndpointIsPushedOnce(t *testing.T) {
	Convey("Given a node that learns from the VM list that an endpoint is leaving", t, func() {
		now := time.Now()
		first, second := newTestEngine(t, "a"), newTestEngine(t, "b")
		vm := platform.VM{ID: "e1", Kind: platform.EndpointVM, State: platform.Leaving, Service: "svc", Address: "10.0.0.9:1"}
		first.applyVMList([]platform.VM{vm}, now)
		second.applyVMList([]platform.VM{vm}, now)
		first.announceLeavingEndpoints(now)

		Convey("it requests a push at once, and only once", func() {
			So(len(first.pushRequests), ShouldEqual, 1)
			<-first.pushRequests
			first.announceLeavingEndpoints(now.Add(time.Second))
			So(len(first.pushRequests), ShouldEqual, 0)
		})
		Convey("a node that learned it from a peer does not push it again", func() {
			second.mergeView(first.view(membership.Recipient{}, now), now)
			second.announceLeavingEndpoints(now)
			So(len(second.pushRequests), ShouldEqual, 0)
		})
	})
}

func TestAbsentWorkerUnderNewOwner(t *testing.T) {
	Convey("Given a worker that was absent long before this node claimed its shard", t, func() {
		now := time.Now()
		e := newTestEngine(t, "a")
		e.handleDomainEntries(nil, now)
		vm := platform.VM{ID: "w1", Kind: platform.WorkerVM, State: platform.Live, FailureDomain: "north", Address: "10.0.0.8:1"}
		e.applyVMList([]platform.VM{vm}, now)
		e.applyVMList(nil, now)
		w := e.workerTable.Get("w1")
		claimed := now.Add(time.Hour)
		batch := &record.Batch{Node: "a", Incarnation: 1, Sequence: 1, Records: []*record.Record{claimRecord(w.Shard, 0)}}
		e.owner.Observe(e.ledger, e.ledger.Apply(1, batch, claimed), claimed, true)

		Convey("it counts as gone only after one task lease from the claim on", func() {
			So(e.goneAt(w), ShouldHappenAfter, claimed.Add(e.settings.Scheduling.TaskLease.Std()))
		})
	})
}
