package main

import (
	"net/http"
	"time"
)

// poisonCase has a job handed in that can never be done: a gang that requests more than all workers have, in a queue of a higher priority than that of
// the ordinary jobs.
func poisonCase(d *deployment, trouble bool) (broken bool, err error) {
	h := &history{rec: d.rec}
	if err := d.usual(h, 24, 3); err != nil {
		return false, err
	}
	return (&ordinary{gang: true}).play(d, h, 25*time.Second, func(time.Time) {
		if !trouble {
			return
		}
		time.Sleep(8 * time.Second)
		d.rec.say("a gang of 1,600 tasks of a core each is handed in; the workers have 1,536 cores")
		body := job([]behaviour{{MS: 30000, CPU: 1000, Mem: 100, Gang: 1600}}, []step{{"count": 1600, "cpu": 1000, "mem-mb": 100, "estimate-ms": 30000, "gang": true}}, nil)
		newClient(d, "poison").call(http.MethodPost, urgentPrefix+newID(), body)
	}), nil
}
