//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cactuswall.example/cactuswall/platform/standin"
)

const (
	serviceName   = "service-a"
	queueHost     = "jobs.example"
	queuePrefix   = "/main/"
	heartbeat     = 1500 * time.Millisecond
	storeAnswer   = 3 * time.Millisecond
	startLimit    = 25 * time.Second
	clientTimeout = 3 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// deployment is a small deployment on loopback addresses: nodes as processes, and stand-ins of the store and the workers in
// this process.
type deployment struct {
	root, dir string
	network   int
	store     *standin.Store
	writer    *standin.StoreWriter
	nodes     []*node
	workers   []*worker
	trouble   bool
	failSince time.Time

	mu    sync.Mutex
	out   *os.File
	began time.Time
	runs  []*runRecord
	// lastOwner is the node of the latest accepted append under a condition.
	lastOwner *node
	onClaim   func(n *node)
	// beforeStore may handle a call to the store itself.
	beforeStore func(n *node, rw http.ResponseWriter, r *http.Request) bool
	nextIP      int
}

// node is a process of the system.
type node struct {
	d        *deployment
	name, ip string
	zone     string
	settings string // path
	mu       sync.Mutex
	command  *exec.Cmd
	done     chan struct{}
	stopped  bool // not to be started again
	cut      bool // from the store
}

func newDeployment(root, folder string, trouble bool) (*deployment, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, trouble: trouble, out: out, began: time.Now()}
	d.store = standin.NewStore(20*time.Second, 3*heartbeat, 1)
	go d.store.Expire()
	for range 50 {
		d.network = 20 + rand.IntN(200)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:8161", d.network))
		if err == nil {
			_ = l.Close()
			break
		}
	}
	direct, err := d.serveStore(nil, fmt.Sprintf("127.%d.9.1:0", d.network))
	if err != nil {
		return nil, err
	}
	d.writer = &standin.StoreWriter{Address: direct}
	return d, nil
}

// note writes a line to record.txt.
func (d *deployment) note(format string, arguments ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%8.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, arguments...))
}

func (d *deployment) at(t time.Time) float64 { return t.Sub(d.began).Seconds() }

func (d *deployment) startRun(r *runRecord, fence int64) {
	d.mu.Lock()
	d.runs = append(d.runs, r)
	d.mu.Unlock()
	d.note("start %v, fence %d", r, fence)
}

func (d *deployment) endRun(r *runRecord, how string, at time.Time) {
	d.mu.Lock()
	r.End, r.How = at, how
	d.mu.Unlock()
	d.note("end   %v: %s", r, how)
}

// runList returns copies of all runs.
func (d *deployment) runList() []runRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]runRecord, len(d.runs))
	for i, r := range d.runs {
		list[i] = *r
	}
	return list
}

// serveStore serves the store at an address of its own for a node, so that the node can be cut off.
func (d *deployment) serveStore(n *node, address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if n == nil {
			d.store.ServeHTTP(rw, r)
			return
		}
		if n.isCut() {
			<-r.Context().Done()
			return
		}
		time.Sleep(storeAnswer)
		d.mu.Lock()
		before := d.beforeStore
		d.mu.Unlock()
		if before != nil && before(n, rw, r) {
			return
		}
		conditional := r.URL.Query().Has("as-of")
		answer := &answerWriter{ResponseWriter: rw, n: n}
		d.store.ServeHTTP(answer, r)
		if conditional && answer.status == http.StatusOK && !n.isCut() {
			d.mu.Lock()
			d.lastOwner = n
			onClaim := d.onClaim
			d.mu.Unlock()
			if onClaim != nil {
				onClaim(n)
			}
		}
	})
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// answerWriter holds back the answer to a node that has been cut off meanwhile.
type answerWriter struct {
	http.ResponseWriter
	n      *node
	status int
}

func (a *answerWriter) WriteHeader(status int) {
	a.status = status
	if a.n.isCut() {
		panic(http.ErrAbortHandler)
	}
	a.ResponseWriter.WriteHeader(status)
}

func (a *answerWriter) Write(p []byte) (int, error) {
	if a.status == 0 {
		a.status = http.StatusOK
	}
	if a.n.isCut() {
		panic(http.ErrAbortHandler)
	}
	return a.ResponseWriter.Write(p)
}

func (n *node) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

func (n *node) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (d *deployment) workerIP() string {
	d.nextIP++
	return fmt.Sprintf("127.%d.2.%d", d.network, d.nextIP)
}

// addNode starts a node in a zone.
func (d *deployment) addNode(zone string) error {
	n := &node{d: d, zone: zone, ip: fmt.Sprintf("127.%d.1.%d", d.network, len(d.nodes)+1), name: fmt.Sprintf("edge-%s-%d", zone, len(d.nodes)+1)}
	address, err := d.serveStore(n, fmt.Sprintf("127.%d.9.%d:0", d.network, len(d.nodes)+2))
	if err != nil {
		return err
	}
	n.settings = filepath.Join(d.dir, n.name+".conf")
	if err := os.WriteFile(n.settings, []byte(n.settingsText(address)), 0o600); err != nil {
		return err
	}
	d.nodes = append(d.nodes, n)
	return n.start()
}

// settingsText returns the settings in the form of DEPLOY.md, with its figures.
func (n *node) settingsText(store string) string {
	lines := []string{
		"node-name=" + n.name, "role=node", "machine-class=edge", "serves=edge", "ip=" + n.ip, "zone=" + n.zone, "region=region-a",
		"listen.front=" + n.ip + ":8161", "listen.ready=" + n.ip + ":8167", "port-range=7720,7735", "bootstrap=true", "in-fault-budget=false",
		"limits.cpu-share=0.4", "limits.cores=1", "limits.memory-mb=284", "limits.max-fds=4100", "limits.link-mbps=1000.0", "limits.disk-mb=0",
		"discovery=platform", "entry=vip", "heartbeat-ms=1500", "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"fault-tolerance.machines=2", "fault-tolerance.zones=1", "fault-tolerance.regions=0", "bounds.seed-lag-s=3", "bounds.addr-reuse-s=2",
		"bounds.contact-ms=3000", "bounds.ack-ms=4000", "bounds.catch-up-s=4", "bounds.drain-ms=2000", "bounds.grace-s=6", "bounds.loss-slack-ms=200",
		"bounds.config-apply-ms=2000", "bounds.rollback-slack-ms=250", "bounds.max-stretch-ms=5000", "bounds.recovery-s=12", "bounds.hold-max-ms=6000",
		"bounds.stop-ms=900", "bounds.gang-ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14",
		"bounds.status_s=120", "bounds.far-factor=1.5", "bounds.save-s=0.5", "bounds.restore-ms=100", "bounds.notice-ms=4500", "bounds.move-s=1.5",
		"bounds.upkeep-s=2", "bounds.require-fencing=true", "bounds.lease-ms=3000", "bounds.thaw-slack-ms=300", "bounds.pace-ms=100",
		"bounds.harm-ms=4000", "orders=call", "platform.address=" + store, "platform.form=log", "platform.writes-per-s=800",
		"platform.reads-per-s=2000", "platform.parts=32", "platform.append-ms=2.0", "platform.part-mb-s=20.0", "platform.read-mb-s=80.0",
		"platform.record-bytes=262144", "platform.call-bytes=2097152", "platform.keep_s=20", "platform.part-mb=200", "platform.ttl-min-ms=1000",
	}
	for _, zone := range zones {
		lines = append(lines, "zones."+zone+"=region-a")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process with the command of the deploy file, and again whenever it ends, as the platform does.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	command := exec.Command("target/cactuswalld", "platform", "--metrics-port", "9464")
	command.Dir = n.d.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CACTUSWALL_BOOT=" + n.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.done = command, make(chan struct{})
	n.d.note("process %s of %s started", fmt.Sprint(command.Process.Pid), n.name)
	go func(done chan struct{}) {
		err := command.Wait()
		_ = log.Close()
		close(done)
		n.d.note("process of %s ended: %v", n.name, err)
		time.Sleep(500 * time.Millisecond)
		n.mu.Lock()
		again := !n.stopped
		n.mu.Unlock()
		if again {
			_ = n.start()
		}
	}(n.done)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.d.note("%v to %s", s, n.name)
	_ = n.command.Process.Signal(s)
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.mu.Lock()
		n.stopped = true
		_ = n.command.Process.Kill()
		done := n.done
		n.mu.Unlock()
		<-done
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
	_ = d.out.Close()
}

func (d *deployment) addWorker(zone string, labels []string, cpu int) error {
	w := &worker{d: d, id: fmt.Sprintf("i-%s-%d", zone, len(d.workers)+1), zone: zone, cpu: cpu, mem: 62500}
	if err := w.boot(labels); err != nil {
		return err
	}
	d.workers = append(d.workers, w)
	return nil
}

// run keeps the workers going.
func (d *deployment) run() {
	go func() {
		for range time.Tick(workerInterval) {
			for _, w := range d.workers {
				w.tick()
			}
		}
	}()
	beat := func() {
		for _, w := range d.workers {
			if !d.zoneCut(w.zone) {
				w.register()
			}
		}
	}
	beat()
	go func() {
		for range time.Tick(heartbeat) {
			beat()
		}
	}()
}

// zoneCut reports whether the nodes of a zone are cut off from the store.
func (d *deployment) zoneCut(zone string) bool {
	for _, n := range d.nodes {
		if n.zone == zone && n.isCut() {
			return true
		}
	}
	return false
}

// config writes the operator's configuration with one queue.
func (d *deployment) config(version, attempts int) error {
	value, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-main", "host": queueHost, "path-prefix": queuePrefix, "kind": "non_idempotent", "timeout-ms": 3000,
			"target-latency-ms": 1000, "priority": 2, "service": serviceName, "max-attempts": attempts, "stretch": 2.0,
		}},
		"services": []map[string]any{{"name": serviceName, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": true, "spare": false}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		return err
	}
	return d.writer.WriteConfig(value)
}

// step is a step of a job in the form of the clients' requests.
type step map[string]any

// job returns the body of a request. The spec tells the workers what the tasks of each step do.
func job(durationsMS []int, steps ...step) []byte {
	var works []work
	for i, s := range steps {
		w := work{MS: durationsMS[i]}
		w.MilliCPU, _ = s["cpu"].(int)
		w.MemoryMB, _ = s["mem-mb"].(int)
		works = append(works, w)
	}
	spec, _ := json.Marshal(works)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": steps})
	return body
}

var jobCount int

func newID() string {
	jobCount++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), jobCount)
}

// call sends a client's request to a node.
func (d *deployment) call(n *node, method, path string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+n.ip+":8161"+queuePrefix+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	client := http.Client{Timeout: clientTimeout}
	resp, err := client.Do(req)
	if err != nil {
		d.note("%s %s at %s: no answer: %v", method, path, n.name, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	d.note("%s %s at %s: %d %s", method, path, n.name, resp.StatusCode, bytes.TrimSpace(text))
	return resp.StatusCode, string(text)
}

// submit hands a job in, with up to four retries at other nodes. It returns when it was accepted.
func (d *deployment) submit(id string, body []byte) (time.Time, bool) {
	first := rand.IntN(len(d.nodes))
	for i := range 5 {
		n := d.nodes[(first+i)%len(d.nodes)]
		if status, _ := d.call(n, http.MethodPost, id, body); status == http.StatusOK {
			return time.Now(), true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Time{}, false
}

// state returns the state of a job by any node that answers.
func (d *deployment) state(id string) string {
	for _, n := range d.nodes {
		if status, text := d.call(n, http.MethodGet, id, nil); status == http.StatusOK {
			var answer struct {
				State string `json:"state"`
			}
			if json.Unmarshal([]byte(text), &answer) == nil {
				return answer.State
			}
		}
	}
	return ""
}

// await waits until the condition holds.
func (d *deployment) await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// begin writes the configuration, and waits until all nodes are ready and a first job is done.
func (d *deployment) begin(attempts int) error {
	if err := d.config(1, attempts); err != nil {
		return err
	}
	d.run()
	ready := func() bool {
		for _, n := range d.nodes {
			resp, err := http.Get("http://" + n.ip + ":8167/-/readiness")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	}
	if !d.await(startLimit, ready) {
		return fmt.Errorf("the nodes are not ready after %v", startLimit)
	}
	id := newID()
	if _, ok := d.submit(id, job([]int{200}, step{"count": 2, "cpu": 500, "mem-mb": 100, "estimate-ms": 200})); !ok {
		return fmt.Errorf("the first job was not accepted")
	}
	if !d.await(startLimit, func() bool { return d.state(id) == "completed" }) {
		return fmt.Errorf("the first job is not completed after %v", startLimit)
	}
	d.note("the deployment serves")
	return nil
}
