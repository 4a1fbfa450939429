package command

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/operator"
)

// domainStatus is the combined status of the nodes of one failure domain.
type domainStatus struct {
	FailureDomain string `json:"failure_domain"`
	// Nodes holds the status of the nodes that answered, Unreachable the names of those that did not.
	Nodes       []operator.Status `json:"nodes"`
	Unreachable []string          `json:"silent"`
	// Ready is the number of nodes that accept requests.
	Ready int `json:"ready"`
	// Shards is the number of shards of the domain that are owned by a node.
	Shards          int    `json:"shards"`
	ManifestVersion uint64 `json:"manifest_version"`
	Release         string `json:"release"`
	LogReachable    bool   `json:"log_reachable"`
	// Evacuated is set while no task may start in the domain.
	Evacuated    bool           `json:"evacuated"`
	TasksByState map[string]int `json:"tasks_by_state"`
	// PredictedMisses is the number of batch tasks that are not expected to finish before their deadline.
	PredictedMisses int `json:"predicted_misses"`
	// Guarantees holds, for each guarantee, the highest number of violations that a node of the
	// domain has detected. The output calls a guarantee a promise and a violation a broken promise.
	Guarantees []operator.Guarantee `json:"promises"`
}

func newStatusCommand(o *options) *cobra.Command {
	var check bool
	command := &cobra.Command{
		Use:   "status",
		Short: "Report the nodes, manifest, tasks and promises of each failure domain",
		Args:  exitcode.UsageArgs(cobra.NoArgs),
		RunE:  func(c *cobra.Command, _ []string) error { return showStatus(c, o, check) },
	}
	command.Flags().BoolVar(&check, "check", false, "exit with 6 if a promise is broken, a node does not answer, a domain has no ready node or unowned shards, or the log is unreachable")
	return command
}

func showStatus(c *cobra.Command, o *options, check bool) error {
	deployment, err := o.discover(c.Context())
	if err != nil {
		return err
	}
	domains := queryStatus(c.Context(), deployment)
	if err := printStatus(c, o, domains); err != nil {
		return err
	}
	if problems := findProblems(domains); check && len(problems) > 0 {
		return exitcode.Unhealthyf("%s", strings.Join(problems, "; "))
	}
	return nil
}

// queryStatus queries all nodes and combines their answers by failure domain.
func queryStatus(ctx context.Context, deployment *operator.Deployment) []domainStatus {
	index := make(map[string]int)
	var domains []domainStatus
	for _, name := range deployment.Domains() {
		index[name] = len(domains)
		domains = append(domains, domainStatus{FailureDomain: name, Nodes: []operator.Status{}, Unreachable: []string{}, TasksByState: map[string]int{}})
	}
	for _, n := range deployment.MissingNodes(time.Now()) {
		d := &domains[index[n.FailureDomain]]
		d.Unreachable = append(d.Unreachable, n.Node)
	}
	query := func(ctx context.Context, client *operator.Client) (operator.Status, error) { return client.Status(ctx) }
	for _, a := range operator.QueryNodes(ctx, deployment, query) {
		d := &domains[index[a.FailureDomain]]
		switch {
		case a.Err == nil:
			d.add(a.Value)
		case !a.Leaving:
			d.Unreachable = append(d.Unreachable, a.Node)
		}
	}
	markEvacuated(domains)
	return domains
}

// markEvacuated marks the domains that the newest manifest of all nodes evacuates, also those whose own nodes do not answer.
func markEvacuated(domains []domainStatus) {
	var newest operator.Status
	for _, d := range domains {
		for _, s := range d.Nodes {
			if s.ManifestVersion >= newest.ManifestVersion {
				newest = s
			}
		}
	}
	for i := range domains {
		domains[i].Evacuated = slices.Contains(newest.Evacuated, domains[i].FailureDomain)
	}
}

// add merges the status of one node. TasksByState is added up, because each node counts only the tasks of the
// shards that it owns there. For PredictedMisses and the violated guarantees the highest count of any node is
// taken.
func (d *domainStatus) add(s operator.Status) {
	d.Nodes = append(d.Nodes, s)
	d.LogReachable = d.LogReachable || s.LogReachable
	if s.Ready {
		d.Ready++
	}
	d.Shards += len(s.Shards)
	d.PredictedMisses = max(d.PredictedMisses, s.PredictedMisses)
	if s.ManifestVersion >= d.ManifestVersion {
		d.ManifestVersion, d.Release = s.ManifestVersion, s.Release
	}
	for state, count := range s.TasksByState {
		d.TasksByState[state] += count
	}
	for _, p := range s.Guarantees {
		i := slices.IndexFunc(d.Guarantees, func(known operator.Guarantee) bool { return known.Name == p.Name })
		if i < 0 {
			d.Guarantees = append(d.Guarantees, p)
			continue
		}
		known := &d.Guarantees[i]
		known.Violations = max(known.Violations, p.Violations)
		if p.LastViolation.After(known.LastViolation) {
			known.LastViolation, known.LastSubject = p.LastViolation, p.LastSubject
		}
	}
}

// findProblems returns a message for each condition that makes the deployment unhealthy.
func findProblems(domains []domainStatus) []string {
	var problems []string
	for _, d := range domains {
		if d.Ready == 0 {
			problems = append(problems, fmt.Sprintf("failure domain %s has no ready node", d.FailureDomain))
		}
		if len(d.Unreachable) > 0 {
			problems = append(problems, fmt.Sprintf("failure domain %s: no answer from %s", d.FailureDomain, strings.Join(d.Unreachable, ", ")))
		}
		if d.Shards < failuredomain.ShardsPerDomain {
			problems = append(problems, fmt.Sprintf("failure domain %s: %d of %d shards are owned", d.FailureDomain, d.Shards, failuredomain.ShardsPerDomain))
		}
		if len(d.Nodes) > 0 && !d.LogReachable {
			problems = append(problems, fmt.Sprintf("failure domain %s cannot reach the log", d.FailureDomain))
		}
		for _, p := range d.Guarantees {
			if p.Violations > 0 {
				problems = append(problems, fmt.Sprintf("failure domain %s: promise %s broken %d times", d.FailureDomain, p.Name, p.Violations))
			}
		}
	}
	return problems
}

func printStatus(c *cobra.Command, o *options, domains []domainStatus) error {
	rows := make([][]string, len(domains))
	for i, d := range domains {
		log := "reachable"
		if !d.LogReachable {
			log = "not reachable"
		}
		evacuation := "-"
		if d.Evacuated {
			evacuation = "yes"
		}
		rows[i] = []string{
			d.FailureDomain,
			fmt.Sprintf("%d of %d", d.Ready, len(d.Nodes)+len(d.Unreachable)),
			dashIfEmpty(strings.Join(d.Unreachable, ",")),
			fmt.Sprintf("%d %s", d.ManifestVersion, d.Release),
			log,
			evacuation,
			fmt.Sprintf("%d of %d", d.Shards, failuredomain.ShardsPerDomain),
			formatCounts(d.TasksByState),
			fmt.Sprint(d.PredictedMisses),
		}
	}
	header := []string{"DOMAIN", "READY", "SILENT", "MANIFEST", "LOG", "EVACUATED", "SHARDS OWNED", "TASKS", "EXPECTED LATE"}
	if err := o.print(c.OutOrStdout(), domains, header, rows); err != nil || o.output == outputJSON {
		return err
	}
	c.Println()
	return printGuarantees(c, domains)
}

// formatCounts formats the counts sorted by state name.
func formatCounts(counts map[string]int) string {
	states := make([]string, 0, len(counts))
	for state := range counts {
		states = append(states, state)
	}
	slices.Sort(states)
	parts := make([]string, len(states))
	for i, state := range states {
		parts[i] = fmt.Sprintf("%d %s", counts[state], state)
	}
	return dashIfEmpty(strings.Join(parts, ", "))
}

func printGuarantees(c *cobra.Command, domains []domainStatus) error {
	header := []string{"PROMISE"}
	var names []string
	texts := make(map[string]string)
	for _, d := range domains {
		header = append(header, d.FailureDomain)
		for _, p := range d.Guarantees {
			if texts[p.Name] == "" {
				names = append(names, p.Name)
				texts[p.Name] = p.Text
			}
		}
	}
	var rows [][]string
	for _, name := range names {
		row := []string{texts[name]}
		for _, d := range domains {
			row = append(row, formatGuarantee(d, name))
		}
		rows = append(rows, row)
	}
	return trace.Wrap(printTable(c.OutOrStdout(), header, rows))
}

func formatGuarantee(d domainStatus, name string) string {
	for _, p := range d.Guarantees {
		switch {
		case p.Name != name:
			continue
		case !p.Detectable:
			return "not monitored"
		case p.Violations == 0:
			return "kept"
		default:
			return fmt.Sprintf("broken %d times, last %s %s", p.Violations, p.LastViolation.Format("15:04:05"), p.LastSubject)
		}
	}
	return "no answer"
}
