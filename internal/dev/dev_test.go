package dev_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/dev"
	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/operator"
)

// waitTimeout is the timeout of every wait. No test depends on how long a wait takes.
const waitTimeout = 2 * time.Minute

// freePorts returns a base port from which 150 ports were free a moment ago.
func freePorts(t *testing.T) int {
	t.Helper()
	const first, step, steps = 21000, 200, 50
	for i := range steps {
		if base := first + (os.Getpid()+i)%steps*step; allFree(base) {
			return base
		}
	}
	t.Fatal("no free range of ports")
	return 0
}

// allFree reports whether the 150 ports from base on are free.
func allFree(base int) bool {
	for port := base; port < base+150; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// eventually polls a condition and reports whether it became true within waitTimeout.
func eventually(condition func() bool) bool {
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// allPlaced reports whether every task of every failure domain is running or has finished.
func allPlaced(base int) bool {
	client := &http.Client{Timeout: time.Second}
	d, err := operator.Discover(context.Background(), []string{fmt.Sprintf("127.0.0.1:%d", base+2)}, client)
	if err != nil {
		return false
	}
	seen := 0
	query := func(ctx context.Context, c *operator.Client) ([]operator.Task, error) { return c.Tasks(ctx) }
	for _, a := range operator.QueryNodes(context.Background(), d, query) {
		for _, t := range a.Value {
			if !t.Owned {
				continue
			}
			if t.State != "running" && t.State != "finished" {
				return false
			}
			seen++
		}
	}
	return seen >= 66
}

// returnsOK reports whether a GET request returns status 200.
func returnsOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func TestDeployments(t *testing.T) {
	for _, name := range []string{"arwyddion", "vinnufata"} {
		Convey(name+" places every task, responds to a request and stops cleanly", t, func() {
			base := freePorts(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var output bytes.Buffer
			ended := make(chan error, 1)
			go func() {
				ended <- dev.Run(ctx, dev.Options{Deployment: name, BasePort: base, Output: &output, Logger: zap.NewNop()})
			}()
			So(eventually(func() bool { return allPlaced(base) }), ShouldBeTrue)
			path := map[string]string{"arwyddion": "boards/1", "vinnufata": "rental/1"}[name]
			// The node learns of its endpoints from the VM list, which lags.
			So(eventually(func() bool { return returnsOK(fmt.Sprintf("http://127.0.0.1:%d/%s", base+1, path)) }), ShouldBeTrue)
			cancel()
			So(<-ended, ShouldBeNil)
			So(output.String(), ShouldContainSubstring, fmt.Sprintf("operators 127.0.0.1:%d", base+2))
			So(allFree(base), ShouldBeTrue)
		})
	}
}

func TestPortInUse(t *testing.T) {
	Convey("The error names a port that is in use, and the ports opened before it are closed", t, func() {
		base := freePorts(t)
		for _, offset := range []int{0, 8, 100} {
			occupied, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+offset))
			So(err, ShouldBeNil)
			err = dev.Run(context.Background(), dev.Options{Deployment: "arwyddion", BasePort: base, Output: &bytes.Buffer{}, Logger: zap.NewNop()})
			So(exitcode.Of(err), ShouldEqual, exitcode.Unreachable)
			message := exitcode.Message("cactuswalld", err)
			So(message, ShouldContainSubstring, fmt.Sprintf("127.0.0.1:%d", base+offset))
			So(message, ShouldContainSubstring, "--base-port")
			So(occupied.Close(), ShouldBeNil)
			So(allFree(base), ShouldBeTrue)
		}
	})
	Convey("A base port that is too high and an unknown deployment are rejected", t, func() {
		for _, o := range []dev.Options{{Deployment: "arwyddion", BasePort: 65500}, {Deployment: "elsewhere", BasePort: 7400}} {
			So(exitcode.Of(dev.Run(context.Background(), o)), ShouldEqual, exitcode.Invalid)
		}
	})
}
