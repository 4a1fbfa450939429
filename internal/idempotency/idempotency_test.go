package idempotency

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

func TestTable(t *testing.T) {
	Convey("Given a key held by a first attempt", t, func() {
		table, key, now := NewTable(lifetime), KeyOf("s", "k"), time.Unix(1000, 0)
		first, second := Attempt{"n1", 1, 1}, Attempt{"n2", 1, 1}
		_, granted, begin := table.Apply(BeginRecord(key, first), now)
		So(granted && begin, ShouldBeTrue)

		Convey("a second attempt is refused, even after the first has run", func() {
			_, granted, _ = table.Apply(BeginRecord(key, second), now)
			So(granted, ShouldBeFalse)
			table.Apply(EndRecord(key, first, false), now)
			_, granted, _ = table.Apply(BeginRecord(key, second), now)
			So(granted, ShouldBeFalse)
		})
		Convey("a repeated begin record of the same attempt is granted again, so that a lost reply can be requested again", func() {
			_, granted, _ = table.Apply(BeginRecord(key, first), now)
			So(granted, ShouldBeTrue)
		})
		Convey("the key is free once the holder reports that the request did not run", func() {
			table.Apply(EndRecord(key, first, true), now)
			_, granted, _ = table.Apply(BeginRecord(key, second), now)
			So(granted, ShouldBeTrue)
		})
		Convey("only the holder can free the key", func() {
			table.Apply(EndRecord(key, second, true), now)
			_, granted, _ = table.Apply(BeginRecord(key, second), now)
			So(granted, ShouldBeFalse)
		})
		Convey("the key expires after its lifetime", func() {
			_, granted, _ = table.Apply(BeginRecord(key, second), now.Add(lifetime))
			So(granted, ShouldBeTrue)
			So(table.Len(), ShouldEqual, 1)
		})
		Convey("the same caller key gives a different key for another service", func() {
			So(KeyOf("other", "k"), ShouldNotEqual, key)
		})
	})
}

// reader is a node that reads the log stream.
type reader struct {
	table *Table
	next  int
}

// TestAtMostOneGrantPerLifetime lets two nodes read one stream at different speeds; a restarted node reads
// it from the beginning. No key may be granted to a second attempt within a lifetime unless the first
// attempt reported that the request did not run. The lifetime is measured from the time at which the first
// begin record of the holder was appended to the stream.
func TestAtMostOneGrantPerLifetime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []*record.Record
		readers := []*reader{{table: NewTable(lifetime)}, {table: NewTable(lifetime)}}
		now, number := time.Unix(1000, 0), uint64(0)
		holder := make(map[Key]Attempt)
		holderBegunAt := make(map[Key]time.Time)
		begunAt := make(map[uint64]time.Time)
		actedOn := make(map[uint64]bool)
		keys := []Key{KeyOf("s", "a"), KeyOf("s", "b")}
		drawReader := func(t *rapid.T) *reader { return readers[rapid.IntRange(0, 1).Draw(t, "reader")] }
		read := func(r *reader) {
			for ; r.next < len(stream); r.next++ {
				rec := stream[r.next]
				a, granted, begin := r.table.Apply(rec, now)
				// Only the node that made the attempt acts on the grant, only for the latest attempt, and only
				// on the first copy of its begin record.
				if !begin || !granted || a.Node != nodeName(readers, r) || a.Number != number || actedOn[number] {
					continue
				}
				actedOn[number] = true
				key := Key(rec.GetKeyBegin().GetKey())
				if previous, held := holder[key]; held && previous != a && now.Sub(holderBegunAt[key]) < lifetime {
					t.Fatalf("key %v was granted to attempts %v and %v within one lifetime", key, previous, a)
				}
				holder[key], holderBegunAt[key] = a, begunAt[number]
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				r := drawReader(t)
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
			"read":    func(t *rapid.T) { read(drawReader(t)) },
			"restart": func(t *rapid.T) { *drawReader(t) = reader{table: NewTable(lifetime)} },
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
