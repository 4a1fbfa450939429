package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// taskTime is how long a task runs on a stand-in for a worker.
const taskTime = 1500 * time.Millisecond

// startWorkers starts the child process with the stand-ins and returns their addresses.
func startWorkers(ctx context.Context, count int) (addresses []string, stop func(), err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	child := exec.CommandContext(ctx, self, "serve-workers", "--count", fmt.Sprint(count))
	child.Stderr = os.Stderr
	out, err := child.StdoutPipe()
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if err := child.Start(); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	scanner := bufio.NewScanner(out)
	for len(addresses) < count && scanner.Scan() {
		addresses = append(addresses, scanner.Text())
	}
	return addresses, func() { _ = child.Process.Kill(); _ = child.Wait() }, trace.Wrap(scanner.Err())
}

func newWorkersCommand() *cobra.Command {
	var count int
	command := &cobra.Command{Use: "serve-workers", Hidden: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		for range count {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return trace.Wrap(err)
			}
			w := &standInWorker{startedAt: time.Now(), running: make(map[string]int), changed: make(chan struct{})}
			go func() { _ = http.Serve(listener, w) }() // ends with the process
			c.Println(listener.Addr())
		}
		<-c.Context().Done()
		return nil
	}}
	command.SetOut(os.Stdout) // the parent reads the addresses
	command.Flags().IntVar(&count, "count", 1, "number of workers")
	return command
}

// standInWorker answers the orders of an owner over the platform's HTTP interface. Each of its tasks ends as done.
type standInWorker struct {
	mu        sync.Mutex
	startedAt time.Time
	running   map[string]int // run number by task
	ended     [][]any
	sequence  int64
	changed   chan struct{}
}

// order is the body of a call; each kind of call uses some of the fields.
type order struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	AckCursor int64  `json:"ack-cursor"`
	WaitMS    int64  `json:"wait-ms"`
}

func (s *standInWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	response := map[string]any{"clock-ms": time.Since(s.startedAt).Milliseconds(), "born": 1}
	switch r.URL.Path {
	case "/-/run-start":
		s.start(o)
	case "/-/hold":
		s.hold(o, response)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response) // the owner has gone if this fails
}

func (s *standInWorker) start(o order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[o.Task] = o.Run
	time.AfterFunc(taskTime, func() { s.end(o) })
}

func (s *standInWorker) end(o order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, o.Task)
	s.sequence++
	s.ended = append(s.ended, []any{s.sequence, o.Task, o.Run, "done", ""})
	close(s.changed)
	s.changed = make(chan struct{})
}

// hold waits for an end for as long as the order allows, and lists all runs.
func (s *standInWorker) hold(o order, response map[string]any) {
	timer := time.NewTimer(time.Duration(o.WaitMS) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.ended) > 0 && s.ended[0][0].(int64) <= o.AckCursor {
		s.ended = s.ended[1:]
	}
	if len(s.ended) == 0 && o.WaitMS > 0 {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		}
		s.mu.Lock()
	}
	running := [][]any{}
	for task, run := range s.running {
		running = append(running, []any{task, run, "", 40, 1000})
	}
	response["running"], response["ended"] = running, append([][]any{}, s.ended...)
	response["clock-ms"] = time.Since(s.startedAt).Milliseconds()
}
