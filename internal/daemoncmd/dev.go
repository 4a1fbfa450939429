package daemoncmd

import (
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/dev"
	"cactuswall.example/cactuswall/internal/exitcode"
)

// defaultBasePort is the first port of the development deployment by default.
const defaultBasePort = 7400

func newDevCommand() *cobra.Command {
	var deployment, level string
	var basePort int
	command := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole small deployment in one process on loopback",
		Args:  exitcode.UsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			logger, err := newLogger(level)
			if err != nil {
				return err
			}
			return dev.Run(c.Context(), dev.Options{
				Deployment: deployment,
				BasePort:   basePort,
				Output:     c.OutOrStdout(),
				Logger:     logger,
			})
		},
	}
	command.Flags().StringVar(&deployment, "deployment", "arwyddion", "arwyddion or vinnufata")
	command.Flags().IntVar(&basePort, "base-port", defaultBasePort, "first of the ports to listen on")
	command.Flags().StringVar(&level, "log-level", "warn", "lowest level that is logged: debug, info, warn or error")
	return command
}
