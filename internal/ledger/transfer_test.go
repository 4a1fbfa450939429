package ledger

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/record"
)

func give(task string, attempt uint32, from *record.ShardToken, toShard uint32, toDomain string) *record.Record {
	body := &record.Transfer{Task: task, Attempt: attempt, From: from, ToShard: toShard, ToDomain: toDomain}
	return &record.Record{Body: &record.Record_Transfer{Transfer: body}}
}

func TestTransferToAnotherDomain(t *testing.T) {
	Convey("Given a waiting task that was lost once", t, func() {
		home := newStream()
		shard := failuredomain.ShardOf("job@1/0")
		So(home.apply("a", claim(shard, 0)), ShouldEqual, Accepted)
		held := token(shard, 1)
		So(home.apply("a", place("job@1/0", 1, held, held)), ShouldEqual, Accepted)

		Convey("it cannot be given away while its attempt is open", func() {
			So(home.apply("a", give("job@1/0", 1, held, 0, "other")), ShouldEqual, AlreadyOpen)
		})
		So(home.apply("a", end("job@1/0", 1, held, record.Outcome_OUTCOME_LOST)), ShouldEqual, Accepted)

		Convey("only the owner of its shard can give it away", func() {
			So(home.apply("b", give("job@1/0", 1, held, 0, "other")), ShouldEqual, StaleToken)
		})
		Convey("a transfer must name the last attempt", func() {
			So(home.apply("a", give("job@1/0", 0, held, 0, "other")), ShouldEqual, WrongAttempt)
		})
		Convey("once given away it is never placed at home again, nor given away twice", func() {
			So(home.apply("a", give("job@1/0", 1, held, 0, "other")), ShouldEqual, Accepted)
			So(home.apply("a", place("job@1/0", 2, held, held)), ShouldEqual, AlreadyDeparted)
			So(home.apply("a", give("job@1/0", 1, held, 0, "third")), ShouldEqual, AlreadyDeparted)
			So(home.ledger.DepartedTo("job@1/0"), ShouldEqual, "other")
		})
		Convey("the receiving domain goes on with the next attempt, and a repeated arrival changes nothing", func() {
			So(home.apply("a", give("job@1/0", 1, held, 0, "other")), ShouldEqual, Accepted)
			arrival := home.ledger.Arrival("job@1/0", "home")
			other := newStream()
			So(other.apply("x", claim(shard, 0)), ShouldEqual, Accepted)
			So(other.apply("x", arrival), ShouldEqual, Accepted)
			So(other.apply("x", place("job@1/0", 1, held, held)), ShouldEqual, WrongAttempt)
			So(other.apply("x", place("job@1/0", 2, held, held)), ShouldEqual, Accepted)
			So(other.apply("x", arrival), ShouldEqual, AlreadyArrived)
			So(other.ledger.Attempt("job@1/0").Open, ShouldBeTrue)
		})
	})
}
