package ownership

import (
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/lease"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

// promiseMargin is the part of the lease below which an owner asks its siblings for promises.
const promiseMargin = 2

// Expiring returns the tokens of the own claims whose authority has lapsed or ends within half a lease.
func (o *Owner) Expiring(l *ledger.Ledger, now time.Time) []*record.ShardToken {
	var tokens []*record.ShardToken
	for shard := range uint32(failuredomain.Shards) {
		if c := l.Claim(shard); o.isMine(c) && o.until[shard].Sub(now) < o.lease/promiseMargin {
			tokens = append(tokens, &record.ShardToken{Shard: shard, Token: uint64(c.Token)})
		}
	}
	return tokens
}

// Promise promises asker not to claim its shards for a time, and returns the shards promised. It refuses
// where the claim is not the newest that this node knows of, and where a claim of this node's own may
// still land. The caller must have made sure that this node cannot reach the log.
func (o *Owner) Promise(l *ledger.Ledger, asker ledger.Writer, tokens []*record.ShardToken, d time.Duration, now time.Time) []uint32 {
	var granted []uint32
	for _, t := range tokens {
		shard := t.GetShard()
		if shard >= failuredomain.Shards || o.claiming[shard] {
			continue
		}
		c := l.Claim(shard)
		if c.Owner != asker || c.Released || c.Token != platform.Offset(t.GetToken()) {
			continue
		}
		if until := lease.ObserverEnd(now, min(d, o.lease)); until.After(o.promised[shard]) {
			o.promised[shard] = until
		}
		granted = append(granted, shard)
	}
	return granted
}

// Extend extends the authority over a shard for which every sibling has made a promise. sent is when this
// node began to ask.
func (o *Owner) Extend(l *ledger.Ledger, t *record.ShardToken, sent time.Time) {
	c := l.Claim(t.GetShard())
	if !o.isMine(c) || c.Token != platform.Offset(t.GetToken()) {
		return
	}
	o.tokens[c.Shard] = c.Token
	o.extend(c.Shard, lease.HolderEnd(sent, o.lease))
}
