package cell

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

const (
	// simClaimTimeout is how long an owner waits for the answer to an append of its claim.
	simClaimTimeout = 700 * time.Millisecond
	// simClaimRetry is the time after which an append without an answer is repeated, and simStatementInterval the minimum time between
	// two statements that are written before a renewal is due.
	simClaimRetry        = 100 * time.Millisecond
	simStatementInterval = 300 * time.Millisecond
	// simUnloadedExtension is how long after its claim an owner begins to extend leases if it has not loaded the state by then.
	simUnloadedExtension = 500 * time.Millisecond
	// simConsentInterval is the interval at which an owner asks candidates for their consent.
	simConsentInterval = 250 * time.Millisecond
	// simReadTimeout is how long a candidate takes to notice that the store is away.
	simReadTimeout = 1700 * time.Millisecond
	// simCapacity is the processor capacity of the candidates, in thousandths of a core.
	simCapacity = 64_000
)

// simClaims is how owners and candidates write and read the claims on cells.
type simClaims struct {
	random *rand.Rand // of its own, so that it changes no other choice of the simulation
	// slowRate is the probability that an append takes up to 600 ms longer.
	slowRate float64
	// unsteadyRate is the probability that a candidate that is asked for its consent cannot reach the store.
	unsteadyRate float64
	// storeAwaySince and storeAwayUntil are the times between which the store serves no call.
	storeAwaySince, storeAwayUntil time.Duration
	// successor is the index of the candidate that claims next, or -1 for a random one.
	successor int
}

func newSimClaims(seed uint64) simClaims {
	return simClaims{random: rand.New(rand.NewPCG(seed, 13)), slowRate: 0.1, unsteadyRate: 0.4, successor: -1}
}

// simCandidate is a process that follows the claims on a cell and may be the next owner.
type simCandidate struct {
	id   string
	view *claim.View
	// unregistered is set if it does not register with owners, and refuses if it does not consent to longer leases.
	unregistered, refuses bool
	registerAfter         time.Duration
	awayUntil             time.Duration // until when it cannot reach the store
}

// Indexes of simCell.candidates.
const (
	firstRegistered = iota
	secondRegistered
	notRegistered
	simCandidates
)

func newSimCandidates() []*simCandidate {
	var list []*simCandidate
	for i := range simCandidates {
		id := fmt.Sprint("candidate", i)
		c := &simCandidate{id: id, view: claim.NewView(id, id, 0), unregistered: i == notRegistered}
		c.view.SetCapacity(simCapacity)
		list = append(list, c)
	}
	return list
}

func (sim *simulation) storeAway() bool {
	return sim.now >= sim.claims.storeAwaySince && sim.now < sim.claims.storeAwayUntil
}

// storeServes reports whether the store serves an owner now.
func (sim *simulation) storeServes(o *simOwner) bool { return !sim.storeAway() && !o.cutFromStore }

// takeStoreAway has the store serve no call for a time d.
func (sim *simulation) takeStoreAway(d time.Duration) {
	sim.claims.storeAwaySince, sim.claims.storeAwayUntil = sim.now, sim.now+d
}

// lost draws whether a call between nodes or to the store is lost.
func (f *simClaims) lost(rate float64) bool { return rate > 0 && f.random.Float64() < rate }

// read has a candidate read the claims that are stored.
func (sim *simulation) read(home *simCell, c *simCandidate) {
	if unreadable := c.view.Observe(home.claimLog[c.view.End():], store.Offset(len(home.claimLog)), sim.now); unreadable > 0 {
		sim.violation("%d unreadable records of claims on cell %d", unreadable, home.number)
	}
}

// storeClaim stores a claim or renewal and its statement, and has the candidates read them.
func (sim *simulation) storeClaim(home *simCell, s claim.Statement) {
	owner := fmt.Sprint("owner", s.Epoch)
	r := claim.Record{Holder: owner, Node: owner, Address: owner, Epoch: s.Epoch}
	for _, entry := range []struct {
		key   string
		value any
	}{{claim.StatementKey, &s}, {claim.Key, &r}} {
		value, err := recordcodec.Encode(entry.value)
		if err != nil {
			panic(err)
		}
		home.claimLog = append(home.claimLog, store.Record{Key: entry.key, Value: value, Offset: store.Offset(len(home.claimLog))})
	}
	for _, c := range home.candidates {
		if sim.now >= c.awayUntil {
			sim.read(home, c)
		}
	}
}

// followClaims has candidates that could not reach the store read what was stored meanwhile.
func (sim *simulation) followClaims(home *simCell) {
	for _, c := range home.candidates {
		switch {
		case sim.storeAway():
			if sim.now >= sim.claims.storeAwaySince+simReadTimeout {
				c.view.StoreUnreachable()
			}
		case sim.now >= c.awayUntil && (!c.view.Reachable() || int(c.view.End()) < len(home.claimLog)):
			sim.read(home, c)
		}
	}
}

// drawSuccessor returns the candidate that claims a cell now, which has read all claims.
func (sim *simulation) drawSuccessor(home *simCell) *simCandidate {
	i := sim.claims.successor
	if i < 0 {
		i = sim.claims.random.IntN(simCandidates)
	}
	c := home.candidates[i]
	c.awayUntil = 0
	sim.read(home, c)
	return c
}

// awaitClaim runs the simulation until one of the candidates may claim the cell, lets it claim, and returns the new owner.
func (sim *simulation) awaitClaim() *simOwner {
	successor := sim.claims.successor
	if successor < 0 {
		successor = sim.claims.random.IntN(simCandidates)
	}
	for !sim.candidates[successor].view.ShouldClaim(sim.now) {
		sim.run(simTick)
	}
	defer func(before int) { sim.claims.successor = before }(sim.claims.successor)
	sim.claims.successor = successor
	return sim.claim()
}

// leaseWait returns how long a candidate that claims now waits for the leases that former owners extended. By the rules of the
// simulation former owners renew leases no longer than for WorkerRenewalGrace-LeaseDuration after the claim.
func (sim *simulation) leaseWait(c *simCandidate) claim.LeaseWait {
	end := claim.LeasesExpiredBy(sim.now+claim.WorkerRenewalGrace-claim.LeaseDuration, maxLease)
	if _, claimed := c.view.Latest(); !claimed {
		return claim.LeaseWait{End: end, Others: end}
	}
	wait := c.view.LeaseWait(maxLease, sim.now)
	wait.End, wait.Others = min(wait.End, end), min(wait.Others, end)
	for id, w := range wait.Workers {
		w.End = min(w.End, end)
		wait.Workers[id] = w
	}
	return wait
}

// formerLeases returns the ends of leases of a wait, as package cellnode passes them to the cell.
func formerLeases(wait claim.LeaseWait) LeaseEnds {
	ends := LeaseEnds{Others: wait.Others, Workers: make(map[string]WorkerLease, len(wait.Workers))}
	for id, w := range wait.Workers {
		ends.Workers[id] = WorkerLease{StartedAtMS: w.StartedAtMS, End: w.End}
	}
	return ends
}

// holdsClaim reports whether an owner has loaded the state and its claim has not expired.
func (sim *simulation) holdsClaim(o *simOwner) bool {
	return o.loaded && sim.now < min(o.decidesUntil, o.renewedAt+claim.LeaseDuration)
}

// mayDecide reports whether an owner may make decisions now.
func (sim *simulation) mayDecide(o *simOwner) bool { return o.grants.Allowed() && sim.holdsClaim(o) }

// keepClaim has an owner renew its claim and state its leases, as package cellnode does beside the owner's loop.
func (sim *simulation) keepClaim(o *simOwner) {
	o.cell.SetTime(sim.now, sim.wall())
	sim.registerCandidates(o)
	sim.askForConsents(o)
	if sim.now >= o.statingUntil && sim.statementDue(o) {
		sim.renewClaim(o)
	}
}

// statementDue reports whether an owner has to renew its claim or to state leases now.
func (sim *simulation) statementDue(o *simOwner) bool {
	switch {
	case sim.now >= o.renewedAt+claim.RenewInterval:
		return sim.now >= o.statedAt+simClaimRetry
	case sim.now < o.statedAt+simStatementInterval:
		return false
	case !o.grants.Allowed():
		return sim.mayExtend(o)
	}
	return o.loaded && o.cell.StatementOutdated(sim.longestLease(o))
}

// longestLease returns by when leases end that the next statement of an owner covers without listing their workers.
func (sim *simulation) longestLease(o *simOwner) time.Duration {
	return max(sim.now+o.grants.Stated(), o.grants.Limit())
}

func (sim *simulation) mayExtend(o *simOwner) bool {
	return o.loaded || o.cell.WorkerCount() > 0 && sim.now >= o.claimedAt+simUnloadedExtension
}

// renewClaim has an owner renew its claim with a statement. The append may be lost, take long, or have no answer although it is stored.
func (sim *simulation) renewClaim(o *simOwner) {
	f, home := &sim.claims, o.home
	o.statedAt, o.statingUntil = sim.now, sim.now+simClaimTimeout
	listed, others := o.cell.StateLeases(o.grants.Serial()+1, sim.longestLease(o))
	s := o.grants.Next(others, listed, o.grants.Allowed() || sim.mayExtend(o), sim.now)
	if sim.now >= o.decidesUntil || o.cutFromStore || sim.storeAway() || f.lost(sim.lossRate) {
		return
	}
	answered, sent, end, delay := !f.lost(sim.lossRate), sim.now, len(home.claimLog), min(sim.appendTime, simClaimTimeout/2)
	if f.lost(f.slowRate) {
		delay += time.Duration(f.random.Int64N(int64(600 * time.Millisecond)))
	}
	sim.schedule(delay, func() {
		if o.token < home.epoch { // it has not read the claim of the present owner, and reads it now
			o.ended = o.ended || !o.suspended && !sim.storeAway()
			return
		}
		if sim.storeAway() || len(home.claimLog) != end {
			return
		}
		sim.storeClaim(home, s)
		if !answered {
			delay = time.Duration(f.random.Int64N(int64(simClaimTimeout)))
		}
		sim.schedule(delay, func() { sim.statementStored(o, s, sent) })
	})
}

// statementStored tells an owner that a statement, which was sent at the given time, is stored.
func (sim *simulation) statementStored(o *simOwner, s claim.Statement, sent time.Duration) {
	switch {
	case o.ended:
		return
	case o.suspended:
		sim.schedule(simTick, func() { sim.statementStored(o, s, sent) })
		return
	}
	o.statingUntil, o.renewedAt = 0, max(o.renewedAt, sent)
	if s.Serial > o.grants.Stored() {
		o.cell.SetTime(sim.now, sim.wall())
		o.grants.StatementStored(s.Serial)
		o.cell.LeasesStored(s.Serial, o.grants.Limit())
	}
}

// registerCandidates has candidates register with an owner as far as they have to.
func (sim *simulation) registerCandidates(o *simOwner) {
	for _, c := range o.home.candidates {
		latest, _ := c.view.Latest()
		if c.unregistered || sim.now < max(c.registerAfter, c.awayUntil) || latest.Epoch != o.token || !c.view.RegistrationDue() {
			continue
		}
		c.registerAfter = sim.now + time.Second
		if sim.claims.lost(sim.lossRate) {
			continue
		}
		if round, ok := o.grants.Register(c.id, c.id); ok && !sim.claims.lost(sim.lossRate) {
			c.view.Registered(o.token, round)
		}
	}
}

// askForConsents has an owner that cannot store statements ask the candidates for their consent.
func (sim *simulation) askForConsents(o *simOwner) {
	if sim.now < o.nextConsents {
		return
	}
	o.nextConsents = sim.now + simConsentInterval
	missing, serial := o.grants.ConsentsNeeded(sim.now)
	o.cell.setLeaseLimit(o.grants.Limit())
	slices.SortFunc(missing, func(a, b claim.Candidate) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range missing {
		i := slices.IndexFunc(o.home.candidates, func(c *simCandidate) bool { return c.id == m.ID })
		c := o.home.candidates[i]
		if sim.claims.lost(sim.claims.unsteadyRate) && sim.now >= c.awayUntil {
			c.view.StoreUnreachable()
			c.awayUntil = sim.now + time.Duration(sim.claims.random.Int64N(int64(4*time.Second)))
		}
		if c.refuses || sim.claims.lost(sim.lossRate) || c.view.Consent(o.token, serial) != "" || sim.claims.lost(sim.lossRate) {
			continue
		}
		sim.schedule(10*time.Millisecond, func() { sim.consented(o, c.id, serial) })
	}
}

// consented delivers the consent of a candidate to an owner once its process runs.
func (sim *simulation) consented(o *simOwner, id string, serial int64) {
	switch {
	case o.ended:
	case o.suspended:
		sim.schedule(simTick, func() { sim.consented(o, id, serial) })
	default:
		o.grants.Consented(id, serial, sim.now)
		o.cell.setLeaseLimit(o.grants.Limit())
	}
}
