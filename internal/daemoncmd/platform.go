package daemoncmd

import (
	"bytes"
	"context"
	"hash/fnv"
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
	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/logsink"
	"cactuswall.example/cactuswall/platform"
)

const (
	// memoryPercent is the share of the memory limit at which the garbage collector works harder.
	memoryPercent = 40
	// keepLonger is added to the time for which the state of an ended job must be told: late copies of its request are
	// still recognised then.
	keepLonger = time.Minute
	// ranks is the number of turns in which nodes claim.
	ranks = 8
)

func newPlatformCommand() *cobra.Command {
	var level string
	var metricsPort int
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run a node on the users' platform until SIGTERM",
		Long: "Run a node on the users' platform until SIGTERM. The path of the settings file is taken from the environment variable " +
			platform.SettingsVariable + ".",
		Args: exitcode.Arguments(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			parsed, err := zapcore.ParseLevel(level)
			if err != nil {
				return exitcode.Usage(err)
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

func runOnPlatform(ctx context.Context, path string, s *platform.Settings, metricsPort int, level zapcore.Level) error {
	debug.SetMemoryLimit(int64(s.Limits.MemoryMB) << 20 * memoryPercent / 100)
	sink := logsink.New(os.Stdout)
	sinkContext, endSink := context.WithCancel(context.WithoutCancel(ctx))
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		_ = sink.Run(sinkContext) // ends with the context
	}()
	defer func() {
		endSink()
		<-flushed
	}()
	store, workers := platform.NewStore(s.Store.Address), platform.NewWorkers()
	node := cellnode.New(nodeSettings(s, metricsPort), cellnode.Platform{
		Store:     store,
		Workers:   workers,
		Documents: platform.Documents(),
		Wire:      platform.Wire(),
	}, s.Node+"-"+uuid.NewString()[:8], sink.Logger(level))
	store.Observe, workers.Observe = node.ObserveCalls("store"), node.ObserveCalls("worker")
	node.WatchLog(sink)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go watchSettings(ctx, hangups, path, metricsPort, node)
	return node.Run(ctx)
}

// settingsPeriod is between two looks at the settings file, which may change without a signal.
const settingsPeriod = time.Second

// watchSettings has the node take in a changed settings file, on SIGHUP and by looking at it.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, path string, metricsPort int, node *cellnode.Node) {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	known, _ := os.ReadFile(path) // it was read a moment ago; if it is gone now, its return is a change
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			cause = "file"
		}
		content, err := os.ReadFile(path)
		if err == nil && bytes.Equal(content, known) && cause == "file" {
			continue
		}
		if err != nil {
			node.ReloadFailed(cause, err)
			continue
		}
		known = content
		settings, err := platform.ParseSettings(bytes.NewReader(content))
		if err != nil {
			node.ReloadFailed(cause, err)
			continue
		}
		node.Reload(cause, nodeSettings(settings, metricsPort))
	}
}

func nodeSettings(s *platform.Settings, metricsPort int) cellnode.Settings {
	return cellnode.Settings{
		Node: s.Node, Rank: rankOf(s.Node),
		CallerAddress: s.CallerAddress, ReadyAddress: s.ReadyAddress,
		PeerAddress:    net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)),
		MetricsAddress: metricsAddress(s.IP, metricsPort),
		MaxRecordBytes: s.Store.RecordBytes, MaxCallBytes: s.Store.CallBytes,
		Grace: s.Bounds.Grace,
		Cell: cell.Settings{
			MaxHold: s.Bounds.MaxHold, KeepStatus: s.Bounds.KeepStatus + keepLonger, Harm: s.Bounds.Harm,
		},
	}
}

func metricsAddress(ip string, port int) string {
	if port == 0 {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(port))
}

// rankOf spreads nodes over the turns in which they claim.
func rankOf(node string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(node)) // never fails
	return int(h.Sum32() % ranks)
}
