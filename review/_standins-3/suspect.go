package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// suspectCase has one of 24 workers fail all that it starts for a while. A gang that needs all workers with a label, that one among them, is handed
// in when it has been sound again for longer than contactTime.
func suspectCase(d *deployment, trouble bool) (broken bool, err error) {
	h := &history{rec: d.rec}
	d.addWorkers(20, 64000, 256000, "standard", h)
	var failing atomic.Bool
	special := d.addWorkers(4, 64000, 256000, "special", h)
	special[0].failing = failing.Load
	if err := d.configure(true, 3); err != nil {
		return false, err
	}
	if err := d.run(); err != nil {
		return false, err
	}
	does := behaviour{MS: 500, CPU: 2000, Mem: 500}
	c := newClient(d, "client")
	body := func(count int) []byte {
		return job([]behaviour{does}, []step{{"count": count, "cpu": does.CPU, "mem-mb": does.Mem, "estimate-ms": does.MS, "requires": "special"}}, nil)
	}
	if !c.submit(newID(), body(4)) {
		return false, fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(2 * time.Second)
	const fault, traffic = 4 * time.Second, 8 * time.Second
	if trouble {
		d.rec.say("%s, one of 24 workers, fails all that it starts for %v", special[0].id, fault)
		failing.Store(true)
	}
	if !c.submit(newID(), body(16)) {
		return false, fmt.Errorf("the second job was not accepted")
	}
	time.Sleep(fault)
	failing.Store(false)
	if trouble {
		d.rec.say("it is sound again")
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	id, member := newID(), does
	member.Gang = 4
	if !c.submit(id, job([]behaviour{member}, []step{{"count": 4, "cpu": does.CPU, "mem-mb": does.Mem, "estimate-ms": does.MS, "requires": "special",
		"gang": true, "anti-affinity": 1}}, nil)) {
		return false, fmt.Errorf("the job with the gang was not accepted")
	}
	lost := ordinaryCase(d, h, traffic, func(time.Time) {})
	f := d.askAll(h, []string{id})
	d.rec.say("the job with the gang, accepted %v before:", (traffic + finishTime).Round(time.Second))
	f.report(d)
	d.rec.say("the workers with the label use %.2f of their capacity", d.usedShare("special"))
	return lost || f.lost(), nil
}
