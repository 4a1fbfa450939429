package cellnode

import (
	"context"
	"sync"
)

const (
	// laneWidth is how many orders to one worker may be under way at once, beside a hold.
	laneWidth = 2
	// laneQueue bounds the orders that wait for one worker. Orders beyond it are sent at once.
	laneQueue = 128
)

// lanes sends the orders to each worker over few connections.
type lanes struct {
	mu   sync.Mutex
	byID map[string]*lane
}

// lane is the orders to one worker. Its senders end when nothing waits.
type lane struct {
	waiting []func()
	senders int
}

func newLanes() *lanes { return &lanes{byID: make(map[string]*lane)} }

// send has an order sent to a worker.
func (l *lanes) send(ctx context.Context, worker string, order func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.byID[worker]
	if line == nil {
		line = &lane{}
		l.byID[worker] = line
	}
	line.waiting = append(line.waiting, order)
	if line.senders < laneWidth || len(line.waiting) > laneQueue {
		line.senders++
		go l.serve(ctx, worker, line)
	}
}

func (l *lanes) serve(ctx context.Context, worker string, line *lane) {
	for {
		l.mu.Lock()
		if len(line.waiting) == 0 || ctx.Err() != nil {
			line.senders--
			if line.senders == 0 && len(line.waiting) == 0 {
				delete(l.byID, worker)
			}
			l.mu.Unlock()
			return
		}
		order := line.waiting[0]
		line.waiting = line.waiting[1:]
		l.mu.Unlock()
		order()
	}
}
