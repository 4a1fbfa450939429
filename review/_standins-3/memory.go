package main

import "time"

// scheduledJobs is the number of jobs that the uncontrolled client of memoryCase hands in.
const scheduledJobs = 200

// memoryCase has a client outside the operators' control hand in scheduled jobs, each of legal form and size, of which all occurrences are due
// and whose tasks require a label that no worker has.
func memoryCase(d *deployment, trouble bool) (broken bool, err error) {
	h := &history{rec: d.rec}
	if err := d.usual(h, 16, 3); err != nil {
		return false, err
	}
	for _, n := range d.nodes {
		go n.watchMemory()
	}
	accepted, bytes := 0, 0
	broken = ordinaryCase(d, h, 30*time.Second, func(time.Time) {
		if !trouble {
			return
		}
		time.Sleep(8 * time.Second)
		c := newClient(d, "uncontrolled")
		for range scheduledJobs {
			body := job([]behaviour{{MS: 500}}, []step{{"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 500, "requires": "other"}},
				map[string]any{"times": 2000, "start-at-ms": time.Now().Add(-time.Hour).UnixMilli(), "interval-ms": 1000})
			bytes += len(body)
			if c.post(body) {
				accepted++
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	for _, n := range d.nodes {
		d.rec.say("%s: at most %d MB of %d, killed %d times for its memory", n.name, n.peakMB, n.d.limits, n.overs)
	}
	d.rec.say("scheduled jobs of the uncontrolled client: %d accepted, %d bytes in all", accepted, bytes)
	return broken, nil
}
