package claim

import (
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/store"
)

// Guards against TWICE: a candidate claims the cell, having given no consent, and states what it waits for. Its process is replaced, and the
// former owner, which is cut off from the store alone, extends leases beyond what the claim states with the consent of the new one.
func TestReplacedCandidateThatClaimedAllowsNoLongerLeases(t *testing.T) {
	const maxLease, claimAt, restartAt = 6 * time.Second, 2700 * time.Millisecond, 3500 * time.Millisecond
	g := NewGrants(4, 1, maxLease, 0)
	s := g.Next(0, nil, true, 0)
	g.StatementStored(s.Serial)
	round, _ := g.Register("b-1", "b:1")
	records := []store.Record{encoded(StatementKey, s, 0), encoded(Key, Record{Holder: "a-1", Node: "a", Epoch: 4}, 1)}

	b := NewView("b-1", "b", 0)
	b.Observe(records, 2, 0)
	b.Registered(4, round)
	if !b.ShouldClaim(claimAt) {
		t.Fatal("the candidate does not claim")
	}
	former, _ := b.NextFormerRenewals(5, claimAt)
	next := b.NextStatement(5, b.LeaseWait(maxLease, claimAt), claimAt)
	records = append(records, encoded(FormerRenewalsKey, former, 2), encoded(StatementKey, next, 3), encoded(Key, b.NextClaim("b", "b:1"), 4))

	g.Register("b-2", "b:1")
	g.Consented("b-2", g.Serial(), restartAt)
	restarted := NewView("b-2", "b", 0)
	restarted.Observe(records, 5, restartAt)
	wait := restarted.LeaseWait(maxLease, restartAt)
	if wait.Others < g.Limit() {
		t.Errorf("the next owner waits until %v, but the owner that it has not reached may extend leases until %v", wait.Others, g.Limit())
	}
}

// Guards against LOST: processes of one node own the cell in turn and crash before they have stated anything else. Each of them reads what
// the one before states when it starts, and waits from then on.
func TestChainOfRestartedOwnersDoesNotProlongWait(t *testing.T) {
	const maxLease, restartInterval = 6 * time.Second, 2 * time.Second
	g := NewGrants(4, 1, maxLease, 0)
	s := g.Next(0, nil, true, 0)
	records := []store.Record{encoded(StatementKey, s, 0), encoded(Key, Record{Holder: "a-0", Node: "a", Epoch: 4}, 1)}
	var first time.Duration
	for i := range 3 {
		at := time.Duration(i+1) * restartInterval
		v := NewView("a-"+string(rune('1'+i)), "a", 0)
		end := records[len(records)-1].Offset + 1
		v.Observe(records, end, at)
		if !v.ShouldClaim(at) {
			t.Fatalf("process %d does not claim", i+1)
		}
		wait := v.LeaseWait(maxLease, at)
		if i == 0 {
			first = wait.Others
		}
		if longest := first + first*statedClockErrorPercent/100*time.Duration(i); wait.Others > longest {
			t.Errorf("process %d waits until %v, the first one until %v", i+1, wait.Others, first)
		}
		claimed := v.NextClaim("a", "a:1")
		next := v.NextStatement(claimed.Epoch, wait, at)
		records = []store.Record{encoded(StatementKey, next, end), encoded(Key, claimed, end+1)}
	}
}

// Guards against LOST: a claim whose answer was lost is renewed before its owner starts, and the owner's first statement has the serial of
// that renewal's. Nodes that follow the claim do not use it, and wait as without statements if the owner crashes.
func TestFirstStatementOfOwnerFollowsThoseBeforeItStarted(t *testing.T) {
	const confirmedAt = 2600 * time.Millisecond
	v, follower := NewView("a-1", "a", 0), NewView("b-1", "b", 1)
	claimed := v.NextClaim("a", "a:1")
	records := []store.Record{encoded(StatementKey, v.NextStatement(claimed.Epoch, v.LeaseWait(6*time.Second, 0), 0), 0), encoded(Key, claimed, 1)}
	v.Sent(claimed, 1, 0)
	v.Observe(records, 2, confirmedAt)
	if !v.Owns() || v.MayDecide(confirmedAt) {
		t.Fatal("want a claim that is confirmed and has to be renewed before its owner may start")
	}
	renewal := v.NextStatement(claimed.Epoch, v.LeaseWait(6*time.Second, confirmedAt), confirmedAt)
	first := NewGrants(claimed.Epoch, renewal.Serial, 6*time.Second, confirmedAt).Next(0, nil, true, confirmedAt+RenewInterval)
	records = append(records, encoded(StatementKey, renewal, 2), encoded(Key, claimed, 3), encoded(StatementKey, first, 4), encoded(Key, claimed, 5))
	follower.Observe(records, 6, confirmedAt+RenewInterval)
	if s, known := follower.Statement(); !known || s.Others != first.Others {
		t.Errorf("the newest statement is %+v (%v), want %+v", s, known, first)
	}
}

// Guards against LOST in an outage of the store that refuses each append at once: the owner sends a statement in each check of the claim,
// and a consent that takes longer than that to arrive belongs to an earlier one.
func TestSlowConsentsCountWhileStoreRefusesAtOnce(t *testing.T) {
	const checkInterval, askInterval, answerAfter = 100 * time.Millisecond, 250 * time.Millisecond, 120 * time.Millisecond
	g := NewGrants(4, 1, 6*time.Second, 0)
	for _, sent := range []time.Duration{-registrationTime, 0} {
		g.StatementStored(g.Next(0, nil, true, sent).Serial)
	}
	g.Register("b-1", "b:1")
	type answer struct {
		at     time.Duration
		serial int64
	}
	var answers []answer
	nextAsk := time.Duration(0)
	for now := RenewInterval; now < WorkerRenewalGrace; now += 10 * time.Millisecond {
		if now%checkInterval == 0 {
			g.StatementNotStored(g.Next(0, nil, true, now).Serial) // refused by the store
		}
		if missing, serial := g.ConsentsNeeded(now); len(missing) > 0 && now >= nextAsk {
			answers, nextAsk = append(answers, answer{now + answerAfter, serial}), now+answerAfter+askInterval
		}
		for _, a := range answers {
			if a.at == now {
				g.Consented("b-1", a.serial, now)
			}
		}
	}
	if !g.Extended() {
		t.Errorf("leases are not extended without the store although the candidate has consented %d times", len(answers))
	}
}
