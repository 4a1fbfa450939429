package cellnode

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/claim"
)

const (
	// consentInterval is the interval at which an owner that cannot store statements asks candidates for their consent.
	consentInterval = 250 * time.Millisecond
	// consentTimeout is the timeout of such a call.
	consentTimeout = 500 * time.Millisecond
	// registerDelay is the minimum time between two attempts of a process to register as a candidate.
	registerDelay = time.Second
)

// registerIfDue registers this process as a candidate with the owner of the cell, in the background.
func (m *membership) registerIfDue(ctx context.Context) {
	m.mu.Lock()
	due := m.view.RegistrationDue()
	latest, _ := m.view.Latest()
	m.mu.Unlock()
	if !due || !m.registrationAllowed() {
		return
	}
	go func() {
		defer m.registering.Store(false)
		_ = m.node.guarded("register as candidate", func() error { m.register(ctx, latest); return nil })()
	}()
}

// registrationAllowed reports whether this process may try to register now, and notes that it does.
func (m *membership) registrationAllowed() bool {
	now := int64(boottime.Now())
	if now < m.registerAfter.Load() || !m.registering.CompareAndSwap(false, true) {
		return false
	}
	m.registerAfter.Store(now + int64(registerDelay))
	return true
}

// register registers this process as a candidate with the owner under a claim.
func (m *membership) register(ctx context.Context, owner claim.Record) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := m.node.peers.candidatesClient(owner.Address).Register(ctx, &cellrpc.RegisterRequest{
		Cell: int32(m.cell), Epoch: owner.Epoch, Candidate: m.node.holder, Address: m.node.settings.PeerAddress})
	result := "registered"
	switch {
	case err != nil:
		result = "failed"
	case reply.Round < 1:
		result = "refused"
	}
	m.node.metrics.GetOrCreateCounter(`cactuswall_candidate_registrations_total{result="` + result + `"}`).Inc()
	if result == "registered" {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.view.Registered(owner.Epoch, reply.Round)
	}
}

// candidatesServer serves the calls between owners and candidates.
type candidatesServer struct{ node *Node }

// Register registers a candidate with the owner on this node.
func (s candidatesServer) Register(_ context.Context, r *cellrpc.RegisterRequest) (*cellrpc.RegisterReply, error) {
	o := s.node.ownerOf(int(r.Cell))
	if o == nil || o.epoch != r.Epoch || r.Candidate == "" || r.Address == "" {
		return &cellrpc.RegisterReply{}, nil
	}
	o.grantsMu.Lock()
	defer o.grantsMu.Unlock()
	round, _ := o.grants.Register(r.Candidate, r.Address)
	return &cellrpc.RegisterReply{Round: round}, nil
}

// Consent asks this process for its consent to leases beyond the newest statement of an owner.
func (s candidatesServer) Consent(_ context.Context, r *cellrpc.ConsentRequest) (*cellrpc.ConsentReply, error) {
	if r.Candidate != s.node.holder { // it may have claimed the cell before it ended
		return &cellrpc.ConsentReply{Refusal: refusalOtherProcess}, nil
	}
	m := s.node.knownMembership(int(r.Cell))
	if m == nil || r.Epoch < 1 || r.Serial < 1 {
		return &cellrpc.ConsentReply{Refusal: "unknown cell or statement"}, nil
	}
	m.mu.Lock()
	refusal := m.view.Consent(r.Epoch, r.Serial)
	m.mu.Unlock()
	result := refusal
	if refusal == "" {
		result = "granted"
	}
	s.node.metrics.GetOrCreateCounter(`cactuswall_lease_consents_total{result="` + result + `"}`).Inc()
	return &cellrpc.ConsentReply{Consent: refusal == "", Refusal: refusal}, nil
}

// gatherConsents asks the candidates for their consent while the owner cannot store statements, so that it may extend the leases on
// workers during an outage of the store.
func (o *owner) gatherConsents(ctx context.Context) error {
	asked := false
	for ; ctx.Err() == nil; sleep(ctx, consentInterval) {
		missing, serial, extended := o.consentsNeeded()
		if !extended && len(missing) == 0 {
			asked = false
			continue
		}
		if !asked {
			asked = true
			o.log.Info("consent of candidates needed to extend leases", zap.Int("missing", len(missing)))
		}
		var group errgroup.Group
		for _, candidate := range missing {
			group.Go(o.node.guarded("ask for consent", func() error { o.askForConsent(ctx, candidate, serial); return nil }))
		}
		_ = group.Wait() // a panic, the only error, has been recorded
		if left, _, extended := o.consentsNeeded(); extended && len(missing) > 0 {
			o.log.Info("leases may be extended without the store", zap.Int("consents", len(missing)))
		} else if len(left) > 0 {
			o.log.Debug("consents missing", zap.Int("missing", len(left)), zap.String("first", left[0].Address))
		}
	}
	return ctx.Err()
}

// consentsNeeded returns the candidates whose consent is missing for leases beyond the statement with a serial. extended reports whether
// all have consented.
func (o *owner) consentsNeeded() (missing []claim.Candidate, serial int64, extended bool) {
	o.grantsMu.Lock()
	defer o.grantsMu.Unlock()
	missing, serial = o.grants.ConsentsNeeded(boottime.Now())
	return missing, serial, o.grants.Extended()
}

// askForConsent asks a candidate for its consent to leases beyond the statement with a serial.
func (o *owner) askForConsent(ctx context.Context, c claim.Candidate, serial int64) {
	ctx, cancel := context.WithTimeout(ctx, consentTimeout)
	defer cancel()
	reply, err := o.node.peers.candidatesClient(c.Address).Consent(ctx, &cellrpc.ConsentRequest{
		Cell: int32(o.member.cell), Epoch: o.epoch, Serial: serial, Candidate: c.ID})
	if err != nil || !reply.Consent {
		return
	}
	o.grantsMu.Lock()
	defer o.grantsMu.Unlock()
	o.grants.Consented(c.ID, serial, boottime.Now())
}
