package daemoncmd

import (
	"bytes"
	"context"
	"hash/fnv"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"go.uber.org/zap/zapcore"

	"cactuswall.example/cactuswall/internal/cell"
	"cactuswall.example/cactuswall/internal/cellnode"
	"cactuswall.example/cactuswall/internal/evacuation"
	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/logsink"
	"cactuswall.example/cactuswall/platform"
)

const (
	// goMemoryPercent is the soft memory limit of the Go runtime, in percent of the memory limit of the process.
	goMemoryPercent = 40
	// goGCPercent is by how much the heap may grow between two garbage collections, in percent of the memory in use. The
	// soft memory limit takes precedence.
	goGCPercent = 200
	// logFlushTimeout is how long a process that stops waits for the reader of its log.
	logFlushTimeout = 500 * time.Millisecond
	// statusMargin is added to the time for which the state of an ended job must be available, so that late
	// duplicates of its request are still recognised.
	statusMargin = time.Minute
	// rankCount is the number of ranks. Each node has a rank from 0 to rankCount-1, which several nodes may share. Of
	// nodes of similar processor capacity, one with a lower rank claims the cell earlier (see cellnode.Settings).
	rankCount = 8
)

func newPlatformCommand() *cobra.Command {
	var level string
	var metricsPort int
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run a node on the platform until SIGTERM or SIGINT",
		Long: "Run a node on the platform until SIGTERM or SIGINT. The path of the settings file is taken from the environment variable " +
			platform.SettingsVariable + ".",
		Args: exitcode.UsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			parsed, err := zapcore.ParseLevel(level)
			if err != nil {
				return exitcode.UsageError(err)
			}
			path := os.Getenv(platform.SettingsVariable)
			settings, err := platform.LoadSettings(path)
			if err != nil {
				return trace.Wrap(err)
			}
			return runOnPlatform(c.Context(), path, settings, metricsPort, parsed)
		},
	}
	command.Flags().StringVar(&level, "log-level", "info", "lowest level that is logged: debug, info, warn or error")
	command.Flags().IntVar(&metricsPort, "metrics-port", 0, "port on which metrics are served, 0 for none")
	return command
}

// runOnPlatform runs a node with the given settings until ctx is done. It writes the log to stdout.
func runOnPlatform(ctx context.Context, path string, s *platform.Settings, metricsPort int, level zapcore.Level) error {
	debug.SetGCPercent(goGCPercent)
	debug.SetMemoryLimit(int64(s.Limits.MemoryMB) << 20 * goMemoryPercent / 100)
	sink := logsink.New(os.Stdout)
	defer startSink(ctx, sink)()
	store, workers := platform.NewStore(s.Store.Address), platform.NewWorkers()
	node := cellnode.New(nodeSettings(s, metricsPort), cellnode.Platform{
		Store:       store,
		Workers:     workers,
		Topics:      platform.Topics(),
		CallerCodec: platform.CallerCodec(),
	}, s.Node+"-"+uuid.NewString()[:8], sink.Logger(level))
	store.Observe, workers.Observe = node.CallObserver("store"), node.CallObserver("worker")
	node.RegisterLogMetrics(sink)
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	go watchSettings(ctx, sighups, path, metricsPort, node)
	return node.Run(ctx)
}

// startSink has a sink write its lines even after ctx is done. The returned function ends that: it waits for the queued
// lines to be written, but at most logFlushTimeout.
func startSink(ctx context.Context, sink *logsink.Sink) (stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		_ = sink.Run(ctx) // ends with the context
	}()
	return func() {
		cancel()
		select {
		case <-flushed:
		case <-time.After(logFlushTimeout):
		}
	}
}

// settingsPollPeriod is the interval between two reads of the settings file, which may change without a signal.
const settingsPollPeriod = time.Second

// watchSettings reloads the settings of the node on SIGHUP and when the content of the settings file changes.
func watchSettings(ctx context.Context, sighups <-chan os.Signal, path string, metricsPort int, node *cellnode.Node) {
	ticker := time.NewTicker(settingsPollPeriod)
	defer ticker.Stop()
	// The error is ignored: the node already has the settings of this file. If the file cannot be read now, the next
	// successful read counts as a change.
	loaded, _ := os.ReadFile(path)
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-sighups:
		case <-ticker.C:
			cause = "file"
		}
		content, err := os.ReadFile(path)
		if err == nil && bytes.Equal(content, loaded) && cause == "file" {
			continue
		}
		if err != nil {
			node.ReloadFailed(cause, err)
			continue
		}
		loaded = content
		settings, err := platform.ParseSettings(bytes.NewReader(content))
		if err != nil {
			node.ReloadFailed(cause, err)
			continue
		}
		node.Reload(cause, nodeSettings(settings, metricsPort))
	}
}

// nodeSettings converts the settings of the platform to those of the node.
func nodeSettings(s *platform.Settings, metricsPort int) cellnode.Settings {
	return cellnode.Settings{
		Node: s.Node, FailureDomain: s.FailureDomain, FailureDomains: s.FailureDomains, Rank: rankOf(s.Node), Capacity: int64(math.Round(s.Limits.Capacity() * 1000)),
		CallerAddress: s.CallerAddress, ReadyAddress: s.ReadyAddress,
		PeerAddress:    net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)),
		MetricsAddress: metricsAddress(s.IP, metricsPort),
		MaxRecordBytes: s.Store.MaxRecordBytes, MaxCallBytes: s.Store.MaxCallBytes,
		StopGracePeriod: s.Bounds.Grace,
		Limits: cellnode.Limits{
			MemoryBytes: int64(s.Limits.MemoryMB) << 20, MaxDescriptors: s.Limits.MaxFileDescriptors,
			CallerBytes: int64(s.Limits.CallerMemoryMB) << 20, CallerConnections: s.Limits.CallerConnections,
		},
		Cell: cell.Settings{
			MaxLease: s.Bounds.MaxLease, StatusRetention: s.Bounds.StatusRetention + statusMargin, MaxOverTarget: s.Bounds.MaxOverTarget,
			MaxEvacuationAge: evacuation.MaxAge(s.Bounds.Evacuate),
			RemoteRackFactor: s.Bounds.RemoteRackFactor,
		},
	}
}

// metricsAddress returns the address on which metrics are served, or an empty string for port 0.
func metricsAddress(ip string, port int) string {
	if port == 0 {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(port))
}

// rankOf distributes nodes over the ranks by a hash of their name.
func rankOf(node string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(node)) // never fails
	return int(h.Sum32() % rankCount)
}
