package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/caller"
)

// The tests with real processes check that nothing forbidden happens, such as two runs of a task at once, and that the
// expected result is reached within waitTimeout. They check no durations.

const (
	batchTasks   = 24
	batchRunTime = 3 * time.Second
)

func TestKilledProcess(t *testing.T) {
	Convey("Given two nodes that run a batch job", t, func() {
		d := newDeployment(t, 4, batchRunTime)
		a, b := d.startNode("a"), d.startNode("b")
		So(d.publish(manifestDocument(batchTasks, false), a, b), ShouldBeTrue)
		So(d.waitUntil(func() bool { running, _, _ := d.observed(); return running > 0 }), ShouldBeTrue)

		Convey("after kill -9 of one node, and then of the other, every task finishes once", func() {
			So(a.command.Process.Kill(), ShouldBeNil)
			So(<-a.exited, ShouldNotBeNil)
			So(d.waitUntil(func() bool { _, finished, _ := d.observed(); return finished >= batchTasks/2 }), ShouldBeTrue)
			d.startProcess(a)
			So(b.command.Process.Kill(), ShouldBeNil)
			So(<-b.exited, ShouldNotBeNil)
			So(d.waitAllFinished(), ShouldBeEmpty)
		})
	})
}

func TestStoppedAndContinuedProcess(t *testing.T) {
	Convey("Given two nodes that run a batch job", t, func() {
		d := newDeployment(t, 4, batchRunTime)
		a, b := d.startNode("a"), d.startNode("b")
		So(d.publish(manifestDocument(batchTasks, false), a, b), ShouldBeTrue)
		So(d.waitUntil(func() bool { running, _, _ := d.observed(); return running > 0 }), ShouldBeTrue)

		Convey("after each process was stopped until its claim leases had expired and then continued, every task finishes once and never has two runs at once", func() {
			for _, n := range []*nodeProcess{a, b} {
				So(n.command.Process.Signal(syscall.SIGSTOP), ShouldBeNil)
				time.Sleep(2 * claimLease)
				So(n.command.Process.Signal(syscall.SIGCONT), ShouldBeNil)
			}
			So(d.waitAllFinished(), ShouldBeEmpty)
		})
	})
}

func TestPlannedStopUnderLoad(t *testing.T) {
	Convey("Given two nodes with callers that always have requests in flight", t, func() {
		d := newDeployment(t, 2, batchRunTime)
		a, b := d.startNode("a"), d.startNode("b")
		So(d.publish(manifestDocument(1, true), a, b), ShouldBeTrue)
		So(d.waitUntil(func() bool { return d.sendRequest(a, "first").status == http.StatusOK }), ShouldBeTrue)

		Convey("SIGTERM interrupts no request, and the process exits without an error", func() {
			stop := make(chan struct{})
			var load sync.WaitGroup
			results := make(chan result, 10000)
			for c := range 16 {
				load.Go(func() { d.sendRequests(a, c, stop, results) })
			}
			time.Sleep(2 * serviceTime)
			So(a.command.Process.Signal(syscall.SIGTERM), ShouldBeNil)
			// A load balancer sends no more requests once the node is not ready.
			So(d.waitUntil(func() bool { return d.getStatus(a, "/readyz") != http.StatusOK }), ShouldBeTrue)
			close(stop)
			load.Wait()
			close(results)
			answered, failed := classifyResults(results)
			So(failed, ShouldBeEmpty)
			So(answered, ShouldBeGreaterThan, 0)
			select {
			case err := <-a.exited:
				So(err, ShouldBeNil)
			case <-time.After(waitTimeout):
				So("the process has not exited", ShouldBeEmpty)
			}
			So(d.waitUntil(func() bool { return d.sendRequest(b, "last").status == http.StatusOK }), ShouldBeTrue)
		})
	})
}

// result is the outcome of one request as seen by its caller.
type result struct {
	request string
	status  int
	verdict string
	body    string
	err     error
}

// sendRequest sends one request through a node.
func (d *deployment) sendRequest(n *nodeProcess, request string) result {
	r := result{request: request}
	resp, err := d.client.Post("http://"+n.settings.CallerAddress+"/svc/"+request, "text/plain", strings.NewReader(request))
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r.status, r.verdict, r.body, r.err = resp.StatusCode, resp.Header.Get(caller.VerdictHeader), string(body), err
	return r
}

// sendRequests sends one request after the other until stop is closed.
func (d *deployment) sendRequests(n *nodeProcess, caller int, stop <-chan struct{}, results chan<- result) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
			results <- d.sendRequest(n, fmt.Sprintf("c%d-%d", caller, i))
		}
	}
}

// classifyResults counts the requests that got their own complete response, and describes every request that got
// neither that nor a rejection with the verdict that it was not run.
func classifyResults(results <-chan result) (answered int, failed []string) {
	for r := range results {
		switch {
		case r.err == nil && r.status == http.StatusOK && strings.HasSuffix(r.body, " "+r.request+"\n"):
			answered++
		case r.err == nil && r.verdict == "not_run":
		default:
			failed = append(failed, fmt.Sprintf("%+v", r))
		}
	}
	return answered, failed
}

// waitAllFinished waits until every task has finished and returns the violations. It adds one if not all tasks
// finished in time.
func (d *deployment) waitAllFinished() []string {
	done := d.waitUntil(func() bool { _, finished, _ := d.observed(); return finished == batchTasks })
	_, finished, violations := d.observed()
	if !done {
		violations = append(violations, fmt.Sprintf("only %d of %d tasks have finished", finished, batchTasks))
	}
	return violations
}
