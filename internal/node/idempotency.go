package node

import (
	"context"
	"sync/atomic"
	"time"

	"cactuswall.example/cactuswall/internal/journal"

	"cactuswall.example/cactuswall/internal/caller"
	"cactuswall.example/cactuswall/internal/idempotency"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/peer"
	"cactuswall.example/cactuswall/internal/record"
)

// maxKeyNodes is the maximum number of nodes in a key's home failure domain that are asked about the key.
const maxKeyNodes = 2

// idempotencyKeys implements caller.IdempotencyKeys. It forwards each operation to a node of the key's home
// failure domain (see idempotency.Key.HomeDomain), which may be this node.
type idempotencyKeys struct {
	node        *Node
	lastAttempt atomic.Uint64
}

// Begin implements caller.IdempotencyKeys. The nodes that it asks share half of the time left in ctx. ctx must
// have a deadline; without one, they would not wait for the log to confirm a new key.
func (o *idempotencyKeys) Begin(ctx context.Context, key idempotency.Key) (caller.KeyDecision, caller.KeyClaim) {
	self := o.node.engine.self
	claim := caller.KeyClaim{
		Key:     key,
		Attempt: idempotency.Attempt{Node: self.Node, Incarnation: self.Incarnation, Number: o.lastAttempt.Add(1)},
	}
	addresses := o.homeAddresses(ctx, key)
	if len(addresses) == 0 {
		return caller.KeyUnknown, claim
	}
	claim.NodeAddress = addresses[0]
	deadline, _ := ctx.Deadline()
	wait := time.Until(deadline) / 2 / time.Duration(len(addresses))
	for _, address := range addresses {
		claim.NodeAddress = address
		reply, err := o.client(address).BeginKey(ctx, &peer.BeginKeyRequest{
			Key:     key[:],
			Attempt: attemptToProto(claim.Attempt),
			WaitMs:  uint64(max(0, wait.Milliseconds())),
		})
		if err == nil && reply.GetState() != peer.KeyState_KEY_STATE_UNKNOWN {
			return keyDecisionFromProto(reply.GetState()), claim
		}
	}
	return caller.KeyUnknown, claim
}

// End implements caller.IdempotencyKeys. It does not wait for the call; if the call fails, the key stays in
// use.
func (o *idempotencyKeys) End(claim caller.KeyClaim, notRun bool) {
	if claim.NodeAddress == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(o.node.ctx, exchangeTimeout)
		defer cancel()
		_, _ = o.client(claim.NodeAddress).EndKey(ctx, &peer.EndKeyRequest{
			Key:     claim.Key[:],
			Attempt: attemptToProto(claim.Attempt),
			NotRun:  notRun,
		})
	}()
}

// client returns a client for the node at address. For this node's own address it returns the local server.
func (o *idempotencyKeys) client(address string) peer.Peer {
	s := o.node.settings
	if address == s.PeerAddress {
		return peerServer{engine: o.node.engine}
	}
	return peer.NewClient(address, s.PeerKey, o.node.options.Peers)
}

// homeAddresses returns the addresses of the nodes to ask about a key. If this node is in the key's home
// failure domain, it is the only one.
func (o *idempotencyKeys) homeAddresses(ctx context.Context, key idempotency.Key) []string {
	e := o.node.engine
	var addresses []string
	e.runAndWait(ctx, func(now time.Time) {
		activeManifest := e.activeManifest
		if activeManifest == nil {
			return
		}
		homeDomain := key.HomeDomain(activeManifest.Manifest.DomainNames())
		if homeDomain == e.settings.FailureDomain {
			addresses = append(addresses, e.settings.PeerAddress)
			return
		}
		for _, m := range e.members.All() {
			if m.FailureDomain == homeDomain && e.members.StateOf(m.Node, now) == membership.Live && len(addresses) < maxKeyNodes {
				addresses = append(addresses, m.Address)
			}
		}
	})
	return addresses
}

func attemptToProto(a idempotency.Attempt) *peer.KeyAttempt {
	return &peer.KeyAttempt{Node: a.Node, Incarnation: a.Incarnation, Number: a.Number}
}

func keyDecisionFromProto(s peer.KeyState) caller.KeyDecision {
	switch s {
	case peer.KeyState_KEY_STATE_GRANTED:
		return caller.KeyGranted
	case peer.KeyState_KEY_STATE_BEGUN:
		return caller.KeyInProgress
	case peer.KeyState_KEY_STATE_RAN:
		return caller.KeyRan
	default:
		return caller.KeyUnknown
	}
}

// keyWaiters holds a channel for each attempt that waits for its record to be read back from the log. The
// channel receives whether the attempt was granted the key.
type keyWaiters map[idempotency.Attempt]chan bool

// applyKeyRecords applies the idempotency-key records of an entry in the domain stream. An entry written with
// a newer schema may hold key records that this version cannot read, so it makes all keys unknown.
func (e *engine) applyKeyRecords(d journal.Delivery, now time.Time) {
	if d.Gap {
		e.handleKeyGap(now)
	}
	if d.NewerSchema {
		e.markKeysUnknown(now)
	}
	for _, r := range d.Batch.GetRecords() {
		e.applyKeyRecord(r, now)
	}
}

// applyKeyRecord applies an idempotency-key record and notifies the attempt that waits for it.
func (e *engine) applyKeyRecord(r *record.Record, now time.Time) {
	attempt, granted, begin := e.keys.Apply(r, now)
	if waiter := e.keyWaiters[attempt]; begin && waiter != nil {
		delete(e.keyWaiters, attempt)
		waiter <- granted
	}
}

// handleKeyGap marks all keys unknown when the log's retention has removed records that this node has not
// read. While the node first reads the log, it does not: the log keeps records for longer than the lifetime of
// a key, so the gap is harmless.
func (e *engine) handleKeyGap(now time.Time) {
	if e.caughtUp {
		e.markKeysUnknown(now)
	}
}

// markKeysUnknown makes every key unknown for one key lifetime, after which all earlier keys have expired.
func (e *engine) markKeysUnknown(now time.Time) {
	e.keysUnknownUntil = now.Add(e.settings.Callers.KeyLifetime.Std())
}

// BeginKey implements peer.Peer.
func (s peerServer) BeginKey(ctx context.Context, req *peer.BeginKeyRequest) (*peer.BeginKeyReply, error) {
	if len(req.GetKey()) != len(idempotency.Key{}) {
		return &peer.BeginKeyReply{}, nil
	}
	key := idempotency.Key(req.GetKey())
	attempt := attemptFromProto(req.GetAttempt())
	state := peer.KeyState_KEY_STATE_UNKNOWN
	var waiter chan bool
	s.engine.runAndWait(ctx, func(now time.Time) { state, waiter = s.engine.beginKey(key, attempt, now) })
	if waiter == nil {
		return &peer.BeginKeyReply{State: state}, nil
	}
	timer := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	select {
	case granted := <-waiter:
		state = peer.KeyState_KEY_STATE_BEGUN
		if granted {
			state = peer.KeyState_KEY_STATE_GRANTED
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	s.engine.post(func(time.Time) { delete(s.engine.keyWaiters, attempt) })
	return &peer.BeginKeyReply{State: state}, nil
}

// beginKey returns the state of a key. If the key is new, it enqueues a begin record and returns a channel
// that receives the outcome once the record is read back. While the log is unreachable, every key is unknown.
func (e *engine) beginKey(key idempotency.Key, attempt idempotency.Attempt, now time.Time) (peer.KeyState, chan bool) {
	if !e.caughtUp || now.Sub(e.logReadAt) >= logReadTimeout || now.Before(e.keysUnknownUntil) {
		return peer.KeyState_KEY_STATE_UNKNOWN, nil
	}
	switch state, holder := e.keys.State(key); {
	case state == idempotency.Begun && holder == attempt:
		return peer.KeyState_KEY_STATE_GRANTED, nil
	case state == idempotency.Begun:
		return peer.KeyState_KEY_STATE_BEGUN, nil
	case state == idempotency.Ran:
		return peer.KeyState_KEY_STATE_RAN, nil
	}
	full := e.keys.Len()+len(e.keyWaiters) >= e.settings.Callers.MaxKeys
	if full || !e.domainWriter.Enqueue(idempotency.BeginRecord(key, attempt)) {
		return peer.KeyState_KEY_STATE_UNKNOWN, nil
	}
	waiter := make(chan bool, 1)
	e.keyWaiters[attempt] = waiter
	return peer.KeyState_KEY_STATE_UNKNOWN, waiter
}

// EndKey implements peer.Peer.
func (s peerServer) EndKey(ctx context.Context, req *peer.EndKeyRequest) (*peer.EndKeyReply, error) {
	if len(req.GetKey()) == len(idempotency.Key{}) {
		key, attempt := idempotency.Key(req.GetKey()), attemptFromProto(req.GetAttempt())
		s.engine.runAndWait(ctx, func(time.Time) {
			s.engine.domainWriter.Enqueue(idempotency.EndRecord(key, attempt, req.GetNotRun()))
		})
	}
	return &peer.EndKeyReply{}, nil
}

func attemptFromProto(a *peer.KeyAttempt) idempotency.Attempt {
	return idempotency.Attempt{Node: a.GetNode(), Incarnation: a.GetIncarnation(), Number: a.GetNumber()}
}
