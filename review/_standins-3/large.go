package main

import (
	"fmt"
	"net/http"
	"time"
)

// largeCase has five jobs handed in that can never be done, of 20,000 tasks each, before one of 200 small tasks.
func largeCase(d *deployment, trouble bool) (broken bool, err error) {
	h := &history{rec: d.rec}
	if err := d.usual(h, 24, 3); err != nil {
		return false, err
	}
	if trouble {
		d.rec.say("five gangs of 20,000 tasks of a core each are handed in; the workers have 1,536 cores")
		for range 5 {
			body := job([]behaviour{{MS: 30000, CPU: 1000, Mem: 1, Gang: 20000}}, []step{{"count": 20000, "cpu": 1000, "mem-mb": 1, "estimate-ms": 30000, "gang": true}}, nil)
			newClient(d, "poison").call(http.MethodPost, queuePrefix+newID(), body)
		}
		time.Sleep(time.Second)
	}
	does, id := behaviour{MS: 500, CPU: 500, Mem: 10}, newID()
	if !newClient(d, "client").submit(id, job([]behaviour{does}, []step{{"count": 200, "cpu": does.CPU, "mem-mb": does.Mem, "estimate-ms": does.MS}}, nil)) {
		return false, fmt.Errorf("the job of 200 tasks was not accepted")
	}
	lost := ordinaryCase(d, h, 10*time.Second, func(time.Time) {})
	f := d.askAll(h, []string{id})
	d.rec.say("the job of 200 tasks:")
	f.report(d)
	return lost || f.lost(), nil
}
