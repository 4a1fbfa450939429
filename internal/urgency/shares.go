package urgency

// Share counts the work that competes for the same capacity in one priority. Late jobs get a part of it, so that those that
// can still be useful do not wait without bound while others arrive that can be on time.
type Share struct {
	Priority   int
	BestEffort bool
}

const (
	// lateShare is the part of the work begun that is late work, as long as any waits. It is small, since a late result is worth
	// less than one on time: with an eighth, twice as many jobs missed their objective because of it, and no fewer became worthless.
	lateShare = 1.0 / 16
	// maxPromoted is the number of late items of a Share that may be promoted at a time. If the first finds no worker, the next
	// ones may.
	maxPromoted = 8
)

// Shares keeps account of the work that was begun while late items waited. The zero value is ready for use.
//
// Every second late item that is begun is the oldest one, the others are those with least slack. By slack alone, those with a long
// objective would wait until just before their limit, and then be begun too late if they need room that has to become free.
type Shares struct {
	accounts map[Share]account
}

type account struct {
	credit float64 // work by which the late items are behind their part
	// oldestNext is set while it is the turn of the oldest item.
	oldestNext bool
	// held is set while workers are kept free for the oldest item. It stays promoted then, whatever the credit, since others would
	// take the room again.
	held bool
}

// Round is what one placement round did in a share.
type Round struct {
	// FirstWork and LateWork are the work begun of items before the late ones and of late ones, and FirstWaits and LateWaits
	// whether such items are left.
	FirstWork, LateWork   float64
	FirstWaits, LateWaits bool
	// MaxCredit is the largest work of a late item that is left. A late item for which there is no worker for long must
	// not give those after it the right to all capacity.
	MaxCredit float64
	// BeganOldest and BeganOther are set if the oldest late item was begun, or another one.
	BeganOldest, BeganOther bool
	// OldestHeld is set if workers are kept free for the oldest late item.
	OldestHeld bool
}

// Add adds an item to the round of its share: the work of it that was begun, that which is left, and its rank.
func (r *Round) Add(rank *Rank, begun, left float64) {
	switch {
	case rank.IsLate():
		r.LateWork += begun
		r.LateWaits = r.LateWaits || left > 0
		r.MaxCredit = max(r.MaxCredit, left)
	case rank.stage < stageLongRunning && !rank.interrupted:
		r.FirstWork += begun
		r.FirstWaits = r.FirstWaits || left > 0
	}
}

// Settle accounts for a round. Work of one kind counts while items of the other wait; what late items had too much is paid back by
// all other work.
func (s *Shares) Settle(share Share, r Round) {
	a := s.accounts[share]
	if r.FirstWaits {
		a.credit -= (1 - lateShare) * r.LateWork
	}
	if r.LateWaits || a.credit < 0 {
		a.credit += lateShare * r.FirstWork
	}
	if r.LateWaits {
		a.credit = min(a.credit, r.MaxCredit)
	} else {
		a.credit = min(a.credit, 0)
	}
	a.held = r.OldestHeld
	switch {
	case r.BeganOldest:
		a.oldestNext = false
	case r.BeganOther:
		a.oldestNext = true
	}
	if a == (account{}) {
		delete(s.accounts, share)
		return
	}
	if s.accounts == nil {
		s.accounts = make(map[Share]account)
	}
	s.accounts[share] = a
}

// Empty reports whether there is nothing to account for unless a late item waits.
func (s *Shares) Empty() bool { return len(s.accounts) == 0 }

// IsLate reports whether an item is one of those that get their part by Shares.
func (r *Rank) IsLate() bool { return r.stage == stageLate && r.hasObjective && !r.interrupted }

// Due reports whether late items of any share are behind their part.
func (s *Shares) Due() bool {
	for _, a := range s.accounts {
		if a.credit > 0 || a.held {
			return true
		}
	}
	return false
}

// Promotions decides in one round which late items come before all others of their priority.
type Promotions struct {
	shares *Shares
	counts map[Share]int
}

// Promotions returns the decisions of a round.
func (s *Shares) Promotions() Promotions { return Promotions{shares: s, counts: make(map[Share]int)} }

// Promote reports whether an item is promoted, and whether it comes before the other promoted ones. It is called in the order of
// Compare; oldest is set for the oldest late item of the share.
func (p *Promotions) Promote(share Share, rank *Rank, oldest bool) (promoted, first bool) {
	a := p.shares.accounts[share]
	switch {
	case !rank.IsLate():
		return false, false
	case oldest && a.oldestNext && (a.credit > 0 || a.held):
		return true, true
	case a.credit <= 0 || p.counts[share] >= maxPromoted:
		return false, false
	}
	p.counts[share]++
	return true, false
}

// SamePriority reports whether two items compete with each other before the stages of their jobs count.
func SamePriority(a, b *Rank) bool {
	return a.interrupted == b.interrupted && a.worthless == b.worthless && a.priority == b.priority
}
