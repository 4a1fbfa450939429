//go:build review2

package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cactuswall.example/cactuswall/platform/standin"
)

// The deployment follows the site vfs-hlaup: its bounds, the limits of its machines and stores, its 48 workers of 16 cores, and one
// entry VM in each of its four zones.
const (
	memoryMB       = 284
	recordBytes    = 262144
	callBytes      = 2097152
	maxLease       = 6 * time.Second
	workersPerZone = 12
	workerMilliCPU = 16000
	workerMemoryMB = 64000
	heartbeat      = 1500 * time.Millisecond
	service        = "fatakerfi"
	ackBound       = 4 * time.Second
	cancelBound    = 3 * time.Second
	stopBound      = 200 * time.Millisecond
	finishTime     = 14 * time.Second
	restartDelay   = time.Second
	readyTimeout   = 20 * time.Second
)

var zones = []string{"hafnarfj", "kopav", "keflav", "selfoss"}

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// run is a run of a task on a worker.
type run struct {
	worker, task string
	number       int
	started      time.Time
	ended        time.Time // zero while it works
	how          string
}

// deployment is a store, workers, nodes and callers.
type deployment struct {
	record  *recorder
	dir     string
	network int
	store   *standin.Store
	writer  standin.StoreWriter
	workers []*standin.Worker
	nodes   []*node
	// badAppends counts appends that the store rejected because of their size.
	badAppends int

	mu     sync.Mutex
	runs   []*run
	active map[string]*run // by worker, task and run
	// hanging are the workers, by ID, that answer nothing until a time.
	hanging map[string]time.Time
	over    bool
}

// node is an entry VM and its process.
type node struct {
	name, zone, ip string
	mu             sync.Mutex
	process        *exec.Cmd
	done           chan struct{}
	kills          int // by the platform, for its memory
	peakMB         int
}

func (d *deployment) address(c, e int) string { return fmt.Sprintf("127.%d.%d.%d", d.network, c, e) }

// freeNetwork returns a second number of loopback addresses whose ports are free.
func freeNetwork() (int, error) {
	for range 50 {
		n := 20 + rand.IntN(200)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:8169", n))
		if err == nil {
			return n, l.Close()
		}
	}
	return 0, errors.New("no free loopback addresses")
}

// newDeployment starts the store and the workers, publishes the configuration and starts the nodes.
func newDeployment(r *recorder) (*deployment, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "cactuswall-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir, network: network, store: standin.NewStore(20*time.Second, 3*heartbeat, 1), active: make(map[string]*run), hanging: make(map[string]time.Time)}
	storeAddress := d.address(0, 1) + ":8169"
	if err := d.serve(storeAddress, &http.Server{Handler: http.HandlerFunc(d.serveStore)}); err != nil {
		return d, err
	}
	go d.store.Expire()
	d.writer = standin.StoreWriter{Address: storeAddress, Client: http.Client{Timeout: 2 * time.Second}}
	if err := d.writer.WriteConfig(configuration()); err != nil {
		return d, err
	}
	for z := range zones {
		for i := range workersPerZone {
			if err := d.addWorker(z, i); err != nil {
				return d, err
			}
		}
	}
	for z := range zones {
		n := &node{name: fmt.Sprintf("edge-%s-1", zones[z]), zone: zones[z], ip: d.address(10+z, 1)}
		d.nodes = append(d.nodes, n)
		if err := d.startNode(n); err != nil {
			return d, err
		}
	}
	go d.watchMemory()
	return d, d.awaitReady()
}

func (d *deployment) serve(address string, s *http.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.ErrorLog = log.New(io.Discard, "", 0)
	go func() { _ = s.Serve(l) }()
	return nil
}

// configuration returns the operator's configuration: the routes and limits of the site.
func configuration() []byte {
	value, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "staerd-skipti", "host": "nony24.example", "path-prefix": "/lohu930/", "kind": "non_idempotent", "timeout-ms": 3000,
				"target-latency-ms": 250, "priority": 0, "service": service, "max-attempts": 4, "stretch": 1.5},
			{"name": "leidar-vakt", "host": "nony24.example", "path-prefix": "/pule252/", "kind": "non_idempotent", "timeout-ms": 3000,
				"target-latency-ms": 2500, "priority": 0, "service": service, "max-attempts": 4, "stretch": 2.2},
		},
		"services": []map[string]any{{"name": service, "max-conns": 64, "admission-check": true}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
	return value
}

// serveStore is the store with the limits that PROTOCOL.md sets for appends: a call with a record above record-bytes, or with more
// than call-bytes, is malformed and appends nothing.
func (d *deployment) serveStore(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/log-append" {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if reason := oversized(body); reason != "" {
			d.mu.Lock()
			d.badAppends++
			first := d.badAppends <= 20
			d.mu.Unlock()
			if first {
				d.record.line("store: append to %s by %s answered with 400: %s", r.URL.Query().Get("topic"), r.URL.Query().Get("producer"), reason)
			}
			http.Error(w, `{"error":"`+reason+`"}`, http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	d.store.ServeHTTP(w, r)
}

func oversized(body []byte) string {
	total := 0
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes {
			return fmt.Sprintf("a record of %d bytes, at most %d", n, recordBytes)
		}
		if n > len(body)-4 {
			return ""
		}
		total, body = total+n, body[4+n:]
	}
	if total > callBytes {
		return fmt.Sprintf("records of %d bytes, at most %d", total, callBytes)
	}
	return ""
}

// addWorker starts a worker and has it write its entry.
func (d *deployment) addWorker(zone, i int) error {
	ip := d.address(100+zone, 1+i)
	w := &standin.Worker{
		ID: fmt.Sprintf("i-%d%02dc91c2", zone, i), Address: ip + ":9001", FailureDomain: zones[zone], Rack: fmt.Sprintf("r%d-%d", zone, i/6),
		Capacity:  standin.Work{MilliCPU: workerMilliCPU, MemoryMB: workerMemoryMB},
		ClockRate: 0.99, MaxLease: maxLease, Record: d.event,
	}
	w.Boot()
	if err := d.serve(w.Address, &http.Server{Handler: workerHandler{d, w}, ConnContext: w.ConnContext}); err != nil {
		return err
	}
	d.workers = append(d.workers, w)
	go w.Run()
	go func() {
		for seq := int64(1); ; seq++ {
			if entry := w.Entry(service, seq); entry != nil {
				_ = d.writer.WriteEntry(w.ID, entry) // the next one follows
			}
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// crashPrefix begins the IDs of jobs whose tasks crash: each run of them ends as failed, when the stand-in's work is over.
const crashPrefix = "c0de"

// workerHandler serves the orders to a worker. The project's stand-in fails only the first run of a task, and does not hang.
type workerHandler struct {
	deployment *deployment
	worker     *standin.Worker
}

// crashedRow is the beginning of a row of an end, up to its reason.
var crashedRow = regexp.MustCompile(`(\[\d+,"` + crashPrefix + `[^"]*",\d+,)"done"`)

// ServeHTTP implements http.Handler.
func (h workerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.deployment.hangs(h.worker.ID) {
		_, _ = io.Copy(io.Discard, r.Body) // so that the end of the connection is noticed
		<-r.Context().Done()
		return
	}
	if r.URL.Path != "/-/hold" {
		h.worker.ServeHTTP(w, r)
		return
	}
	answer := &buffered{ResponseWriter: w, status: http.StatusOK}
	h.worker.ServeHTTP(answer, r)
	w.WriteHeader(answer.status)
	_, _ = w.Write(crashedRow.ReplaceAll(answer.body, []byte(`$1"failed"`))) // the caller may have gone
}

// hangs reports whether a worker answers nothing now.
func (d *deployment) hangs(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.hanging[id])
}

// hang has a worker answer nothing for a time.
func (d *deployment) hang(id string, duration time.Duration) {
	d.mu.Lock()
	d.hanging[id] = time.Now().Add(duration)
	d.mu.Unlock()
	d.record.line("worker %s answers nothing for %v", id, duration)
}

// buffered is a response that is not written yet.
type buffered struct {
	http.ResponseWriter
	status int
	body   []byte
}

func (b *buffered) WriteHeader(status int) { b.status = status }

func (b *buffered) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

// event notes what happened to a run on a worker.
func (d *deployment) event(e standin.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := e.Worker + " " + e.Task + " " + strconv.Itoa(e.Run)
	switch e.Kind {
	case "start":
		r := &run{worker: e.Worker, task: e.Task, number: e.Run, started: time.Now()}
		d.runs, d.active[key] = append(d.runs, r), r
	case "done", "failed", "stopped", "lapsed":
		if r := d.active[key]; r != nil {
			r.ended, r.how = time.Now(), e.Kind
			delete(d.active, key)
		}
	default:
		return
	}
	if !strings.HasPrefix(e.Task, "ffff") && !strings.HasPrefix(e.Task, crashPrefix) { // the tasks of large jobs are counted, not listed
		d.record.line("worker %s: run %d of %s %s", e.Worker, e.Run, e.Task, e.Kind)
	}
}

// settings returns the settings file of a node.
func (d *deployment) settings(n *node) string {
	lines := []string{
		"node-name=" + n.name, "role=node", "machine-class=edge", "serves=edge", "ip=" + n.ip, "zone=" + n.zone, "region=sudvestur",
		"listen.front=" + n.ip + ":8161", "listen.ready=" + n.ip + ":8167", "port-range=7720,7735", "bootstrap=true",
		"limits.cpu-share=0.16", "limits.cores=1", "limits.memory-mb=" + strconv.Itoa(memoryMB), "limits.max-fds=4100", "heartbeat-ms=1500", "orders=call",
		"platform.address=" + d.writer.Address, "platform.form=log", "platform.writes-per-s=800", "platform.reads-per-s=2000", "platform.parts=32",
		"platform.record-bytes=" + strconv.Itoa(recordBytes), "platform.call-bytes=" + strconv.Itoa(callBytes), "platform.keep_s=20", "platform.part-mb=200",
		"bounds.contact-ms=3000", "bounds.ack-ms=4000", "bounds.catch-up-s=4", "bounds.drain-ms=2000", "bounds.grace-s=6", "bounds.loss-slack-ms=200",
		"bounds.config-apply-ms=2000", "bounds.rollback-slack-ms=250", "bounds.max-stretch-ms=5000", "bounds.recovery-s=12", "bounds.hold-max-ms=6000",
		"bounds.stop-ms=200", "bounds.gang-ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14",
		"bounds.status_s=120", "bounds.far-factor=3", "bounds.save-s=0.5", "bounds.restore-ms=100", "bounds.notice-ms=4500", "bounds.move-s=1.5",
		"bounds.upkeep-s=2", "bounds.require-fencing=true", "bounds.lease-ms=3000", "bounds.thaw-slack-ms=300", "bounds.pace-ms=100", "bounds.harm-ms=4000",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"=sudvestur")
	}
	return strings.Join(lines, "\n") + "\n"
}

// startNode starts the process of a node with the command of the deploy file.
func (d *deployment) startNode(n *node) error {
	path := filepath.Join(d.dir, n.name+".conf")
	if err := os.WriteFile(path, []byte(d.settings(n)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	process := exec.Command("target/cactuswalld", "platform", "--metrics-port", "9464")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CACTUSWALL_BOOT=" + path}
	process.Stdout, process.Stderr = out, out
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.process, n.done = process, done
	n.mu.Unlock()
	d.record.line("%s: started", n.name)
	go func() {
		err := process.Wait()
		close(done)
		d.record.line("%s: ended: %v", n.name, err)
		if d.isOver() {
			return
		}
		time.Sleep(restartDelay) // the platform restarts what ends
		if !d.isOver() {
			_ = d.startNode(n)
		}
	}()
	return nil
}

func (d *deployment) isOver() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.over
}

// watchMemory kills processes that exceed the memory of their machine, as the platform does.
func (d *deployment) watchMemory() {
	for range time.Tick(20 * time.Millisecond) {
		for _, n := range d.nodes {
			n.mu.Lock()
			process := n.process
			n.mu.Unlock()
			mb := residentMB(process.Process.Pid)
			n.peakMB = max(n.peakMB, mb)
			if mb <= memoryMB {
				continue
			}
			select {
			case <-n.done:
			default:
				n.kills++
				d.record.line("%s: uses %d MB of %d MB and is killed", n.name, mb, memoryMB)
				_ = process.Process.Kill()
				<-n.done
			}
		}
	}
}

// residentMB returns the memory that a process uses.
func residentMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

func (d *deployment) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	deadline := time.Now().Add(readyTimeout)
	for _, n := range d.nodes {
		for {
			resp, err := client.Get("http://" + n.ip + ":8167/-/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s did not become ready: %v", n.name, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second) // an owner has claimed the cell, and the workers have reported
	return nil
}

// close ends all processes. The logs of the nodes are kept if keep is set.
func (d *deployment) close(keep bool) {
	d.mu.Lock()
	d.over = true
	d.mu.Unlock()
	for _, n := range d.nodes {
		n.mu.Lock()
		process, done := n.process, n.done
		n.mu.Unlock()
		_ = process.Process.Kill()
		<-done
	}
	if keep {
		fmt.Println("logs of the nodes:", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// callerTimeout is the Deadline-Ms of the callers of the site.
const callerTimeout = 3 * time.Second

// call sends a caller's request to a node on a new connection and returns the status, 0 for none, and the body.
func (d *deployment) call(n *node, method, path string, body []byte) (int, string) {
	req, _ := http.NewRequest(method, "http://"+n.ip+":8161"+path, bytes.NewReader(body))
	req.Host = "nony24.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	client := http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	sent := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		d.record.line("caller: %s %s at %s: no answer after %d ms", method, path, n.name, time.Since(sent).Milliseconds())
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	d.record.line("caller: %s %s at %s, %d bytes: %d %s after %d ms", method, path, n.name, len(body), resp.StatusCode, answer, time.Since(sent).Milliseconds())
	return resp.StatusCode, string(answer)
}

// callAny sends a request to one node after the other, from the given one on, until one answers with another status than 502, 503 and
// 504: the first attempt and four retries, as the callers of the site have.
func (d *deployment) callAny(first int, method, path string, body []byte) (status int, answer string) {
	for i := range 5 {
		status, answer = d.call(d.nodes[(first+i)%len(d.nodes)], method, path, body)
		switch status {
		case 0, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			time.Sleep(250 * time.Millisecond)
			continue
		}
		return status, answer
	}
	return status, answer
}

// payload is what the stand-in for workers does for the tasks of the only step of a job; 0 is until it is stopped.
func payload(milliCPU int, duration time.Duration) string {
	text, _ := json.Marshal([]standin.Work{{MilliCPU: milliCPU, MemoryMB: 1, DurationMS: int(duration.Milliseconds())}})
	return string(text)
}

// job returns the body of a job of one step.
func job(payload string, step map[string]any, more map[string]any) []byte {
	document := map[string]any{"spec": payload, "steps": []any{step}}
	for key, value := range more {
		document[key] = value
	}
	body, _ := json.Marshal(document)
	return body
}
