package ledger

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/record"
)

func transferRecord(task string, attempt uint32, from *record.ShardToken, toShard uint32, toDomain string) *record.Record {
	body := &record.Transfer{Task: task, Attempt: attempt, From: from, ToShard: toShard, ToDomain: toDomain}
	return &record.Record{Body: &record.Record_Transfer{Transfer: body}}
}

func TestTransferToAnotherDomain(t *testing.T) {
	Convey("Given a task whose first attempt is placed and then lost", t, func() {
		home := newStream()
		shard := failuredomain.ShardOf("job@1/0")
		So(home.apply("a", claimRecord(shard, 0)), ShouldEqual, Accepted)
		held := shardToken(shard, 1)
		So(home.apply("a", placementRecord("job@1/0", 1, held, held)), ShouldEqual, Accepted)

		Convey("it cannot be transferred while its attempt is open", func() {
			So(home.apply("a", transferRecord("job@1/0", 1, held, 0, "other")), ShouldEqual, AlreadyOpen)
		})
		So(home.apply("a", endRecord("job@1/0", 1, held, record.Outcome_OUTCOME_LOST)), ShouldEqual, Accepted)

		Convey("only the owner of its shard can transfer it", func() {
			So(home.apply("b", transferRecord("job@1/0", 1, held, 0, "other")), ShouldEqual, StaleToken)
		})
		Convey("a transfer must name the last attempt", func() {
			So(home.apply("a", transferRecord("job@1/0", 0, held, 0, "other")), ShouldEqual, WrongAttempt)
		})
		Convey("after the transfer it is neither placed in its home domain nor transferred again", func() {
			So(home.apply("a", transferRecord("job@1/0", 1, held, 0, "other")), ShouldEqual, Accepted)
			So(home.apply("a", placementRecord("job@1/0", 2, held, held)), ShouldEqual, AlreadyTransferred)
			So(home.apply("a", transferRecord("job@1/0", 1, held, 0, "third")), ShouldEqual, AlreadyTransferred)
			So(home.ledger.TransferredTo("job@1/0"), ShouldEqual, "other")
		})
		Convey("the receiving domain continues with the next attempt, and a repeated arrival has no effect", func() {
			So(home.apply("a", transferRecord("job@1/0", 1, held, 0, "other")), ShouldEqual, Accepted)
			arrival := home.ledger.ArrivalRecord("job@1/0", "home")
			other := newStream()
			So(other.apply("x", claimRecord(shard, 0)), ShouldEqual, Accepted)
			So(other.apply("x", arrival), ShouldEqual, Accepted)
			So(other.apply("x", placementRecord("job@1/0", 1, held, held)), ShouldEqual, WrongAttempt)
			So(other.apply("x", placementRecord("job@1/0", 2, held, held)), ShouldEqual, Accepted)
			So(other.apply("x", arrival), ShouldEqual, AlreadyArrived)
			So(other.ledger.Attempt("job@1/0").Open, ShouldBeTrue)
		})
	})
}
