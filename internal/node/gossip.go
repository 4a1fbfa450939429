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

// errStopping is the answer of a node whose engine no longer runs, or is too busy to answer in time.
var errStopping = twirp.NewError(twirp.Unavailable, "the node is stopping or busy")

// gossip exchanges views with other nodes.
type gossip struct {
	engine *engine
	// behindSince is when a peer first named a newer manifest than the one in force here, or zero.
	behindSince time.Time
	rounds      int
}

const (
	// fetchGrace is how long the log has to show a manifest that a peer already has.
	fetchGrace = time.Second
	// exchangeTimeout bounds one exchange with a peer.
	exchangeTimeout = 2 * time.Second
	// pushTimeout bounds one exchange of a push.
	pushTimeout = 500 * time.Millisecond
	// pushAttempts bounds the tries of a push to one peer.
	pushAttempts = 3
	// maxPushes bounds the exchanges of a push that are under way at once.
	maxPushes = 16
	// leavingNews is how long a leaving endpoint is told to peers.
	leavingNews = 30 * time.Second
)

// run exchanges with one peer in each period until ctx ends, and with all at once when there is news that
// cannot wait.
func (g *gossip) run(ctx context.Context) error {
	ticker := time.NewTicker(g.engine.settings.Membership.ExchangePeriod.Std())
	defer ticker.Stop()
	for {
		g.exchangeOne(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-g.engine.push:
			g.pushAll(ctx)
		}
	}
}

// exchangeOne exchanges with one random peer.
func (g *gossip) exchangeOne(ctx context.Context) {
	var target string
	answered := g.engine.ask(ctx, func(now time.Time) {
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
	if g.isBehind(newestVersion(answer)) {
		g.engine.fetchManifest(ctx, client)
	}
	g.engine.repair(ctx, client)
}

// exchange exchanges views with the node at a peer address.
func (g *gossip) exchange(ctx context.Context, target string) (*peer.View, error) {
	var view *peer.View
	if !g.engine.ask(ctx, func(now time.Time) {
		view = g.engine.view(membership.Audience{FailureDomain: g.engine.members.DomainOf(target)}, now)
	}) {
		return nil, errStopping
	}
	sent := time.Now()
	answer, err := g.engine.peers(target).Exchange(ctx, view)
	g.engine.post(func(now time.Time) {
		outcome := outcomeOfCall(err)
		g.engine.members.Contact(target, outcome, now.Sub(sent), now)
		if err != nil {
			g.engine.metrics.countPeer(outcomeNames[outcome])
			return
		}
		g.engine.metrics.countPeer("done")
		g.engine.takeView(answer, now)
	})
	return answer, err
}

// outcomeNames are the metric labels of exchanges that failed.
var outcomeNames = map[membership.Outcome]string{membership.Silent: "silent", membership.Refused: "refused"}

func outcomeOfCall(err error) membership.Outcome {
	switch {
	case err == nil:
		return membership.Answered
	case errors.Is(err, syscall.ECONNREFUSED):
		return membership.Refused
	default:
		return membership.Silent
	}
}

// pushAll exchanges with every peer at once. A peer that does not answer is tried again.
func (g *gossip) pushAll(ctx context.Context) {
	var addresses []string
	answered := g.engine.ask(ctx, func(now time.Time) {
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

// requestPush has the node tell all its peers at once.
func (e *engine) requestPush() {
	select {
	case e.push <- struct{}{}:
	default:
	}
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

// peerAddresses returns the peer addresses of the other nodes that are not known to be dead, in order.
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

// pickPeer returns the address of a random peer, of a sibling where there is one and siblings is set, or "".
func (e *engine) pickPeer(siblings bool, now time.Time) string {
	addresses := e.peerAddresses(now)
	near := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool {
		return e.members.DomainOf(address) != e.settings.FailureDomain
	})
	if siblings && len(near) > 0 {
		addresses = near
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// audienceOf returns whom the answer to a view is for.
func audienceOf(v *peer.View) membership.Audience {
	to := membership.Audience{Wanted: v.GetWanted(), Told: make(map[string]uint64, len(v.GetMembers()))}
	for _, m := range v.GetMembers() {
		to.Told[m.GetNode()] = m.GetHeartbeat()
		if m.GetNode() == v.GetFrom() {
			to.FailureDomain = m.GetFailureDomain()
		}
	}
	return to
}

// view returns what the node knows, for a peer.
func (e *engine) view(to membership.Audience, now time.Time) *peer.View {
	v := &peer.View{From: e.self.Node, Wanted: e.members.Wanted()}
	for id, since := range e.leavingSince {
		if now.Sub(since) < leavingNews {
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
		believed := e.members.Merge(membership.Member{
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
		}, m.GetNode() == v.GetFrom(), now)
		if !believed {
			e.metrics.countPeer("absurd_word")
		}
	}
	for _, id := range v.GetLeavingEndpoints() {
		if _, known := e.leavingSince[id]; !known {
			e.leavingSince[id] = now
		}
	}
	e.directory.MarkLeaving(v.GetLeavingEndpoints())
}

// noticeLeaving tells all peers at once when this node is the first to learn that endpoints are leaving.
func (e *engine) noticeLeaving(now time.Time) {
	leaving := e.directory.LeavingIDs()
	for _, id := range leaving {
		if _, known := e.leavingSince[id]; !known {
			e.leavingSince[id] = now
			e.requestPush()
		}
	}
	for id, since := range e.leavingSince {
		if _, still := slices.BinarySearch(leaving, id); !still && now.Sub(since) >= leavingNews {
			delete(e.leavingSince, id)
		}
	}
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
		answer = s.engine.view(audienceOf(v), now)
	})
	if !answered {
		return nil, errStopping
	}
	return answer, nil
}

// FetchManifest implements peer.Peer.
func (s peerServer) FetchManifest(ctx context.Context, _ *peer.FetchManifestRequest) (*peer.InForce, error) {
	var inForce *config.InForce
	var readTo platform.Offset
	answered := s.engine.ask(ctx, func(time.Time) {
		if !s.engine.manifestCaughtUp && s.engine.inForce != s.engine.config.InForce() {
			return // still reading what is old
		}
		inForce = s.engine.config.InForce()
		readTo = s.engine.manifestReplay.Applied()
	})
	if !answered {
		return nil, errStopping
	}
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
	answered := s.engine.ask(ctx, func(time.Time) {
		e := s.engine
		if req.GetFailureDomain() != e.settings.FailureDomain || !e.domainReplay.Complete() || e.domainReplay.Applied() == 0 {
			return
		}
		state.At = uint64(e.domainReplay.Applied())
		state.State, err = e.ledger.Snapshot()
	})
	if !answered {
		return nil, errStopping
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return state, nil
}
