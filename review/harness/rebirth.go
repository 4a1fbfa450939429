//go:build review

package main

import (
	"fmt"
	"slices"
	"time"
)

func init() { cases["rebirth"] = playRebirth }

const (
	rebirths     = 6
	downFor      = time.Second
	rebirthEvery = 6 * time.Second
)

// playRebirth has workers of kind a crash, and start again under their IDs and at their addresses as workers of kind b, while
// jobs that need kind a arrive.
func playRebirth(d *deployment) ([]string, error) {
	for _, zone := range zones {
		if err := d.addNode(zone); err != nil {
			return nil, err
		}
	}
	kinds := make([]string, 12)
	for i := range kinds {
		kinds[i] = "a"
		if i >= 9 {
			kinds[i] = "b"
		}
		if err := d.addWorker(zones[i%3], []string{kinds[i], fmt.Sprintf("r1-%d", i/6)}, 16000); err != nil {
			return nil, err
		}
	}
	if err := d.begin(3); err != nil {
		return nil, err
	}
	over := make(chan struct{})
	traffic := make(chan []string)
	go func() {
		var ids []string
		for {
			select {
			case <-over:
				traffic <- ids
				return
			case <-time.After(150 * time.Millisecond):
			}
			id := newID()
			if _, ok := d.submit(id, job([]int{800}, step{"count": 8, "cpu": 2000, "mem-mb": 500, "estimate-ms": 800, "requires": "a"})); ok {
				ids = append(ids, id)
			}
		}
	}()
	time.Sleep(3 * time.Second)
	for i := range rebirths {
		w := d.workers[i]
		if d.trouble {
			d.note("%s, of kind a, crashes", w.id)
			w.crash()
		}
		time.Sleep(downFor)
		if d.trouble {
			if err := w.boot([]string{"b", w.labels[1]}); err != nil {
				return nil, err
			}
			w.register()
			d.note("%s starts again, of kind b, and has registered itself", w.id)
		}
		time.Sleep(rebirthEvery - downFor)
	}
	close(over)
	ids := <-traffic
	d.await(finishTime, func() bool { return d.state(ids[len(ids)-1]) == "completed" })
	if state := d.state(ids[len(ids)-1]); state != "completed" {
		return nil, fmt.Errorf("the last job is %q", state)
	}
	var broken []string
	for _, r := range d.runList() {
		if slices.Contains(ids, r.Task[:16]) && !slices.Contains(r.Labels, "a") {
			broken = append(broken, fmt.Sprintf("ROUTE: at %.3f s %v, without the label a that its step requires", d.at(r.Start), &r))
		}
	}
	return broken, nil
}
