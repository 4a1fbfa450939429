package evacuation

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/store"
)

func record(offset int, key, value string) store.Record {
	r := store.Record{Key: key, Offset: store.Offset(offset)}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

func kinds(changes []Change) []string {
	var list []string
	for _, c := range changes {
		switch {
		case c.Ignored != "":
			list = append(list, c.Domain+" "+string(c.Ignored))
		case c.Active:
			list = append(list, c.Domain+" begins")
		default:
			list = append(list, c.Domain+" ends")
		}
	}
	return list
}

// Guards against requests that have an effect although they are invalid or repeated, and against records that are counted
// twice because two reads return them.
func TestTracker(t *testing.T) {
	for _, c := range []struct {
		name    string
		pages   [][]store.Record
		changes []string
		domains []string
	}{
		{"a request, and its withdrawal later", [][]store.Record{{record(0, "evacuate/a", "{}")}, {record(1, "evacuate/a", "")}},
			[]string{"a begins", "a ends"}, nil},
		{"two failure domains", [][]store.Record{{record(0, "evacuate/a", "{}"), record(1, "evacuate/b", ` {"by":"x"}`)}},
			[]string{"a begins", "b begins"}, []string{"a", "b"}},
		{"a request written twice", [][]store.Record{{record(0, "evacuate/a", "{}")}, {record(1, "evacuate/a", "{}")}},
			[]string{"a begins", "a repeated"}, []string{"a"}},
		{"a request that is withdrawn before it is read", [][]store.Record{{record(0, "evacuate/a", "{}"), record(1, "evacuate/a", "")}},
			[]string{"a withdrawn_unread"}, nil},
		{"a withdrawal without a request", [][]store.Record{{record(0, "evacuate/a", "")}}, []string{"a withdrawal_of_none"}, nil},
		{"a value that is no object", [][]store.Record{{record(0, "evacuate/a", "[]"), record(1, "evacuate/b", "{"), record(2, "evacuate/a", "null")}},
			[]string{"a malformed", "b malformed", "a malformed"}, nil},
		{"a malformed value for an evacuated domain", [][]store.Record{{record(0, "evacuate/a", "{}")}, {record(1, "evacuate/a", "x")}},
			[]string{"a begins", "a malformed"}, []string{"a"}},
		{"a key without a domain", [][]store.Record{{record(0, "evacuate/", "{}")}}, []string{" no_domain"}, nil},
		{"a domain that does not exist applies if workers register there",
			[][]store.Record{{record(0, "evacuate/zz", "{}")}}, []string{"zz unknown_domain"}, []string{"zz"}},
		{"records of other keys", [][]store.Record{{record(0, "config", "{}"), record(1, "evacuated", "{}")}}, nil, nil},
		{"records that were read before", [][]store.Record{{record(0, "evacuate/a", "{}"), record(1, "evacuate/b", "x")}, {record(0, "evacuate/a", "{}"), record(1, "evacuate/b", "x")}},
			[]string{"a begins", "b malformed"}, []string{"a"}},
	} {
		Convey("Given "+c.name, t, func() {
			tracker := NewTracker([]string{"a", "b"})
			var changes []string
			for _, page := range c.pages {
				changes = append(changes, kinds(tracker.Apply(page, page[len(page)-1].Offset+1))...)
			}
			So(changes, ShouldResemble, c.changes)
			So(tracker.Set().Domains(), ShouldResemble, c.domains)
		})
	}
}

// Guards against an evacuation that never ends, or ends by itself, because the history between the request and its withdrawal
// was dropped.
func TestTrackerRelist(t *testing.T) {
	Convey("Given the request of two evacuations", t, func() {
		tracker := NewTracker(nil)
		tracker.Apply([]store.Record{record(3, "evacuate/a", "{}"), record(4, "evacuate/b", "{}")}, 5)
		Convey("one that is not listed any more has ended", func() {
			So(kinds(tracker.Relist([]store.Record{record(4, "evacuate/b", "{}"), record(2, "config", "{}")}, 9)), ShouldResemble, []string{"a ends"})
			So(tracker.Set().Domains(), ShouldResemble, []string{"b"})
		})
		Convey("one that is listed as a deletion has ended", func() {
			So(kinds(tracker.Relist([]store.Record{record(4, "evacuate/b", "{}"), record(7, "evacuate/a", "")}, 9)), ShouldResemble, []string{"a ends"})
		})
		Convey("a request that is listed for the first time takes effect, and is not reported again when it is read", func() {
			c := record(8, "evacuate/c", "{}")
			list := []store.Record{record(3, "evacuate/a", "{}"), record(4, "evacuate/b", "{}"), c}
			So(kinds(tracker.Relist(list, 9)), ShouldResemble, []string{"c begins"})
			So(tracker.Apply([]store.Record{c}, 9), ShouldBeEmpty)
			So(tracker.Relist(list, 9), ShouldBeEmpty)
		})
		Convey("a request that another read has found after the listing began stays", func() {
			tracker.Apply([]store.Record{record(9, "evacuate/c", "{}")}, 10)
			So(kinds(tracker.Relist(nil, 9)), ShouldResemble, []string{"a ends", "b ends"})
			So(tracker.Set().Domains(), ShouldResemble, []string{"c"})
		})
		Convey("a record that was written during the listing is left to the next read", func() {
			late := record(9, "evacuate/c", "{}")
			So(tracker.Relist([]store.Record{record(3, "evacuate/a", "{}"), record(4, "evacuate/b", "{}"), late}, 9), ShouldBeEmpty)
			So(kinds(tracker.Apply([]store.Record{late}, 10)), ShouldResemble, []string{"c begins"})
		})
	})
}

func TestViewUsable(t *testing.T) {
	Convey("A view is usable until its age exceeds what the bound leaves", t, func() {
		v := &View{ConfirmedAt: time.Hour}
		maxAge := MaxAge(5 * time.Second)
		So(maxAge, ShouldEqual, 3500*time.Millisecond)
		So(v.Usable(time.Hour+maxAge, maxAge), ShouldBeTrue)
		So(v.Usable(time.Hour+maxAge+1, maxAge), ShouldBeFalse)
		So(v.Usable(2*time.Hour, MaxAge(0)), ShouldBeTrue)
	})
}
