package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/operator"
)

func newWorkersCommand(o *options) *cobra.Command {
	var domain string
	command := &cobra.Command{
		Use:   "workers",
		Short: "List the workers of all failure domains with their committed resources",
		Args:  exitcode.UsageArgs(cobra.NoArgs),
		RunE:  func(c *cobra.Command, _ []string) error { return listWorkers(c, o, domain) },
	}
	command.Flags().StringVar(&domain, "domain", "", "only this failure domain")
	return command
}

func listWorkers(c *cobra.Command, o *options, domain string) error {
	deployment, err := o.discover(c.Context())
	if err != nil {
		return err
	}
	if domain != "" {
		if deployment, err = filterDomain(deployment, domain); err != nil {
			return err
		}
	}
	query := func(ctx context.Context, client *operator.Client) ([]operator.Worker, error) {
		return client.Workers(ctx)
	}
	workers := mergeWorkers(operator.QueryNodes(c.Context(), deployment, query))
	rows := make([][]string, len(workers))
	for i, w := range workers {
		state := "live"
		if w.Leaving {
			state = "leaving"
		}
		rows[i] = []string{w.FailureDomain, w.ID, w.Rack, state, dashIfEmpty(w.Owner), fmt.Sprint(w.Tasks), dashIfEmpty(w.Committed), dashIfEmpty(w.Capacity)}
	}
	header := []string{"DOMAIN", "WORKER", "RACK", "STATE", "OWNER", "TASKS", "COMMITTED", "CAPACITY"}
	return o.print(c.OutOrStdout(), workers, header, rows)
}

// mergeWorkers returns each worker once. It prefers the answer of the worker's owner, because only the owner
// knows the resources that are committed on it.
func mergeWorkers(answers []operator.NodeResult[[]operator.Worker]) []operator.Worker {
	workers := []operator.Worker{}
	index := make(map[string]int)
	for _, a := range answers {
		for _, w := range a.Value {
			i, known := index[w.ID]
			switch {
			case !known:
				index[w.ID] = len(workers)
				workers = append(workers, w)
			case w.Owner == a.Node:
				workers[i] = w
			}
		}
	}
	return workers
}
