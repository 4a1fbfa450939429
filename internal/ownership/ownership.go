// Package ownership decides which shards of its failure domain a node claims, renews and releases.
//
// Its inputs are the ledger and the lists of live and stable nodes. It returns the records to append to the
// log and does no I/O.
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
	// successorGrace is how long other nodes wait for the successor of a released shard to claim it.
	successorGrace = time.Second
	// rankDelay is the delay after which the next candidate claims a free shard if those ranked before it
	// have not claimed it.
	rankDelay = 300 * time.Millisecond
	// movesPerLease is the maximum number of shards that a node releases to other nodes within one lease.
	movesPerLease = 2
	// idleSuccessorLeases is how long a node gets no more shards after it did not claim a shard released to
	// it, in lease durations. Such a node may be live but unable to reach the log.
	idleSuccessorLeases = 10
)

// Candidates lists the nodes of the failure domain that may own shards, including this one.
type Candidates struct {
	// Live lists the nodes that may claim free shards.
	Live []string
	// Stable lists the nodes that have been live for long enough that other nodes release shards to them.
	Stable []string
}

// Owner tracks this node's authority over the shards of its failure domain. The node may act for a
// shard only until its authority over it ends.
type Owner struct {
	self   ledger.Writer
	domain string
	lease  time.Duration
	// authorityEnd is when the authority over each shard ends, on the monotonic clock.
	authorityEnd [failuredomain.ShardsPerDomain]time.Time
	// tokens holds the token of the claim to which each authorityEnd belongs.
	tokens [failuredomain.ShardsPerDomain]platform.Offset
	// claimSentAt is when this node started to send the claim of each token.
	claimSentAt [failuredomain.ShardsPerDomain]time.Time
	// releasedTokens holds, by shard, the token of the claim that this node last released, even if this node
	// has not read the release back from the log yet.
	releasedTokens [failuredomain.ShardsPerDomain]platform.Offset
	// claimPending is set from when a claim is sent until it is known whether it was accepted.
	claimPending [failuredomain.ShardsPerDomain]bool
	// promisedUntil is the time before which this node has promised not to claim each shard.
	promisedUntil [failuredomain.ShardsPerDomain]time.Time
	// excludedUntil holds the nodes that did not claim a shard released to them, with the time before which
	// no more shards are released to them.
	excludedUntil map[string]time.Time
	startedAt     time.Time
	renewedAt     time.Time
	// movedAt is when this node last released a shard to another node in Decide.
	movedAt time.Time
}

// NewOwner returns an owner that has no authority over any shard.
func NewOwner(self ledger.Writer, domain string, claimLease time.Duration) *Owner {
	return &Owner{self: self, domain: domain, lease: claimLease, excludedUntil: make(map[string]time.Time)}
}

// SetSelf sets the identity under which claims are made. It must be called before the first claim.
func (o *Owner) SetSelf(self ledger.Writer) { o.self = self }

// Authority returns the token under which the node may act for a shard at now, or false if it may not.
func (o *Owner) Authority(shard uint32, now time.Time) (platform.Offset, bool) {
	if shard >= failuredomain.ShardsPerDomain || !now.Before(o.authorityEnd[shard]) {
		return 0, false
	}
	return o.tokens[shard], true
}

// ClaimSentAt returns when this node started to send its newest accepted claim of a shard, or the zero time
// if there is none. All earlier owners had stopped acting by then.
func (o *Owner) ClaimSentAt(shard uint32) time.Time {
	return o.claimSentAt[shard%failuredomain.ShardsPerDomain]
}

// HasNewestClaim reports whether the newest known claim of a shard is this node's, even if its authority has
// lapsed. After DropAll it returns false until a claim or renewal by this node is accepted or Extend is
// called for the shard.
func (o *Owner) HasNewestClaim(l *ledger.Ledger, shard uint32) bool {
	return o.isOwnClaim(l.Claim(shard)) && o.tokens[shard%failuredomain.ShardsPerDomain] == l.Claim(shard).Token
}

// isOwnClaim reports whether c is a claim that this process made and has not released.
func (o *Owner) isOwnClaim(c ledger.Claim) bool {
	return c.Token != 0 && c.Owner == o.self && !c.Released && o.releasedTokens[c.Shard] != c.Token
}

// Token returns the token of a shard as it is written in records.
func (o *Owner) Token(shard uint32) *record.ShardToken {
	return &record.ShardToken{Shard: shard, Token: uint64(o.tokens[shard])}
}

// DropAll ends the authority over all shards. A node calls it when entries of the log are missing or cannot
// be read, because it may then have missed another node's claim, and when it replaces its ledger.
func (o *Owner) DropAll() {
	o.authorityEnd = [failuredomain.ShardsPerDomain]time.Time{}
	o.tokens = [failuredomain.ShardsPerDomain]platform.Offset{}
}

// ClearPendingClaims clears claimPending for all shards. It may be called only if no batch of this process is
// in flight.
func (o *Owner) ClearPendingClaims() { o.claimPending = [failuredomain.ShardsPerDomain]bool{} }

// NotSent tells the owner that records which it returned will not be written, because the queue of the log does not take them. Claims
// may be made again, and a claim that was to be released is renewed again.
func (o *Owner) NotSent(records ...*record.Record) {
	for _, r := range records {
		switch body := r.GetBody().(type) {
		case *record.Record_Claim:
			o.claimPending[body.Claim.GetShard()] = false
		case *record.Record_Release:
			for _, t := range body.Release.GetClaims() {
				o.releasedTokens[t.GetShard()] = 0
			}
		}
	}
}

// Observe updates the authority from the results of one batch that was read from the log. own is set if this
// node wrote the batch, and sent is when it started to append it.
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

// observeClaim starts the authority over a shard if this node's claim was accepted, and ends it if the shard
// has another claim.
func (o *Owner) observeClaim(l *ledger.Ledger, shard uint32, sent time.Time, own bool) {
	if shard >= failuredomain.ShardsPerDomain {
		return
	}
	if own {
		o.claimPending[shard] = false
	}
	if c := l.Claim(shard); own && o.isOwnClaim(c) && c.Token != o.tokens[shard] {
		o.tokens[shard] = c.Token
		o.claimSentAt[shard] = sent
		o.authorityEnd[shard] = lease.HolderExpiry(sent, o.lease)
		return
	}
	o.dropIfLost(l, shard)
}

// observeRenewal extends the authority by the lease of an accepted renewal of this node. Because the renewal
// was accepted, no other node claimed the shard before it, and no other node can claim it without having read
// it.
func (o *Owner) observeRenewal(l *ledger.Ledger, t *record.ShardToken, sent time.Time, own bool) {
	shard := t.GetShard()
	if !own || shard >= failuredomain.ShardsPerDomain {
		return
	}
	c := l.Claim(shard)
	if !o.isOwnClaim(c) || uint64(c.Token) != t.GetToken() {
		return
	}
	o.tokens[shard] = c.Token
	o.extend(shard, lease.HolderExpiry(sent, o.lease))
}

// extend moves the end of the authority over a shard to until, unless it already is later.
func (o *Owner) extend(shard uint32, until time.Time) {
	if until.After(o.authorityEnd[shard]) {
		o.authorityEnd[shard] = until
	}
}

// dropIfLost ends the authority over a shard unless the ledger shows this node's claim as the current one.
func (o *Owner) dropIfLost(l *ledger.Ledger, shard uint32) {
	if shard >= failuredomain.ShardsPerDomain {
		return
	}
	if c := l.Claim(shard); !o.isOwnClaim(c) || c.Token != o.tokens[shard] {
		o.authorityEnd[shard] = time.Time{}
	}
}

// Decide returns the claims, renewals and releases that are due. A claim whose authority has lapsed is still
// renewed, because it remains valid until another node claims the shard.
func (o *Owner) Decide(l *ledger.Ledger, nodes Candidates, now time.Time) []*record.Record {
	if o.startedAt.IsZero() {
		o.startedAt = now
	}
	stable := o.withoutExcluded(nodes.Stable, now)
	var records []*record.Record
	var renew, release []*record.ShardToken
	for shard := range uint32(failuredomain.ShardsPerDomain) {
		c := l.Claim(shard)
		switch {
		case o.isOwnClaim(c) && o.shouldMove(shard, stable, now):
			o.movedAt = now
			release = append(release, &record.ShardToken{Shard: shard, Token: uint64(c.Token)})
		case o.isOwnClaim(c):
			renew = append(renew, &record.ShardToken{Shard: shard, Token: uint64(c.Token)})
		case o.mayClaim(c, nodes.Live, now):
			o.excludeIdleSuccessor(c, now)
			o.claimPending[shard] = true
			records = append(records, o.claimRecord(c))
		}
	}
	if len(renew) > 0 && now.Sub(o.renewedAt) >= lease.RenewalPeriod(o.lease) {
		o.renewedAt = now
		records = append(records, &record.Record{Body: &record.Record_Renewal{Renewal: &record.Renewal{Claims: renew}}})
	}
	return append(records, o.releaseRecords(release, stable)...)
}

// excludeIdleSuccessor excludes the successor of a shard from further releases, if this node reclaims the
// shard because the successor did not claim it in time.
func (o *Owner) excludeIdleSuccessor(c ledger.Claim, now time.Time) {
	if c.Released && c.Owner == o.self && c.Successor != "" && c.Successor != o.self.Node {
		o.excludedUntil[c.Successor] = now.Add(idleSuccessorLeases * o.lease)
	}
}

// withoutExcluded returns the nodes to which shards may be released.
func (o *Owner) withoutExcluded(nodes []string, now time.Time) []string {
	return slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return now.Before(o.excludedUntil[n]) })
}

// shouldMove reports whether to release a shard that this node holds, because a stable node ranks before it
// for the shard and the last such release was long enough ago.
func (o *Owner) shouldMove(shard uint32, stable []string, now time.Time) bool {
	if _, held := o.Authority(shard, now); !held || now.Sub(o.movedAt) < o.lease/movesPerLease {
		return false
	}
	return failuredomain.Rank(failuredomain.ShardKey(o.domain, shard), stable, o.self.Node) > 0
}

// Release returns the records that release every shard that the node holds, for a planned stop. successors
// are the other live nodes of the failure domain.
func (o *Owner) Release(successors []string, now time.Time) []*record.Record {
	var tokens []*record.ShardToken
	for shard := range uint32(failuredomain.ShardsPerDomain) {
		if _, held := o.Authority(shard, now); held {
			tokens = append(tokens, o.Token(shard))
		}
	}
	return o.releaseRecords(tokens, successors)
}

// releaseRecords returns one release record for each shard. It ends the authority immediately, before the
// record is read back from the log.
func (o *Owner) releaseRecords(tokens []*record.ShardToken, successors []string) []*record.Record {
	records := make([]*record.Record, 0, len(tokens))
	for _, t := range tokens {
		o.authorityEnd[t.GetShard()] = time.Time{}
		o.releasedTokens[t.GetShard()] = platform.Offset(t.GetToken())
		successor := failuredomain.Rendezvous(failuredomain.ShardKey(o.domain, t.GetShard()), successors)
		body := &record.Release{Claims: []*record.ShardToken{t}, Heir: successor}
		records = append(records, &record.Record{Body: &record.Record_Release{Release: body}})
	}
	return records
}

// claimRecord returns a record that claims the shard of c and replaces c.
func (o *Owner) claimRecord(c ledger.Claim) *record.Record {
	body := &record.Claim{
		Shard:    c.Shard,
		Replaces: uint64(c.Revision),
		LeaseMs:  uint64(o.lease.Milliseconds()),
	}
	return &record.Record{Body: &record.Record_Claim{Claim: body}}
}

// mayClaim reports whether no other node can have authority over the shard any more and this node may claim
// it now.
func (o *Owner) mayClaim(c ledger.Claim, live []string, now time.Time) bool {
	if o.claimPending[c.Shard] || now.Before(o.promisedUntil[c.Shard]) {
		return false
	}
	if o.releasedTokens[c.Shard] == c.Token && c.Token != 0 && !c.Released {
		return false
	}
	return !now.Before(o.claimableAt(c, live))
}

// claimableAt returns when this node may claim a shard: the time at which the shard becomes free, plus a
// delay for each live node that ranks before this one. The lease of an unreleased claim always has to expire
// first, even if an earlier process of this node made it, because that process may be paused rather than
// dead.
func (o *Owner) claimableAt(c ledger.Claim, live []string) time.Time {
	key := failuredomain.ShardKey(o.domain, c.Shard)
	switch {
	case c.Token == 0:
		return o.startedAt.Add(time.Duration(failuredomain.Rank(key, live, o.self.Node)) * rankDelay)
	case c.Released && c.Successor == o.self.Node:
		return c.SeenAt
	case c.Released:
		free := c.SeenAt
		if c.Successor != "" {
			free = free.Add(successorGrace)
		}
		return free.Add(time.Duration(failuredomain.Rank(key, live, o.self.Node)) * rankDelay)
	default:
		others := slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == c.Owner.Node && n != o.self.Node })
		free := lease.ObserverExpiry(c.SeenAt, c.Lease)
		return free.Add(time.Duration(failuredomain.Rank(key, others, o.self.Node)) * rankDelay)
	}
}
