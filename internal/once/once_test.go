package once

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const lifetime = time.Minute

func TestKey(t *testing.T) {
	Convey("Given a key that one attempt has begun", t, func() {
		table, key, now := NewTable(lifetime), KeyOf("s", "k"), time.Unix(1000, 0)
		first, second := Attempt{"n1", 1, 1}, Attempt{"n2", 1, 1}
		_, granted, begin := table.Apply(BeginRecord(key, first), now)
		So(granted && begin, ShouldBeTrue)

		Convey("another attempt is refused, also after the first has run", func() {
			_, granted, _ = table.Apply(BeginRecord(key, second), now)
			So(granted, ShouldBeFalse)
			table.Apply(EndRecord(key, first, false), now)
			_, granted, _ = table.Apply(BeginRecord(key, second), now)
			So(granted, ShouldBeFalse)
		})
		Convey("a second copy of its record is granted again, so that a lost reply can be asked for", func() {
			_, granted, _ = table.Apply(BeginRecord(key, first), now)
			So(granted, ShouldBeTrue)
		})
		Convey("it is free once the attempt says that it has not run", func() {
			table.Apply(EndRecord(key, first, true), now)
			_, granted, _ = table.Apply(BeginRecord(key, second), now)
			So(granted, ShouldBeTrue)
		})
		Convey("only the attempt that holds it can free it", func() {
			table.Apply(EndRecord(key, second, true), now)
			_, granted, _ = table.Apply(BeginRecord(key, second), now)
			So(granted, ShouldBeFalse)
		})
		Convey("it is forgotten after its lifetime", func() {
			_, granted, _ = table.Apply(BeginRecord(key, second), now.Add(lifetime))
			So(granted, ShouldBeTrue)
			So(table.Len(), ShouldEqual, 1)
		})
		Convey("the same key of another service is another key", func() {
			So(KeyOf("other", "k"), ShouldNotEqual, key)
		})
	})
}

// reader is one node that reads the stream.
type reader struct {
	table *Table
	next  int
}

// TestOneGrantWithinALifetime lets nodes read one stream at their own pace and grant what they read. A
// node that restarts reads from the beginning. No key is granted twice within a lifetime unless the first
// attempt said that it had not run. The lifetime counts from when the attempt was begun.
func TestOneGrantWithinALifetime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []*record.Record
		readers := []*reader{{table: NewTable(lifetime)}, {table: NewTable(lifetime)}}
		now, number := time.Unix(1000, 0), uint64(0)
		holder := make(map[Key]Attempt)
		grantedAt := make(map[Key]time.Time)
		begunAt := make(map[uint64]time.Time)
		acted := make(map[uint64]bool)
		keys := []Key{KeyOf("s", "a"), KeyOf("s", "b")}
		pick := func(t *rapid.T) *reader { return readers[rapid.IntRange(0, 1).Draw(t, "reader")] }
		read := func(r *reader) {
			for ; r.next < len(stream); r.next++ {
				own := stream[r.next]
				a, granted, begin := r.table.Apply(own, now)
				// Only the node that was asked acts on the grant.
				if !begin || !granted || a.Node != nodeName(readers, r) || a.Number != number || acted[number] {
					continue
				}
				acted[number] = true
				key := Key(own.GetKeyBegin().GetKey())
				if last, held := holder[key]; held && last != a && now.Sub(grantedAt[key]) < lifetime {
					t.Fatalf("%v was granted to %v and %v", key, last, a)
				}
				holder[key], grantedAt[key] = a, begunAt[number]
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				r := pick(t)
				number++
				begunAt[number] = now
				a := Attempt{Node: nodeName(readers, r), Number: number}
				stream = append(stream, BeginRecord(rapid.SampledFrom(keys).Draw(t, "key"), a))
				if rapid.Bool().Draw(t, "in time") {
					read(r)
				}
			},
			"end": func(t *rapid.T) {
				key := rapid.SampledFrom(keys).Draw(t, "key")
				notRun := rapid.Bool().Draw(t, "not run")
				if a, held := holder[key]; held {
					stream = append(stream, EndRecord(key, a, notRun))
					if notRun {
						delete(holder, key)
					}
				}
			},
			"repeat": func(t *rapid.T) {
				if len(stream) > 0 {
					stream = append(stream, stream[rapid.IntRange(0, len(stream)-1).Draw(t, "copy")])
				}
			},
			"read":    func(t *rapid.T) { read(pick(t)) },
			"restart": func(t *rapid.T) { *pick(t) = reader{table: NewTable(lifetime)} },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			},
		})
	})
}

func nodeName(readers []*reader, r *reader) string {
	if readers[0] == r {
		return "n0"
	}
	return "n1"
}
