package cellnode

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cell"
	"cactuswall.example/cactuswall/internal/cellrpc"
)

const (
	// formerLeasesInterval is the interval at which the former owner of a cell is asked for the leases that it has extended.
	formerLeasesInterval = 200 * time.Millisecond
	// maxReportedLease is the longest remaining lease, in milliseconds, that an answer of a former owner may contain.
	maxReportedLease = int64(time.Hour / time.Millisecond)
)

// Results of asking a former owner for its leases, for the log and the metrics.
const (
	formerLeasesAnswered   = "answered"
	formerLeasesRefused    = "refused"
	formerLeasesNoAnswer   = "no_answer"   // until the wait for former leases was over
	formerLeasesUnknown    = "unsupported" // the node does not know the call
	formerLeasesUnreadable = "unreadable"
)

// Reasons for which a node does not say when the leases of a former owner end.
const (
	refusalOtherProcess = "other process"
	refusalUnknownEpoch = "unknown epoch"
	refusalStillOwner   = "owner has not stopped"
)

// endedOwner is what a node keeps of the latest owner of a cell whose run has ended.
type endedOwner struct {
	epoch  int64
	leases cell.LeaseEnds
}

// keepLeases keeps the leases that an owner whose run has ended has extended. After a panic they are not known for certain.
func (m *membership) keepLeases(o *owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m.ended.Store(&endedOwner{epoch: o.epoch, leases: o.cell.LeaseEnds()})
}

// remainingLeases returns the remaining leases of the owner under an epoch and of those before it, or why it can't: the owner may
// still extend leases, or this node knows nothing of it.
func (m *membership) remainingLeases(epoch int64) (remaining cell.LeaseEnds, refusal string) {
	o := m.owner.Load() // before ended, which is set before the owner is removed
	switch ended := m.ended.Load(); {
	case ended != nil && ended.epoch == epoch:
		return ended.leases.Remaining(boottime.Now()), ""
	case o != nil && o.epoch == epoch && (m.mayRenewWorkerLeases(epoch) || o.panicked.Load()):
		return cell.LeaseEnds{}, refusalStillOwner
	case o != nil && o.epoch == epoch: // another node follows it, so that it extends nothing any more
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.cell.LeaseEnds().Remaining(boottime.Now()), ""
	}
	return cell.LeaseEnds{}, refusalUnknownEpoch
}

// formerOwnerServer serves calls of the owners that follow those of this node.
type formerOwnerServer struct{ node *Node }

// Leases returns when the leases end that an owner on this node, and the owners before it, have extended.
func (s formerOwnerServer) Leases(_ context.Context, r *cellrpc.LeasesRequest) (*cellrpc.LeasesReply, error) {
	m := s.node.knownMembership(int(r.Cell))
	if r.Holder != s.node.holder || m == nil {
		return &cellrpc.LeasesReply{Refusal: refusalOtherProcess}, nil
	}
	remaining, refusal := m.remainingLeases(r.Epoch)
	if refusal != "" {
		return &cellrpc.LeasesReply{Refusal: refusal, AskAgain: refusal == refusalStillOwner}, nil
	}
	reply := &cellrpc.LeasesReply{OthersMs: ceilMS(remaining.Others)}
	for id, lease := range remaining.Workers {
		reply.Workers = append(reply.Workers, &cellrpc.WorkerLease{Worker: id, StartedAtMs: lease.StartedAtMS, RemainingMs: ceilMS(lease.End)})
	}
	return reply, nil
}

// ceilMS returns a duration in milliseconds, rounded up.
func ceilMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

// knownMembership returns the node's part in a cell, or nil if it has none yet.
func (n *Node) knownMembership(cell int) *membership {
	n.membershipsMu.Lock()
	defer n.membershipsMu.Unlock()
	return n.memberships[cell]
}

// learnFormerLeases asks the former owner for the leases that it has extended until it answers or all of them must have ended.
func (o *owner) learnFormerLeases(ctx context.Context) {
	if o.former.Address == "" || boottime.Now() >= o.formerLeasesEnd {
		return
	}
	result, reason, again := formerLeasesNoAnswer, "", true
	var leases cell.LeaseEnds
	for asked := 0; again && ctx.Err() == nil && boottime.Now() < o.formerLeasesEnd; asked++ {
		if asked > 0 {
			sleep(ctx, formerLeasesInterval)
		}
		leases, result, reason, again = o.askFormerOwner(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	now, othersEnd := boottime.Now(), o.formerLeasesEnd
	if result == formerLeasesAnswered {
		o.locked(func() { o.cell.SetFormerLeases(leases) })
		othersEnd = min(othersEnd, leases.Others)
	}
	o.node.metrics.GetOrCreateCounter(`cactuswall_former_leases_total{result="` + result + `"}`).Inc()
	o.log.Info("leases of former owners", zap.String("former_owner", o.former.Node), zap.String("result", result), zap.String("reason", reason),
		zap.Duration("after", now-o.claimedAt), zap.Duration("leases_end_in", max(0, o.formerLeasesEnd-now)),
		zap.Int("workers", len(leases.Workers)), zap.Duration("others_end_in", max(0, othersEnd-now)))
}

// askFormerOwner asks the former owner once. again is set if it may answer later.
func (o *owner) askFormerOwner(ctx context.Context) (leases cell.LeaseEnds, result, reason string, again bool) {
	if o.former.Holder == o.node.holder {
		remaining, refusal := o.member.remainingLeases(o.former.Epoch)
		if refusal != "" {
			return cell.LeaseEnds{}, formerLeasesRefused, refusal, refusal == refusalStillOwner
		}
		return remaining.Received(boottime.Now()), formerLeasesAnswered, "", false
	}
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := o.node.peers.formerOwnerClient(o.former.Address).Leases(callCtx, &cellrpc.LeasesRequest{
		Cell: int32(o.member.cell), Epoch: o.former.Epoch, Holder: o.former.Holder})
	received := boottime.Now()
	var failure twirp.Error
	switch {
	case errors.As(err, &failure) && failure.Code() == twirp.BadRoute:
		return cell.LeaseEnds{}, formerLeasesUnknown, failure.Msg(), false
	case err != nil:
		return cell.LeaseEnds{}, formerLeasesNoAnswer, err.Error(), true
	case reply.Refusal != "":
		return cell.LeaseEnds{}, formerLeasesRefused, reply.Refusal, reply.AskAgain
	}
	remaining, ok := decodeLeases(reply)
	if !ok {
		return cell.LeaseEnds{}, formerLeasesUnreadable, "", false
	}
	return remaining.Received(received), formerLeasesAnswered, "", false
}

// decodeLeases returns the remaining leases in an answer; ok is false if one of them makes no sense.
func decodeLeases(reply *cellrpc.LeasesReply) (remaining cell.LeaseEnds, ok bool) {
	valid := func(ms int64) bool { return ms >= 0 && ms <= maxReportedLease }
	remaining = cell.LeaseEnds{Others: time.Duration(reply.OthersMs) * time.Millisecond, Workers: make(map[string]cell.WorkerLease, len(reply.Workers))}
	ok = valid(reply.OthersMs)
	for _, w := range reply.Workers {
		ok = ok && valid(w.RemainingMs)
		remaining.Workers[w.Worker] = cell.WorkerLease{StartedAtMS: w.StartedAtMs, End: time.Duration(w.RemainingMs) * time.Millisecond}
	}
	return remaining, ok
}
