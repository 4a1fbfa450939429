package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// mayMiss is how many tasks of the lasting step of mayMissCase may be unavailable by what the system does.
	mayMiss = 1
	// calmLoad and burstLoad are the loads of the services; a burst is at most 2.6 times the usual traffic.
	calmLoad  = 0.2
	burstLoad = 0.52
)

// mayMissCase has a lasting job whose tasks fill beside services, with may-miss, while the traffic of the services rises.
func mayMissCase(d *deployment, trouble bool) (broken bool, err error) {
	h := &history{rec: d.rec}
	var burst atomic.Bool
	for _, w := range d.addWorkers(24, 64000, 256000, "standard", h) {
		w.load = func() float64 {
			if burst.Load() {
				return burstLoad
			}
			return calmLoad
		}
	}
	if err := d.configure(true, 3); err != nil {
		return false, err
	}
	if err := d.run(); err != nil {
		return false, err
	}
	c := newClient(d, "client")
	service := behaviour{CPU: 13000, Mem: 26000, Serves: true, StartsMS: 300}
	if !c.submit(newID(), job([]behaviour{service}, []step{{"count": 12, "cpu": service.CPU, "mem-mb": service.Mem, "estimate-ms": 300, "long-running": true,
		"image": "listener", "target-ms": 60, "anti-affinity": 1}}, nil)) {
		return false, fmt.Errorf("the job of the services was not accepted")
	}
	time.Sleep(2 * time.Second)
	large := behaviour{MS: 10000, CPU: 60000, Mem: 1000}
	if !c.submit(newID(), job([]behaviour{large}, []step{{"count": 12, "cpu": large.CPU, "mem-mb": large.Mem, "estimate-ms": large.MS}}, nil)) {
		return false, fmt.Errorf("the ordinary job was not accepted")
	}
	time.Sleep(2 * time.Second)
	lasting, id := behaviour{CPU: 16000, Mem: 1000, Fills: true, Presses: 1, StartsMS: 300}, newID()
	if !c.submit(id, job([]behaviour{lasting}, []step{{"count": 6, "cpu": lasting.CPU, "mem-mb": lasting.Mem, "estimate-ms": 300, "long-running": true, "fills": true,
		"saves-progress": true, "image": "indexer", "anti-affinity": 1, "may-miss": mayMiss}}, nil)) {
		return false, fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(14 * time.Second)
	if trouble {
		d.rec.say("the traffic of the services rises")
		burst.Store(true)
	}
	time.Sleep(6 * time.Second)
	return brokenAvail(d, h, id), nil
}

// brokenAvail checks the rule AVAIL for the step of a lasting job: how often a stop has ended a task at work while as many others as may be
// missing were away, ended by such an order or not at work for noticeTime.
func brokenAvail(d *deployment, h *history, id string) bool {
	type state struct {
		atWork, ordered bool
		since           time.Time // not at work since
	}
	tasks := make(map[string]*state)
	stops, broken, began := 0, 0, 0
	for _, e := range h.all() {
		if !strings.HasPrefix(e.task, id+".") {
			continue
		}
		t := tasks[e.task]
		if t == nil {
			t = &state{since: e.at}
			tasks[e.task] = t
		}
		switch e.kind {
		case "at work":
			t.atWork, t.ordered = true, false
			began++
		case "told to stop":
			if t.atWork {
				stops++
				away := 0
				for name, other := range tasks {
					if name != e.task && !other.atWork && (other.ordered || e.at.Sub(other.since) >= noticeTime) {
						away++
					}
				}
				if away >= mayMiss {
					broken++
					d.rec.say("%.3f s: %s was told to stop on %s while %d others of its step were away", e.at.Sub(d.rec.began).Seconds(), e.task, e.worker, away)
				}
				t.ordered = true
			}
			t.atWork, t.since = false, e.at
		case "stopped", "failed", "lapsed", "done":
			if t.atWork {
				t.atWork, t.since = false, e.at
			}
		}
	}
	d.rec.say("the lasting job: %d tasks, at work %d times, stopped by orders %d times, %d of them beyond may-miss", len(tasks), began, stops, broken)
	return broken > 0
}
