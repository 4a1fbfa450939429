package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/examples"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/operator"
)

// fakeNode serves fixed reports through the operator API.
type fakeNode struct {
	mu      sync.Mutex
	status  operator.Status
	tasks   []operator.Task
	workers []operator.Worker
	nodes   []operator.Node
	// document is the active manifest; empty: "{}".
	document string
	publish  func(*fakeNode, operator.Publication) (operator.Decision, error)
}

func (f *fakeNode) Status() operator.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}
func (f *fakeNode) Tasks() []operator.Task     { return f.tasks }
func (f *fakeNode) Workers() []operator.Worker { return f.workers }
func (f *fakeNode) Endpoints() []endpoint.Info { return []endpoint.Info{} }
func (f *fakeNode) Nodes() []operator.Node     { return f.nodes }
func (f *fakeNode) Manifest() (operator.Manifest, bool) {
	document := "{}"
	if f.document != "" {
		document = f.document
	}
	return operator.Manifest{Version: 7, Release: "r", Document: document}, f.Status().ManifestVersion != 0
}

func (f *fakeNode) Explain(id string) (operator.Explanation, bool) {
	for _, t := range f.tasks {
		if t.ID == id {
			return operator.Explanation{Task: t, Summary: "the team's quota is used up"}, true
		}
	}
	return operator.Explanation{}, false
}

func (f *fakeNode) Publish(_ context.Context, p operator.Publication) (operator.Decision, error) {
	if _, err := manifest.Parse([]byte(p.Document)); err != nil {
		return operator.Decision{}, err
	}
	return f.publish(f, p)
}

// accept accepts every publication as version 8 and activates it on the node.
func accept(f *fakeNode, _ operator.Publication) (operator.Decision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.ManifestVersion = 8
	return operator.Decision{Accepted: true, Known: true, Version: 8}, nil
}

// deployment is a set of fake nodes: de-1 and de-2 in failure domain de, mon-1 in failure domain mon.
type deployment struct {
	nodes     map[string]*fakeNode
	servers   map[string]*httptest.Server
	addresses map[string]string
}

func newDeployment() *deployment {
	d := &deployment{nodes: map[string]*fakeNode{}, servers: map[string]*httptest.Server{}, addresses: map[string]string{}}
	var nodes []operator.Node
	for _, n := range []struct{ name, domain string }{{"de-1", "de"}, {"de-2", "de"}, {"mon-1", "mon"}} {
		f := &fakeNode{publish: accept}
		f.status = operator.Status{Node: n.name, FailureDomain: n.domain, Ready: true, LogReachable: true, ManifestVersion: 7,
			Guarantees: []operator.Guarantee{{Name: "capacity", Text: "capacity is kept", Detectable: true}}}
		server := httptest.NewServer(operator.NewHandler(f, metrics.NewSet()))
		d.nodes[n.name], d.servers[n.name] = f, server
		d.addresses[n.name] = server.Listener.Addr().String()
		nodes = append(nodes, operator.Node{Node: n.name, FailureDomain: n.domain, State: "live", OperatorAddress: d.addresses[n.name]})
	}
	d.nodes["de-1"].status.Shards = []uint32{0, 1, 2, 3}
	d.nodes["de-2"].status.Shards = []uint32{4, 5, 6, 7}
	d.nodes["mon-1"].status.Shards = []uint32{0, 1, 2, 3, 4, 5, 6, 7}
	d.nodes["de-1"].tasks = []operator.Task{{ID: "plan/0", State: "starting", Attempt: 1}}
	d.nodes["de-2"].tasks = []operator.Task{{ID: "plan/0", State: "running", Attempt: 1, Owned: true}}
	d.nodes["mon-1"].tasks = []operator.Task{{ID: "wash/0", State: "waiting", Owned: true}}
	for _, f := range d.nodes {
		f.nodes = nodes
	}
	return d
}

func (d *deployment) close() {
	for _, s := range d.servers {
		s.Close()
	}
}

// run runs the client against a node and returns the exit code, standard output and standard error.
func (d *deployment) run(node string, args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	args = append([]string{"--node", d.addresses[node]}, args...)
	code := Execute(context.Background(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestReportCommands(t *testing.T) {
	Convey("With nodes in two failure domains", t, func() {
		d := newDeployment()
		Reset(d.close)
		Convey("tasks reports the owner's state of each task, whichever node is queried first", func() {
			for _, first := range []string{"de-1", "mon-1"} {
				code, out, _ := d.run(first, "tasks", "--output", "json")
				So(code, ShouldEqual, exitcode.OK)
				var tasks []domainTask
				So(json.Unmarshal([]byte(out), &tasks), ShouldBeNil)
				So(tasks, ShouldHaveLength, 2)
				So(tasks[0].State, ShouldEqual, "running")
				So(tasks[1].FailureDomain, ShouldEqual, "mon")
			}
		})
		Convey("explain finds a task in another failure domain", func() {
			code, out, _ := d.run("de-1", "explain", "wash/0")
			So(code, ShouldEqual, exitcode.OK)
			So(out, ShouldContainSubstring, "mon")
			So(out, ShouldContainSubstring, "quota")
		})
		Convey("explain distinguishes an unknown task from one that may be in a domain that does not answer", func() {
			code, _, _ := d.run("de-1", "explain", "none/0")
			So(code, ShouldEqual, exitcode.NotFound)
			d.servers["mon-1"].Close()
			code, _, message := d.run("de-1", "explain", "none/0")
			So(code, ShouldEqual, exitcode.Unreachable)
			So(message, ShouldContainSubstring, "did not answer: mon")
		})
		Convey("status --check fails when a promise is broken or a node does not answer", func() {
			code, out, _ := d.run("de-1", "status", "--check")
			So(code, ShouldEqual, exitcode.OK)
			So(out, ShouldContainSubstring, "8 of 8")
			d.nodes["mon-1"].status.Guarantees[0].Violations = 3
			code, out, message := d.run("de-1", "status", "--check")
			So(code, ShouldEqual, exitcode.Unhealthy)
			So(out, ShouldContainSubstring, "broken 3 times")
			So(message, ShouldContainSubstring, "failure domain mon: promise capacity broken 3 times")
			d.servers["de-2"].Close()
			_, _, message = d.run("de-1", "status", "--check")
			So(message, ShouldContainSubstring, "failure domain de: no answer from de-2")
			So(message, ShouldContainSubstring, "failure domain de: 4 of 8 shards are owned")
		})
		Convey("status reports a node that died recently, but not one that is leaving or died long ago", func() {
			downNodes := []operator.Node{
				{Node: "de-3", FailureDomain: "de", State: "dead", LastSeenAt: time.Now()},
				{Node: "de-4", FailureDomain: "de", State: "dead", LastSeenAt: time.Now().Add(-24 * time.Hour)},
				{Node: "de-5", FailureDomain: "de", State: "leaving", OperatorAddress: "127.0.0.1:1"},
			}
			d.nodes["de-1"].nodes = append(d.nodes["de-1"].nodes, downNodes[1:]...)
			code, _, _ := d.run("de-1", "status", "--check")
			So(code, ShouldEqual, exitcode.OK)
			d.nodes["de-1"].nodes = append(d.nodes["de-1"].nodes, downNodes[0])
			code, _, message := d.run("de-1", "status", "--check")
			So(code, ShouldEqual, exitcode.Unhealthy)
			So(message, ShouldContainSubstring, "failure domain de: no answer from de-3")
		})
		Convey("a failure domain that does not answer is reported and omitted", func() {
			d.servers["mon-1"].Close()
			code, out, message := d.run("de-1", "tasks")
			So(code, ShouldEqual, exitcode.OK)
			So(out, ShouldNotContainSubstring, "wash/0")
			So(message, ShouldContainSubstring, "failure domain mon is omitted")
		})
	})
}

func TestManifestPublish(t *testing.T) {
	file := filepath.Join(t.TempDir(), "manifest.jsonc")
	if err := os.WriteFile(file, examples.ArwyddionManifest, 0o600); err != nil {
		t.Fatal(err)
	}
	Convey("manifest publish", t, func() {
		d := newDeployment()
		Reset(d.close)
		Convey("waits until the version is active on every node", func() {
			d.nodes["de-2"].status.ManifestVersion = 8
			d.nodes["mon-1"].status.ManifestVersion = 8
			code, out, progress := d.run("de-1", "manifest", "publish", file)
			So(code, ShouldEqual, exitcode.OK)
			So(out, ShouldEqual, "version 8 is active on all 3 nodes\n")
			So(progress, ShouldContainSubstring, "accepted as version 8")
		})
		Convey("names the nodes on which the version is not active in time", func() {
			d.nodes["de-2"].status.ManifestVersion = 8
			code, _, message := d.run("de-1", "manifest", "publish", "--timeout", "300ms", file)
			So(code, ShouldEqual, exitcode.Unhealthy)
			So(message, ShouldContainSubstring, "not yet active on: mon-1")
		})
		Convey("reports the active version when a concurrent publication was accepted first", func() {
			d.nodes["de-1"].publish = func(*fakeNode, operator.Publication) (operator.Decision, error) {
				return operator.Decision{Known: true, Version: 9, Reason: "replaces_another_version"}, nil
			}
			code, _, message := d.run("de-1", "manifest", "publish", "--replaces", "5", file)
			So(code, ShouldEqual, exitcode.Rejected)
			So(message, ShouldContainSubstring, "rejected: version 9 is active, but the publication replaces version 5")
		})
		Convey("reports an unknown outcome", func() {
			d.nodes["de-1"].publish = func(*fakeNode, operator.Publication) (operator.Decision, error) {
				return operator.Decision{Reason: "the log does not answer"}, nil
			}
			code, _, message := d.run("de-1", "manifest", "publish", file)
			So(code, ShouldEqual, exitcode.Unreachable)
			So(message, ShouldContainSubstring, "--replaces 7")
		})
		Convey("reports the error of a node that refuses the request", func() {
			d.nodes["de-1"].publish = func(*fakeNode, operator.Publication) (operator.Decision, error) {
				return operator.Decision{}, errors.New("the node is stopping")
			}
			code, _, message := d.run("de-1", "manifest", "publish", file)
			So(code, ShouldEqual, exitcode.Unreachable)
			So(message, ShouldContainSubstring, "the node is stopping")
		})
	})
}

func TestUsageErrors(t *testing.T) {
	Convey("Errors in the command line are reported before a request is sent to a node", t, func() {
		d := newDeployment()
		d.close()
		missing := filepath.Join(t.TempDir(), "missing.jsonc")
		for _, c := range []struct {
			args    []string
			code    int
			message string
		}{
			{[]string{"tasks", "--output", "yaml"}, exitcode.Invalid, `--output must be table or json, is "yaml"`},
			{[]string{"tasks", "--node", "localhost:1"}, exitcode.Invalid, "is not an IP address with a port"},
			{[]string{"tasks", "extra"}, exitcode.Invalid, "extra"},
			{[]string{"explain"}, exitcode.Invalid, "accepts 1 arg"},
			{[]string{"place"}, exitcode.Invalid, "unknown command"},
			{[]string{"manifest"}, exitcode.Invalid, "requires one of the subcommands"},
			{[]string{"manifest", "drop"}, exitcode.Invalid, "drop"},
			{[]string{"manifest", "check", missing}, exitcode.NotFound, "no such file"},
			{[]string{"manifest", "publish", missing, "--timeout", "0s"}, exitcode.Invalid, "--timeout must be greater than 0"},
			{[]string{"status"}, exitcode.Unreachable, "does not answer"},
		} {
			code, out, message := d.run("de-1", c.args...)
			So(code, ShouldEqual, c.code)
			So(message, ShouldContainSubstring, c.message)
			So(out, ShouldBeEmpty)
		}
	})
	Convey("version requires no node", t, func() {
		var stdout, stderr bytes.Buffer
		So(Execute(context.Background(), []string{"version"}, &stdout, &stderr), ShouldEqual, exitcode.OK)
		So(stdout.String(), ShouldStartWith, "cactuswall ")
	})
}
