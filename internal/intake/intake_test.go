package intake

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var testLimits = BudgetLimits{Bytes: 4000, SmallBytes: 50, Stall: 10, ProgressBytes: 100, MaxWait: 100, MaxWaiting: 40}

// oracle repeats what each request should hold, by simpler means than the Budget.
type oracle struct {
	budget *Budget
	now    time.Duration
	open   []*Request
	held   map[*Request]int64
}

func newOracle() *oracle {
	return &oracle{budget: NewBudget(testLimits), held: make(map[*Request]int64)}
}

// step takes a random action and returns an error if the budget breaks a rule.
func (o *oracle) step(choose func(n int) int) error {
	o.now += time.Duration(choose(8))
	var r *Request
	if len(o.open) > 0 {
		r = o.open[choose(len(o.open))]
	}
	switch action := choose(10); {
	case r == nil || action < 3:
		bytes := int64([]int{1, 50, 51, 700, 2900, 9000}[choose(6)])
		r = o.budget.Arrive(o.now, fmt.Sprint(choose(4)), bytes)
		o.open = append(o.open, r)
		if r.State() == Reading {
			o.held[r] = r.bytes
		}
	case action < 5:
		o.budget.Progress(r, o.now, int64(choose(150)))
	case action < 6:
		if shrunk := int64(choose(100)); o.budget.Complete(r, shrunk) {
			o.held[r] = min(shrunk, o.held[r])
		}
	default:
		o.budget.Release(r)
		delete(o.held, r)
		o.open = slices.DeleteFunc(o.open, func(other *Request) bool { return other == r })
	}
	for _, granted := range o.budget.Settle(o.now).Granted {
		o.held[granted] = granted.bytes
	}
	return o.check()
}

func (o *oracle) check() error {
	var total int64
	byCaller := make(map[string]int64)
	for r, bytes := range o.held {
		total += bytes
		if r.class == large {
			byCaller[r.caller] += bytes
		}
		if !r.holds() {
			return fmt.Errorf("a request in state %d holds %d", r.State(), bytes)
		}
	}
	waiting := 0
	for _, r := range o.open {
		if r.State() == Waiting {
			waiting++
			if o.now-r.arrivedAt >= testLimits.MaxWait {
				return fmt.Errorf("a request waits for %d", o.now-r.arrivedAt)
			}
		}
	}
	switch {
	case total != o.budget.Used() || total > testLimits.Bytes:
		return fmt.Errorf("%d are held, the budget says %d of %d", total, o.budget.Used(), testLimits.Bytes)
	case waiting != o.budget.WaitingCount() || waiting > testLimits.MaxWaiting:
		return fmt.Errorf("%d wait, the budget says %d of %d", waiting, o.budget.WaitingCount(), testLimits.MaxWaiting)
	case o.budget.used[large] > o.budget.pool(large):
		return fmt.Errorf("large requests hold %d", o.budget.used[large])
	}
	for caller, bytes := range byCaller {
		share := callerShare(o.budget.pool(large))
		requests := 0 // one request alone may exceed the share
		for r, held := range o.held {
			if r.caller == caller && r.class == large && held > 0 {
				requests++
			}
		}
		if bytes > share && requests > 1 {
			return fmt.Errorf("caller %s holds %d of %d in %d requests", caller, bytes, share, requests)
		}
	}
	return nil
}

// drain releases everything and returns an error if something is left.
func (o *oracle) drain() error {
	for _, r := range o.open {
		o.budget.Release(r)
	}
	b := o.budget
	if b.Used() != 0 || b.WaitingCount() != 0 || len(b.callers) != 0 || b.reading.length+b.interrupted.length != 0 {
		return fmt.Errorf("left: %d bytes, %d waiting, callers %v", b.Used(), b.WaitingCount(), b.callers)
	}
	return nil
}

// The sum of all requests must never exceed the budget, a caller must not exceed its share, and nothing may leak.
func TestBudgetAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if err := o.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }); err != nil {
				t.Fatal(err)
			}
		}
		if err := o.drain(); err != nil {
			t.Fatal(err)
		}
	})
}

// A leak that each step makes a little larger must show over a million steps.
func TestBudgetLeaksNothing(t *testing.T) {
	o, random := newOracle(), rand.New(rand.NewPCG(36, 1))
	for i := range 1_000_000 {
		if err := o.step(random.IntN); err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
		for len(o.open) > 200 { // refused requests whose end the random steps have not drawn
			o.budget.Release(o.open[0])
			delete(o.held, o.open[0])
			o.open = o.open[1:]
		}
	}
	if err := o.drain(); err != nil {
		t.Fatal(err)
	}
}

// fill has callers take all room with requests that make no progress, or only single bytes, until some wait.
func (o *oracle) fill(callers int, bytes int64) {
	for i := 0; o.budget.WaitingCount() < testLimits.MaxWaiting/2; i++ {
		o.open = append(o.open, o.budget.Arrive(o.now, fmt.Sprint("abusive", i%callers), bytes))
	}
}

// Callers that stop short or send single bytes must not keep ordinary requests out: an ordinary request is served as soon as
// the stalled ones before it were interrupted and released.
func TestOrdinaryRequestIsAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle()
		o.fill(rapid.IntRange(1, 20).Draw(t, "callers"), rapid.SampledFrom([]int64{50, 700}).Draw(t, "abusive"))
		ordinary := o.budget.Arrive(o.now, "ordinary", rapid.SampledFrom([]int64{20, 700}).Draw(t, "ordinary"))
		for steps := 0; ordinary.State() == Waiting; steps++ {
			if steps > 40 {
				t.Fatal("not admitted")
			}
			for _, r := range o.open {
				o.budget.Progress(r, o.now, 1)
			}
			o.now += testLimits.Stall / 2
			for interrupted := o.budget.Settle(o.now).Interrupted; len(interrupted) > 0; interrupted = o.budget.Settle(o.now).Interrupted {
				for _, r := range slices.Clone(interrupted) {
					o.budget.Release(r)
				}
			}
		}
		if ordinary.State() != Reading {
			t.Fatalf("state %d, refusal %d", ordinary.State(), ordinary.Refusal())
		}
	})
}

func TestBudget(t *testing.T) {
	Convey("The request that has gone longest without progress is interrupted first, and only as many as are needed", t, func() {
		b := NewBudget(testLimits)
		oldest, middle, newest := b.Arrive(0, "a", 1000), b.Arrive(1, "b", 1000), b.Arrive(2, "c", 1000)
		b.Progress(oldest, 5, 100)
		waiting := b.Arrive(6, "d", 900)
		So(b.Settle(10).Interrupted, ShouldBeEmpty)
		So(b.Settle(16).Interrupted, ShouldResemble, []*Request{middle})
		So(b.Settle(16).Interrupted, ShouldBeEmpty) // what will be released is enough
		So(b.Complete(middle, 1), ShouldBeFalse)
		b.Release(middle)
		So(b.Settle(16).Granted, ShouldResemble, []*Request{waiting})
		So([]State{oldest.State(), newest.State()}, ShouldResemble, []State{Reading, Reading})
	})
	Convey("A request whose body is complete is not interrupted", t, func() {
		b := NewBudget(testLimits)
		r := b.Arrive(0, "a", 3000)
		So(b.Complete(r, 3000), ShouldBeTrue)
		b.Arrive(0, "b", 1000)
		So(b.Settle(50).Interrupted, ShouldBeEmpty)
	})
	Convey("Large requests do not keep small ones out, nor small ones a large one", t, func() {
		b := NewBudget(testLimits)
		for i := range 20 {
			b.Complete(b.Arrive(0, fmt.Sprint(i), 700), 700)
		}
		So(b.Arrive(0, "small", 50).State(), ShouldEqual, Reading)
		b = NewBudget(testLimits)
		var smalls []*Request
		for i := range 100 {
			smalls = append(smalls, b.Arrive(0, fmt.Sprint(i), 50))
		}
		waiting := b.Arrive(0, "large", 2000)
		So(waiting.State(), ShouldEqual, Waiting)
		for _, r := range smalls[:40] {
			b.Release(r)
			b.Settle(1)
		}
		So(waiting.State(), ShouldEqual, Reading)
	})
	Convey("One caller address cannot use the whole budget", t, func() {
		b := NewBudget(testLimits)
		for range 20 {
			b.Arrive(0, "a", 700)
		}
		So(b.Arrive(0, "b", 700).State(), ShouldEqual, Waiting) // behind the others; it does not wait for them
		So(b.Settle(0).Granted, ShouldHaveLength, 1)
	})
	Convey("A request above the budget is served alone", t, func() {
		b := NewBudget(testLimits)
		So(b.Arrive(0, "a", 1_000_000).State(), ShouldEqual, Reading)
	})
	Convey("After Stop, what would wait is refused and what stalls is interrupted", t, func() {
		b := NewBudget(testLimits)
		reading := b.Arrive(0, "a", 2000)
		waiting := b.Arrive(0, "b", 2000)
		b.Stop()
		So(b.Settle(1).Refused, ShouldResemble, []*Request{waiting})
		So(b.Settle(10).Interrupted, ShouldResemble, []*Request{reading})
		So(waiting.Refusal(), ShouldEqual, Stopped)
	})
}

func TestConnections(t *testing.T) {
	limits := ConnectionLimits{Max: 4, Stall: 10}
	Convey("A new connection takes the place of the one that has waited longest for its caller", t, func() {
		c := NewConnections(limits)
		a, _ := c.Arrive(0, "a")
		b, _ := c.Arrive(1, "b")
		d, _ := c.Arrive(2, "c")
		_, _ = c.Arrive(3, "d")
		c.Serve(a)
		c.AwaitCaller(b, 5)
		none, _ := c.Arrive(9, "e")
		So(none, ShouldBeNil) // nobody has stalled yet
		e, victim := c.Arrive(12, "e")
		So(e, ShouldNotBeNil)
		So(victim, ShouldEqual, d)
		So(c.Open(), ShouldEqual, 4)
	})
	Convey("One caller address cannot use all connections, and then replaces its own", t, func() {
		c := NewConnections(limits)
		other, _ := c.Arrive(0, "b")
		first, _ := c.Arrive(1, "a")
		_, _ = c.Arrive(2, "a")
		_, _ = c.Arrive(3, "a")
		none, _ := c.Arrive(4, "a")
		So(none, ShouldBeNil)
		_, victim := c.Arrive(20, "a")
		So(victim, ShouldEqual, first)
		So(other.closed, ShouldBeFalse)
	})
	Convey("The number of open connections never exceeds the limit, and nothing leaks", t, func() {
		c, random := NewConnections(limits), rand.New(rand.NewPCG(36, 2))
		var open []*Connection
		for i := range 200_000 {
			now := time.Duration(i)
			switch n := len(open); {
			case n == 0 || random.IntN(3) == 0:
				if added, _ := c.Arrive(now, fmt.Sprint(random.IntN(3))); added != nil {
					open = append(open, added)
				}
			case random.IntN(3) == 0:
				c.Closed(open[0])
				open = open[1:]
			default:
				c.AwaitCaller(open[random.IntN(n)], now)
				c.Serve(open[random.IntN(n)])
			}
			if c.Open() > limits.Max || c.stalled.length > c.Open() {
				t.Fatalf("%d open, %d stalled", c.Open(), c.stalled.length)
			}
		}
		for _, o := range open {
			c.Closed(o)
		}
		So(c.Open()+len(c.callers)+c.stalled.length, ShouldEqual, 0)
	})
}
