// Command standins-3 plays the cases of the third review: it runs nodes of the project as processes of their own, beside stand-ins of
// the store, the workers and the clients that live in this process, and checks one rule for each case.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cactuswall.example/cactuswall/platform"
	"cactuswall.example/cactuswall/platform/standin"
)

// The settings of the small deployment of departure boards: its sheet and the example of the settings of a process.
const (
	memoryMB    = 284
	heartbeat   = 1500 * time.Millisecond
	contactTime = 3 * time.Second
	finishTime  = 14 * time.Second
	holdMax     = 6 * time.Second
	saveEvery   = 500 * time.Millisecond
	noticeTime  = 4500 * time.Millisecond
	serviceName = "amserlen"
	queueHost   = "jobs.example"
	queuePrefix = "/jobs/"
	// urgentPrefix is that of a queue of a higher priority.
	urgentPrefix = "/urgent/"
)

var zones = []string{"gogledd", "canolbarth", "de"}

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(f), began: time.Now()}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec     *recorder
	root    string // of the repository
	dir     string // temporary
	net     string // the first three numbers of its addresses
	store   string
	config  json.RawMessage
	nodes   []*node
	workers []*worker
	version int64
	limits  int // memory of a node in MB
	gangs   gangs
}

// node is a machine of the system.
type node struct {
	d    *deployment
	name string
	ip   string
	zone string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	stopped bool
	peakMB  int
	overs   int // how often its process was over its memory
}

func newDeployment(rec *recorder, root string, nodes int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, root: root, dir: dir, limits: memoryMB}
	for range 50 {
		d.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if d.free() {
			break
		}
	}
	store := standin.NewStore(20*time.Second, 3*heartbeat, 1)
	go store.Expire()
	d.store = d.net + ".250:8169"
	if err := serve(d.store, store, nil); err != nil {
		return nil, err
	}
	for i := range nodes {
		zone := zones[i%len(zones)]
		d.nodes = append(d.nodes, &node{d: d, name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), ip: fmt.Sprintf("%s.%d", d.net, 10+i), zone: zone})
	}
	return d, nil
}

// free reports whether nobody listens at addresses of the network.
func (d *deployment) free() bool {
	for _, address := range []string{d.net + ".250:8169", d.net + ".10:8161", d.net + ".10:7720"} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// serve serves HTTP at an address until the process ends.
func serve(address string, handler http.Handler, connContext func(context.Context, net.Conn) context.Context) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: handler, ConnContext: connContext}).Serve(listener) }()
	return nil
}

// writer returns a writer of the operator and of the workers.
func (d *deployment) writer() *standin.StoreWriter {
	return &standin.StoreWriter{Address: d.store, Client: http.Client{Timeout: 2 * time.Second}}
}

// configure writes a configuration with the queue of ordinary jobs and one of a higher priority.
func (d *deployment) configure(guards bool, maxAttempts int) error {
	d.version++
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{"name": name, "host": queueHost, "path-prefix": prefix, "timeout-ms": 3000, "target-latency-ms": 1000,
			"priority": priority, "service": serviceName, "max-attempts": maxAttempts, "stretch": 2.0}
	}
	value, err := json.Marshal(map[string]any{
		"version":  d.version,
		"routes":   []map[string]any{route("jobs", queuePrefix, 2), route("urgent", urgentPrefix, 0)},
		"services": []map[string]any{{"name": serviceName, "max-conns": 64, "admission-check": guards}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		return err
	}
	d.rec.line("operator writes configuration %d: %s", d.version, value)
	return d.writer().WriteConfig(value)
}

func (n *node) settings() string {
	lines := []string{
		"node-name=" + n.name, "role=node", "machine-class=edge", "serves=edge", "ip=" + n.ip, "zone=" + n.zone, "region=cymru",
		"zones.gogledd=cymru", "zones.canolbarth=cymru", "zones.de=cymru",
		"listen.front=" + n.ip + ":8161", "listen.ready=" + n.ip + ":8167", "listen.control=" + n.ip + ":8166", "port-range=7720,7735",
		"seeds=" + n.ip + ":8166", "bootstrap=true", "in-fault-budget=false",
		"limits.cpu-share=0.4", "limits.cores=1", fmt.Sprintf("limits.memory-mb=%d", n.d.limits), "limits.max-fds=4100", "limits.link-mbps=1000.0", "limits.disk-mb=0",
		"discovery=platform", "entry=vip", fmt.Sprintf("heartbeat-ms=%d", heartbeat.Milliseconds()),
		"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"fault-tolerance.machines=2", "fault-tolerance.zones=1", "fault-tolerance.regions=0",
		"bounds.seed-lag-s=3", "bounds.addr-reuse-s=2", "bounds.contact-ms=3000", "bounds.ack-ms=4000", "bounds.catch-up-s=4", "bounds.drain-ms=2000",
		"bounds.grace-s=6", "bounds.loss-slack-ms=200", "bounds.config-apply-ms=2000", "bounds.rollback-slack-ms=250", "bounds.max-stretch-ms=5000",
		"bounds.recovery-s=12", fmt.Sprintf("bounds.hold-max-ms=%d", holdMax.Milliseconds()), "bounds.stop-ms=900", "bounds.gang-ms=3000", "bounds.cancel_ms=3000",
		"bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.far-factor=1.5", "bounds.save-s=0.5",
		"bounds.restore-ms=100", "bounds.notice-ms=4500", "bounds.move-s=1.5", "bounds.upkeep-s=2", "bounds.require-fencing=true", "bounds.lease-ms=3000",
		"bounds.thaw-slack-ms=300", "bounds.pace-ms=100", "bounds.harm-ms=4000",
		"orders=call", "platform.address=" + n.d.store, "platform.form=log", "platform.writes-per-s=800", "platform.reads-per-s=2000", "platform.parts=32",
		"platform.append-ms=2.0", "platform.part-mb-s=20.0", "platform.read-mb-s=80.0", "platform.record-bytes=262144", "platform.call-bytes=2097152",
		"platform.keep_s=20", "platform.part-mb=200", "platform.ttl-min-ms=1000", "cloud.rate-per-s=60.0", "cloud.duties=", "cloud.duty-per-s=60.0",
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process of a node with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	path := filepath.Join(n.d.dir, n.name+".conf")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(n.d.root, "target", "cactuswalld"), "platform", "--metrics-port", "9464")
	command.Dir = n.d.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.d.dir, platform.SettingsVariable + "=" + path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	n.command, n.done = command, make(chan struct{})
	n.d.rec.line("process of %s started, id %d", n.name, command.Process.Pid)
	go n.await(command, n.done, log)
	return nil
}

// await waits for the end of a process and starts the next one after a short delay, as the platform does.
func (n *node) await(command *exec.Cmd, done chan struct{}, log io.Closer) {
	err := command.Wait()
	_ = log.Close()
	n.mu.Lock()
	stopped := n.stopped
	n.mu.Unlock()
	close(done)
	if stopped {
		return
	}
	n.d.rec.line("process of %s ended: %v", n.name, err)
	time.Sleep(time.Second)
	if err := n.start(); err != nil {
		n.d.rec.say("process of %s not started: %v", n.name, err)
	}
}

// watchMemory ends the process of a node when it uses more memory than its machine has, as the platform does.
func (n *node) watchMemory() {
	for range time.Tick(50 * time.Millisecond) {
		n.mu.Lock()
		command, stopped := n.command, n.stopped
		n.mu.Unlock()
		if stopped {
			return
		}
		if command == nil {
			continue
		}
		used := residentMB(command.Process.Pid)
		n.mu.Lock()
		n.peakMB = max(n.peakMB, used)
		over := used > n.d.limits && n.command == command
		if over {
			n.overs++
			n.command = nil
		}
		n.mu.Unlock()
		if over {
			n.d.rec.say("%.1f s: %s uses %d MB of %d: the platform kills it", time.Since(n.d.rec.began).Seconds(), n.name, used, n.d.limits)
			_ = command.Process.Kill()
		}
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if rest, found := bytes.CutPrefix(line, []byte("VmRSS:")); found {
			kb, _ := strconv.Atoi(strings.Fields(string(rest))[0])
			return kb / 1024
		}
	}
	return 0
}

// stop ends everything that the deployment has started. keepLogs leaves the logs of the nodes in the temporary folder.
func (d *deployment) stop(keepLogs bool) {
	for _, n := range d.nodes {
		n.mu.Lock()
		n.stopped = true
		if n.command != nil {
			_ = n.command.Process.Kill()
		}
		done := n.done
		n.mu.Unlock()
		if done != nil {
			<-done
		}
	}
	if keepLogs {
		fmt.Println("logs are in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// run starts the workers and the nodes and waits until all nodes are ready.
func (d *deployment) run() error {
	for _, w := range d.workers {
		if err := w.run(); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range d.nodes {
			if resp, err := client.Get("http://" + n.ip + ":8167/-/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.nodes) {
			d.rec.line("all nodes are ready")
			return nil
		}
	}
	return fmt.Errorf("the nodes did not become ready")
}
