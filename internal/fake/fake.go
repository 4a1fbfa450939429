// Package fake provides fakes of the platform's log and VM list, of workers and of endpoints.
//
// The development deployment and the tests use them. Faults can be injected into each: delay, unavailability,
// loss of a reply after the call took effect, and a network partition from a failure domain. The log, the VM list
// and the reports of workers can also lag. The fakes keep everything in memory and start no processes.
package fake

import (
	"context"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/platform/httpjson"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Faults holds the faults injected into a fake. The zero value injects none.
type Faults struct {
	mu sync.Mutex
	// delay is the time that every call waits before it takes effect.
	delay time.Duration
	// down is set while every call is rejected.
	down bool
	// dropReplies is the number of replies still to be lost after their call took effect.
	dropReplies int
	// cutDomains holds the failure domains whose calls are lost.
	cutDomains map[string]bool
}

// SetDelay makes every call take d longer.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetDown makes every call fail without taking effect while down is true. A VMList and a Worker fail with
// platform.ReasonLogUnavailable too, not only a Log; an Endpoint rejects the request as "leaving".
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// DropReplies makes the next n calls take effect and lose their reply.
func (f *Faults) DropReplies(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropReplies = n
}

// beforeEffect applies the faults that precede the effect of a call: the delay, unavailability and a partition.
func (f *Faults) beforeEffect(ctx context.Context) error {
	f.mu.Lock()
	delay, down := f.delay, f.down
	f.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return verdict.New(verdict.NotRun, "cancelled", ctx.Err())
		}
	}
	if down {
		return verdict.New(verdict.NotRun, platform.ReasonLogUnavailable, nil)
	}
	return f.blockIfCut(ctx)
}

// afterEffect returns an error if the reply is to be lost.
func (f *Faults) afterEffect() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dropReplies == 0 {
		return nil
	}
	f.dropReplies--
	return verdict.New(verdict.MayHaveRun, "reply_lost", httpjson.ErrDropReply)
}
