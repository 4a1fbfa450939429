package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/peer"
	"cactuswall.example/cactuswall/internal/platform"
)

const (
	// recoveryTimeout bounds the search for a peer that gives a state at the start.
	recoveryTimeout = 3 * time.Second
	// fetchTimeout bounds the fetching of a state from one peer.
	fetchTimeout = time.Second
)

// followDomain takes the state of the domain stream from a sibling, when one has it, and follows the
// stream from there.
func (n *Node) followDomain(ctx context.Context) error {
	var at platform.Offset
	n.askPeers(ctx, true, func(ctx context.Context, client peer.Peer) bool {
		state, err := client.FetchDomain(ctx, &peer.FetchDomainRequest{FailureDomain: n.settings.FailureDomain})
		if err != nil || len(state.GetState()) == 0 {
			return false
		}
		restored, err := ledger.Restore(state.GetState(), time.Now())
		if err != nil {
			return false
		}
		at = platform.Offset(state.GetAt())
		n.engine.ask(ctx, func(now time.Time) { n.engine.startDomainAt(at, restored, now) })
		return true
	})
	return n.follow(ctx, journal.DomainStream(n.settings.FailureDomain), at+1, n.engine.takeDomainEntries)
}

// followManifest takes the manifest from a peer, when one has it, and follows the stream from there.
func (n *Node) followManifest(ctx context.Context) error {
	var at platform.Offset
	n.askPeers(ctx, false, func(ctx context.Context, client peer.Peer) bool {
		at = n.engine.fetchManifest(ctx, client)
		return at > 0
	})
	n.engine.ask(ctx, func(time.Time) {
		n.engine.manifestReplay.Start(at)
		if n.engine.config.InForce() == nil {
			n.engine.logger.Warn("no peer has a manifest; the node waits for the log")
		}
	})
	return n.follow(ctx, journal.ManifestStream, at+1, n.engine.takeManifestEntries)
}

func (n *Node) follow(ctx context.Context, stream string, from platform.Offset, take func([]journal.Delivery, time.Time)) error {
	deliver := func(ds []journal.Delivery) {
		n.engine.ask(n.ctx, func(now time.Time) { take(ds, now) })
	}
	follower := journal.NewFollower(n.options.Log, stream, from, deliver, journal.NewMetrics(n.metrics, stream), n.options.Logger)
	return follower.Run(ctx)
}

// askPeers calls ask for one peer after the other, in random order, until one succeeds or the time is up.
// siblings limits it to nodes of the same failure domain as far as the list tells.
func (n *Node) askPeers(ctx context.Context, siblings bool, ask func(context.Context, peer.Peer) bool) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for _, address := range n.startAddresses(ctx, siblings) {
		callCtx, cancelCall := context.WithTimeout(ctx, fetchTimeout)
		done := ask(callCtx, peer.NewClient(address, n.settings.PeerKey, n.options.Peers))
		cancelCall()
		if done || ctx.Err() != nil {
			return
		}
	}
}

// startAddresses returns the peers that are known before any exchange: those of the list and the seeds.
func (n *Node) startAddresses(ctx context.Context, siblings bool) []string {
	listCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	vms, err := n.options.List.List(listCtx)
	if err != nil {
		n.options.Logger.Warn("VM list cannot be read at the start", zap.Error(err))
	}
	known := map[string]bool{n.settings.PeerAddress: true}
	var addresses []string
	add := func(address string) {
		if !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, vm := range vms {
		if vm.Kind == platform.EntryVM && (!siblings || vm.FailureDomain == n.settings.FailureDomain) {
			add(vm.Address)
		}
	}
	for _, seed := range n.settings.Seeds {
		add(seed)
	}
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses
}

// startDomainAt sets the state of the domain stream before its first entry is read.
func (e *engine) startDomainAt(at platform.Offset, l *ledger.Ledger, now time.Time) {
	e.domainReplay.Start(at)
	e.metrics.countRestore("domain", "from_peer")
	e.logger.Info("domain state taken from a peer", zap.Uint64("offset", uint64(at)))
	e.setLedger(l, now)
}

// fetchManifest takes the manifest in force from a peer. It returns the offset up to which the peer has
// read the manifest stream, or 0 when the peer has no manifest.
func (e *engine) fetchManifest(ctx context.Context, client peer.Peer) platform.Offset {
	answer, err := client.FetchManifest(ctx, &peer.FetchManifestRequest{})
	if err != nil || len(answer.GetSnapshot()) == 0 {
		return 0
	}
	snapshot, err := config.DecodeSnapshot(answer.GetSnapshot())
	if err != nil {
		return 0
	}
	var readTo platform.Offset
	e.ask(ctx, func(now time.Time) {
		e.restoreManifest(snapshot, now)
		if e.config.Version() == config.Version(snapshot.GetVersion()) {
			readTo = max(platform.Offset(snapshot.GetReadTo()), e.config.Version())
		}
	})
	return readTo
}

// repair completes a state that has a gap from a peer.
func (e *engine) repair(ctx context.Context, client peer.Peer) {
	var domain, manifest bool
	e.ask(ctx, func(time.Time) {
		domain = !e.domainReplay.Complete()
		manifest = !e.manifestReplay.Complete()
	})
	if manifest {
		e.fetchManifest(ctx, client)
	}
	if !domain {
		return
	}
	state, err := client.FetchDomain(ctx, &peer.FetchDomainRequest{FailureDomain: e.settings.FailureDomain})
	if err != nil || len(state.GetState()) == 0 {
		return
	}
	e.post(func(now time.Time) { e.restoreDomain(platform.Offset(state.GetAt()), state.GetState(), now) })
}
