package node

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/record"
)

// publicationResult is the outcome of a publication: accepted or why it was rejected, and the current
// version.
type publicationResult struct {
	rejection config.Rejection
	version   config.Version
}

// publishTimeout is the limit for the wait until a publication is read back from the log.
const publishTimeout = 10 * time.Second

// Publish implements operator.Source. It writes the publication to the log and waits until the node reads it
// back and accepts or rejects it.
func (n *Node) Publish(ctx context.Context, p operator.Publication) (operator.Decision, error) {
	m, err := manifest.Parse([]byte(p.Document))
	if err != nil {
		return operator.Decision{}, trace.Wrap(err)
	}
	id := uuid.NewString()
	publication, err := config.NewPublication(m, n.engine.views.activeManifest.Load(), config.Version(p.Replaces), id, time.Now())
	if err != nil {
		return operator.Decision{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	decided := make(chan publicationResult, 1)
	if !n.engine.runAndWait(ctx, func(time.Time) { n.engine.publicationWaiters[id] = decided }) {
		return operator.Decision{}, trace.ConnectionProblem(nil, "the node is stopping or busy; nothing was published")
	}
	defer n.engine.post(func(time.Time) { delete(n.engine.publicationWaiters, id) })
	body := &record.Record{Body: &record.Record_Publication{Publication: publication}}
	if !n.engine.manifestWriter.Enqueue(body) {
		return operator.Decision{}, trace.LimitExceeded("the queue of records to write to the log is full; nothing was published")
	}
	return awaitDecision(ctx, decided)
}

// awaitDecision waits for the outcome of a publication until ctx ends.
func awaitDecision(ctx context.Context, decided <-chan publicationResult) (operator.Decision, error) {
	select {
	case d := <-decided:
		if d.rejection == config.Superseded {
			// The publication may have been accepted before it was superseded, so its outcome is not known.
			return operator.Decision{Version: uint64(d.version), Reason: string(d.rejection)}, nil
		}
		return operator.Decision{
			Accepted: d.rejection == config.Accepted,
			Version:  uint64(d.version),
			Reason:   string(d.rejection),
			Known:    true,
		}, nil
	case <-ctx.Done():
		return operator.Decision{Reason: "the log did not confirm the publication in time; it may still be accepted"}, nil
	}
}

// notifyPublisher sends the outcome of a publication to the publisher if it waits on this node.
func (e *engine) notifyPublisher(id string, d publicationResult) {
	if decided, ok := e.publicationWaiters[id]; ok {
		decided <- d
		delete(e.publicationWaiters, id)
	}
}
