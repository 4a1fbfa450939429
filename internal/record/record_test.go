package record_test

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/record"
)

func testBatch() *record.Batch {
	placement := &record.Placement{Task: "plan/0", Attempt: 1, Worker: "w", From: &record.ShardToken{Shard: 1, Token: 2}}
	return &record.Batch{Node: "de-1", Incarnation: 7, Sequence: 3, Records: []*record.Record{
		{Body: &record.Record_Placement{Placement: placement}},
		{Body: &record.Record_Claim{Claim: &record.Claim{Shard: 1}}},
	}}
}

func TestDecode(t *testing.T) {
	Convey("Decode", t, func() {
		data, err := record.Encode(testBatch())
		So(err, ShouldBeNil)
		Convey("returns the batch that Encode was given", func() {
			b, err := record.Decode(data)
			So(err, ShouldBeNil)
			So(b.GetRecords(), ShouldHaveLength, 2)
			So(b.GetRecords()[0].GetPlacement().GetFrom().GetToken(), ShouldEqual, 2)
		})
		Convey("rejects a newer schema, malformed data, empty data, and a batch that is too long", func() {
			// Field 1 is the schema version: tag 0x08 and the value.
			_, err := record.Decode(append([]byte{0x08, record.SchemaVersion + 1}, data[2:]...))
			So(errors.Is(err, record.ErrNewerSchema), ShouldBeTrue)
			for _, malformed := range [][]byte{nil, []byte("{}"), data[:len(data)-1], make([]byte, record.MaxBatchBytes+1)} {
				_, err := record.Decode(malformed)
				So(err, ShouldNotBeNil)
			}
		})
	})
}

// FuzzDecode checks that Decode does not panic on any input, and that a decoded batch can be encoded and
// decoded again.
func FuzzDecode(f *testing.F) {
	data, err := record.Encode(testBatch())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := record.Decode(data)
		if err != nil {
			return
		}
		if b.GetNode() == "" || b.GetSchema() != record.SchemaVersion {
			t.Fatalf("decoded a batch without a node name or with another schema version: %v", b)
		}
		encoded, err := record.Encode(b)
		if err != nil {
			t.Fatalf("a decoded batch cannot be encoded: %v", err)
		}
		if _, err := record.Decode(encoded); err != nil {
			t.Fatalf("a decoded batch cannot be decoded after it was encoded again: %v", err)
		}
	})
}
