package main

import "time"

// gangJobs is the number of jobs that the uncontrolled client of gangsCase hands in.
const gangJobs = 5

// gangsCase has a client outside the operators' control hand in gangs of 20,000 tasks, of which only 19,680 may run at a time by their own limit of
// tasks on one worker.
func gangsCase(d *deployment, trouble bool) (broken bool, err error) {
	h := &history{rec: d.rec}
	if err := d.usual(h, 48, 3); err != nil {
		return false, err
	}
	return ordinaryCase(d, h, 25*time.Second, func(time.Time) {
		if !trouble {
			return
		}
		time.Sleep(8 * time.Second)
		c := newClient(d, "uncontrolled")
		for range gangJobs {
			c.post(job([]behaviour{{MS: 500, CPU: 1, Mem: 1, Gang: 20000}},
				[]step{{"count": 20000, "cpu": 1, "mem-mb": 1, "estimate-ms": 500, "gang": true, "rack-sensitive": true, "anti-affinity": 410}}, nil))
		}
	}), nil
}
