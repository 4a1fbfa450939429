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
	// claimPromiseRequestsPerLease is how often per claim lease a node requests promises.
	claimPromiseRequestsPerLease = 6
	// claimPromiseTimeout bounds one call to a peer.
	claimPromiseTimeout = time.Second
)

// claimPromiseRound collects the replies of all peers in the failure domain to one request. A promise is a
// peer's commitment not to claim a shard for one claim lease.
type claimPromiseRound struct {
	// sent is when the request was sent, and tokens are the claims that it asked about.
	sent   time.Time
	tokens []*record.ShardToken
	// waiting is the number of peers whose call has not ended yet.
	waiting int
	// granted is the number of peers that made the promise, by shard.
	granted map[uint32]int
	// asked is the number of peers that were asked.
	asked int
}

// requestClaimPromises asks every peer in the failure domain to promise not to claim the shards whose lease
// renewals the log does not confirm. It does so only while this node cannot use the log.
func (e *engine) requestClaimPromises(now time.Time) {
	period := e.settings.Scheduling.ClaimLease.Std() / claimPromiseRequestsPerLease
	if e.stopping || !e.domainStateComplete() || now.Sub(e.claimPromisesRequestedAt) < period {
		return
	}
	tokens := e.owner.Expiring(e.ledger, now)
	if len(tokens) == 0 || !e.logDown() || e.listReadAt.IsZero() {
		// Before the VM list has been read, the domain may have nodes that this node does not know of.
		return
	}
	e.claimPromisesRequestedAt = now
	peers := e.domainPeers(now)
	round := &claimPromiseRound{sent: now, tokens: tokens, waiting: len(peers), asked: len(peers), granted: make(map[uint32]int)}
	if len(peers) == 0 {
		e.applyClaimPromises(round)
		return
	}
	for _, address := range peers {
		go e.requestClaimPromise(address, e.claimPromiseRequest(tokens), round)
	}
}

func (e *engine) claimPromiseRequest(tokens []*record.ShardToken) *peer.PromiseRequest {
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

func (e *engine) requestClaimPromise(address string, req *peer.PromiseRequest, round *claimPromiseRound) {
	ctx, cancel := context.WithTimeout(e.ctx, claimPromiseTimeout)
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
			e.applyClaimPromises(round)
		}
	})
}

// applyClaimPromises extends the claims on the shards that every peer in the domain has promised not to claim.
func (e *engine) applyClaimPromises(round *claimPromiseRound) {
	for _, t := range round.tokens {
		if round.granted[t.GetShard()] < round.asked {
			e.metrics.count("cactuswall_promises_total", "result", "refused")
			continue
		}
		e.metrics.count("cactuswall_promises_total", "result", "granted")
		e.owner.Extend(e.ledger, t, round.sent)
	}
}

// logDown reports whether this node is unable to read or to write its domain stream.
func (e *engine) logDown() bool {
	follower := e.domainFollower.Load()
	return (follower != nil && follower.Failing()) || e.domainWriter.Failing()
}

// domainPeers returns the peer addresses of all other nodes that may claim shards of this failure domain:
// the entry VMs in the list and the members known from gossip, except members that have left or died and
// are no longer in the list.
func (e *engine) domainPeers(now time.Time) []string {
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
			// Absence from the list counts only if the list was read after the node fell silent. A leaving
			// node may have held shards until recently, and may return under the same address.
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

// Promise implements peer.Peer. A node that can use the log grants nothing, since it can take over the shards.
func (s peerServer) Promise(ctx context.Context, req *peer.PromiseRequest) (*peer.PromiseReply, error) {
	reply := &peer.PromiseReply{}
	e := s.engine
	answered := e.runAndWait(ctx, func(now time.Time) {
		if req.GetFailureDomain() != e.settings.FailureDomain || len(req.GetShards()) != len(req.GetTokens()) || !e.logDown() {
			return
		}
		tokens := make([]*record.ShardToken, len(req.GetShards()))
		for i, shard := range req.GetShards() {
			tokens[i] = &record.ShardToken{Shard: shard, Token: req.GetTokens()[i]}
		}
		requester := ledger.Writer{Node: req.GetNode(), Incarnation: req.GetIncarnation()}
		reply.Granted = e.owner.GrantPromise(e.ledger, requester, tokens, time.Duration(req.GetForMs())*time.Millisecond, now)
	})
	if !answered {
		return nil, errUnavailable
	}
	return reply, nil
}
