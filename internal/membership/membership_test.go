package membership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	start    = time.Unix(1_000_000, 0)
	timeouts = Timeouts{SuspectAfter: 3 * time.Second, DeadAfter: 6 * time.Second, StableAfter: 12 * time.Second}
)

func row(node string, incarnation, heartbeat uint64) Member {
	return Member{Node: node, Incarnation: incarnation, FailureDomain: "d", Address: node, Heartbeat: heartbeat}
}

func newTestTable(node string) *Table { return NewTable(row(node, 1, 0), timeouts) }

func TestStates(t *testing.T) {
	Convey("Given a node that has sent one heartbeat", t, func() {
		table := newTestTable("a")
		table.Merge(row("b", 5, 1), true, start)
		at := func(d time.Duration) time.Time { return start.Add(d) }

		Convey("it is suspected before it is considered dead", func() {
			So(table.StateOf("b", at(2*time.Second)), ShouldEqual, Live)
			So(table.StateOf("b", at(3*time.Second)), ShouldEqual, Suspect)
			So(table.StateOf("b", at(6*time.Second)), ShouldEqual, Dead)
			So(table.ConditionOf("b", at(6*time.Second)), ShouldEqual, Paused)
		})
		Convey("it is dead as soon as it is suspected when its address refuses connections", func() {
			table.RecordCall("b", CallRefused, 0, at(time.Second))
			So(table.StateOf("b", at(2*time.Second)), ShouldEqual, Live)
			So(table.StateOf("b", at(3*time.Second)), ShouldEqual, Dead)
			So(table.ConditionOf("b", at(3*time.Second)), ShouldEqual, ProcessGone)
		})
		Convey("it is live but slow when it responds late, and unreachable when only peers receive its heartbeats", func() {
			table.RecordCall("b", CallSucceeded, time.Second, at(time.Second))
			So(table.ConditionOf("b", at(time.Second)), ShouldEqual, Slow)
			table.RecordCall("b", CallTimedOut, time.Second, at(2*time.Second))
			table.Merge(row("b", 5, 2), false, at(2*time.Second))
			So(table.StateOf("b", at(2*time.Second)), ShouldEqual, Live)
			So(table.ConditionOf("b", at(2*time.Second)), ShouldEqual, Unreachable)
		})
		Convey("a node that leaves stays leaving for its incarnation, even if peers send rows in which Leaving is not set", func() {
			leaving := row("b", 5, 1)
			leaving.Leaving = true
			table.Merge(leaving, false, at(time.Second))
			table.Merge(row("b", 5, 9), false, at(time.Second))
			So(table.StateOf("b", at(time.Second)), ShouldEqual, Leaving)
			table.Merge(row("b", 6, 1), false, at(time.Second))
			So(table.StateOf("b", at(time.Second)), ShouldEqual, Live)
		})
		Convey("an older incarnation and a repeated heartbeat are ignored", func() {
			table.Merge(row("b", 4, 99), false, at(5*time.Second))
			table.Merge(row("b", 5, 1), false, at(5*time.Second))
			So(table.StateOf("b", at(6*time.Second)), ShouldEqual, Dead)
		})
	})
}

func TestImplausibleRows(t *testing.T) {
	Convey("Given a peer that sends wrong numbers because of a faulty clock or memory", t, func() {
		table := newTestTable("a")
		table.Merge(row("b", 5, 1), true, start)
		Convey("incarnations and heartbeats that would use up the range of numbers are rejected", func() {
			So(table.Merge(row("b", MaxIncarnation, 1), false, start), ShouldBeFalse)
			So(table.Merge(row("b", 5, maxHeartbeat), false, start), ShouldBeFalse)
		})
		Convey("a node's own lower heartbeat is accepted after a peer sent one that is far too high", func() {
			table.Merge(row("b", 5, maxHeartbeat-1), false, start)
			table.Merge(row("b", 5, 2), true, start.Add(5*time.Second))
			So(table.StateOf("b", start.Add(6*time.Second)), ShouldEqual, Live)
		})
		Convey("a higher incarnation of the node itself is recorded and changes no row", func() {
			table.Merge(row("a", 7, 1), false, start)
			So(table.MaxOwnIncarnation(), ShouldEqual, 7)
			So(table.Self().Incarnation, ShouldEqual, 1)
		})
	})
}

func TestFlapping(t *testing.T) {
	Convey("The time until a node counts as stable grows each time that it flaps", t, func() {
		table := newTestTable("a")
		now := start
		heartbeat := uint64(1)
		sendHeartbeats := func(d time.Duration) {
			for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
				heartbeat++
				table.Merge(row("b", 5, heartbeat), true, now)
			}
		}
		sendHeartbeats(13 * time.Second)
		So(table.StableIn("d", now), ShouldResemble, []string{"a", "b"})
		now = now.Add(10 * time.Second)
		sendHeartbeats(13 * time.Second)
		So(table.StableIn("d", now), ShouldResemble, []string{"a"})
		sendHeartbeats(12 * time.Second)
		So(table.StableIn("d", now), ShouldResemble, []string{"a", "b"})
	})
}

func TestViewOmitsKnownAddresses(t *testing.T) {
	Convey("Given a table with a node that was added one minute ago", t, func() {
		table, peer := newTestTable("a"), newTestTable("c")
		table.Merge(row("b", 5, 1), true, start)
		later := start.Add(time.Minute)

		Convey("its address is sent only to a peer that requests it", func() {
			for _, m := range table.View(Recipient{FailureDomain: "d"}, later) {
				peer.Merge(m, m.Node == "a", later)
			}
			So(peer.StateOf("b", later), ShouldEqual, Dead)
			So(peer.Unresolved(), ShouldResemble, []string{"b"})
			for _, m := range table.View(Recipient{FailureDomain: "d", Requested: peer.Unresolved()}, later) {
				peer.Merge(m, m.Node == "a", later)
			}
			So(peer.StateOf("b", later), ShouldEqual, Live)
			So(peer.Unresolved(), ShouldBeEmpty)
		})
	})
}
