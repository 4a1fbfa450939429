package node

import (
	"context"
	"sync/atomic"
	"time"

	"cactuswall.example/cactuswall/internal/journal"

	"cactuswall.example/cactuswall/internal/caller"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/once"
	"cactuswall.example/cactuswall/internal/peer"
	"cactuswall.example/cactuswall/internal/record"
)

// keyTries bounds the nodes of a key's home failure domain that are asked.
const keyTries = 2

// onceKeys implements caller.OnceKeys: it asks a node of the key's home failure domain, which may be this
// one.
type onceKeys struct {
	node    *Node
	numbers atomic.Uint64
}

// Begin implements caller.OnceKeys.
func (o *onceKeys) Begin(ctx context.Context, key once.Key) (caller.KeyAnswer, caller.KeyTicket) {
	self := o.node.engine.self
	ticket := caller.KeyTicket{
		Key:     key,
		Attempt: once.Attempt{Node: self.Node, Incarnation: self.Incarnation, Number: o.numbers.Add(1)},
	}
	homes := o.homes(ctx, key)
	if len(homes) == 0 {
		return caller.KeyUnknown, ticket
	}
	ticket.Home = homes[0]
	deadline, _ := ctx.Deadline()
	wait := time.Until(deadline) / 2 / time.Duration(len(homes))
	for _, home := range homes {
		ticket.Home = home
		reply, err := o.client(home).BeginKey(ctx, &peer.BeginKeyRequest{
			Key:     key[:],
			Attempt: wireAttempt(ticket.Attempt),
			WaitMs:  uint64(max(0, wait.Milliseconds())),
		})
		if err == nil && reply.GetState() != peer.KeyState_KEY_STATE_UNKNOWN {
			return keyAnswerOf(reply.GetState()), ticket
		}
	}
	return caller.KeyUnknown, ticket
}

// End implements caller.OnceKeys. It does not wait: a lost word leaves the key taken.
func (o *onceKeys) End(ticket caller.KeyTicket, notRun bool) {
	if ticket.Home == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(o.node.ctx, exchangeTimeout)
		defer cancel()
		_, _ = o.client(ticket.Home).EndKey(ctx, &peer.EndKeyRequest{
			Key:     ticket.Key[:],
			Attempt: wireAttempt(ticket.Attempt),
			NotRun:  notRun,
		})
	}()
}

// client returns a client for the node at address, or this node itself.
func (o *onceKeys) client(address string) peer.Peer {
	s := o.node.settings
	if address == s.PeerAddress {
		return peerServer{engine: o.node.engine}
	}
	return peer.NewClient(address, s.PeerKey, o.node.options.Peers)
}

// homes returns the addresses of the nodes to ask for a key: this one first if it is of the home domain.
func (o *onceKeys) homes(ctx context.Context, key once.Key) []string {
	e := o.node.engine
	var addresses []string
	e.ask(ctx, func(now time.Time) {
		inForce := e.inForce
		if inForce == nil {
			return
		}
		home := key.Home(inForce.Manifest.DomainNames())
		if home == e.settings.FailureDomain {
			addresses = append(addresses, e.settings.PeerAddress)
			return
		}
		for _, m := range e.members.All() {
			if m.FailureDomain == home && e.members.StateOf(m.Node, now) == membership.Live && len(addresses) < keyTries {
				addresses = append(addresses, m.Address)
			}
		}
	})
	return addresses
}

func wireAttempt(a once.Attempt) *peer.KeyAttempt {
	return &peer.KeyAttempt{Node: a.Node, Incarnation: a.Incarnation, Number: a.Number}
}

func keyAnswerOf(s peer.KeyState) caller.KeyAnswer {
	switch s {
	case peer.KeyState_KEY_STATE_GRANTED:
		return caller.KeyGranted
	case peer.KeyState_KEY_STATE_BEGUN:
		return caller.KeyBegun
	case peer.KeyState_KEY_STATE_RAN:
		return caller.KeyRan
	default:
		return caller.KeyUnknown
	}
}

// keyWaiters are the attempts that wait for the log, by attempt.
type keyWaiters map[once.Attempt]chan bool

// takeKeys applies what an entry of the domain stream says of idempotency keys. An entry that only a newer
// program can read may hold records on keys.
func (e *engine) takeKeys(d journal.Delivery, now time.Time) {
	if d.Gap {
		e.takeKeyGap(now)
	}
	if d.Newer {
		e.forgetKeys(now)
	}
	for _, r := range d.Batch.GetRecords() {
		e.takeKeyRecord(r, now)
	}
}

// takeKeyRecord applies a record on an idempotency key and tells the attempt that waits for it.
func (e *engine) takeKeyRecord(r *record.Record, now time.Time) {
	attempt, granted, begin := e.keys.Apply(r, now)
	if waiter := e.keyWaiters[attempt]; begin && waiter != nil {
		delete(e.keyWaiters, attempt)
		waiter <- granted
	}
}

// takeKeyGap notes that records were lost to the log's retention. At the start that is no loss, since the
// log keeps records for longer than the lifetime of a key.
func (e *engine) takeKeyGap(now time.Time) {
	if e.caughtUp {
		e.forgetKeys(now)
	}
}

// forgetKeys makes every key unknown until no key of before can still be used.
func (e *engine) forgetKeys(now time.Time) {
	e.keysUnknownUntil = now.Add(e.settings.Callers.KeyLifetime.Std())
}

// BeginKey implements peer.Peer.
func (s peerServer) BeginKey(ctx context.Context, req *peer.BeginKeyRequest) (*peer.BeginKeyReply, error) {
	if len(req.GetKey()) != len(once.Key{}) {
		return &peer.BeginKeyReply{}, nil
	}
	key := once.Key(req.GetKey())
	attempt := attemptOf(req.GetAttempt())
	state := peer.KeyState_KEY_STATE_UNKNOWN
	var waiter chan bool
	s.engine.ask(ctx, func(now time.Time) { state, waiter = s.engine.beginKey(key, attempt, now) })
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

// beginKey returns the state of a key, or puts the question to the log and returns the channel on which
// the log's answer comes. While the log is out of reach a key cannot be known.
func (e *engine) beginKey(key once.Key, attempt once.Attempt, now time.Time) (peer.KeyState, chan bool) {
	if !e.caughtUp || now.Sub(e.logReadAt) >= logSilence || now.Before(e.keysUnknownUntil) {
		return peer.KeyState_KEY_STATE_UNKNOWN, nil
	}
	switch state, holder := e.keys.State(key); {
	case state == once.Begun && holder == attempt:
		return peer.KeyState_KEY_STATE_GRANTED, nil
	case state == once.Begun:
		return peer.KeyState_KEY_STATE_BEGUN, nil
	case state == once.Ran:
		return peer.KeyState_KEY_STATE_RAN, nil
	}
	full := e.keys.Len()+len(e.keyWaiters) >= e.settings.Callers.MaxKeys
	if full || !e.domainWriter.Enqueue(once.BeginRecord(key, attempt)) {
		return peer.KeyState_KEY_STATE_UNKNOWN, nil
	}
	waiter := make(chan bool, 1)
	e.keyWaiters[attempt] = waiter
	return peer.KeyState_KEY_STATE_UNKNOWN, waiter
}

// EndKey implements peer.Peer.
func (s peerServer) EndKey(ctx context.Context, req *peer.EndKeyRequest) (*peer.EndKeyReply, error) {
	if len(req.GetKey()) == len(once.Key{}) {
		key, attempt := once.Key(req.GetKey()), attemptOf(req.GetAttempt())
		s.engine.ask(ctx, func(time.Time) {
			s.engine.domainWriter.Enqueue(once.EndRecord(key, attempt, req.GetNotRun()))
		})
	}
	return &peer.EndKeyReply{}, nil
}

func attemptOf(a *peer.KeyAttempt) once.Attempt {
	return once.Attempt{Node: a.GetNode(), Incarnation: a.GetIncarnation(), Number: a.GetNumber()}
}
