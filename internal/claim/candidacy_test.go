package claim

import (
	"testing"
	"time"
)

// Guards against TWICE: a candidate that has consented, or whose registration no longer counts, relies on the shorter leases of a
// statement, or an owner takes a consent to an earlier statement for one to the newest.
func TestConsentsCountForOneStatement(t *testing.T) {
	s := Statement{Epoch: 2, Serial: 5, OldestRound: 3, Round: 3}
	for _, c := range []struct {
		name             string
		round, consented int64
		withholds        bool
	}{
		{"registered", 3, 0, true},
		{"registered in a round that no longer counts", 2, 0, false},
		{"not registered", 0, 0, false},
		{"consent to an earlier statement", 3, 4, true},
		{"consent to this statement", 3, 5, false},
		{"consent to a later statement", 3, 6, false},
	} {
		v := NewView("a-1", "a", 0)
		v.Registered(s.Epoch, c.round)
		if c.consented > 0 {
			if refusal := v.Consent(s.Epoch, c.consented); refusal != "" {
				t.Errorf("%s: refused: %s", c.name, refusal)
			}
		}
		if withholds := v.candidacy.withholdsConsent(&s); withholds != c.withholds {
			t.Errorf("%s: withholds its consent %v, want %v", c.name, withholds, c.withholds)
		}
	}

	g := NewGrants(2, 1, 6*time.Second, 0)
	g.Next(0, nil, true, 0)
	g.StatementStored(2)
	g.Register("a-1", "a")
	g.Next(0, nil, true, time.Second)
	g.Consented("a-1", 2, 2*time.Second)
	if g.Extended() {
		t.Error("a consent to an earlier statement counts")
	}
	g.Consented("a-1", 3, 2*time.Second)
	if !g.Extended() {
		t.Error("a consent to the newest statement does not count")
	}
}
