package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
)

func newNodesCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "nodes",
		Short: "List the nodes as known to the first node that answers",
		Args:  exitcode.UsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			deployment, err := o.discover(c.Context())
			if err != nil {
				return err
			}
			rows := make([][]string, len(deployment.Nodes))
			for i, n := range deployment.Nodes {
				rows[i] = []string{n.FailureDomain, n.Node, n.State, fmt.Sprint(n.ManifestVersion), n.Address, dashIfEmpty(n.OperatorAddress)}
			}
			header := []string{"DOMAIN", "NODE", "STATE", "MANIFEST", "PEER ADDRESS", "OPERATOR ADDRESS"}
			return o.print(c.OutOrStdout(), deployment.Nodes, header, rows)
		},
	}
}
