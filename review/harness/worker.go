//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxLease       = 6 * time.Second
	maxHoldWait    = 2 * time.Second
	failAfter      = 150 * time.Millisecond // a run on a worker that fails all that it starts
	workerInterval = 5 * time.Millisecond
)

// work is what the tasks of a step do. Jobs carry it in their spec, one entry a step. A task with MS 0 lasts.
type work struct {
	MS       int `json:"ms"`
	MilliCPU int `json:"cpu"`
	MemoryMB int `json:"mem"`
}

// runRecord is one run as a worker saw it. End is zero while it runs.
type runRecord struct {
	Task, Worker, How string
	Run               int
	Labels            []string // of the worker's life
	Start, End        time.Time
}

// worker is a stand-in of a minion.
type worker struct {
	d    *deployment
	id   string
	zone string
	cpu  int
	mem  int

	mu       sync.Mutex
	labels   []string
	listener net.Listener
	server   *http.Server
	address  string
	up       bool
	bornMS   int64
	bootedAt time.Time
	seq      int64
	fence    int64
	lease    time.Duration
	running  map[string]*workerRun
	top      map[string]int // highest run of a task that was stopped or has ended here
	ends     []workerEnd
	lastEnd  int64
	draining bool
	changed  chan struct{}

	// failAll: all that is started fails. refuse: starts are refused with 503. dropStarts: so many starts get no answer and
	// are carried out late.
	failAll, refuse bool
	dropStarts      int
	// silentFrom and silentTo are the fencing tokens whose orders do not arrive: those of owners beyond a cut.
	silentFrom, silentTo int64
}

type workerRun struct {
	record *runRecord
	work   work
	number int
}

type workerEnd struct {
	sequence int64
	task     string
	run      int
	how      string
}

// boot starts a life that knows nothing of before, at the worker's address.
func (w *worker) boot(labels []string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.address
	if address == "" {
		address = w.d.workerIP() + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.listener, w.address, w.up = listener, listener.Addr().String(), true
	w.labels, w.bootedAt, w.bornMS, w.seq = labels, time.Now(), max(time.Now().UnixMilli(), w.bornMS+1), 0
	w.fence, w.lease, w.lastEnd, w.draining = 0, 0, 0, false
	w.running, w.top, w.ends, w.changed = make(map[string]*workerRun), make(map[string]int), nil, make(chan struct{})
	w.server = &http.Server{Handler: w}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	return nil
}

// crash ends all that runs and resets the connections.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	for task := range w.running {
		w.end(task, "crashed", time.Now())
	}
	_ = w.server.Close()
}

func (w *worker) clock() time.Duration { return time.Since(w.bootedAt) }

// tick ends runs that are over.
func (w *worker) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		w.update()
	}
}

func (w *worker) update() {
	now := time.Now()
	expired := w.bootedAt.Add(w.lease)
	for task, run := range w.running {
		limit, how := time.Duration(run.work.MS)*time.Millisecond, "done"
		if w.failAll && !run.record.Start.Before(w.d.failSince) {
			limit, how = failAfter, "failed"
		}
		switch {
		case limit > 0 && !now.Before(run.record.Start.Add(limit)):
			w.end(task, how, now)
		case !now.Before(expired):
			w.end(task, "lapsed", now)
		}
	}
}

func (w *worker) end(task, how string, at time.Time) {
	run := w.running[task]
	delete(w.running, task)
	w.top[task] = max(w.top[task], run.number)
	w.lastEnd++
	w.ends = append(w.ends, workerEnd{w.lastEnd, task, run.number, how})
	w.d.endRun(run.record, how, at)
	close(w.changed)
	w.changed = make(chan struct{})
}

type workerOrder struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	UntilMS   int64  `json:"until-ms"`
	Fence     int64  `json:"fence"`
	AckCursor int64  `json:"ack-cursor"`
	WaitMS    int64  `json:"wait-ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var order workerOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if order.Fence >= w.silentFrom && order.Fence <= w.silentTo {
		w.mu.Unlock()
		<-r.Context().Done() // the order and all answers are lost behind the cut
		return
	}
	defer w.mu.Unlock()
	w.update()
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		w.answer(rw, http.StatusMisdirectedRequest, "")
		return
	}
	isStart := r.URL.Path == "/-/run-start"
	if isStart && w.refuse {
		w.answer(rw, http.StatusServiceUnavailable, "")
		return
	}
	if isStart && w.dropStarts > 0 {
		w.dropStarts--
		w.d.note("%s gets the start of %s run %d, does not answer, and carries it out later", w.id, order.Task, order.Run)
		go w.carryOutLate(order)
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return
	}
	if order.Fence < w.fence {
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.fence = order.Fence
	if until := min(time.Duration(order.UntilMS)*time.Millisecond, w.clock()+maxLease); order.UntilMS > 0 && until > w.clock() {
		w.lease = max(w.lease, until)
	}
	switch r.URL.Path {
	case "/-/run-start":
		status, reason := w.start(&order)
		w.answer(rw, status, reason)
	case "/-/run-stop":
		if run := w.running[order.Task]; run != nil && run.number <= order.Run {
			w.end(order.Task, "stopped", time.Now())
		}
		w.top[order.Task] = max(w.top[order.Task], order.Run)
		w.answer(rw, http.StatusOK, "")
	case "/-/hold":
		w.hold(rw, r, &order)
	case "/-/pace":
		w.answer(rw, http.StatusOK, "")
	default:
		w.answer(rw, http.StatusNotFound, "")
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.bornMS}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(rw, status, body)
}

func (w *worker) start(order *workerOrder) (int, string) {
	run := w.running[order.Task]
	switch {
	case run != nil && run.number == order.Run:
		return http.StatusOK, ""
	case run != nil || order.Run <= w.top[order.Task]:
		return http.StatusConflict, "old"
	case time.Duration(order.UntilMS)*time.Millisecond <= w.clock():
		return http.StatusConflict, "late"
	}
	var steps []work
	parts := strings.Split(order.Task, ".")
	if len(parts) != 4 || json.Unmarshal([]byte(order.Spec), &steps) != nil {
		return http.StatusBadRequest, ""
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(steps) {
		return http.StatusBadRequest, ""
	}
	cpu, mem := steps[step].MilliCPU, steps[step].MemoryMB
	for _, other := range w.running {
		cpu, mem = cpu+other.work.MilliCPU, mem+other.work.MemoryMB
	}
	if cpu > w.cpu || mem > w.mem {
		return http.StatusConflict, "room"
	}
	record := &runRecord{Task: order.Task, Worker: w.id, Run: order.Run, Labels: w.labels, Start: time.Now()}
	w.running[order.Task] = &workerRun{record: record, work: steps[step], number: order.Run}
	w.d.startRun(record, order.Fence)
	return http.StatusOK, ""
}

// hold answers with a report, once there is an end or the time is over. It is called with mu locked.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, order *workerOrder) {
	for len(w.ends) > 0 && w.ends[0].sequence <= order.AckCursor {
		w.ends = w.ends[1:]
	}
	timer := time.NewTimer(min(maxHoldWait, time.Duration(order.WaitMS)*time.Millisecond))
	defer timer.Stop()
	for expired := order.WaitMS == 0; len(w.ends) == 0 && !expired; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		w.mu.Lock()
	}
	w.update()
	running, ended := [][]any{}, [][]any{}
	for task, run := range w.running {
		percent := 100
		if run.work.MS > 0 {
			percent = min(99, int(time.Since(run.record.Start).Milliseconds()*100/int64(run.work.MS)))
		}
		running = append(running, []any{task, run.number, "", percent, run.work.MilliCPU})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ended = append(ended, []any{e.sequence, e.task, e.run, e.how, ""})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.bornMS, "running": running, "ended": ended})
}

// register writes the worker's entry to the store.
func (w *worker) register() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "cold-left-ms": 0,
		"capacity": map[string]int{"cpu": w.cpu, "mem-mb": w.mem, "gpu": 0}, "labels": w.labels, "clock-ms": w.clock().Milliseconds(),
		"seq": w.seq, "born": w.bornMS,
	}
	if w.draining {
		entry["remaining-ms"] = 7000
	}
	w.mu.Unlock()
	value, _ := json.Marshal(entry)
	if err := w.d.writer.WriteEntry(w.id, value); err != nil {
		w.d.note("entry of %s not written: %v", w.id, err)
	}
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (r *runRecord) String() string {
	return fmt.Sprintf("%s run %d on %s %v", r.Task, r.Run, r.Worker, r.Labels)
}
