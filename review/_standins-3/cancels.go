package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// lastingTasks is the number of tasks of the lasting job that is cancelled in cancelCase.
const lastingTasks = 6000

// cancelTime and stopTime are bounds.cancel_ms and bounds.stop-ms: how long after the acknowledgement of its cancellation a job may have starts, and how
// long its tasks may run on after that.
const (
	cancelTime = 3 * time.Second
	stopTime   = 900 * time.Millisecond
)

// cancelCase has a client cancel a lasting job of many small tasks.
func cancelCase(d *deployment, trouble bool) (broken bool, err error) {
	h := &history{rec: d.rec}
	if err := d.usual(h, 12, 3); err != nil {
		return false, err
	}
	for _, n := range d.nodes {
		go n.watchMemory()
	}
	lasting, id := behaviour{CPU: 50, Mem: 10, StartsMS: 300}, newID()
	c := newClient(d, "client")
	if !c.submit(id, job([]behaviour{lasting}, []step{{"count": lastingTasks, "cpu": lasting.CPU, "mem-mb": lasting.Mem, "estimate-ms": 300, "long-running": true}}, nil)) {
		return false, fmt.Errorf("the lasting job was not accepted")
	}
	for deadline := time.Now().Add(40 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		running := 0
		for _, w := range d.workers {
			w.mu.Lock()
			running += len(w.running)
			w.mu.Unlock()
		}
		if running >= lastingTasks {
			break
		}
		if time.Now().After(deadline) {
			return false, fmt.Errorf("only %d tasks of the lasting job run", running)
		}
	}
	d.rec.say("%.1f s: all %d tasks of the lasting job run", time.Since(d.rec.began).Seconds(), lastingTasks)
	peakBefore := d.peakMB()
	overdue := 0 // runs of the cancelled job that go on too long
	lost := ordinaryCase(d, h, 20*time.Second, func(time.Time) {
		time.Sleep(5 * time.Second)
		if !trouble {
			return
		}
		status, _ := c.call(http.MethodDelete, queuePrefix+id, nil)
		d.rec.say("%.1f s: the lasting job is cancelled: %d", time.Since(d.rec.began).Seconds(), status)
		if status/100 != 2 {
			return
		}
		time.Sleep(cancelTime + stopTime)
		overdue, _ = h.running(id)
		d.rec.say("%.1f s: %d of its tasks still run", time.Since(d.rec.began).Seconds(), overdue)
	})
	overs := 0
	for _, n := range d.nodes {
		d.rec.say("%s: at most %d MB of %d, killed %d times for its memory", n.name, n.peakMB, n.d.limits, n.overs)
		overs += n.overs
	}
	lapsed := 0
	for _, e := range h.all() {
		if strings.HasPrefix(e.task, id+".") && e.kind == "lapsed" {
			lapsed++
		}
	}
	running, _ := h.running(id)
	d.rec.say("before the cancellation at most %d MB; runs of the lasting job: %d left, %d ended by a lapsed lease", peakBefore, running, lapsed)
	return lost || overdue > 0 || overs > 0, nil
}

// peakMB returns the most memory that the process of a node has used.
func (d *deployment) peakMB() int {
	peak := 0
	for _, n := range d.nodes {
		n.mu.Lock()
		peak = max(peak, n.peakMB)
		n.mu.Unlock()
	}
	return peak
}
