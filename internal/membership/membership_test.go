package membership

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	start   = time.Unix(1_000_000, 0)
	periods = Periods{SuspectAfter: 3 * time.Second, DeadAfter: 6 * time.Second, StableAfter: 12 * time.Second}
)

func row(node string, incarnation, heartbeat uint64) Member {
	return Member{Node: node, Incarnation: incarnation, FailureDomain: "d", Address: node, Heartbeat: heartbeat}
}

func newTestTable(node string) *Table { return NewTable(row(node, 1, 0), periods) }

func TestStates(t *testing.T) {
	Convey("Given a node that was heard of once", t, func() {
		table := newTestTable("a")
		table.Merge(row("b", 5, 1), true, start)
		at := func(d time.Duration) time.Time { return start.Add(d) }

		Convey("it is suspected before it is taken for dead", func() {
			So(table.StateOf("b", at(2*time.Second)), ShouldEqual, Live)
			So(table.StateOf("b", at(3*time.Second)), ShouldEqual, Suspect)
			So(table.StateOf("b", at(6*time.Second)), ShouldEqual, Dead)
			So(table.ConditionOf("b", at(6*time.Second)), ShouldEqual, Paused)
		})
		Convey("it is dead as soon as it is suspected when its address refuses connections", func() {
			table.Contact("b", Refused, 0, at(time.Second))
			So(table.StateOf("b", at(2*time.Second)), ShouldEqual, Live)
			So(table.StateOf("b", at(3*time.Second)), ShouldEqual, Dead)
			So(table.ConditionOf("b", at(3*time.Second)), ShouldEqual, Gone)
		})
		Convey("it is live but slow when it answers late, and unreachable when only peers hear of it", func() {
			table.Contact("b", Answered, time.Second, at(time.Second))
			So(table.ConditionOf("b", at(time.Second)), ShouldEqual, Slow)
			table.Contact("b", Silent, time.Second, at(2*time.Second))
			table.Merge(row("b", 5, 2), false, at(2*time.Second))
			So(table.StateOf("b", at(2*time.Second)), ShouldEqual, Live)
			So(table.ConditionOf("b", at(2*time.Second)), ShouldEqual, Unreachable)
		})
		Convey("a leaving holds for its incarnation, whatever peers repeat", func() {
			left := row("b", 5, 1)
			left.Leaving = true
			table.Merge(left, false, at(time.Second))
			table.Merge(row("b", 5, 9), false, at(time.Second))
			So(table.StateOf("b", at(time.Second)), ShouldEqual, Leaving)
			table.Merge(row("b", 6, 1), false, at(time.Second))
			So(table.StateOf("b", at(time.Second)), ShouldEqual, Live)
		})
		Convey("an older incarnation and a repeated heartbeat are no news", func() {
			table.Merge(row("b", 4, 99), false, at(5*time.Second))
			table.Merge(row("b", 5, 1), false, at(5*time.Second))
			So(table.StateOf("b", at(6*time.Second)), ShouldEqual, Dead)
		})
	})
}

func TestAbsurdWords(t *testing.T) {
	Convey("Given a peer whose clock or memory is damaged", t, func() {
		table := newTestTable("a")
		table.Merge(row("b", 5, 1), true, start)
		Convey("incarnations and heartbeats that use up the numbers are not believed", func() {
			So(table.Merge(row("b", MaxIncarnation, 1), false, start), ShouldBeFalse)
			So(table.Merge(row("b", 5, maxHeartbeat), false, start), ShouldBeFalse)
		})
		Convey("a heartbeat that is far too high does not silence the node itself", func() {
			table.Merge(row("b", 5, maxHeartbeat-1), false, start)
			table.Merge(row("b", 5, 2), true, start.Add(5*time.Second))
			So(table.StateOf("b", start.Add(6*time.Second)), ShouldEqual, Live)
		})
		Convey("a higher incarnation of the table's own node is remembered and changes no row", func() {
			table.Merge(row("a", 7, 1), false, start)
			So(table.ReplacedBy(), ShouldEqual, 7)
			So(table.Self().Incarnation, ShouldEqual, 1)
		})
	})
}

func TestFlapping(t *testing.T) {
	Convey("A node that comes back again and again takes longer and longer to count as stable", t, func() {
		table := newTestTable("a")
		now := start
		heartbeat := uint64(1)
		live := func(d time.Duration) {
			for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
				heartbeat++
				table.Merge(row("b", 5, heartbeat), true, now)
			}
		}
		live(13 * time.Second)
		So(table.StableIn("d", now), ShouldResemble, []string{"a", "b"})
		now = now.Add(10 * time.Second)
		live(13 * time.Second)
		So(table.StableIn("d", now), ShouldResemble, []string{"a"})
		live(12 * time.Second)
		So(table.StableIn("d", now), ShouldResemble, []string{"a", "b"})
	})
}

func TestViewLeavesOutWhatIsKnown(t *testing.T) {
	Convey("Given a node that has been known for long", t, func() {
		table, peer := newTestTable("a"), newTestTable("c")
		table.Merge(row("b", 5, 1), true, start)
		late := start.Add(time.Minute)

		Convey("its address is told only to a peer that asks for it", func() {
			for _, m := range table.View(Audience{FailureDomain: "d"}, late) {
				peer.Merge(m, m.Node == "a", late)
			}
			So(peer.StateOf("b", late), ShouldEqual, Dead)
			So(peer.Wanted(), ShouldResemble, []string{"b"})
			for _, m := range table.View(Audience{FailureDomain: "d", Wanted: peer.Wanted()}, late) {
				peer.Merge(m, m.Node == "a", late)
			}
			So(peer.StateOf("b", late), ShouldEqual, Live)
			So(peer.Wanted(), ShouldBeEmpty)
		})
	})
}
