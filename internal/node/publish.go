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

// decision is what became of a publication.
type decision struct {
	rejection config.Rejection
	version   config.Version
}

// publishTimeout bounds the wait for the decision on a publication.
const publishTimeout = 10 * time.Second

// Publish implements operator.Source. It writes the publication to the log and waits until it is read back.
func (n *Node) Publish(ctx context.Context, p operator.Publication) (operator.Decision, error) {
	m, err := manifest.Parse([]byte(p.Document))
	if err != nil {
		return operator.Decision{}, trace.Wrap(err)
	}
	id := uuid.NewString()
	publication, err := config.NewPublication(m, n.engine.views.inForce.Load(), config.Version(p.Replaces), id, time.Now())
	if err != nil {
		return operator.Decision{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	decided := make(chan decision, 1)
	if !n.engine.ask(ctx, func(time.Time) { n.engine.waiters[id] = decided }) {
		return operator.Decision{}, trace.ConnectionProblem(nil, "the node is stopping")
	}
	defer n.engine.post(func(time.Time) { delete(n.engine.waiters, id) })
	body := &record.Record{Body: &record.Record_Publication{Publication: publication}}
	if !n.engine.manifestWriter.Enqueue(body) {
		return operator.Decision{}, trace.LimitExceeded("too many records wait for the log; nothing was published")
	}
	return await(ctx, decided)
}

func await(ctx context.Context, decided <-chan decision) (operator.Decision, error) {
	select {
	case d := <-decided:
		if d.rejection == config.Superseded {
			return operator.Decision{Version: uint64(d.version), Because: string(d.rejection)}, nil
		}
		return operator.Decision{
			Accepted: d.rejection == config.Accepted,
			Version:  uint64(d.version),
			Because:  string(d.rejection),
			Known:    true,
		}, nil
	case <-ctx.Done():
		return operator.Decision{Because: "the log did not confirm the publication in time; it may still be accepted"}, nil
	}
}

// decide tells the publisher, when it waits on this node, what became of a publication.
func (e *engine) decide(id string, d decision) {
	if decided, waits := e.waiters[id]; waits {
		decided <- d
		delete(e.waiters, id)
	}
}
