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
}

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
	g.engine.ask(ctx, func(now time.Time) {
		g.engine.members.Self().Heartbeat++
		view = g.engine.view()
		target = g.engine.pickPeer(now)
	})
	if target == "" {
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
	if err == nil && newestVersion(answer) > g.manifestVersion() {
		g.fetchManifest(ctx, client)
	}
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

// fetchManifest takes the manifest in force from a peer that has a newer one.
func (g *gossip) fetchManifest(ctx context.Context, client peer.Peer) {
	answer, err := client.FetchManifest(ctx, &peer.FetchManifestRequest{})
	if err != nil || len(answer.GetSnapshot()) == 0 {
		return
	}
	snapshot, err := config.DecodeSnapshot(answer.GetSnapshot())
	if err != nil {
		return
	}
	g.engine.post(func(now time.Time) {
		before := g.engine.config.Version()
		g.engine.config.Restore(snapshot)
		g.engine.manifestChanged(before, now)
	})
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
func (s peerServer) FetchManifest(context.Context, *peer.FetchManifestRequest) (*peer.InForce, error) {
	inForce := s.engine.views.inForce.Load()
	if inForce == nil {
		return &peer.InForce{}, nil
	}
	snapshot, err := inForce.EncodeSnapshot()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peer.InForce{Snapshot: snapshot}, nil
}

// Promise implements peer.Peer. A node makes no promises yet: it grants nothing, so that nobody relies on it.
func (s peerServer) Promise(context.Context, *peer.PromiseRequest) (*peer.PromiseReply, error) {
	return &peer.PromiseReply{}, nil
}
