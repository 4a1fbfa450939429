package soak

import (
	"testing"
	"time"

	"cactuswall.example/cactuswall/platform/standin"
)

// history tells an oracle what happened on workers w1 and w2 and to job j, which has two tasks and then a third one.
type history struct{ *oracle }

func newHistory() history {
	o := newOracle(0, standin.Work{MilliCPU: 3000, MemoryMB: 1000})
	work := standin.Work{MilliCPU: 1000, MemoryMB: 100, DurationMS: 500}
	o.addJob(&jobHistory{id: "j", queue: mainQueue, accepted: time.Second, jobDraw: jobDraw{steps: []standin.Step{{Work: work, Count: 2}, {Work: work, Count: 1, After: []int{0}}}}})
	o.domains["w1"], o.domains["w2"] = "d1", "d2"
	return history{o}
}

func (h history) at(at time.Duration, worker, kind, task string, run int) history {
	h.event(standin.Event{At: at, Worker: worker, Life: 1, Kind: kind, Task: task, Run: run})
	return h
}

// run is a run that ends as done.
func (h history) run(worker, task string, number int, from, to time.Duration) history {
	return h.at(from, worker, "start", task, number).at(to, worker, "done", task, number)
}

const (
	first, second, last = "j.0.0.0", "j.0.0.1", "j.0.1.0"
	s                   = time.Second
)

// complete is a history in which all promises are kept.
func complete() history {
	return newHistory().run("w1", first, 1, 2*s, 3*s).run("w2", second, 1, 2*s, 3*s).at(4*s, "w1", "acknowledged", first, 1).run("w1", last, 1, 5*s, 6*s)
}

func TestOracle(t *testing.T) {
	tests := map[string]struct {
		history history
		promise string // empty if all are kept
	}{
		"every task runs once": {complete(), ""},
		"two runs of a task at a time": {
			complete().at(2500*time.Millisecond, "w2", "start", first, 2).at(2600*time.Millisecond, "w2", "stopped", first, 2), promiseOnce},
		"a run begins when its worker's other run has lapsed": {newHistory().at(2*s, "w1", "start", first, 1).at(3*s, "w1", "lapsed", first, 1).
			run("w2", first, 2, 3*s, 4*s), ""},
		"a run begins while the other one's worker is only silent": {newHistory().at(2*s, "w1", "start", first, 1).run("w2", first, 2, 3*s, 4*s).
			at(5*s, "w1", "lapsed", first, 1), promiseOnce},
		"a run after a crash of the other one's worker": {newHistory().at(2*s, "w1", "start", first, 1).at(3*s, "w1", "gone", "", 0).
			run("w2", first, 2, 4*s, 5*s), ""},
		"work that is done again although the owner had stored its end": {complete().run("w2", first, 2, 7*s, 8*s), promiseResume},
		"work that is done again since nobody learned of its end":       {complete().run("w1", second, 2, 7*s, 8*s), ""},
		"a step before the one that it depends on":                      {newHistory().run("w1", first, 1, 2*s, 3*s).run("w2", last, 1, 4*s, 5*s), promiseOrder},
		"more than a worker has":                                        {overcommitted(), promiseCapacity},
		"a task of a job that nobody handed in":                         {newHistory().run("w1", "k.0.0.0", 1, 2*s, 3*s), promiseNotRun},
		"a task on a worker that has been leaving":                      {newHistory().at(2*s, "w1", "draining", "", 0).run("w1", first, 1, 10*s, 11*s), promiseLeaving},
		"a task on a worker that began to leave":                        {newHistory().at(2*s, "w1", "draining", "", 0).run("w1", first, 1, 3*s, 4*s), ""},
		"a task long after the cancellation":                            {cancelled(2*s).run("w1", first, 1, 30*s, 31*s), promiseCancel},
		"a task when the cancellation was confirmed":                    {cancelled(2*s).run("w1", first, 1, 3*s, 4*s), ""},
		"a state that nobody asked for":                                 {state("cancelled"), promiseState},
		"a completed job with a task that was not done":                 {state("completed"), promiseState},
		"a running job": {state("running"), ""},
		"a task in a failure domain that has been evacuated":       {evacuated(2*s, 20*s, 8*s), promiseEvacuated},
		"a task soon after the request":                            {evacuated(2*s, 20*s, 6*s), ""},
		"a task after the withdrawal":                              {evacuated(2*s, 8*s, 9*s), ""},
		"a task that a disturbed worker starts late":               {late(evacuated(2*s, 20*s, 8*s)), ""},
		"a long-running task runs again in time after a loss":      {lost(11 * s), ""},
		"a long-running task runs again too late after a loss":     {lost(11*s + 1), promiseLoss},
		"a long-running task does not run again after a loss":      {lost(0), promiseLoss},
		"a task runs late after a loss while others are disturbed": {disturbed(lost(20*s), "n2", 9*s), ""},
		"a task runs late after a loss, long after a disturbance":  {disturbed(lost(20*s), "n2", -8*s), promiseLoss},
		"a task runs late after a loss with its owner's end":       {disturbed(lost(20*s), "n1", 2*s), promiseLoss},
		"a task runs late after a loss and two ends of its owner":  {disturbed(disturbed(lost(20*s), "n1", 2*s), "n1", 3*s), ""},
		"a long-running task ends and runs again":                  {lost(0).run("w2", "l.0.0.0", 2, 3*s, 4*s).at(4*s, "w2", "acknowledged", "l.0.0.0", 2).run("w2", "l.0.0.0", 3, 5*s, 6*s).at(7*s, "w2", "start", "l.0.0.0", 4), ""},
		"a job begins too late":                                    {begun(3*s + 1), promisePrompt},
		"a job never begins":                                       {begun(0), promisePrompt},
		"a job begins in time":                                     {begun(3 * s), ""},
		"a job begins late while a node is disturbed":              {disturbed(begun(4*s), "n1", 2*s), ""},
		"a job begins late after a disturbance":                    {disturbed(begun(4*s), "n1", s-beginQuiet-1), promisePrompt},
		"a task of the second occurrence before the first step":    {occurrences("o.1.1.0"), promiseOrder},
		"tasks of the first occurrence in their order":             {occurrences("o.0.1.0"), ""},
		"a task in another failure domain than the evacuated one":  {evacuated(2*s, 20*s, 3*s).run("w2", second, 1, 9*s, 10*s), ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var promises []string
			for _, v := range test.history.finish() {
				promises = append(promises, v.Promise)
			}
			if test.promise == "" && len(promises) > 0 || test.promise != "" && (len(promises) == 0 || promises[0] != test.promise) {
				t.Errorf("broken promises: %q, want %q", promises, test.promise)
			}
		})
	}
}

// begun is a history of a prompt job, accepted at 1 s, that begins at a time unless that is 0.
func begun(at time.Duration) history {
	h := newHistory()
	h.addJob(&jobHistory{id: "b", accepted: s, jobDraw: jobDraw{steps: []standin.Step{{Work: standin.Work{MilliCPU: 10, DurationMS: 500}, Count: 1}}, prompt: true}})
	if at > 0 {
		h.run("w1", "b.0.0.0", 1, at, at+s/2)
	}
	return h
}

// occurrences is a history of a job with two occurrences of two steps, of which the first one's first step and a further task run.
func occurrences(task string) history {
	h, work := newHistory(), standin.Work{MilliCPU: 10, DurationMS: 500}
	h.addJob(&jobHistory{id: "o", accepted: s, jobDraw: jobDraw{steps: []standin.Step{{Work: work, Count: 1}, {Work: work, Count: 1, After: []int{0}}},
		schedule: standin.Schedule{Times: 2}}})
	return h.run("w1", "o.0.0.0", 1, 2*s, 3*s).run("w1", task, 1, 4*s, 5*s)
}

// overcommitted has four runs on a worker with room for three.
func overcommitted() history {
	h := newHistory()
	work := standin.Work{MilliCPU: 1000, MemoryMB: 100, DurationMS: 500}
	h.addJob(&jobHistory{id: "k", accepted: time.Second, jobDraw: jobDraw{steps: []standin.Step{{Work: work, Count: 2}}}})
	for _, task := range []string{first, second, "k.0.0.0", "k.0.0.1"} {
		h.at(2*s, "w1", "start", task, 1)
	}
	return h
}

// evacuated is a history in which failure domain d1 is evacuated, and a task starts there at a time.
func evacuated(from, to, start time.Duration) history {
	h := newHistory()
	h.endDisturbance(h.evacuate("d1", from), to)
	return h.run("w1", first, 1, start, start+s)
}

func late(h history) history {
	h.disturb("w1", 7*s, 7*s)
	return h
}

// lost is a history in which w1 is lost at 2 s with its long-running task, which w2 starts at a time unless that is 0.
func lost(again time.Duration) history {
	h := newHistory()
	h.addJob(&jobHistory{id: "l", accepted: time.Second, jobDraw: jobDraw{steps: []standin.Step{{Work: standin.Work{MilliCPU: 1000}, Count: 1}}}})
	h.losses = []loss{{worker: "w1", from: 2 * s, to: 2 * s, subjects: []string{"w1", "n1"}}}
	h.at(s, "w1", "start", "l.0.0.0", 1).at(2*s, "w1", "gone", "", 0)
	if again > 0 {
		h.at(again, "w2", "start", "l.0.0.0", 2)
	}
	return h
}

func disturbed(h history, subject string, at time.Duration) history {
	h.disturb(subject, at, at)
	return h
}

func cancelled(at time.Duration) history {
	h := newHistory()
	h.jobs["j"].cancelled, h.jobs["j"].cancelSent = at, true
	return h
}

func state(reported string) history {
	h := newHistory().run("w1", first, 1, 2*s, 3*s)
	h.stateSeen(h.jobs["j"], reported, 4*s)
	return h
}

func TestUnsettled(t *testing.T) {
	h := newHistory().run("w1", first, 1, 2*s, 3*s)
	h.addJob(&jobHistory{id: "l", accepted: time.Second, jobDraw: jobDraw{steps: []standin.Step{{Work: standin.Work{MilliCPU: 1000}, Count: 2}}}})
	h.at(2*s, "w1", "start", "l.0.0.0", 1)
	unfinished, notRunning := h.unsettled()
	if len(unfinished) != 1 || unfinished[0] != second || len(notRunning) != 1 || notRunning[0] != "l.0.0.1" {
		t.Errorf("got %v and %v, want a task of each job", unfinished, notRunning)
	}
}
