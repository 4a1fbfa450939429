package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
)

func newStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Report on a node and its failure domain",
		Args:  exitcode.Arguments(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := o.client().Status(c.Context())
			if err != nil {
				return err
			}
			rows := [][]string{
				{"node", s.Node},
				{"failure domain", s.FailureDomain},
				{"ready", fmt.Sprint(s.Ready)},
				{"manifest", fmt.Sprintf("version %d, release %s", s.ManifestVersion, s.Release)},
				{"log reachable", fmt.Sprint(s.LogReachable)},
				{"shards", fmt.Sprint(s.Shards)},
				{"tasks", fmt.Sprint(s.TasksByState)},
			}
			return o.print(c.OutOrStdout(), s, []string{"WHAT", "VALUE"}, rows)
		},
	}
}
