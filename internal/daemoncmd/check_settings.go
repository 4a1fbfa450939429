package daemoncmd

import (
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/platform"
)

func newCheckSettingsCommand() *cobra.Command {
	var onPlatform bool
	command := &cobra.Command{
		Use:   "check-settings FILE",
		Short: "Check a settings file and report every problem",
		Args:  exitcode.UsageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if onPlatform {
				return checkPlatformSettings(c, args[0])
			}
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			c.Printf("%s: valid settings for node %s in failure domain %s\n", args[0], s.Node, s.FailureDomain)
			return nil
		},
	}
	command.Flags().BoolVar(&onPlatform, "platform", false, "check a settings file in the format that the platform passes to its processes")
	return command
}

func checkPlatformSettings(c *cobra.Command, path string) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return exitcode.UsageError(err)
	}
	c.Printf("%s: valid platform settings for node %s in failure domain %s\n", path, s.Node, s.FailureDomain)
	return nil
}
