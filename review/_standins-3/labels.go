package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// labelsCase has a job whose last step requires a label that two of 24 workers have, which fail all that they start for a while.
func labelsCase(d *deployment, trouble bool) (broken bool, err error) {
	h := &history{rec: d.rec}
	d.addWorkers(22, 64000, 256000, "standard", h)
	var failing atomic.Bool
	for _, w := range d.addWorkers(2, 64000, 256000, "special", h) {
		w.failing = failing.Load
	}
	if err := d.configure(true, 2); err != nil {
		return false, err
	}
	if err := d.run(); err != nil {
		return false, err
	}
	// The job is handed in before the end of the traffic; its first step ends 9 s after it.
	const traffic, first, fault = 10 * time.Second, 9500 * time.Millisecond, 2500 * time.Millisecond
	does, long := behaviour{MS: 500, CPU: 2000, Mem: 500}, behaviour{MS: int(first.Milliseconds()), CPU: 2000, Mem: 500}
	id := newID()
	accepted := make(chan bool, 1)
	c := newClient(d, "client")
	if !c.submit(newID(), job([]behaviour{does}, []step{{"count": 2, "cpu": does.CPU, "mem-mb": does.Mem, "estimate-ms": does.MS, "requires": "special"}}, nil)) {
		return false, fmt.Errorf("the first job was not accepted")
	}
	end := time.Now().Add(traffic)
	go func() {
		time.Sleep(traffic - 500*time.Millisecond)
		accepted <- c.submit(id, job([]behaviour{long, does}, []step{
			{"count": 1, "cpu": long.CPU, "mem-mb": long.Mem, "estimate-ms": long.MS},
			{"count": 6, "cpu": does.CPU, "mem-mb": does.Mem, "estimate-ms": does.MS, "requires": "special", "after": []int{0}},
		}, nil))
		time.Sleep(time.Until(end.Add(8 * time.Second)))
		if trouble {
			d.rec.say("two workers of 24 fail all that they start for %v", fault)
			failing.Store(true)
			time.Sleep(fault)
			failing.Store(false)
			d.rec.say("they are sound again")
		}
	}()
	lost := ordinaryCase(d, h, traffic, func(time.Time) {})
	if !<-accepted {
		return false, fmt.Errorf("the job was not accepted")
	}
	f := d.askAll(h, []string{id})
	f.report(d)
	running, lastEnd := h.running(id)
	if f.idle > 0 {
		d.rec.say("the job has had nothing running for %.1f s; runs now: %d; the workers with the label use %.2f of their capacity",
			time.Since(lastEnd).Seconds(), running, d.usedShare("special"))
	}
	return lost || f.lost(), nil
}
