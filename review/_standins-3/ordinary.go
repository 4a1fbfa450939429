package main

import (
	"sync"
	"time"
)

// ordinary are clients inside all limits, whose jobs take half a second.
type ordinary struct {
	gang bool // the tasks of each job are a gang

	mu   sync.Mutex
	jobs []*ordinaryJob
}

type ordinaryJob struct {
	id       string
	accepted bool
}

// run hands a job in every interval until the time, and asks for the state of each until it is completed or the second time has come.
func (o *ordinary) run(d *deployment, interval time.Duration, until, askUntil time.Time) *sync.WaitGroup {
	var group sync.WaitGroup
	group.Go(func() {
		for time.Now().Before(until) {
			group.Go(func() { o.one(d, askUntil) })
			time.Sleep(interval)
		}
	})
	return &group
}

func (o *ordinary) one(d *deployment, askUntil time.Time) {
	c, j := newClient(d, "ordinary"), &ordinaryJob{id: newID()}
	o.mu.Lock()
	o.jobs = append(o.jobs, j)
	o.mu.Unlock()
	does := behaviour{MS: 500, CPU: 2000, Mem: 500}
	tasks := step{"count": 2, "cpu": does.CPU, "mem-mb": does.Mem, "estimate-ms": 500}
	if o.gang {
		tasks["gang"], does.Gang = true, 2
	}
	accepted := c.submit(j.id, job([]behaviour{does}, []step{tasks}, nil))
	o.mu.Lock()
	j.accepted = accepted
	o.mu.Unlock()
	for accepted && time.Now().Before(askUntil) && c.state(j.id) != "completed" {
		time.Sleep(700 * time.Millisecond)
	}
}
