package node

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/peer"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
)

const (
	// promiseAsksPerLease is how often an owner asks for promises within one lease.
	promiseAsksPerLease = 6
	// promiseTimeout bounds one call to a sibling.
	promiseTimeout = time.Second
)

// promiseRound collects the answers of all siblings to one question.
type promiseRound struct {
	sent    time.Time
	tokens  []*record.ShardToken
	waiting int
	granted map[uint32]int
	asked   int
}

// askPromises asks every sibling not to claim the shards whose renewals the log does not confirm.
func (e *engine) askPromises(now time.Time) {
	period := e.settings.Scheduling.ClaimLease.Std() / promiseAsksPerLease
	if e.stopping || !e.current() || now.Sub(e.promisesAskedAt) < period {
		return
	}
	tokens := e.owner.Expiring(e.ledger, now)
	if len(tokens) == 0 || !e.logDown() || e.listReadAt.IsZero() {
		// Without the list there may be siblings that this node has never heard of.
		return
	}
	e.promisesAskedAt = now
	siblings := e.siblings(now)
	round := &promiseRound{sent: now, tokens: tokens, waiting: len(siblings), asked: len(siblings), granted: make(map[uint32]int)}
	if len(siblings) == 0 {
		e.finishPromises(round)
		return
	}
	for _, address := range siblings {
		go e.askPromise(address, e.promiseRequest(tokens), round)
	}
}

func (e *engine) promiseRequest(tokens []*record.ShardToken) *peer.PromiseRequest {
	req := &peer.PromiseRequest{
		Node:          e.self.Node,
		Incarnation:   e.self.Incarnation,
		FailureDomain: e.settings.FailureDomain,
		ForMs:         uint64(e.settings.Scheduling.ClaimLease.Std().Milliseconds()),
	}
	for _, t := range tokens {
		req.Shards = append(req.Shards, t.GetShard())
		req.Tokens = append(req.Tokens, t.GetToken())
	}
	return req
}

func (e *engine) askPromise(address string, req *peer.PromiseRequest, round *promiseRound) {
	ctx, cancel := context.WithTimeout(e.ctx, promiseTimeout)
	defer cancel()
	reply, err := e.peers(address).Promise(ctx, req)
	e.post(func(time.Time) {
		round.waiting--
		if err != nil {
			e.metrics.count("cactuswall_promises_total", "result", "unanswered")
		}
		for _, shard := range reply.GetGranted() {
			round.granted[shard]++
		}
		if round.waiting == 0 {
			e.finishPromises(round)
		}
	})
}

// finishPromises extends the authority over the shards that every sibling has promised not to claim.
func (e *engine) finishPromises(round *promiseRound) {
	for _, t := range round.tokens {
		if round.granted[t.GetShard()] < round.asked {
			e.metrics.count("cactuswall_promises_total", "result", "refused")
			continue
		}
		e.metrics.count("cactuswall_promises_total", "result", "granted")
		e.owner.Extend(e.ledger, t, round.sent)
	}
}

// logDown reports whether this node cannot read or cannot write its domain stream.
func (e *engine) logDown() bool {
	follower := e.domainFollower.Load()
	return (follower != nil && follower.Down()) || e.domainWriter.Failing()
}

// siblings returns the peer addresses of every other node that may claim shards of this failure domain: the
// nodes of the list, and those known from exchanges unless they have left or died and are gone from the
// list.
func (e *engine) siblings(now time.Time) []string {
	addresses := make(map[string]bool)
	for _, vm := range e.vms {
		if vm.Kind == platform.EntryVM && vm.FailureDomain == e.settings.FailureDomain {
			addresses[vm.Address] = true
		}
	}
	for _, m := range e.members.All() {
		if m.FailureDomain != e.settings.FailureDomain || m.Node == e.self.Node {
			continue
		}
		switch e.members.StateOf(m.Node, now) {
		case membership.Leaving, membership.Dead:
			// The list tells of such a node only when it was read after the node fell silent. A node that is
			// leaving may have owned shards until a moment ago, and may be back under the same address.
			if !e.listReadAt.After(m.AdvancedAt.Add(e.settings.Membership.DeadAfter.Std())) {
				addresses[m.Address] = true
			}
		default:
			addresses[m.Address] = true
		}
	}
	delete(addresses, e.settings.PeerAddress)
	list := make([]string, 0, len(addresses))
	for address := range addresses {
		list = append(list, address)
	}
	return list
}

// Promise implements peer.Peer. A node that can reach the log promises nothing: it takes over instead.
func (s peerServer) Promise(ctx context.Context, req *peer.PromiseRequest) (*peer.PromiseReply, error) {
	reply := &peer.PromiseReply{}
	e := s.engine
	answered := e.ask(ctx, func(now time.Time) {
		if req.GetFailureDomain() != e.settings.FailureDomain || len(req.GetShards()) != len(req.GetTokens()) || !e.logDown() {
			return
		}
		tokens := make([]*record.ShardToken, len(req.GetShards()))
		for i, shard := range req.GetShards() {
			tokens[i] = &record.ShardToken{Shard: shard, Token: req.GetTokens()[i]}
		}
		asker := ledger.Writer{Node: req.GetNode(), Incarnation: req.GetIncarnation()}
		reply.Granted = e.owner.Promise(e.ledger, asker, tokens, time.Duration(req.GetForMs())*time.Millisecond, now)
	})
	if !answered {
		return nil, errStopping
	}
	return reply, nil
}
