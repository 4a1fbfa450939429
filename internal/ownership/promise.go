package ownership

import (
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/lease"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

// promiseLeaseDivisor determines when an owner asks the other nodes for promises: when less than the lease
// duration divided by it remains of the owner's authority.
const promiseLeaseDivisor = 2

// Expiring returns the tokens of this node's claims whose authority has lapsed or ends within half a lease.
func (o *Owner) Expiring(l *ledger.Ledger, now time.Time) []*record.ShardToken {
	var tokens []*record.ShardToken
	for shard := range uint32(failuredomain.ShardsPerDomain) {
		if c := l.Claim(shard); o.isOwnClaim(c) && o.authorityEnd[shard].Sub(now) < o.lease/promiseLeaseDivisor {
			tokens = append(tokens, &record.ShardToken{Shard: shard, Token: uint64(c.Token)})
		}
	}
	return tokens
}

// GrantPromise promises requester that this node will not claim the shards in tokens for the duration d, but
// at most for a lease, and returns the promised shards. tokens are the requester's current claims.
// GrantPromise leaves out a shard if requester's claim is not the newest claim that this node knows of, or if
// a claim by this node may still be appended. The caller must have verified that this node cannot reach the
// log.
func (o *Owner) GrantPromise(l *ledger.Ledger, requester ledger.Writer, tokens []*record.ShardToken, d time.Duration, now time.Time) []uint32 {
	var granted []uint32
	for _, t := range tokens {
		shard := t.GetShard()
		if shard >= failuredomain.ShardsPerDomain || o.claimPending[shard] {
			continue
		}
		c := l.Claim(shard)
		if c.Owner != requester || c.Released || c.Token != platform.Offset(t.GetToken()) {
			continue
		}
		if until := lease.ObserverExpiry(now, min(d, o.lease)); until.After(o.promisedUntil[shard]) {
			o.promisedUntil[shard] = until
		}
		granted = append(granted, shard)
	}
	return granted
}

// Extend extends the authority over the shard of t to the end of a lease counted from sent, which is when this
// node started to ask for promises. Every other node must have promised not to claim the shard. Extend has no
// effect if t is not the token of this node's current claim.
func (o *Owner) Extend(l *ledger.Ledger, t *record.ShardToken, sent time.Time) {
	c := l.Claim(t.GetShard())
	if !o.isOwnClaim(c) || c.Token != platform.Offset(t.GetToken()) {
		return
	}
	o.tokens[c.Shard] = c.Token
	o.extend(c.Shard, lease.HolderExpiry(sent, o.lease))
}
