package main

import (
	"fmt"
	"time"
)

// imagesCase has clients hand in jobs whose steps name images of their own, as where each build of a program has its name, beside services.
func imagesCase(d *deployment, trouble bool) (broken bool, err error) {
	h := &history{rec: d.rec}
	if err := d.usual(h, 12, 3); err != nil {
		return false, err
	}
	for _, n := range d.nodes {
		go n.watchMemory()
	}
	service := behaviour{CPU: 13000, Mem: 26000, Serves: true, StartsMS: 300}
	c := newClient(d, "listener")
	if !c.submit(newID(), job([]behaviour{service}, []step{{"count": 12, "cpu": service.CPU, "mem-mb": service.Mem, "estimate-ms": 300, "long-running": true,
		"image": "listener-1", "target-ms": 150, "anti-affinity": 1}}, nil)) {
		return false, fmt.Errorf("the job of the services was not accepted")
	}
	images := 0
	broken = ordinaryCase(d, h, 80*time.Second, func(until time.Time) {
		time.Sleep(3 * time.Second)
		c := newClient(d, "rebuild")
		fill := behaviour{MS: 1000, CPU: 2000, Mem: 500, Fills: true}
		for time.Now().Before(until) {
			var steps []step
			for range 10 {
				image := "rebuild"
				if trouble {
					images++
					image = fmt.Sprintf("rebuild-%d", images)
				}
				steps = append(steps, step{"count": 1, "cpu": fill.CPU, "mem-mb": fill.Mem, "estimate-ms": 1000, "fills": true, "image": image})
			}
			c.post(job([]behaviour{fill}, steps, nil))
			time.Sleep(100 * time.Millisecond)
		}
	})
	overs := 0
	for _, n := range d.nodes {
		d.rec.say("%s: at most %d MB of %d, killed %d times for its memory", n.name, n.peakMB, n.d.limits, n.overs)
		overs += n.overs
	}
	d.rec.say("images: %d", images)
	return broken || overs > 0, nil
}
