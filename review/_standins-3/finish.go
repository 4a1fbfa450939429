package main

import (
	"net/http"
	"strings"
	"time"
)

// running returns the number of runs of a job's tasks that are on workers, and when the last run ended, by the events of the workers.
func (h *history) running(id string) (running int, lastEnd time.Time) {
	for _, e := range h.all() {
		if !strings.HasPrefix(e.task, id+".") {
			continue
		}
		switch e.kind {
		case "start":
			running++
		case "done", "failed", "stopped", "lapsed":
			running--
			lastEnd = e.at
		}
	}
	return running, lastEnd
}

// usedShare returns the share of the capacity of the workers with a label that is in use; all workers if it is empty.
func (d *deployment) usedShare(label string) float64 {
	used, all := 0, 0
	for _, w := range d.workers {
		if label != "" && w.labels[0] != label {
			continue
		}
		w.mu.Lock()
		all += w.cpu
		for _, r := range w.running {
			if !r.does.Fills {
				used += r.does.CPU
			}
		}
		w.mu.Unlock()
	}
	return float64(used) / float64(all)
}

// finish is what the jobs are found to be finishTime after the end of the traffic.
type finish struct{ completed, atWork, unanswered, unknown, idle int }

func (f finish) lost() bool { return f.unanswered+f.unknown+f.idle > 0 }

// askAll asks for accepted jobs as the rule LOST says: each is asked for, with retries within the deadline of each attempt. A job that is not
// completed is idle if nothing of it has been running for 3 s, while less than half of the capacity is in use.
func (d *deployment) askAll(h *history, ids []string) finish {
	var f finish
	type result struct {
		id, state string
	}
	results := make(chan result, len(ids))
	for _, id := range ids {
		go func() {
			c := newClient(d, "finish")
			state := ""
			for attempt := 0; attempt < 5 && state == ""; attempt++ {
				state = c.state(id)
				if state == "" {
					time.Sleep(500 * time.Millisecond)
				}
			}
			results <- result{id, state}
		}()
	}
	var waiting []string
	for range ids {
		switch r := <-results; r.state {
		case "completed":
			f.completed++
		case "":
			f.unanswered++
		case "410":
			f.unknown++
		default:
			waiting = append(waiting, r.id)
		}
	}
	for _, id := range waiting {
		running, lastEnd := h.running(id)
		if running == 0 && time.Since(lastEnd) > 3*time.Second && d.usedShare("") < 0.5 {
			f.idle++
		} else {
			f.atWork++
		}
	}
	return f
}

// report writes what was found.
func (f finish) report(d *deployment) {
	d.rec.say("%v after the end of the traffic: %d jobs completed, %d at work, %d with nothing running for 3 s while capacity is free, %d unknown (410), %d without an answer",
		finishTime, f.completed, f.atWork, f.idle, f.unknown, f.unanswered)
}

// acceptedIDs returns the jobs that were accepted.
func (o *ordinary) acceptedIDs() (ids []string, sent int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.jobs {
		if j.accepted {
			ids = append(ids, j.id)
		}
	}
	return ids, len(o.jobs)
}

// ordinaryCase plays ordinary traffic, with what disturb does beside it, and checks the rule LOST for the ordinary jobs.
func ordinaryCase(d *deployment, h *history, traffic time.Duration, disturb func(until time.Time)) (broken bool) {
	return new(ordinary).play(d, h, traffic, disturb)
}

// play is ordinaryCase for given clients.
func (o *ordinary) play(d *deployment, h *history, traffic time.Duration, disturb func(until time.Time)) (broken bool) {
	until := time.Now().Add(traffic)
	group := o.run(d, 500*time.Millisecond, until, until.Add(finishTime))
	group.Go(func() { disturb(until) })
	time.Sleep(time.Until(until.Add(finishTime)))
	ids, sent := o.acceptedIDs()
	d.rec.say("ordinary jobs: %d sent, %d accepted", sent, len(ids))
	f := d.askAll(h, ids)
	f.report(d)
	group.Wait()
	return f.lost()
}

// post hands a job in once and reports whether it was accepted.
func (c *client) post(body []byte) bool {
	status, _ := c.call(http.MethodPost, queuePrefix+newID(), body)
	return status/100 == 2
}

// usual sets a small deployment up: its workers, the configuration and the nodes.
func (d *deployment) usual(h *history, workers, maxAttempts int) error {
	d.addWorkers(workers, 64000, 256000, "standard", h)
	if err := d.configure(true, maxAttempts); err != nil {
		return err
	}
	return d.run()
}
