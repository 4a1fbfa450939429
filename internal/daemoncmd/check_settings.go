package daemoncmd

import (
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/settings"
)

func newCheckSettingsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings FILE",
		Short: "Check a settings file and report every problem",
		Args:  exitcode.Arguments(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			c.Printf("%s: valid settings for node %s in failure domain %s\n", args[0], s.Node, s.FailureDomain)
			return nil
		},
	}
}
