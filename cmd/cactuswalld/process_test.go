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

// The tests of real processes assert safety and what must come about in the end, never how soon.

const (
	batchTasks   = 24
	batchRunTime = 3 * time.Second
)

func TestKilledProcess(t *testing.T) {
	Convey("Given two nodes that run a batch job", t, func() {
		d := newDeployment(t, 4, batchRunTime)
		a, b := d.start("a"), d.start("b")
		So(d.publish(document(batchTasks, false), a, b), ShouldBeTrue)
		So(d.until(func() bool { running, _, _ := d.seen(); return running > 0 }), ShouldBeTrue)

		Convey("after kill -9 of one, and of its successor, every task finishes once", func() {
			So(a.command.Process.Kill(), ShouldBeNil)
			So(<-a.exited, ShouldNotBeNil)
			So(d.until(func() bool { _, finished, _ := d.seen(); return finished >= batchTasks/2 }), ShouldBeTrue)
			d.run(a)
			So(b.command.Process.Kill(), ShouldBeNil)
			So(<-b.exited, ShouldNotBeNil)
			So(d.allFinishOnce(), ShouldBeEmpty)
		})
	})
}

func TestStoppedAndContinuedProcess(t *testing.T) {
	Convey("Given two nodes that run a batch job", t, func() {
		d := newDeployment(t, 4, batchRunTime)
		a, b := d.start("a"), d.start("b")
		So(d.publish(document(batchTasks, false), a, b), ShouldBeTrue)
		So(d.until(func() bool { running, _, _ := d.seen(); return running > 0 }), ShouldBeTrue)

		Convey("a process that is stopped past its leases and then continued does no harm", func() {
			for _, n := range []*daemon{a, b} {
				So(n.command.Process.Signal(syscall.SIGSTOP), ShouldBeNil)
				time.Sleep(2 * claimLease)
				So(n.command.Process.Signal(syscall.SIGCONT), ShouldBeNil)
			}
			So(d.allFinishOnce(), ShouldBeEmpty)
		})
	})
}

func TestPlannedStopUnderLoad(t *testing.T) {
	Convey("Given two nodes with callers that always have requests in flight", t, func() {
		d := newDeployment(t, 2, batchRunTime)
		a, b := d.start("a"), d.start("b")
		So(d.publish(document(1, true), a, b), ShouldBeTrue)
		So(d.until(func() bool { return d.ask(a, "first").status == http.StatusOK }), ShouldBeTrue)

		Convey("SIGTERM cuts no request, and the process ends by itself without an error", func() {
			stop := make(chan struct{})
			var load sync.WaitGroup
			results := make(chan result, 10000)
			for c := range 16 {
				load.Go(func() { d.load(a, c, stop, results) })
			}
			time.Sleep(2 * serviceTime)
			So(a.command.Process.Signal(syscall.SIGTERM), ShouldBeNil)
			// The balancer sends nothing more once the node is not ready.
			So(d.until(func() bool { return d.get(a, "/readyz") != http.StatusOK }), ShouldBeTrue)
			close(stop)
			load.Wait()
			close(results)
			answered, broken := judge(results)
			So(broken, ShouldBeEmpty)
			So(answered, ShouldBeGreaterThan, 0)
			select {
			case err := <-a.exited:
				So(err, ShouldBeNil)
			case <-time.After(eventually):
				So("the process still runs", ShouldBeEmpty)
			}
			So(d.until(func() bool { return d.ask(b, "last").status == http.StatusOK }), ShouldBeTrue)
		})
	})
}

// result is what a caller saw of one request.
type result struct {
	request string
	status  int
	verdict string
	body    string
	err     error
}

// ask sends one request through a node.
func (d *deployment) ask(n *daemon, request string) result {
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

// load sends one request after the other until stop is closed.
func (d *deployment) load(n *daemon, caller int, stop <-chan struct{}, results chan<- result) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
			results <- d.ask(n, fmt.Sprintf("c%d-%d", caller, i))
		}
	}
}

// judge counts the whole answers and describes every request that got neither its own whole answer nor an
// honest refusal.
func judge(results <-chan result) (answered int, broken []string) {
	for r := range results {
		switch {
		case r.err == nil && r.status == http.StatusOK && strings.HasSuffix(r.body, " "+r.request+"\n"):
			answered++
		case r.err == nil && r.verdict == "not_run":
		default:
			broken = append(broken, fmt.Sprintf("%+v", r))
		}
	}
	return answered, broken
}

// allFinishOnce waits until every task has finished and returns what went wrong.
func (d *deployment) allFinishOnce() []string {
	done := d.until(func() bool { _, finished, _ := d.seen(); return finished == batchTasks })
	_, finished, faults := d.seen()
	if !done {
		faults = append(faults, fmt.Sprintf("%d of %d tasks have finished", finished, batchTasks))
	}
	return faults
}
