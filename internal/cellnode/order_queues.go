package cellnode

import (
	"context"
	"sync"
)

const (
	// maxSendersPerWorker is the number of goroutines that send orders to one worker while at most maxQueuedOrders are
	// waiting. Renewal orders are not queued and not counted.
	maxSendersPerWorker = 2
	// maxQueuedOrders is the number of orders waiting for one worker above which each further order starts an
	// additional sender.
	maxQueuedOrders = 128
)

// orderQueues queues the start, stop and pace orders of each worker, so that few connections to a worker are used. An
// order is a function that makes the call.
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

// runSender sends queued orders to a worker until none are left or ctx ends.
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
