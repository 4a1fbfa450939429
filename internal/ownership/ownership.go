// Package ownership decides which shards of its failure domain a node claims, renews and gives up.
//
// It is a system over the ledger and the membership: it returns records to append and touches no socket.
package ownership

import (
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/lease"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

// heirGrace is how long the heir of a released shard has before anybody else claims it.
const heirGrace = time.Second

// Owner keeps this node's authority over the shards of its failure domain.
type Owner struct {
	self   ledger.Writer
	domain string
	lease  time.Duration
	// until is when the authority over each shard ends on the monotonic clock.
	until [failuredomain.Shards]time.Time
	// tokens are the claims that until belongs to.
	tokens [failuredomain.Shards]platform.Offset
	// requested is when a claim of each shard was last sent.
	requested [failuredomain.Shards]time.Time
	renewedAt time.Time
}

// NewOwner returns an owner without any authority.
func NewOwner(self ledger.Writer, domain string, claimLease time.Duration) *Owner {
	return &Owner{self: self, domain: domain, lease: claimLease}
}

// Holds reports whether the node may act for a shard at now, and under which token.
func (o *Owner) Holds(shard uint32, now time.Time) (platform.Offset, bool) {
	if shard >= failuredomain.Shards || !now.Before(o.until[shard]) {
		return 0, false
	}
	return o.tokens[shard], true
}

// Token returns the shard's token in the form of the records.
func (o *Owner) Token(shard uint32) *record.ShardToken {
	return &record.ShardToken{Shard: shard, Token: uint64(o.tokens[shard])}
}

// Observe takes the results of one batch. sent is when this node began to append it, and own says that
// the batch is this node's.
func (o *Owner) Observe(l *ledger.Ledger, results []ledger.Result, sent time.Time, own bool) {
	for _, r := range results {
		if r.Rejection != ledger.Accepted && r.Rejection != ledger.StaleToken {
			continue
		}
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

// Drop ends the authority over every shard, because the state of the log is not fully known.
func (o *Owner) Drop() {
	o.until = [failuredomain.Shards]time.Time{}
	o.tokens = [failuredomain.Shards]platform.Offset{}
}

func (o *Owner) observeClaim(l *ledger.Ledger, shard uint32, sent time.Time, own bool) {
	c := l.Claim(shard)
	if own && c.Owner == o.self && !c.Released {
		o.tokens[shard] = c.Token
		o.until[shard] = lease.HolderEnd(sent, o.lease)
		return
	}
	o.dropIfLost(l, shard)
}

func (o *Owner) observeRenewal(l *ledger.Ledger, t *record.ShardToken, sent time.Time, own bool) {
	shard := t.GetShard()
	if !own || shard >= failuredomain.Shards {
		return
	}
	c := l.Claim(shard)
	if c.Owner == o.self && !c.Released && uint64(c.Token) == t.GetToken() && o.tokens[shard] == c.Token {
		o.until[shard] = lease.HolderEnd(sent, o.lease)
	}
}

// dropIfLost ends the authority over a shard that the ledger gives to somebody else or to nobody.
func (o *Owner) dropIfLost(l *ledger.Ledger, shard uint32) {
	if shard >= failuredomain.Shards {
		return
	}
	c := l.Claim(shard)
	if c.Owner != o.self || c.Released || c.Token != o.tokens[shard] {
		o.until[shard] = time.Time{}
	}
}

// Decide returns the claims, renewals and releases that are due. live are the names of the domain's live
// nodes, this one included.
func (o *Owner) Decide(l *ledger.Ledger, live []string, now time.Time) []*record.Record {
	var records []*record.Record
	var renew, release []*record.ShardToken
	for shard := range uint32(failuredomain.Shards) {
		c := l.Claim(shard)
		wanted := failuredomain.Rendezvous(failuredomain.ShardKey(o.domain, shard), live)
		_, held := o.Holds(shard, now)
		switch {
		case held && wanted != o.self.Node:
			release = append(release, o.Token(shard))
		case held:
			renew = append(renew, o.Token(shard))
		case wanted == o.self.Node && o.mayClaim(c, now):
			o.requested[shard] = now
			records = append(records, o.claim(c))
		}
	}
	if len(renew) > 0 && now.Sub(o.renewedAt) >= lease.RenewalPeriod(o.lease) {
		o.renewedAt = now
		records = append(records, &record.Record{Body: &record.Record_Renewal{Renewal: &record.Renewal{Claims: renew}}})
	}
	return append(records, o.releases(release, live)...)
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

// mayClaim reports whether nobody else can hold the shard any more.
func (o *Owner) mayClaim(c ledger.Claim, now time.Time) bool {
	if now.Sub(o.requested[c.Shard]) < o.lease/2 && !o.requested[c.Shard].IsZero() {
		return false
	}
	switch {
	case c.Token == 0:
		return true
	case c.Released:
		return c.Heir == o.self.Node || c.Heir == "" || now.Sub(c.SeenAt) >= heirGrace
	case c.Owner.Node == o.self.Node && c.Owner.Incarnation < o.self.Incarnation:
		// An earlier process of this node. It may be paused and not dead, so its lease counts.
		return now.After(lease.ObserverEnd(c.SeenAt, c.Lease))
	default:
		return now.After(lease.ObserverEnd(c.SeenAt, c.Lease))
	}
}
