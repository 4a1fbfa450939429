package command

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/operator"
)

// domainExplanation is an explanation with the failure domain of the task.
type domainExplanation struct {
	FailureDomain string `json:"failure_domain"`
	operator.Explanation
}

func newExplainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain TASK",
		Short: "Explain why a task is waiting, or why it can never run",
		Args:  exitcode.UsageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := findTask(c.Context(), o, args[0])
			if err != nil {
				return err
			}
			rows := [][]string{
				{"task", e.Task.ID},
				{"failure domain", e.FailureDomain},
				{"state", e.Task.State},
				{"attempt", fmt.Sprint(e.Task.Attempt)},
				{"worker", dashIfEmpty(e.Task.Worker)},
				{"since", e.Task.Since.Format("2006-01-02 15:04:05")},
				{"can never run", fmt.Sprint(e.Unschedulable)},
				{"explanation", e.Summary},
			}
			return o.print(c.OutOrStdout(), e, []string{"WHAT", "VALUE"}, rows)
		},
	}
}

// findTask queries all failure domains for a task and prefers the answer of the node that owns the task's
// shard.
func findTask(ctx context.Context, o *options, task string) (domainExplanation, error) {
	deployment, err := o.discover(ctx)
	if err != nil {
		return domainExplanation{}, err
	}
	query := func(ctx context.Context, client *operator.Client) (operator.Explanation, error) {
		return client.Explain(ctx, task)
	}
	answered := make(map[string]bool)
	var found *domainExplanation
	for _, a := range operator.QueryNodes(ctx, deployment, query) {
		answered[a.FailureDomain] = answered[a.FailureDomain] || a.Err == nil || trace.IsNotFound(a.Err)
		if a.Err == nil && (found == nil || a.Value.Task.Owned) {
			found = &domainExplanation{FailureDomain: a.FailureDomain, Explanation: a.Value}
		}
	}
	if found != nil {
		return *found, nil
	}
	silent := slices.DeleteFunc(deployment.Domains(), func(name string) bool { return answered[name] })
	if len(silent) > 0 {
		return domainExplanation{}, trace.ConnectionProblem(nil,
			"task %q is unknown in the failure domains that answered, and these did not answer: %s", task, strings.Join(silent, ", "))
	}
	return domainExplanation{}, trace.NotFound("task %q is unknown in all failure domains; list the tasks with: cactuswall tasks", task)
}
