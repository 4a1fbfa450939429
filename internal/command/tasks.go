package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
)

func newTasksCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "tasks",
		Short: "List the tasks of the node's failure domain",
		Args:  exitcode.Arguments(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			tasks, err := o.client().Tasks(c.Context())
			if err != nil {
				return err
			}
			var rows [][]string
			for _, t := range tasks {
				progress := fmt.Sprintf("%.0f%%", 100*t.Progress)
				rows = append(rows, []string{t.ID, t.Team, t.State, fmt.Sprint(t.Attempt), t.Worker, progress, t.Reason})
			}
			return o.print(c.OutOrStdout(), tasks, []string{"TASK", "TEAM", "STATE", "ATTEMPT", "WORKER", "PROGRESS", "REASON"}, rows)
		},
	}
}
