package command

import (
	"context"
	"fmt"
	"sort"

	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/operator"
)

// domainTask is a task with its failure domain.
type domainTask struct {
	FailureDomain string `json:"failure_domain"`
	operator.Task
}

// taskFilter selects tasks by domain, state and team. An empty field matches every task.
type taskFilter struct {
	domain, state, team string
}

func (f taskFilter) matches(t operator.Task) bool {
	return (f.state == "" || t.State == f.state) && (f.team == "" || t.Team == f.team)
}

func newTasksCommand(o *options) *cobra.Command {
	var filter taskFilter
	command := &cobra.Command{
		Use:   "tasks",
		Short: "List the tasks of all failure domains",
		Args:  exitcode.UsageArgs(cobra.NoArgs),
		RunE:  func(c *cobra.Command, _ []string) error { return listTasks(c, o, filter) },
	}
	command.Flags().StringVar(&filter.domain, "domain", "", "only this failure domain")
	command.Flags().StringVar(&filter.state, "state", "", "only tasks in this state")
	command.Flags().StringVar(&filter.team, "team", "", "only tasks of this team")
	return command
}

func listTasks(c *cobra.Command, o *options, filter taskFilter) error {
	query := func(ctx context.Context, client *operator.Client) ([]operator.Task, error) { return client.Tasks(ctx) }
	answers, err := queryDomains(c.Context(), o, filter.domain, c.ErrOrStderr(), query)
	if err != nil {
		return err
	}
	tasks := []domainTask{}
	for _, t := range mergeTasks(answers) {
		if filter.matches(t.Task) {
			tasks = append(tasks, t)
		}
	}
	rows := make([][]string, len(tasks))
	for i, t := range tasks {
		progress := fmt.Sprintf("%.0f%%", 100*t.Progress)
		rows[i] = []string{t.FailureDomain, t.ID, t.Team, t.State, fmt.Sprint(t.Attempt), dashIfEmpty(t.Worker), progress, dashIfEmpty(t.Reason)}
	}
	header := []string{"DOMAIN", "TASK", "TEAM", "STATE", "ATTEMPT", "WORKER", "PROGRESS", "REASON"}
	return o.print(c.OutOrStdout(), tasks, header, rows)
}

// mergeTasks returns each task once, sorted by failure domain and ID. It prefers the answer of the node that
// owns the task's shard.
func mergeTasks(answers []operator.NodeResult[[]operator.Task]) []domainTask {
	var tasks []domainTask
	index := make(map[string]int)
	for _, a := range answers {
		for _, t := range a.Value {
			key := a.FailureDomain + " " + t.ID
			i, known := index[key]
			switch {
			case !known:
				index[key] = len(tasks)
				tasks = append(tasks, domainTask{FailureDomain: a.FailureDomain, Task: t})
			case t.Owned && !tasks[i].Owned:
				tasks[i].Task = t
			}
		}
	}
	sort.SliceStable(tasks, func(i, j int) bool {
		if tasks[i].FailureDomain != tasks[j].FailureDomain {
			return tasks[i].FailureDomain < tasks[j].FailureDomain
		}
		return tasks[i].ID < tasks[j].ID
	})
	return tasks
}
