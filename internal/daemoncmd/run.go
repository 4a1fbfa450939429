package daemoncmd

import (
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/node"
	"cactuswall.example/cactuswall/internal/settings"
)

func newRunCommand() *cobra.Command {
	var level string
	command := &cobra.Command{
		Use:   "run SETTINGS",
		Short: "Run a node until SIGTERM or SIGINT",
		Args:  exitcode.UsageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			logger, err := newLogger(level)
			if err != nil {
				return trace.Wrap(err)
			}
			listeners, err := node.Listen(s)
			if err != nil {
				return trace.Wrap(err)
			}
			return node.NewDaemon(s, listeners, logger).Run(c.Context())
		},
	}
	command.Flags().StringVar(&level, "log-level", "info", "lowest level that is logged: debug, info, warn or error")
	return command
}
