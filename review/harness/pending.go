//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["pending"] = playPending }

// playPending has one worker of twelve refuse all starts for some seconds, while the others are full, and asks for the number of
// pending jobs.
func playPending(d *deployment) ([]string, error) {
	const waitingJobs, visibleAfter = 10, 5 * time.Second // visible_ms + 2 s
	for _, zone := range zones {
		if err := d.addNode(zone); err != nil {
			return nil, err
		}
	}
	for i := range 12 {
		if err := d.addWorker(zones[i%3], []string{"a", fmt.Sprintf("r1-%d", i/4)}, 16000); err != nil {
			return nil, err
		}
	}
	sick := d.workers[11]
	if err := d.begin(3); err != nil {
		return nil, err
	}
	// Eleven tasks of all cores; with no disruption a twelfth takes the last worker.
	filling := 11
	if !d.trouble {
		filling = 12
	}
	if d.trouble {
		sick.mu.Lock()
		sick.refuse = true
		sick.mu.Unlock()
		d.note("%s refuses all starts with 503", sick.id)
	}
	id := newID()
	if _, ok := d.submit(id, job([]int{20000}, step{"count": filling, "cpu": 16000, "mem-mb": 500, "estimate-ms": 20000})); !ok {
		return nil, fmt.Errorf("the job that fills the workers was not accepted")
	}
	running := func() (count int) {
		for _, r := range d.runList() {
			if r.Task[:16] == id && r.End.IsZero() {
				count++
			}
		}
		return count
	}
	if !d.await(10*time.Second, func() bool { return running() == filling }) {
		return nil, fmt.Errorf("%d of %d tasks run", running(), filling)
	}
	var ids []string
	var last time.Time
	for range waitingJobs {
		id := newID()
		at, ok := d.submit(id, job([]int{500}, step{"count": 1, "cpu": 1000, "mem-mb": 500, "estimate-ms": 500}))
		if !ok {
			return nil, fmt.Errorf("a job was not accepted")
		}
		ids, last = append(ids, id), at
	}
	time.Sleep(time.Until(last.Add(visibleAfter + 300*time.Millisecond)))
	var broken []string
	for _, n := range d.nodes {
		status, text := d.call(n, http.MethodGet, "", nil)
		var answer struct {
			Pending int `json:"pending"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil {
			return nil, fmt.Errorf("%s answers %d to the question for pending jobs", n.name, status)
		}
		begun := 0
		for _, r := range d.runList() {
			for _, id := range ids {
				if r.Task[:16] == id {
					begun++
				}
			}
		}
		if waiting := waitingJobs - begun; answer.Pending*2 < waiting {
			broken = append(broken, fmt.Sprintf("MIXED: %s says that %d jobs are pending; %d were accepted over 5 s ago and have not begun", n.name, answer.Pending, waiting))
		}
	}
	sick.mu.Lock()
	sick.refuse = false
	sick.mu.Unlock()
	d.note("%s is sound", sick.id)
	d.await(finishTime+10*time.Second, func() bool { return d.state(ids[len(ids)-1]) == "completed" })
	return broken, nil
}
