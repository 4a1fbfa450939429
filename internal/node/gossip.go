package node

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/peer"
	"cactuswall.example/cactuswall/internal/platform"
)

// errUnavailable is returned when the engine has stopped or is too busy to answer in time.
var errUnavailable = twirp.NewError(twirp.Unavailable, "the node is stopping or busy")

// gossip periodically exchanges views, the nodes' knowledge of one another, with peers.
type gossip struct {
	engine *engine
	// behindSince is when a peer first reported a newer manifest version than the active one here. It is
	// zero while none is known.
	behindSince time.Time
	// rounds counts the periodic exchanges. Every second one prefers a peer in the same failure domain.
	rounds int
}

const (
	// manifestFetchGrace is how long to wait for the log to deliver a manifest that a peer already has
	// before it is fetched from that peer.
	manifestFetchGrace = time.Second
	// exchangeTimeout bounds one exchange with a peer.
	exchangeTimeout = 2 * time.Second
	// pushTimeout bounds each exchange of a push.
	pushTimeout = 500 * time.Millisecond
	// pushAttempts is the maximum number of attempts to push to one peer.
	pushAttempts = 3
	// maxPushes limits the concurrent exchanges of a push.
	maxPushes = 16
	// leavingGossipTime is how long a leaving endpoint is announced to peers.
	leavingGossipTime = 30 * time.Second
)

// run exchanges with one peer in each period until ctx ends, and with all peers immediately when a push is
// requested.
func (g *gossip) run(ctx context.Context) error {
	ticker := time.NewTicker(g.engine.settings.Membership.ExchangePeriod.Std())
	defer ticker.Stop()
	for {
		g.exchangeWithRandomPeer(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-g.engine.pushRequests:
			g.pushAll(ctx)
		}
	}
}

// exchangeWithRandomPeer exchanges views with one random peer, and then fetches from it a newer manifest or
// the state that this node lacks.
func (g *gossip) exchangeWithRandomPeer(ctx context.Context) {
	var target string
	answered := g.engine.runAndWait(ctx, func(now time.Time) {
		g.engine.members.Self().Heartbeat++
		g.rounds++
		target = g.engine.pickPeer(g.rounds%2 == 0, now)
	})
	if !answered || target == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := g.exchange(ctx, target)
	if err != nil {
		return
	}
	client := g.engine.peers(target)
	if g.shouldFetchManifest(newestVersion(answer)) {
		g.engine.fetchManifest(ctx, client)
	}
	g.engine.fetchMissingState(ctx, client)
}

// exchange sends this node's view to the node at a peer address and merges the view that it returns.
func (g *gossip) exchange(ctx context.Context, target string) (*peer.View, error) {
	var view *peer.View
	if !g.engine.runAndWait(ctx, func(now time.Time) {
		view = g.engine.view(membership.Recipient{FailureDomain: g.engine.members.DomainOf(target)}, now)
	}) {
		return nil, errUnavailable
	}
	sent := time.Now()
	answer, err := g.engine.peers(target).Exchange(ctx, view)
	g.engine.post(func(now time.Time) {
		outcome := outcomeOfCall(err)
		g.engine.members.RecordCall(target, outcome, now.Sub(sent), now)
		if err != nil {
			g.engine.metrics.countPeerExchange(outcomeLabels[outcome])
			return
		}
		g.engine.metrics.countPeerExchange("done")
		g.engine.mergeView(answer, now)
	})
	return answer, err
}

// outcomeLabels maps the outcomes of failed exchanges to metric labels.
var outcomeLabels = map[membership.Outcome]string{membership.CallTimedOut: "silent", membership.CallRefused: "refused"}

func outcomeOfCall(err error) membership.Outcome {
	switch {
	case err == nil:
		return membership.CallSucceeded
	case errors.Is(err, syscall.ECONNREFUSED):
		return membership.CallRefused
	default:
		return membership.CallTimedOut
	}
}

// pushAll exchanges with every peer concurrently. A failed exchange is retried.
func (g *gossip) pushAll(ctx context.Context) {
	var addresses []string
	answered := g.engine.runAndWait(ctx, func(now time.Time) {
		g.engine.members.Self().Heartbeat++
		addresses = g.engine.peerAddresses(now)
	})
	if !answered {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxPushes)
	for _, address := range addresses {
		group.Go(func() error {
			g.push(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
}

func (g *gossip) push(ctx context.Context, address string) {
	for range pushAttempts {
		callCtx, cancel := context.WithTimeout(ctx, pushTimeout)
		_, err := g.exchange(callCtx, address)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}

// requestPush makes the gossip loop exchange with all peers immediately. Requests that are pending are merged.
func (e *engine) requestPush() {
	select {
	case e.pushRequests <- struct{}{}:
	default:
	}
}

// shouldFetchManifest reports whether peers have had a newer manifest for longer than the log should take to
// deliver it.
func (g *gossip) shouldFetchManifest(version uint64) bool {
	if version <= g.manifestVersion() {
		g.behindSince = time.Time{}
		return false
	}
	if g.behindSince.IsZero() {
		g.behindSince = time.Now()
	}
	grace := manifestFetchGrace
	if g.manifestVersion() == 0 {
		// At startup, recovery first looks for the newest manifest among all peers.
		grace = recoveryTimeout
	}
	return time.Since(g.behindSince) >= grace
}

func (g *gossip) manifestVersion() uint64 {
	if activeManifest := g.engine.views.activeManifest.Load(); activeManifest != nil {
		return uint64(activeManifest.Version)
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

// peerAddresses returns the sorted peer addresses of the seeds, the listed entry VMs and the members that are
// not known to be dead, without this node.
func (e *engine) peerAddresses(now time.Time) []string {
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
	return slices.Sorted(maps.Keys(addresses))
}

// pickPeer returns the address of a random peer, or "" if there is none. If sameDomain is set, it prefers the
// peers in this failure domain.
func (e *engine) pickPeer(sameDomain bool, now time.Time) string {
	addresses := e.peerAddresses(now)
	domainPeers := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool {
		return e.members.DomainOf(address) != e.settings.FailureDomain
	})
	if sameDomain && len(domainPeers) > 0 {
		addresses = domainPeers
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// recipientOf describes the sender of a view, so that the reply can be limited to what it needs.
func recipientOf(v *peer.View) membership.Recipient {
	to := membership.Recipient{Requested: v.GetWanted(), KnownHeartbeats: make(map[string]uint64, len(v.GetMembers()))}
	for _, m := range v.GetMembers() {
		to.KnownHeartbeats[m.GetNode()] = m.GetHeartbeat()
		if m.GetNode() == v.GetFrom() {
			to.FailureDomain = m.GetFailureDomain()
		}
	}
	return to
}

// view returns the view that this node sends to a peer.
func (e *engine) view(to membership.Recipient, now time.Time) *peer.View {
	v := &peer.View{From: e.self.Node, Wanted: e.members.Unresolved()}
	for id, since := range e.leavingSince {
		if now.Sub(since) < leavingGossipTime {
			v.LeavingEndpoints = append(v.LeavingEndpoints, id)
		}
	}
	slices.Sort(v.LeavingEndpoints)
	for _, m := range e.members.View(to, now) {
		v.Members = append(v.Members, &peer.Member{
			Node:            m.Node,
			Incarnation:     m.Incarnation,
			FailureDomain:   m.FailureDomain,
			Address:         m.Address,
			Heartbeat:       m.Heartbeat,
			Leaving:         m.Leaving,
			ManifestVersion: m.ManifestVersion,
			Division:        m.ShareDigest,
			DomainDivision:  m.DomainShareDigest,
			OperatorAddress: m.OperatorAddress,
		})
	}
	return v
}

// mergeView merges the view of a peer into this node's state.
func (e *engine) mergeView(v *peer.View, now time.Time) {
	for _, m := range v.GetMembers() {
		accepted := e.members.Merge(membership.Member{
			Node:              m.GetNode(),
			Incarnation:       m.GetIncarnation(),
			FailureDomain:     m.GetFailureDomain(),
			Address:           m.GetAddress(),
			Heartbeat:         m.GetHeartbeat(),
			Leaving:           m.GetLeaving(),
			ManifestVersion:   m.GetManifestVersion(),
			ShareDigest:       m.GetDivision(),
			DomainShareDigest: m.GetDomainDivision(),
			OperatorAddress:   m.GetOperatorAddress(),
		}, m.GetNode() == v.GetFrom(), now)
		if !accepted {
			e.metrics.countPeerExchange("absurd_word")
		}
	}
	for _, id := range v.GetLeavingEndpoints() {
		if _, known := e.leavingSince[id]; !known {
			e.leavingSince[id] = now
		}
	}
	e.directory.MarkLeaving(v.GetLeavingEndpoints())
}

// announceLeavingEndpoints requests a push when this node finds leaving endpoints that no peer has announced
// to it, and forgets old ones.
func (e *engine) announceLeavingEndpoints(now time.Time) {
	leaving := e.directory.LeavingIDs()
	for _, id := range leaving {
		if _, known := e.leavingSince[id]; !known {
			e.leavingSince[id] = now
			e.requestPush()
		}
	}
	for id, since := range e.leavingSince {
		if _, leavingNow := slices.BinarySearch(leaving, id); !leavingNow && now.Sub(since) >= leavingGossipTime {
			delete(e.leavingSince, id)
		}
	}
}

// peerServer implements peer.Peer, the server for requests from other nodes.
type peerServer struct {
	engine *engine
}

// Exchange implements peer.Peer.
func (s peerServer) Exchange(ctx context.Context, v *peer.View) (*peer.View, error) {
	var answer *peer.View
	answered := s.engine.runAndWait(ctx, func(now time.Time) {
		s.engine.mergeView(v, now)
		answer = s.engine.view(recipientOf(v), now)
	})
	if !answered {
		return nil, errUnavailable
	}
	return answer, nil
}

// FetchManifest implements peer.Peer.
func (s peerServer) FetchManifest(ctx context.Context, _ *peer.FetchManifestRequest) (*peer.InForce, error) {
	var activeManifest *config.ActiveManifest
	var readTo platform.Offset
	answered := s.engine.runAndWait(ctx, func(time.Time) {
		if !s.engine.manifestCaughtUp && s.engine.activeManifest != s.engine.config.Active() {
			return // still replaying old entries
		}
		activeManifest = s.engine.config.Active()
		readTo = s.engine.manifestReplay.Applied()
	})
	if !answered {
		return nil, errUnavailable
	}
	if activeManifest == nil {
		return &peer.InForce{}, nil
	}
	snapshot, err := activeManifest.EncodeSnapshot(readTo)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peer.InForce{Snapshot: snapshot}, nil
}

// FetchDomain implements peer.Peer. It returns no state if the state of this node is incomplete.
func (s peerServer) FetchDomain(ctx context.Context, req *peer.FetchDomainRequest) (*peer.DomainState, error) {
	state := &peer.DomainState{}
	var err error
	answered := s.engine.runAndWait(ctx, func(time.Time) {
		e := s.engine
		if req.GetFailureDomain() != e.settings.FailureDomain || !e.domainReplay.Complete() || e.domainReplay.Applied() == 0 {
			return
		}
		state.At = uint64(e.domainReplay.Applied())
		state.State, err = e.ledger.Snapshot()
	})
	if !answered {
		return nil, errUnavailable
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return state, nil
}
