package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/peer"
	"cactuswall.example/cactuswall/internal/platform"
)

// gossip exchanges views with other nodes.
type gossip struct {
	engine    *engine
	transport http.RoundTripper
	// behindSince is when a peer first named a newer manifest than the one in force here, or zero.
	behindSince time.Time
}

// fetchGrace is how long the log has to show a manifest that a peer already has.
const fetchGrace = time.Second

// exchangeTimeout bounds one exchange with a peer.
const exchangeTimeout = 2 * time.Second

// run exchanges with one peer in each period until ctx ends.
func (g *gossip) run(ctx context.Context) error {
	ticker := time.NewTicker(g.engine.settings.Membership.ExchangePeriod.Std())
	defer ticker.Stop()
	for {
		g.exchange(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (g *gossip) exchange(ctx context.Context) {
	var view *peer.View
	var target string
	asked := g.engine.ask(ctx, func(now time.Time) {
		g.engine.members.Self().Heartbeat++
		view = g.engine.view()
		target = g.engine.pickPeer(now)
	})
	if !asked || target == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	client := peer.NewClient(target, g.engine.settings.PeerKey, g.transport)
	answer, err := client.Exchange(ctx, view)
	g.engine.post(func(now time.Time) {
		if err != nil {
			g.engine.metrics.countPeer("failed")
			return
		}
		g.engine.metrics.countPeer("done")
		g.engine.takeView(answer, now)
	})
	if err != nil {
		return
	}
	if g.isBehind(newestVersion(answer)) {
		g.engine.fetchManifest(ctx, client)
	}
	g.engine.repair(ctx, client)
}

// isBehind reports whether a peer has had a newer manifest for longer than the log takes to show it.
func (g *gossip) isBehind(version uint64) bool {
	if version <= g.manifestVersion() {
		g.behindSince = time.Time{}
		return false
	}
	if g.behindSince.IsZero() {
		g.behindSince = time.Now()
	}
	grace := fetchGrace
	if g.manifestVersion() == 0 {
		// The start looks for the newest manifest of all peers first.
		grace = recoveryTimeout
	}
	return time.Since(g.behindSince) >= grace
}

func (g *gossip) manifestVersion() uint64 {
	if inForce := g.engine.views.inForce.Load(); inForce != nil {
		return uint64(inForce.Version)
	}
	return 0
}

// newestVersion returns the manifest version of the node that sent the view.
func newestVersion(v *peer.View) uint64 {
	for _, m := range v.GetMembers() {
		if m.GetNode() == v.GetFrom() {
			return m.GetManifestVersion()
		}
	}
	return 0
}

// pickPeer returns the address of a random other node, or "".
func (e *engine) pickPeer(now time.Time) string {
	addresses := make(map[string]bool)
	for _, seed := range e.settings.Seeds {
		addresses[seed] = true
	}
	for _, vm := range e.vms {
		if vm.Kind == platform.EntryVM {
			addresses[vm.Address] = true
		}
	}
	for _, m := range e.members.All() {
		if state := e.members.StateOf(m.Node, now); state != membership.Dead {
			addresses[m.Address] = true
		}
	}
	delete(addresses, e.settings.PeerAddress)
	candidates := make([]string, 0, len(addresses))
	for address := range addresses {
		candidates = append(candidates, address)
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

// view returns what the node knows, for a peer.
func (e *engine) view() *peer.View {
	v := &peer.View{From: e.self.Node, LeavingEndpoints: e.directory.LeavingIDs()}
	for _, m := range e.members.All() {
		v.Members = append(v.Members, &peer.Member{
			Node:            m.Node,
			Incarnation:     m.Incarnation,
			FailureDomain:   m.FailureDomain,
			Address:         m.Address,
			Heartbeat:       m.Heartbeat,
			Leaving:         m.Leaving,
			ManifestVersion: m.ManifestVersion,
			Division:        m.Division,
			DomainDivision:  m.DomainDivision,
			OperatorAddress: m.OperatorAddress,
		})
	}
	return v
}

// takeView merges what a peer knows.
func (e *engine) takeView(v *peer.View, now time.Time) {
	for _, m := range v.GetMembers() {
		e.members.Merge(membership.Member{
			Node:            m.GetNode(),
			Incarnation:     m.GetIncarnation(),
			FailureDomain:   m.GetFailureDomain(),
			Address:         m.GetAddress(),
			Heartbeat:       m.GetHeartbeat(),
			Leaving:         m.GetLeaving(),
			ManifestVersion: m.GetManifestVersion(),
			Division:        m.GetDivision(),
			DomainDivision:  m.GetDomainDivision(),
			OperatorAddress: m.GetOperatorAddress(),
		}, now)
	}
	e.directory.MarkLeaving(v.GetLeavingEndpoints())
}

// peerServer answers the other nodes.
type peerServer struct {
	engine *engine
}

// Exchange implements peer.Peer.
func (s peerServer) Exchange(ctx context.Context, v *peer.View) (*peer.View, error) {
	var answer *peer.View
	answered := s.engine.ask(ctx, func(now time.Time) {
		s.engine.takeView(v, now)
		answer = s.engine.view()
	})
	if !answered {
		return nil, twirp.NewError(twirp.Unavailable, "the node is stopping")
	}
	return answer, nil
}

// FetchManifest implements peer.Peer.
func (s peerServer) FetchManifest(ctx context.Context, _ *peer.FetchManifestRequest) (*peer.InForce, error) {
	var inForce *config.InForce
	var readTo platform.Offset
	s.engine.ask(ctx, func(time.Time) {
		inForce = s.engine.config.InForce()
		readTo = s.engine.manifestReplay.Applied()
	})
	if inForce == nil {
		return &peer.InForce{}, nil
	}
	snapshot, err := inForce.EncodeSnapshot(readTo)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peer.InForce{Snapshot: snapshot}, nil
}

// FetchDomain implements peer.Peer. A node whose own state is incomplete has none to give.
func (s peerServer) FetchDomain(ctx context.Context, req *peer.FetchDomainRequest) (*peer.DomainState, error) {
	state := &peer.DomainState{}
	var err error
	s.engine.ask(ctx, func(time.Time) {
		e := s.engine
		if req.GetFailureDomain() != e.settings.FailureDomain || !e.domainReplay.Complete() || e.domainReplay.Applied() == 0 {
			return
		}
		state.At = uint64(e.domainReplay.Applied())
		state.State, err = e.ledger.Snapshot()
	})
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return state, nil
}

// Promise implements peer.Peer. A node makes no promises yet: it grants nothing, so that nobody relies on it.
func (s peerServer) Promise(context.Context, *peer.PromiseRequest) (*peer.PromiseReply, error) {
	return &peer.PromiseReply{}, nil
}
