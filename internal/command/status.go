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

// domainStatus joins what the nodes of one failure domain report.
type domainStatus struct {
	FailureDomain string `json:"failure_domain"`
	// Nodes are the nodes that answered, Silent those that did not.
	Nodes  []operator.Status `json:"nodes"`
	Silent []string          `json:"silent"`
	// Ready counts the nodes that take requests.
	Ready int `json:"ready"`
	// Shards counts the shards of the domain that a node owns.
	Shards          int            `json:"shards"`
	ManifestVersion uint64         `json:"manifest_version"`
	Release         string         `json:"release"`
	LogReachable    bool           `json:"log_reachable"`
	TasksByState    map[string]int `json:"tasks_by_state"`
	// PredictedMisses counts the batch tasks that are not expected to end before their deadline.
	PredictedMisses int `json:"predicted_misses"`
	// Promises give, for each promise, the highest count of breaches that a node of the domain has seen.
	Promises []operator.Promise `json:"promises"`
}

func newStatusCommand(o *options) *cobra.Command {
	var check bool
	command := &cobra.Command{
		Use:   "status",
		Short: "Report each failure domain: nodes, manifest, tasks, promises kept and broken",
		Args:  exitcode.Arguments(cobra.NoArgs),
		RunE:  func(c *cobra.Command, _ []string) error { return showStatus(c, o, check) },
	}
	command.Flags().BoolVar(&check, "check", false, "exit with 6 when a promise is broken, a domain is silent or not ready, or the log is out of reach")
	return command
}

func showStatus(c *cobra.Command, o *options, check bool) error {
	deployment, err := o.discover(c.Context())
	if err != nil {
		return err
	}
	domains := joinStatus(c.Context(), deployment)
	if err := printStatus(c, o, domains); err != nil {
		return err
	}
	if faults := findFaults(domains); check && len(faults) > 0 {
		return exitcode.NotHealthy("%s", strings.Join(faults, "; "))
	}
	return nil
}

// joinStatus asks all nodes and joins the answers by failure domain.
func joinStatus(ctx context.Context, deployment *operator.Deployment) []domainStatus {
	index := make(map[string]int)
	var domains []domainStatus
	for _, name := range deployment.Domains() {
		index[name] = len(domains)
		domains = append(domains, domainStatus{FailureDomain: name, Nodes: []operator.Status{}, Silent: []string{}, TasksByState: map[string]int{}})
	}
	for _, n := range deployment.Missing(time.Now()) {
		d := &domains[index[n.FailureDomain]]
		d.Silent = append(d.Silent, n.Node)
	}
	question := func(ctx context.Context, client *operator.Client) (operator.Status, error) { return client.Status(ctx) }
	for _, a := range operator.AskNodes(ctx, deployment, question) {
		d := &domains[index[a.FailureDomain]]
		switch {
		case a.Err == nil:
			d.add(a.Value)
		case !a.Leaving:
			d.Silent = append(d.Silent, a.Node)
		}
	}
	return domains
}

// add joins the report of one node. Each node counts the tasks of the shards that it owns.
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
	for _, p := range s.Promises {
		i := slices.IndexFunc(d.Promises, func(known operator.Promise) bool { return known.Name == p.Name })
		if i < 0 {
			d.Promises = append(d.Promises, p)
			continue
		}
		known := &d.Promises[i]
		known.Broken = max(known.Broken, p.Broken)
		if p.LastBroken.After(known.LastBroken) {
			known.LastBroken, known.LastCase = p.LastBroken, p.LastCase
		}
	}
}

// findFaults returns what makes the deployment unhealthy.
func findFaults(domains []domainStatus) []string {
	var faults []string
	for _, d := range domains {
		if d.Ready == 0 {
			faults = append(faults, fmt.Sprintf("failure domain %s has no ready node", d.FailureDomain))
		}
		if len(d.Silent) > 0 {
			faults = append(faults, fmt.Sprintf("failure domain %s: %s silent", d.FailureDomain, strings.Join(d.Silent, ", ")))
		}
		if d.Shards < failuredomain.Shards {
			faults = append(faults, fmt.Sprintf("failure domain %s: %d of %d shards are owned", d.FailureDomain, d.Shards, failuredomain.Shards))
		}
		if len(d.Nodes) > 0 && !d.LogReachable {
			faults = append(faults, fmt.Sprintf("failure domain %s cannot reach the log", d.FailureDomain))
		}
		for _, p := range d.Promises {
			if p.Broken > 0 {
				faults = append(faults, fmt.Sprintf("failure domain %s: promise %s broken %d times", d.FailureDomain, p.Name, p.Broken))
			}
		}
	}
	return faults
}

func printStatus(c *cobra.Command, o *options, domains []domainStatus) error {
	rows := make([][]string, len(domains))
	for i, d := range domains {
		log := "reachable"
		if !d.LogReachable {
			log = "out of reach"
		}
		rows[i] = []string{
			d.FailureDomain,
			fmt.Sprintf("%d of %d", d.Ready, len(d.Nodes)+len(d.Silent)),
			orDash(strings.Join(d.Silent, ",")),
			fmt.Sprintf("%d %s", d.ManifestVersion, d.Release),
			log,
			fmt.Sprintf("%d of %d", d.Shards, failuredomain.Shards),
			countsByState(d.TasksByState),
			fmt.Sprint(d.PredictedMisses),
		}
	}
	header := []string{"DOMAIN", "READY", "SILENT", "MANIFEST", "LOG", "SHARDS OWNED", "TASKS", "EXPECTED LATE"}
	if err := o.print(c.OutOrStdout(), domains, header, rows); err != nil || o.output == outputJSON {
		return err
	}
	c.Println()
	return printPromises(c, domains)
}

// countsByState returns the counts in the order of the states' names.
func countsByState(counts map[string]int) string {
	states := make([]string, 0, len(counts))
	for state := range counts {
		states = append(states, state)
	}
	slices.Sort(states)
	parts := make([]string, len(states))
	for i, state := range states {
		parts[i] = fmt.Sprintf("%d %s", counts[state], state)
	}
	return orDash(strings.Join(parts, ", "))
}

func printPromises(c *cobra.Command, domains []domainStatus) error {
	header := []string{"PROMISE"}
	var names []string
	texts := make(map[string]string)
	for _, d := range domains {
		header = append(header, d.FailureDomain)
		for _, p := range d.Promises {
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
			row = append(row, promiseCell(d, name))
		}
		rows = append(rows, row)
	}
	return trace.Wrap(printTable(c.OutOrStdout(), header, rows))
}

func promiseCell(d domainStatus, name string) string {
	for _, p := range d.Promises {
		switch {
		case p.Name != name:
			continue
		case !p.Watched:
			return "not watched"
		case p.Broken == 0:
			return "kept"
		default:
			return fmt.Sprintf("broken %d times, last %s %s", p.Broken, p.LastBroken.Format("15:04:05"), p.LastCase)
		}
	}
	return "no answer"
}
