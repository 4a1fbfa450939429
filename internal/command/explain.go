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

// domainExplanation is an explanation with the failure domain whose nodes hold the task.
type domainExplanation struct {
	FailureDomain string `json:"failure_domain"`
	operator.Explanation
}

func newExplainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain TASK",
		Short: "Say why a task waits, or why it can never run",
		Args:  exitcode.Arguments(cobra.ExactArgs(1)),
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
				{"worker", orDash(e.Task.Worker)},
				{"since", e.Task.Since.Format("2006-01-02 15:04:05")},
				{"can never run", fmt.Sprint(e.Never)},
				{"explanation", e.Summary},
			}
			return o.print(c.OutOrStdout(), e, []string{"WHAT", "VALUE"}, rows)
		},
	}
}

// findTask asks all failure domains for a task.
func findTask(ctx context.Context, o *options, task string) (domainExplanation, error) {
	deployment, err := o.discover(ctx)
	if err != nil {
		return domainExplanation{}, err
	}
	question := func(ctx context.Context, client *operator.Client) (operator.Explanation, error) {
		return client.Explain(ctx, task)
	}
	answered := make(map[string]bool)
	var found *domainExplanation
	for _, a := range operator.AskNodes(ctx, deployment, question) {
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
			"no failure domain that answered knows task %q, and these did not answer: %s", task, strings.Join(silent, ", "))
	}
	return domainExplanation{}, trace.NotFound("no failure domain knows task %q; list the tasks with: cactuswall tasks", task)
}
