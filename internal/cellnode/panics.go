package cellnode

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"
)

// errPanicked stands for a panic. It ends an owner: its state may be inconsistent, so the next one loads it anew.
var errPanicked = errors.New("panic")

const (
	// restartDelay is how long a component of a node rests after a panic.
	restartDelay = time.Second
	// Of two panics in an owner of the same cell within repeatedPanicWindow, the second one keeps the node from claiming the
	// cell for panicRest. Another node may then try, and one record that every owner fails on does not cause a claim each
	// tenth of a second.
	repeatedPanicWindow = time.Minute
	panicRest           = 5 * time.Second
)

// recordPanic logs and counts a panic. work says what panicked.
func (n *Node) recordPanic(work string, cause any) {
	n.metrics.GetOrCreateCounter(`cactuswall_panics_total{work="` + work + `"}`).Inc()
	n.log.Error("panic", zap.String("work", work), zap.String("cause", fmt.Sprint(cause)), zap.Stack("stack"))
}

// restarting returns a component that runs again after a panic, so that an unexpected error in one component does not end
// the process and with it the requests of its callers.
func (n *Node) restarting(work string, component func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			err := n.guarded(work, func() error { return component(ctx) })()
			if !errors.Is(err, errPanicked) {
				return err
			}
			sleep(ctx, restartDelay)
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
	}
}

// guarded returns a function that calls f, and returns errPanicked if f panics.
func (n *Node) guarded(work string, f func() error) func() error {
	return func() (err error) {
		defer func() {
			if cause := recover(); cause != nil {
				n.recordPanic(work, cause)
				err = errPanicked
			}
		}()
		return f()
	}
}

// spawn runs f in a goroutine of its own. A panic in f ends the owner and not the process.
func (o *owner) spawn(work string, f func()) { go o.protected(work, f)() }

// protected returns a function that calls f, and ends the owner if f panics.
func (o *owner) protected(work string, f func()) func() {
	guarded := o.node.guarded(work, func() error { f(); return nil })
	return func() {
		if guarded() != nil {
			o.panicked.Store(true)
			o.stop()
		}
	}
}

// ownerPanicked notes that an owner of the cell has ended by a panic.
func (m *membership) ownerPanicked(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.panickedAt != 0 && now-m.panickedAt < repeatedPanicWindow {
		m.restUntil = now + panicRest
	}
	m.panickedAt = now
}
