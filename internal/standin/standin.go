// Package standin holds small stand-ins for the platform, for workers and for endpoints.
//
// They serve the development deployment and the tests. Each can be slow, be down, drop a reply after the
// effect, lag, and be cut off from a failure domain. They keep everything in memory and start no process.
package standin

import (
	"context"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/platform/httpjson"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Faults are the ways in which a stand-in misbehaves. The zero value behaves well.
type Faults struct {
	mu sync.Mutex
	// delay is added before the effect of every call.
	delay time.Duration
	// down refuses every call.
	down bool
	// dropReplies is how many of the next replies are lost after the effect.
	dropReplies int
	// cut holds the failure domains whose calls are lost.
	cut map[string]bool
}

// SetDelay makes every call take d longer.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetDown makes every call fail without an effect while down is true.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// DropReplies loses the next n replies after their effect.
func (f *Faults) DropReplies(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropReplies = n
}

// before waits for the delay and refuses the call when the stand-in is down.
func (f *Faults) before(ctx context.Context) error {
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
		return verdict.New(verdict.NotRun, platform.ReasonLogDown, nil)
	}
	return f.awaitCut(ctx)
}

// after returns an error when the reply is to be lost.
func (f *Faults) after() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dropReplies == 0 {
		return nil
	}
	f.dropReplies--
	return verdict.New(verdict.MayHaveRun, "reply_lost", httpjson.ErrDropReply)
}
