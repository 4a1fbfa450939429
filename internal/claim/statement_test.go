package claim

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

// encoded returns a record of the topic of claims.
func encoded(key string, value any, offset store.Offset) store.Record {
	bytes, err := recordcodec.Encode(value)
	if err != nil {
		panic(err)
	}
	return store.Record{Key: key, Value: bytes, Offset: offset}
}

// statementOf returns a statement as an owner under epoch 4 stores it.
func statementOf(change func(*Statement)) Statement {
	s := Statement{Epoch: 4, End: 4, Serial: 2, Others: 6 * time.Second, Extended: 11 * time.Second, Round: 2, OldestRound: 1,
		Workers: []StatedLease{{Worker: "w", StartedAtMS: 7, Remaining: 2 * time.Second}}}
	change(&s)
	return s
}

// Guards against TWICE: a record of another writer, or one that is cut short or belongs to an earlier record of the claim, shortens
// the wait for leases.
func TestStatementsThatTellNothing(t *testing.T) {
	const readAt, maxLease = 10 * time.Second, 6 * time.Second
	former := readAt + WorkerRenewalGrace + maxLease*104/100 + maxOrderDelay
	held := Record{Holder: "b-1", Node: "b", Epoch: 4}
	for name, change := range map[string]func(*Statement){
		"no fields":           func(s *Statement) { *s = Statement{} },
		"cut short":           func(s *Statement) { s.End = 0 },
		"no serial":           func(s *Statement) { s.Serial = 0 },
		"a negative time":     func(s *Statement) { s.Others = -1 },
		"a huge time":         func(s *Statement) { s.Extended = 1 << 62 },
		"less than others":    func(s *Statement) { s.Extended = s.Others - 1 },
		"a negative lease":    func(s *Statement) { s.Workers[0].Remaining = -1 },
		"a huge lease":        func(s *Statement) { s.Workers[0].Remaining = 1 << 62 },
		"a worker without ID": func(s *Statement) { s.Workers[0].Worker = "" },
		"a worker twice":      func(s *Statement) { s.Workers = append(s.Workers, s.Workers[0]) },
		"rounds in disorder":  func(s *Statement) { s.OldestRound = 3 },
		"another epoch":       func(s *Statement) { s.Epoch, s.End = 3, 3 },
	} {
		Convey("After a statement with "+name+" the wait is as long as without one", t, func() {
			v := NewView("a-1", "a", 0)
			v.Observe([]store.Record{encoded(StatementKey, statementOf(func(*Statement) {}), 0), encoded(Key, held, 1)}, 2, readAt)
			v.Registered(4, 2)
			So(v.LeaseWait(maxLease, readAt).Others, ShouldEqual, readAt+6060*time.Millisecond)
			v.Observe([]store.Record{encoded(StatementKey, statementOf(change), 2), encoded(Key, held, 3)}, 4, readAt)
			wait := v.LeaseWait(maxLease, readAt)
			So(wait.End, ShouldEqual, former)
			So(wait.Others, ShouldEqual, former)
			So(wait.Workers, ShouldBeEmpty)
		})
	}
	Convey("A statement that does not stand right before the claim tells nothing", t, func() {
		v := NewView("a-1", "a", 0)
		v.Observe([]store.Record{encoded(StatementKey, statementOf(func(*Statement) {}), 0), encoded(Key, held, 2)}, 3, readAt)
		v.Registered(4, 2)
		So(v.LeaseWait(maxLease, readAt).End, ShouldEqual, former)
	})
}

// Guards against TWICE by a candidate that takes leases for ended which its consent, or that of nobody, allowed, and against the
// longer wait where nothing was extended.
func TestWaitOfCandidates(t *testing.T) {
	const readAt, maxLease = 10 * time.Second, 6 * time.Second
	short, long := readAt+6060*time.Millisecond, readAt+11110*time.Millisecond
	for name, c := range map[string]struct {
		agree func(*View)
		want  time.Duration
	}{
		"is not registered":                       {func(*View) {}, long},
		"is registered":                           {func(v *View) { v.Registered(4, 1) }, short},
		"was registered with an earlier owner":    {func(v *View) { v.Registered(3, 2) }, long},
		"has consented":                           {func(v *View) { v.Registered(4, 2); v.Consent(4, 2) }, long},
		"has consented to a later statement":      {func(v *View) { v.Registered(4, 2); v.Consent(4, 3) }, long},
		"has consented to an earlier statement":   {func(v *View) { v.Registered(4, 2); v.Consent(4, 1) }, short},
		"has consented, and to an earlier one":    {func(v *View) { v.Registered(4, 2); v.Consent(4, 2); v.Consent(4, 1) }, long},
		"has consented to the owner before":       {func(v *View) { v.Registered(4, 2); v.Consent(3, 9) }, short},
		"refused since it can reach the store":    {func(v *View) { v.Registered(4, 2); v.reachable = true; v.Consent(4, 2) }, short},
		"is registered in a round that is over":   {func(v *View) { v.Registered(4, 1); v.statement.OldestRound = 2 }, long},
		"was registered anew, answers in reverse": {func(v *View) { v.Registered(4, 2); v.Registered(4, 1); v.statement.OldestRound = 2 }, short},
	} {
		Convey("A candidate that "+name+" waits accordingly", t, func() {
			v := NewView("a-1", "a", 0)
			v.Observe([]store.Record{encoded(StatementKey, statementOf(func(*Statement) {}), 0), encoded(Key, Record{Holder: "b-1", Node: "b", Epoch: 4}, 1)}, 2, readAt)
			v.StoreUnreachable()
			c.agree(v)
			wait := v.LeaseWait(maxLease, readAt)
			So(wait.Others, ShouldEqual, c.want)
			So(wait.Source, ShouldEqual, WaitSourceStatement)
			So(wait.Workers["w"], ShouldResemble, StatedEnd{StartedAtMS: 7, End: readAt + 2020*time.Millisecond})
			Convey("and hands on what it waits for", func() {
				next := v.NextStatement(5, wait, readAt+time.Second)
				So(next.valid(), ShouldBeTrue)
				So(next.Others, ShouldEqual, c.want-readAt-time.Second)
				So(next.Workers, ShouldResemble, []StatedLease{{Worker: "w", StartedAtMS: 7, Remaining: 1020 * time.Millisecond}})
			})
		})
	}
}

// Guards against TWICE: a build that does not know statements may follow an owner that stores them.
func TestWaitOfEarlierBuildCoversWhatIsStated(t *testing.T) {
	for _, maxLease := range []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second} {
		g := NewGrants(4, 1, maxLease, 0)
		var s Statement
		var sent time.Duration
		for _, sent = range []time.Duration{0, registrationTime} {
			s = g.Next(0, nil, true, sent)
			g.StatementStored(s.Serial)
		}
		g.extend(sent + ConsentAfter)
		extended := g.Limit() - sent
		if earlier := LeasesExpiredBy(WorkerRenewalGrace, maxLease); statedEnd(0, extended) > earlier || s.Extended != extended || extended != g.extended {
			t.Errorf("leases of at most %v may end after %v, the statement says %v; an earlier build waits for %v", maxLease, extended, s.Extended, earlier)
		}
	}
}

// Guards against LOST: a change of one of the terms makes a task whose worker was lost stand still for longer than docs/design/former-leases.md
// says.
func TestBoundOfWaitForLeases(t *testing.T) {
	const lostAfter = 9 * time.Second
	for _, c := range []struct{ maxLease, noticed, unnoticed, extended time.Duration }{
		{6 * time.Second, 6380 * time.Millisecond, 6969 * time.Millisecond, 11493800 * time.Microsecond},
		{10 * time.Second, 6483 * time.Millisecond, 6969 * time.Millisecond, 11597830 * time.Microsecond},
	} {
		g := NewGrants(1, 1, c.maxLease, 0)
		noticed := LeaseEnd(0, min(c.maxLease, MaxGrantedLease))
		if unnoticed, extended := statedEnd(0, g.stated), statedEnd(0, g.extended); noticed != c.noticed || unnoticed != c.unnoticed || extended != c.extended {
			t.Errorf("leases of %v: %v, %v and %v; want %v, %v and %v", c.maxLease, noticed, unnoticed, extended, c.noticed, c.unnoticed, c.extended)
		}
		if longest := c.unnoticed + RenewInterval + time.Second; longest >= lostAfter {
			t.Errorf("leases of %v: %v", c.maxLease, longest)
		}
	}
}
