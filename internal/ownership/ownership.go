// Package ownership decides which shards of its failure domain a node claims, renews and gives up.
//
// It is a system over the ledger and the membership: it returns records to append and touches no socket.
package ownership

import (
	"slices"
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/lease"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

const (
	// heirGrace is how long the heir of a released shard has before anybody else claims it.
	heirGrace = time.Second
	// rankDelay is how much later each next candidate claims a free shard, in case those before it do not.
	rankDelay = 300 * time.Millisecond
	// movesPerLease bounds the shards that a node gives to others within one lease.
	movesPerLease = 2
	// idleHeirLeases is for how many leases no shard is given to a node that did not claim one that it was
	// given: it may be live and yet be cut off from the log.
	idleHeirLeases = 10
)

// Candidates are the nodes of the failure domain that may own shards, this one included.
type Candidates struct {
	// Live are the nodes that claim what is free.
	Live []string
	// Stable are the nodes that have been live for long enough to be given shards that another node holds.
	Stable []string
}

// Owner keeps this node's authority over the shards of its failure domain.
type Owner struct {
	self   ledger.Writer
	domain string
	lease  time.Duration
	// until is when the authority over each shard ends on the monotonic clock.
	until [failuredomain.Shards]time.Time
	// tokens are the claims that until belongs to.
	tokens [failuredomain.Shards]platform.Offset
	// since is when this node began to send the claim that each token belongs to.
	since [failuredomain.Shards]time.Time
	// released are the claims that this node has given up, whether or not the log shows it yet.
	released [failuredomain.Shards]platform.Offset
	// claiming is set from the sending of a claim until its fate is known.
	claiming [failuredomain.Shards]bool
	// promised is until when this node has promised not to claim each shard.
	promised [failuredomain.Shards]time.Time
	// idle gives, for each node that did not claim a shard it was given, until when it is given none.
	idle      map[string]time.Time
	startedAt time.Time
	renewedAt time.Time
	movedAt   time.Time
}

// NewOwner returns an owner without any authority.
func NewOwner(self ledger.Writer, domain string, claimLease time.Duration) *Owner {
	return &Owner{self: self, domain: domain, lease: claimLease, idle: make(map[string]time.Time)}
}

// SetSelf changes the identity that claims are made under. It must be called before the first claim.
func (o *Owner) SetSelf(self ledger.Writer) { o.self = self }

// Holds reports whether the node may act for a shard at now, and under which token.
func (o *Owner) Holds(shard uint32, now time.Time) (platform.Offset, bool) {
	if shard >= failuredomain.Shards || !now.Before(o.until[shard]) {
		return 0, false
	}
	return o.tokens[shard], true
}

// Since returns when this node began to send its newest claim of a shard. Every earlier owner had stopped
// acting by then.
func (o *Owner) Since(shard uint32) time.Time { return o.since[shard%failuredomain.Shards] }

// Keeps reports whether the newest claim of a shard that this node knows of is its own, even when the
// authority has lapsed.
func (o *Owner) Keeps(l *ledger.Ledger, shard uint32) bool {
	return o.isMine(l.Claim(shard)) && o.tokens[shard%failuredomain.Shards] == l.Claim(shard).Token
}

// isMine reports whether c is a claim of this process that it has not given up.
func (o *Owner) isMine(c ledger.Claim) bool {
	return c.Token != 0 && c.Owner == o.self && !c.Released && o.released[c.Shard] != c.Token
}

// Token returns the shard's token in the form of the records.
func (o *Owner) Token(shard uint32) *record.ShardToken {
	return &record.ShardToken{Shard: shard, Token: uint64(o.tokens[shard])}
}

// Drop ends the authority over every shard, because the state of the log is not fully known.
func (o *Owner) Drop() {
	o.until = [failuredomain.Shards]time.Time{}
	o.tokens = [failuredomain.Shards]platform.Offset{}
}

// SettleClaims tells that no claim of this process is still to be read back.
func (o *Owner) SettleClaims() { o.claiming = [failuredomain.Shards]bool{} }

// Observe takes the results of one batch. sent is when this node began to append it, and own says that
// the batch is this node's.
func (o *Owner) Observe(l *ledger.Ledger, results []ledger.Result, sent time.Time, own bool) {
	for _, r := range results {
		switch body := r.Record.GetBody().(type) {
		case *record.Record_Claim:
			o.observeClaim(l, body.Claim.GetShard(), sent, own)
		case *record.Record_Renewal:
			for _, t := range body.Renewal.GetClaims() {
				o.observeRenewal(l, t, sent, own)
			}
		case *record.Record_Release:
			for _, t := range body.Release.GetClaims() {
				o.dropIfLost(l, t.GetShard())
			}
		}
	}
}

func (o *Owner) observeClaim(l *ledger.Ledger, shard uint32, sent time.Time, own bool) {
	if shard >= failuredomain.Shards {
		return
	}
	if own {
		o.claiming[shard] = false
	}
	if c := l.Claim(shard); own && o.isMine(c) && c.Token != o.tokens[shard] {
		o.tokens[shard] = c.Token
		o.since[shard] = sent
		o.until[shard] = lease.HolderEnd(sent, o.lease)
		return
	}
	o.dropIfLost(l, shard)
}

// observeRenewal extends the authority to the lease of a renewal that was accepted. Since the renewal was
// accepted, nobody has claimed the shard before it, and nobody can claim it without having read it.
func (o *Owner) observeRenewal(l *ledger.Ledger, t *record.ShardToken, sent time.Time, own bool) {
	shard := t.GetShard()
	if !own || shard >= failuredomain.Shards {
		return
	}
	c := l.Claim(shard)
	if !o.isMine(c) || uint64(c.Token) != t.GetToken() {
		return
	}
	o.tokens[shard] = c.Token
	o.extend(shard, lease.HolderEnd(sent, o.lease))
}

func (o *Owner) extend(shard uint32, until time.Time) {
	if until.After(o.until[shard]) {
		o.until[shard] = until
	}
}

// dropIfLost ends the authority over a shard that the ledger gives to somebody else or to nobody.
func (o *Owner) dropIfLost(l *ledger.Ledger, shard uint32) {
	if shard >= failuredomain.Shards {
		return
	}
	if c := l.Claim(shard); !o.isMine(c) || c.Token != o.tokens[shard] {
		o.until[shard] = time.Time{}
	}
}

// Decide returns the claims, renewals and releases that are due. A claim whose authority has lapsed is
// still renewed, since it stands until somebody else claims the shard.
func (o *Owner) Decide(l *ledger.Ledger, nodes Candidates, now time.Time) []*record.Record {
	if o.startedAt.IsZero() {
		o.startedAt = now
	}
	stable := o.withoutIdle(nodes.Stable, now)
	var records []*record.Record
	var renew, release []*record.ShardToken
	for shard := range uint32(failuredomain.Shards) {
		c := l.Claim(shard)
		switch {
		case o.isMine(c) && o.mayMove(shard, stable, now):
			o.movedAt = now
			release = append(release, &record.ShardToken{Shard: shard, Token: uint64(c.Token)})
		case o.isMine(c):
			renew = append(renew, &record.ShardToken{Shard: shard, Token: uint64(c.Token)})
		case o.mayClaim(c, nodes.Live, now):
			o.noteIdleHeir(c, now)
			o.claiming[shard] = true
			records = append(records, o.claim(c))
		}
	}
	if len(renew) > 0 && now.Sub(o.renewedAt) >= lease.RenewalPeriod(o.lease) {
		o.renewedAt = now
		records = append(records, &record.Record{Body: &record.Record_Renewal{Renewal: &record.Renewal{Claims: renew}}})
	}
	return append(records, o.releases(release, stable)...)
}

// noteIdleHeir notes that this node takes back a shard which the heir did not claim in time.
func (o *Owner) noteIdleHeir(c ledger.Claim, now time.Time) {
	if c.Released && c.Owner == o.self && c.Heir != "" && c.Heir != o.self.Node {
		o.idle[c.Heir] = now.Add(idleHeirLeases * o.lease)
	}
}

// withoutIdle returns the nodes that may be given shards.
func (o *Owner) withoutIdle(nodes []string, now time.Time) []string {
	return slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return now.Before(o.idle[n]) })
}

// mayMove reports whether a shard that this node holds is to be given to a stable node that comes before it.
func (o *Owner) mayMove(shard uint32, stable []string, now time.Time) bool {
	if _, held := o.Holds(shard, now); !held || now.Sub(o.movedAt) < o.lease/movesPerLease {
		return false
	}
	return failuredomain.Rank(failuredomain.ShardKey(o.domain, shard), stable, o.self.Node) > 0
}

// Release gives up every shard that the node holds, at a planned stop. heirs are the live nodes of the
// domain without this one.
func (o *Owner) Release(heirs []string, now time.Time) []*record.Record {
	var tokens []*record.ShardToken
	for shard := range uint32(failuredomain.Shards) {
		if _, held := o.Holds(shard, now); held {
			tokens = append(tokens, o.Token(shard))
		}
	}
	return o.releases(tokens, heirs)
}

// releases makes one record for each shard and ends the authority at once, before the record is read.
func (o *Owner) releases(tokens []*record.ShardToken, heirs []string) []*record.Record {
	records := make([]*record.Record, 0, len(tokens))
	for _, t := range tokens {
		o.until[t.GetShard()] = time.Time{}
		o.released[t.GetShard()] = platform.Offset(t.GetToken())
		heir := failuredomain.Rendezvous(failuredomain.ShardKey(o.domain, t.GetShard()), heirs)
		body := &record.Release{Claims: []*record.ShardToken{t}, Heir: heir}
		records = append(records, &record.Record{Body: &record.Record_Release{Release: body}})
	}
	return records
}

func (o *Owner) claim(c ledger.Claim) *record.Record {
	body := &record.Claim{
		Shard:    c.Shard,
		Replaces: uint64(c.Revision),
		LeaseMs:  uint64(o.lease.Milliseconds()),
	}
	return &record.Record{Body: &record.Record_Claim{Claim: body}}
}

// mayClaim reports whether nobody else can hold the shard any more, and whether it is this node's turn.
func (o *Owner) mayClaim(c ledger.Claim, live []string, now time.Time) bool {
	if o.claiming[c.Shard] || now.Before(o.promised[c.Shard]) {
		return false
	}
	if o.released[c.Shard] == c.Token && c.Token != 0 && !c.Released {
		return false
	}
	return !now.Before(o.turn(c, live))
}

// turn returns when this node may claim a shard: when it is free, plus a delay for each live node that
// comes before this one. The owner of a lapsed claim, an earlier process of this node included, may be
// paused and not dead, so its lease counts in any case.
func (o *Owner) turn(c ledger.Claim, live []string) time.Time {
	key := failuredomain.ShardKey(o.domain, c.Shard)
	switch {
	case c.Token == 0:
		return o.startedAt.Add(time.Duration(failuredomain.Rank(key, live, o.self.Node)) * rankDelay)
	case c.Released && c.Heir == o.self.Node:
		return c.SeenAt
	case c.Released:
		free := c.SeenAt
		if c.Heir != "" {
			free = free.Add(heirGrace)
		}
		return free.Add(time.Duration(failuredomain.Rank(key, live, o.self.Node)) * rankDelay)
	default:
		others := slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == c.Owner.Node && n != o.self.Node })
		free := lease.ObserverEnd(c.SeenAt, c.Lease)
		return free.Add(time.Duration(failuredomain.Rank(key, others, o.self.Node)) * rankDelay)
	}
}
