package urgency

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestOrderOfJobsWithObjectives(t *testing.T) {
	job := func(priority int, age, remaining time.Duration) *Item {
		return &Item{Priority: priority, Age: age, Remaining: remaining, Objective: 9 * time.Second, HasObjective: true}
	}
	// An urgent job whose caller had given up took the capacity of jobs that could be on time.
	Convey("A job whose result is worth nothing comes after useful jobs of any priority, and before worthless ones of a lower one", t, func() {
		worthless := job(0, 40*time.Second, time.Second)
		So(Before(job(2, 0, 4*time.Second), worthless), ShouldBeTrue)
		So(Before(job(2, 15*time.Second, 4*time.Second), worthless), ShouldBeTrue)
		So(Before(worthless, job(2, 40*time.Second, time.Second)), ShouldBeTrue)
		So(Before(&Item{LongRunning: true, Priority: 2, HasObjective: true, Age: time.Minute}, worthless), ShouldBeTrue)
	})
	Convey("Without an objective it comes last in its priority only", t, func() {
		unknown := job(0, 40*time.Second, time.Second)
		unknown.HasObjective = false
		So(Before(unknown, job(2, 0, 4*time.Second)), ShouldBeTrue)
	})
	// A late job lost what its first steps had used, because the next one waited behind new jobs until the result was worthless.
	Convey("During a backlog a late job that has begun comes before new jobs that can be on time, and after begun ones that can be", t, func() {
		begun, onTime, newer := job(0, 15*time.Second, 2*time.Second), job(0, 2*time.Second, 2*time.Second), job(0, 0, 4*time.Second)
		begun.FinishFirst, onTime.FinishFirst, newer.NewestFirst = true, true, true
		So(Before(begun, newer), ShouldBeTrue)
		So(Before(onTime, begun), ShouldBeTrue)
		Convey("unless it will probably be worthless, or there is no backlog", func() {
			doubtful := job(0, 23*time.Second, 4500*time.Millisecond)
			doubtful.FinishFirst = true
			So(Before(newer, doubtful), ShouldBeTrue)
			begun.FinishFirst, newer.NewestFirst = false, false
			So(Before(newer, begun), ShouldBeTrue)
		})
	})
	Convey("Of late jobs, those that are done in time only if they take no longer than estimated come last", t, func() {
		So(Before(job(0, 15*time.Second, 4*time.Second), job(0, 23*time.Second, 4500*time.Millisecond)), ShouldBeTrue)
		So(Before(job(0, 21*time.Second, 4500*time.Millisecond), job(0, 15*time.Second, 4*time.Second)), ShouldBeTrue)
	})
}

// Guards against late work that waits without bound while new work keeps arriving, and against late work that takes more than its
// part from work that can be on time.
func TestShares(t *testing.T) {
	late := (&Item{Age: 15 * time.Second, Remaining: time.Second, Objective: 9 * time.Second, HasObjective: true}).Rank()
	onTime := (&Item{Remaining: time.Second, Objective: 9 * time.Second, HasObjective: true}).Rank()
	share := Share{Priority: 0}
	rapid.Check(t, func(t *rapid.T) {
		var s Shares
		lateWork, firstWork, largest := 0.0, 0.0, 0.0
		rounds := rapid.IntRange(10, 400).Draw(t, "rounds")
		for range rounds {
			promotions := s.Promotions()
			work := rapid.Float64Range(1, 1000).Draw(t, "work")
			largest = max(largest, work)
			var r Round
			if promoted, _ := promotions.Promote(share, &late, false); s.Due() && promoted {
				lateWork += work
				r.Add(&late, work, 1000)
				r.Add(&onTime, 0, 1000)
			} else {
				firstWork += work
				r.Add(&onTime, work, 1000)
				r.Add(&late, 0, 1000)
			}
			s.Settle(share, r)
			// Each round is one start. Late work is behind by at most one start, and ahead by at most one.
			if behind := lateShare*(lateWork+firstWork) - lateWork; behind > largest || -behind > largest {
				t.Fatalf("late work %v of %v", lateWork, lateWork+firstWork)
			}
		}
	})
	Convey("Late work is promoted only while it waits beside other work, in its own priority and capacity", t, func() {
		var s Shares
		So(s.Due(), ShouldBeFalse)
		s.Settle(share, Round{FirstWork: 80, FirstWaits: true})
		So(s.Due(), ShouldBeFalse)
		s.Settle(share, Round{FirstWork: 80, LateWaits: true, MaxCredit: 1000})
		So(s.Due(), ShouldBeTrue)
		promotions := s.Promotions()
		promote := func(share Share, rank *Rank) bool {
			promoted, _ := promotions.Promote(share, rank, false)
			return promoted
		}
		So(promote(share, &late), ShouldBeTrue)
		So(promote(share, &onTime), ShouldBeFalse)
		So(promote(Share{Priority: 1}, &late), ShouldBeFalse)
		So(promote(Share{BestEffort: true}, &late), ShouldBeFalse)
		withoutObjective := (&Item{Age: 15 * time.Second, Remaining: time.Second, Objective: 9 * time.Second}).Rank()
		So(promote(share, &withoutObjective), ShouldBeFalse)
	})
	Convey("A late item without a worker does not give those after it the right to all capacity for long", t, func() {
		var s Shares
		for range 1000 {
			s.Settle(share, Round{FirstWork: 80, LateWaits: true, MaxCredit: 100})
		}
		s.Settle(share, Round{LateWork: 100 / (1 - lateShare), FirstWaits: true, LateWaits: true, MaxCredit: 100})
		So(s.Due(), ShouldBeFalse)
	})
	Convey("Late items that come one by one get no more than their part", t, func() {
		var s Shares
		lateWork, firstWork := 0.0, 0.0
		for range 1000 {
			promotions := s.Promotions()
			if promoted, _ := promotions.Promote(share, &late, false); promoted {
				lateWork += 10
				s.Settle(share, Round{LateWork: 10, FirstWaits: true})
			}
			firstWork += 10
			s.Settle(share, Round{FirstWork: 10, FirstWaits: true, LateWaits: true, MaxCredit: 10})
		}
		So(lateWork, ShouldBeLessThanOrEqualTo, lateShare*(lateWork+firstWork)+10)
		So(lateWork, ShouldBeGreaterThanOrEqualTo, lateShare*(lateWork+firstWork)-20)
	})
	Convey("Every second late item is the oldest one, which keeps its turn until it finds a worker, and is not held back by the number of others", t, func() {
		var s Shares
		promote := func(oldest bool) (bool, bool) {
			promotions := s.Promotions()
			for range maxPromoted {
				_, _ = promotions.Promote(share, &late, false)
			}
			return promotions.Promote(share, &late, oldest)
		}
		s.Settle(share, Round{FirstWork: 8000, LateWaits: true, MaxCredit: 1000})
		promoted, _ := promote(true)
		So(promoted, ShouldBeFalse) // the turn of those with least slack
		s.Settle(share, Round{LateWork: 1, BeganOther: true, LateWaits: true, MaxCredit: 1000})
		for range 3 {
			promoted, first := promote(true)
			So([]bool{promoted, first}, ShouldResemble, []bool{true, true})
			s.Settle(share, Round{LateWork: 1, BeganOther: true, LateWaits: true, MaxCredit: 1000})
		}
		s.Settle(share, Round{LateWork: 1, BeganOldest: true, BeganOther: true, LateWaits: true, MaxCredit: 1000})
		promoted, _ = promote(true)
		So(promoted, ShouldBeFalse)
	})
	Convey("The order is total, which sorting relies on", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			items := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Rank {
				i := Item{Priority: rapid.IntRange(0, 2).Draw(t, "p"), LongRunning: rapid.Bool().Draw(t, "l"), Interrupted: rapid.IntRange(0, 9).Draw(t, "i") == 0,
					NewestFirst: rapid.Bool().Draw(t, "n"), FinishFirst: rapid.Bool().Draw(t, "f"), HasObjective: rapid.Bool().Draw(t, "o"),
					Age: time.Duration(rapid.IntRange(0, 40).Draw(t, "age")) * time.Second, Remaining: time.Duration(rapid.IntRange(0, 9).Draw(t, "rem")) * time.Second,
					Objective: 9 * time.Second, JobCPU: float64(rapid.IntRange(0, 3).Draw(t, "cpu"))}
				return i.Rank()
			}), 3, 30).Draw(t, "items")
			for _, a := range items {
				for _, b := range items {
					if Compare(&a, &b) != -Compare(&b, &a) {
						t.Fatalf("%+v, %+v", a, b)
					}
					for _, c := range items {
						if Compare(&a, &b) < 0 && Compare(&b, &c) < 0 && Compare(&a, &c) >= 0 {
							t.Fatalf("%+v, %+v, %+v", a, b, c)
						}
					}
				}
			}
		})
	})
}
