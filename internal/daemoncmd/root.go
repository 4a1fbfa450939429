// Package daemoncmd implements the command line of cactuswalld. Each command has a file of its own.
package daemoncmd

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"context"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/exitcode"
)

// Execute runs the command line and returns the exit code of the process.
func Execute(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, exitcode.Message("cactuswalld", err))
	}
	return exitcode.Of(err)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "cactuswalld",
		Short:         "Run a node of the cactuswall scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitcode.UsageError(err) })
	root.AddCommand(newRunCommand(), newPlatformCommand(), newCheckSettingsCommand(), newDevCommand(), newVersionCommand())
	return root
}

// newLogger returns a logger that writes JSON lines to stderr from the given level up.
func newLogger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.OutputPaths = []string{"stderr"}
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, exitcode.UsageError(err)
	}
	config.Level = parsed
	return config.Build()
}
