//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["drain"] = playDrain }

const (
	drainBound = 2 * time.Second // drain-ms
	lateBy     = 6 * time.Second // applied_late: 2 to 12 s
)

// playDrain has a worker report that it drains, right after an order to start a task to which it does not answer. It does not
// answer the second one either, and answers the third.
func playDrain(d *deployment) ([]string, error) {
	for _, zone := range zones {
		if err := d.addNode(zone); err != nil {
			return nil, err
		}
	}
	for i := range 8 {
		if err := d.addWorker(zones[i%3], []string{"a", fmt.Sprintf("r1-%d", i/4)}, 16000); err != nil {
			return nil, err
		}
	}
	if err := d.begin(3); err != nil {
		return nil, err
	}
	leaving := d.workers[3]
	if d.trouble {
		leaving.mu.Lock()
		leaving.dropStarts = 2
		leaving.mu.Unlock()
	}
	id := newID()
	if _, ok := d.submit(id, job([]int{800}, step{"count": 8, "cpu": 9000, "mem-mb": 500, "estimate-ms": 800})); !ok {
		return nil, fmt.Errorf("the job was not accepted")
	}
	leaving.mu.Lock()
	leaving.draining = true
	leaving.mu.Unlock()
	leaving.register()
	acknowledged := time.Now()
	d.note("the store has acknowledged that %s is draining", leaving.id)
	if !d.await(20*time.Second, func() bool { return d.state(id) == "completed" }) {
		return nil, fmt.Errorf("the job is not completed")
	}
	var broken []string
	for _, r := range d.runList() {
		if r.Worker == leaving.id && r.Start.Sub(acknowledged) > drainBound {
			broken = append(broken, fmt.Sprintf("DRAIN: %v started %.3f s after the store had acknowledged that the worker is draining",
				&r, r.Start.Sub(acknowledged).Seconds()))
		}
	}
	return broken, nil
}

// carryOutLate carries out an order that got no answer.
func (w *worker) carryOutLate(order workerOrder) {
	time.Sleep(lateBy)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || order.Fence < w.fence {
		return
	}
	w.update()
	status, reason := w.start(&order)
	w.d.note("%s carries out the start of %s run %d late: %d %s", w.id, order.Task, order.Run, status, reason)
}
