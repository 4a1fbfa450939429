package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// behaviour is what a task does. Clients send one for each step, as the payload of their jobs.
type behaviour struct {
	MS       int     `json:"ms,omitempty"` // how long it runs; 0 until it is stopped
	CPU      int     `json:"cpu,omitempty"`
	Mem      int     `json:"mem,omitempty"`
	Fills    bool    `json:"fills,omitempty"`
	Serves   bool    `json:"serves,omitempty"` // has a tail of response times
	Presses  float64 `json:"presses,omitempty"`
	Label    string  `json:"label,omitempty"`
	StartsMS int     `json:"starts_ms,omitempty"` // until a task that lasts is at work
	Gang     int     `json:"gang,omitempty"`      // number of members of its gang; 0 for none
}

// event is what happened to a run on a worker.
type event struct {
	at     time.Time
	worker string
	task   string
	run    int
	kind   string // start, at work, pace N, or how it ended
}

// history holds the events of all workers.
type history struct {
	rec    *recorder
	mu     sync.Mutex
	events []event
}

func (h *history) add(e event) {
	h.rec.line("%s  %s run %d  %s", e.worker, e.task, e.run, e.kind)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

func (h *history) all() []event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]event(nil), h.events...)
}

// worker is a minion, as PROTOCOL.md describes it, that guards its capacity.
type worker struct {
	d        *deployment
	id, ip   string
	zone     string
	labels   []string
	cpu, mem int
	history  *history
	// load returns the load of the serving tasks, from 0 to 1.
	load func() float64
	// failing reports whether all tasks fail that are started.
	failing func() bool

	mu        sync.Mutex
	bornMS    int64
	booted    time.Time
	fence     int64
	leaseEnd  time.Duration // on the worker's clock
	running   map[string]*taskRun
	highest   map[string]int // highest run of each task that was stopped or has ended
	ends      []taskEnd
	lastEnd   int64
	changed   chan struct{}
	heartbeat int64
}

type taskRun struct {
	task       string
	number     int
	does       behaviour
	startedAt  time.Time
	updatedAt  time.Time
	done       time.Duration // work done
	pace       int
	checkpoint string
	saved      time.Duration
	atWork     bool
	fails      bool
}

type taskEnd struct {
	sequence int64
	task     string
	run      int
	how      string
	saved    string
}

// addWorkers adds a number of workers of one kind, spread over the zones, with racks of 8.
func (d *deployment) addWorkers(count, cpu, mem int, kind string, h *history) []*worker {
	var added []*worker
	for range count {
		i := len(d.workers)
		w := &worker{
			d: d, id: fmt.Sprintf("w%02d", i), ip: fmt.Sprintf("%s.%d", d.net, 100+i), zone: zones[i%len(zones)],
			labels: []string{kind, fmt.Sprintf("r%d-%d", i%len(zones)+1, i/24+1)}, cpu: cpu, mem: mem, history: h,
			load: func() float64 { return 0.2 }, failing: func() bool { return false },
		}
		d.workers = append(d.workers, w)
		added = append(added, w)
	}
	return added
}

func (w *worker) run() error {
	w.bornMS, w.booted = time.Now().UnixMilli(), time.Now()
	w.running, w.highest, w.changed = make(map[string]*taskRun), make(map[string]int), make(chan struct{})
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			w.mu.Lock()
			w.update()
			w.mu.Unlock()
		}
	}()
	go func() {
		writer := w.d.writer()
		for ; ; time.Sleep(heartbeat) {
			_ = writer.WriteEntry(w.id, w.entry()) // the next one follows
		}
	}()
	return serve(w.ip+":8300", w, func(ctx context.Context, _ net.Conn) context.Context { return ctx })
}

func (w *worker) entry() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heartbeat++
	value, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": w.ip + ":8300", "zone": w.zone, "version": "1", "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": w.heartbeat,
		"born": w.bornMS, "capacity": map[string]int{"cpu": w.cpu, "mem-mb": w.mem, "gpu": 0}, "labels": w.labels,
	})
	return value
}

func (w *worker) clock() time.Duration { return time.Since(w.booted) }

// update makes progress and ends runs that are over.
func (w *worker) update() {
	now := time.Now()
	lapsed := w.clock() >= w.leaseEnd
	for _, r := range w.running {
		share, waits, ends := float64(r.pace)/100, false, ""
		if r.does.Gang > 0 {
			complete, how := w.d.gangs.state(r)
			if waits, ends = !complete, how; waits {
				share = 0
			}
		}
		r.done += time.Duration(share * float64(now.Sub(r.updatedAt)))
		r.updatedAt = now
		if !r.does.Serves && r.done-r.saved >= saveEvery {
			r.saved = r.done
			r.checkpoint = fmt.Sprintf("%s-%d", r.task, r.saved.Milliseconds())
		}
		switch {
		case ends != "":
			w.end(r, ends)
		case lapsed:
			w.end(r, "lapsed")
		case waits && now.Sub(r.startedAt) >= gangTime:
			w.end(r, "alone")
		case r.fails && now.Sub(r.startedAt) >= 20*time.Millisecond:
			w.end(r, "failed")
		case r.does.MS > 0 && r.done >= time.Duration(r.does.MS)*time.Millisecond:
			w.end(r, "done")
		case r.does.MS == 0 && !r.atWork && now.Sub(r.startedAt) >= time.Duration(r.does.StartsMS)*time.Millisecond:
			r.atWork = true
			w.note(r, "at work")
		}
	}
}

func (w *worker) note(r *taskRun, kind string) {
	w.history.add(event{at: time.Now(), worker: w.id, task: r.task, run: r.number, kind: kind})
}

func (w *worker) end(r *taskRun, how string) {
	delete(w.running, r.task)
	if r.does.Gang > 0 {
		w.d.gangs.leave(r, how)
	}
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, taskEnd{w.lastEnd, r.task, r.number, how, r.checkpoint})
	w.note(r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type workerCall struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until-ms"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	AckCursor  int64  `json:"ack-cursor"`
	WaitMS     int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var call workerCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update()
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		w.answer(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	if call.Fence < w.fence {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = call.Fence
	if call.UntilMS > 0 {
		w.leaseEnd = max(w.leaseEnd, min(time.Duration(call.UntilMS)*time.Millisecond, w.clock()+holdMax))
	}
	switch r.URL.Path {
	case "/-/run-start":
		if reason := w.start(&call); reason != "" {
			w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		w.answer(rw, http.StatusOK, nil)
	case "/-/run-stop":
		if run := w.running[call.Task]; run != nil && run.number <= call.Run {
			w.note(run, "told to stop")
			w.end(run, "stopped")
		}
		w.highest[call.Task] = max(w.highest[call.Task], call.Run)
		w.answer(rw, http.StatusOK, nil)
	case "/-/pace":
		if run := w.running[call.Task]; run != nil && run.number == call.Run {
			run.pace = call.Percent
			w.note(run, fmt.Sprintf("pace %d", call.Percent))
		}
		w.answer(rw, http.StatusOK, nil)
	case "/-/hold":
		w.hold(rw, r, &call)
	default:
		w.answer(rw, http.StatusNotFound, nil)
	}
}

func (w *worker) start(call *workerCall) (refusal string) {
	if run := w.running[call.Task]; run != nil {
		if run.number == call.Run {
			return ""
		}
		return "old"
	}
	if call.Run <= w.highest[call.Task] {
		return "old"
	}
	if time.Duration(call.UntilMS)*time.Millisecond <= w.clock() {
		return "late"
	}
	does := behaviourOf(call.Task, call.Spec)
	cpu, mem := 0, does.Mem
	if !does.Fills {
		cpu = does.CPU
	}
	for _, run := range w.running {
		mem += run.does.Mem
		if !run.does.Fills {
			cpu += run.does.CPU
		}
	}
	if cpu > w.cpu || mem > w.mem {
		return "room"
	}
	now := time.Now()
	run := &taskRun{task: call.Task, number: call.Run, does: does, startedAt: now, updatedAt: now, pace: 100, checkpoint: call.Checkpoint, fails: w.failing()}
	if does.Gang > 0 {
		w.d.gangs.join(run)
	}
	w.running[call.Task] = run
	w.note(run, "start")
	return ""
}

// behaviourOf returns what a task does by the payload of its job, whose last entry holds for all further steps.
func behaviourOf(task, spec string) behaviour {
	var steps []behaviour
	if json.Unmarshal([]byte(spec), &steps) != nil || len(steps) == 0 {
		return behaviour{MS: 500, CPU: 1, Mem: 1}
	}
	var step int
	if parts := strings.Split(task, "."); len(parts) == 4 {
		_, _ = fmt.Sscanf(parts[2], "%d", &step)
	}
	return steps[min(step, len(steps)-1)]
}

// hold answers with both lists, once there is an end or the time is over.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, call *workerCall) {
	for len(w.ends) > 0 && w.ends[0].sequence <= call.AckCursor {
		w.ends = w.ends[1:]
	}
	timer := time.NewTimer(time.Duration(min(call.WaitMS, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waited := call.WaitMS == 0; len(w.ends) == 0 && !waited; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-r.Context().Done():
			waited = true
		}
		w.mu.Lock()
	}
	w.update()
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.running {
		percent := 0
		switch {
		case run.does.MS > 0:
			percent = min(99, int(100*run.done/(time.Duration(run.does.MS)*time.Millisecond)))
		case run.atWork:
			percent = 100
		}
		measured := float64(run.does.CPU*run.pace) / 100
		if run.does.Serves {
			measured = w.tail()
		}
		running = append(running, []any{run.task, run.number, run.checkpoint, percent, math.Round(measured)})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ended = append(ended, []any{e.sequence, e.task, e.run, e.how, e.saved})
	}
	w.answer(rw, http.StatusOK, map[string]any{"born": w.bornMS, "running": running, "ended": ended})
}

// idleTail is the tail of the response times of a serving task without load, in ms.
const idleTail = 20

// tail returns the tail of the response times of the serving tasks, in ms: that of a queue with the tasks' own load and the disturbance by
// tasks that fill.
func (w *worker) tail() float64 {
	used := w.load()
	for _, run := range w.running {
		if run.does.Fills {
			used += run.does.Presses * float64(run.does.CPU) / float64(w.cpu) * float64(run.pace) / 100
		}
	}
	return idleTail / (1 - min(used, 0.97))
}

func (w *worker) answer(rw http.ResponseWriter, status int, fields map[string]any) {
	body := map[string]any{"clock-ms": w.clock().Milliseconds()}
	for name, value := range fields {
		body[name] = value
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have gone
}
