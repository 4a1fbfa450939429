// Command ownerload measures the processor time that the owner of a cell uses. It runs a node on an in-memory store
// against stand-ins for workers, which a child process serves over HTTP, and submits jobs at a steady rate:
//
//	go run ./internal/capacity/ownerload --workers 350 --jobs 29 --seconds 20 --profile /tmp/owner.pprof
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"go.uber.org/zap/zapcore"

	"cactuswall.example/cactuswall/internal/cell"
	"cactuswall.example/cactuswall/internal/cellnode"
	"cactuswall.example/cactuswall/internal/logsink"
	"cactuswall.example/cactuswall/platform"
)

// options are the dimensions of a run.
type options struct {
	workers    int
	jobsPerSec float64
	seconds    int
	profile    string
	logFile    string
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var o options
	command := &cobra.Command{
		Use: "ownerload", Short: "Measure the processor time of a cell's owner", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error { return measure(c, o) },
	}
	command.Flags().IntVar(&o.workers, "workers", 350, "number of workers")
	command.Flags().Float64Var(&o.jobsPerSec, "jobs", 29, "jobs submitted per second")
	command.Flags().IntVar(&o.seconds, "seconds", 15, "duration of the measurement")
	command.Flags().StringVar(&o.profile, "profile", "", "file to which a CPU profile is written")
	command.Flags().StringVar(&o.logFile, "log", os.DevNull, "file to which the node writes its log")
	command.AddCommand(newWorkersCommand())
	return command
}

// warmUp is how long the owner runs before the measurement begins.
const warmUp = 6 * time.Second

// measure runs a node under load and prints the processor time that it used.
func measure(c *cobra.Command, o options) error {
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	addresses, stopWorkers, err := startWorkers(ctx, o.workers)
	if err != nil {
		return trace.Wrap(err)
	}
	defer stopWorkers()
	log, err := os.OpenFile(o.logFile, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return trace.Wrap(err)
	}
	sink := logsink.New(log)
	go func() { _ = sink.Run(ctx) }() // ends with the context
	load := newLoad(addresses)
	workers := platform.NewWorkers()
	node := cellnode.New(cellnode.Settings{
		Node: "owner", PeerAddress: "127.0.0.1:0", CallerAddress: "127.0.0.1:0", MaxRecordBytes: 1 << 18, MaxCallBytes: 2 << 20,
		Cell: cell.Settings{MaxLease: 6 * time.Second, StatusRetention: 3 * time.Minute, MaxOverTarget: 4500 * time.Millisecond},
	}, cellnode.Platform{Store: load, Workers: workers, Topics: load.topics(), CallerCodec: platform.CallerCodec()}, "owner-1", sink.Logger(zapcore.InfoLevel))
	workers.Observe = node.CallObserver("worker")
	go func() { _ = node.Run(ctx) }() // ends with the context
	go load.submitJobs(ctx, o.jobsPerSec)
	time.Sleep(warmUp)
	stopProfile, err := startProfile(o.profile)
	if err != nil {
		return trace.Wrap(err)
	}
	before, startsBefore := processorTime(), load.starts.Load()
	time.Sleep(time.Duration(o.seconds) * time.Second)
	used, starts := processorTime()-before, load.starts.Load()-startsBefore
	stopProfile()
	c.Printf("workers %d, jobs %.1f/s, starts %.0f/s: %.3f of a core, %.0f us a start\n", o.workers, o.jobsPerSec,
		float64(starts)/float64(o.seconds), used.Seconds()/float64(o.seconds), float64(used.Microseconds())/float64(max(1, starts)))
	return nil
}

// startProfile begins a CPU profile and returns the function that ends it. Without a file it does nothing.
func startProfile(file string) (func(), error) {
	if file == "" {
		return func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() { pprof.StopCPUProfile(); _ = f.Close() }, nil
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(fmt.Sprintf("getrusage: %v", err)) // cannot fail with valid arguments
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
