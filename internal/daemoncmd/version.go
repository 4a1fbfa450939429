package daemoncmd

import (
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/buildinfo"
	"cactuswall.example/cactuswall/internal/exitcode"
)

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  exitcode.UsageArgs(cobra.NoArgs),
		Run:   func(c *cobra.Command, _ []string) { c.Println("cactuswalld", buildinfo.Version()) },
	}
}
