package cellnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

// store stores a record of the jobs topic, by way of the owner where the store does not answer this node. A record that
// is stored twice counts once. The error is nil when either way succeeded, and says "not run" only when both did.
func (g gateway) store(ctx context.Context, r store.Record) error {
	ctx, cancel := context.WithTimeout(ctx, maxStoring)
	defer cancel()
	results := make(chan error, 2)
	go func() { results <- g.node.storeRecord(ctx, r) }()
	timer := time.NewTimer(detourAfter)
	defer timer.Stop()
	var own error
	ways := 1
	select {
	case own = <-results:
		if own == nil {
			return nil
		}
		ways--
	case <-timer.C:
	}
	address := g.node.ownerAddress()
	if address == "" {
		if ways == 0 {
			return own
		}
		return <-results
	}
	ways++
	go func() { results <- g.detour(ctx, address, r) }()
	worst := own
	for range ways {
		err := <-results
		if err == nil {
			return nil
		}
		if worst == nil || verdict.Of(err) != verdict.NotRun {
			worst = err
		}
	}
	return worst
}

// storeRecord stores a record of the jobs topic. While the store is in doubt nothing is sent, so that the caller can be
// told at once that nothing has run.
func (n *Node) storeRecord(ctx context.Context, r store.Record) error {
	if n.storeInDoubt() {
		return verdict.New(verdict.NotRun, reasonStoreAway, nil)
	}
	_, err := n.accepts.Append(ctx, []store.Record{r})
	if err == nil {
		n.storeAnswered()
	}
	return err
}

// detour asks the owner to store a record.
func (g gateway) detour(ctx context.Context, address string, r store.Record) error {
	ctx, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	reply, err := g.node.peers.owner(address).Accept(ctx, &cellrpc.AcceptRequest{Key: r.Key, Value: r.Value})
	g.node.log.Info("record sent by way of the owner", zap.String("key", r.Key), zap.String("owner", address),
		zap.Bool("stored", err == nil && reply.Stored), zap.Error(err))
	var dial *net.OpError
	switch {
	case err == nil && reply.Stored:
		return nil
	case err == nil && reply.Refused, errors.As(err, &dial) && dial.Op == "dial":
		return verdict.New(verdict.NotRun, reasonDetour, err)
	}
	return verdict.New(verdict.MayHaveRun, reasonDetour, err)
}

// stored is the answer to a caller whose record was to be stored.
func (g gateway) stored(err error) answer {
	if err == nil {
		return answer{status: http.StatusOK}
	}
	if verdict.Of(err) == verdict.NotRun {
		return answer{status: http.StatusServiceUnavailable, reason: reasonNotStored, retryAfter: g.node.storeRetryAfter()}
	}
	return answer{status: http.StatusGatewayTimeout, reason: reasonStoreUnsure}
}

// storeRetryAfter is when a caller may come back whose record the store did not take.
func (n *Node) storeRetryAfter() time.Duration {
	away := time.Duration(int64(boottime.Now()) - n.storeSeen.Load())
	return min(longestRetryAfter, max(shortestRetryAfter, away))
}
