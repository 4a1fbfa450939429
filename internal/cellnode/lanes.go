package cellnode

import (
	"context"
	"sync"
)

const (
	// maxSendersPerWorker is the number of orders to one worker that may be in flight at once, not counting a hold.
	maxSendersPerWorker = 2
	// maxQueuedOrders is the number of orders that may wait for one worker. Beyond it, additional senders are started.
	maxQueuedOrders = 128
)

// orderQueues queues orders per worker, so that few connections to each worker are used.
type orderQueues struct {
	mu       sync.Mutex
	byWorker map[string]*workerQueue
}

// workerQueue holds the queued orders to one worker. Its sender goroutines exit when the queue is empty.
type workerQueue struct {
	orders  []func()
	senders int
}

func newOrderQueues() *orderQueues { return &orderQueues{byWorker: make(map[string]*workerQueue)} }

// send queues an order to a worker and starts a sender if needed.
func (q *orderQueues) send(ctx context.Context, worker string, order func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.byWorker[worker]
	if queue == nil {
		queue = &workerQueue{}
		q.byWorker[worker] = queue
	}
	queue.orders = append(queue.orders, order)
	if queue.senders < maxSendersPerWorker || len(queue.orders) > maxQueuedOrders {
		queue.senders++
		go q.runSender(ctx, worker, queue)
	}
}

func (q *orderQueues) runSender(ctx context.Context, worker string, queue *workerQueue) {
	for {
		q.mu.Lock()
		if len(queue.orders) == 0 || ctx.Err() != nil {
			queue.senders--
			if queue.senders == 0 && len(queue.orders) == 0 {
				delete(q.byWorker, worker)
			}
			q.mu.Unlock()
			return
		}
		order := queue.orders[0]
		queue.orders = queue.orders[1:]
		q.mu.Unlock()
		order()
	}
}
