//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["quarantine"] = playQuarantine }

const (
	failingFor = 6500 * time.Millisecond // srv_grey of the site file
	finishTime = 14 * time.Second        // finish_s
	idleLimit  = 3 * time.Second         // of LOST
)

// playQuarantine has the only worker with a label fail all that it starts for some seconds, while jobs that need the label
// arrive. Afterwards the worker is sound.
func playQuarantine(d *deployment) ([]string, error) {
	for _, zone := range zones {
		if err := d.addNode(zone); err != nil {
			return nil, err
		}
	}
	for i := range 12 {
		labels := []string{"a", fmt.Sprintf("r1-%d", i/4)}
		if i == 11 {
			labels[0] = "b"
		}
		if err := d.addWorker(zones[i%3], labels, 16000); err != nil {
			return nil, err
		}
	}
	labelled := d.workers[11]
	if err := d.begin(2); err != nil {
		return nil, err
	}
	ordinary := func(limit time.Duration) (ids []string) {
		for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(400 * time.Millisecond) {
			id := newID()
			if _, ok := d.submit(id, job([]int{300}, step{"count": 3, "cpu": 1000, "mem-mb": 500, "estimate-ms": 300})); ok {
				ids = append(ids, id)
			}
		}
		return ids
	}
	ids := ordinary(4 * time.Second)
	if d.trouble {
		d.mu.Lock()
		d.failSince = time.Now()
		d.mu.Unlock()
		labelled.setFailing(true)
		d.note("%s fails all that it starts", labelled.id)
	}
	var needing []string
	for range 3 {
		id := newID()
		if _, ok := d.submit(id, job([]int{600}, step{"count": 1, "cpu": 1000, "mem-mb": 500, "estimate-ms": 600, "requires": "b"})); !ok {
			return nil, fmt.Errorf("a job was not accepted")
		}
		needing = append(needing, id)
	}
	ids = append(ids, ordinary(failingFor)...)
	labelled.setFailing(false)
	sound := time.Now()
	d.note("%s is sound", labelled.id)
	ids = append(ids, ordinary(10*time.Second)...)
	d.note("end of the traffic")
	time.Sleep(finishTime)
	for _, id := range ids {
		if state := d.state(id); state != "completed" {
			return nil, fmt.Errorf("the ordinary job %s is %q", id, state)
		}
	}
	var broken []string
	for _, id := range needing {
		state := d.state(id)
		if state == "completed" || state == "failed" {
			continue
		}
		last := sound
		for _, r := range d.runList() {
			if r.Task[:16] == id && r.End.After(last) {
				last = r.End
			}
			if r.Task[:16] == id && r.End.IsZero() {
				last = time.Now()
			}
		}
		if idle := time.Since(last); idle > idleLimit {
			broken = append(broken, fmt.Sprintf("LOST: job %s is %q and has had nothing running for %.1f s; %s, with its label and 16 cores, has been sound and empty for %.1f s",
				id, state, idle.Seconds(), labelled.id, time.Since(sound).Seconds()))
		}
	}
	return broken, nil
}

func (w *worker) setFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = failing
}
