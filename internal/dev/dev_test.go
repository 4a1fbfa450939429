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

// patience bounds a wait whose length decides nothing.
const patience = 2 * time.Minute

// freePorts returns a base port from which a few hundred ports were free a moment ago.
func freePorts(t *testing.T) int {
	t.Helper()
	const first, step, steps = 21000, 200, 50
	for i := range steps {
		if base := first + (os.Getpid()+i)%steps*step; free(base) {
			return base
		}
	}
	t.Fatal("no free range of ports")
	return 0
}

func free(base int) bool {
	for port := base; port < base+150; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func eventually(condition func() bool) bool {
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// allPlaced reports whether every task of every failure domain runs or has ended.
func allPlaced(base int) bool {
	client := &http.Client{Timeout: time.Second}
	d, err := operator.Discover(context.Background(), []string{fmt.Sprintf("127.0.0.1:%d", base+2)}, client)
	if err != nil {
		return false
	}
	seen := 0
	question := func(ctx context.Context, c *operator.Client) ([]operator.Task, error) { return c.Tasks(ctx) }
	for _, a := range operator.AskNodes(context.Background(), d, question) {
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

// answers reports whether a request is answered with status 200.
func answers(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func TestDeployments(t *testing.T) {
	for _, name := range []string{"arwyddion", "vinnufata"} {
		Convey(name+" places every task, answers a request and stops cleanly", t, func() {
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
			// The node learns of its endpoints from the list, which lags.
			So(eventually(func() bool { return answers(fmt.Sprintf("http://127.0.0.1:%d/%s", base+1, path)) }), ShouldBeTrue)
			cancel()
			So(<-ended, ShouldBeNil)
			So(output.String(), ShouldContainSubstring, fmt.Sprintf("operators 127.0.0.1:%d", base+2))
			So(free(base), ShouldBeTrue)
		})
	}
}

func TestTakenPort(t *testing.T) {
	Convey("A taken port is named, and the ports opened before it are given back", t, func() {
		base := freePorts(t)
		for _, offset := range []int{0, 8, 100} {
			taken, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+offset))
			So(err, ShouldBeNil)
			err = dev.Run(context.Background(), dev.Options{Deployment: "arwyddion", BasePort: base, Output: &bytes.Buffer{}, Logger: zap.NewNop()})
			So(exitcode.Of(err), ShouldEqual, exitcode.Unreachable)
			message := exitcode.Message("cactuswalld", err)
			So(message, ShouldContainSubstring, fmt.Sprintf("127.0.0.1:%d", base+offset))
			So(message, ShouldContainSubstring, "--base-port")
			So(taken.Close(), ShouldBeNil)
			So(free(base), ShouldBeTrue)
		}
	})
	Convey("A base port without room and an unknown deployment are refused", t, func() {
		for _, o := range []dev.Options{{Deployment: "arwyddion", BasePort: 65500}, {Deployment: "elsewhere", BasePort: 7400}} {
			So(exitcode.Of(dev.Run(context.Background(), o)), ShouldEqual, exitcode.Invalid)
		}
	})
}
