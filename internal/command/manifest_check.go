package command

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/configcheck"
	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/manifestcheck"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/platform"
)

// checkHelp is the help text of manifest check.
const checkHelp = `Check a manifest, or the platform's configuration, and report all problems. FILE may be "-" for standard input.

With --against, the document is also checked for entries that can never match and for limits that contradict each
other, and compared with the active version: a file, or what http://IP:PORT of a node (of the platform: of the store)
says, which also knows workers and running work. Then, and for the platform's configuration, the exit code is
  0  no findings
  1  findings
  2  the check could not be made
Without --against, a manifest that is not valid gives 2.`

// urlPrefix begins the URL of a node or a store.
const urlPrefix = "http://"

// checkAgainst checks a document and compares it with the active one.
func checkAgainst(c *cobra.Command, o *options, file, against string) error {
	text, err := readDocument(file)
	if err != nil {
		return couldNotCheck(err)
	}
	if platform.IsConfig(text) {
		return checkConfig(c, o, file, text, against)
	}
	active, facts, err := activeManifest(c.Context(), against)
	if err != nil {
		return couldNotCheck(err)
	}
	report, err := manifestcheck.Check(file, text, active, facts)
	return printReport(c, o, report, err)
}

// checkConfig checks the platform's configuration and, unless against is empty, compares it with the active one.
func checkConfig(c *cobra.Command, o *options, file string, text []byte, against string) error {
	var active *platform.ActiveConfig
	address, isURL, err := parseURL(against)
	switch {
	case err != nil:
	case isURL:
		active, err = platform.ReadActiveConfig(c.Context(), address)
	case against != "":
		active = &platform.ActiveConfig{Name: against}
		active.Text, err = readDocument(against)
	}
	if err != nil {
		return couldNotCheck(err)
	}
	report, err := platform.CheckConfig(file, text, active)
	return printReport(c, o, report, err)
}

// printReport prints a report and returns the error for its exit code.
func printReport(c *cobra.Command, o *options, report *configcheck.Report, err error) error {
	if err != nil {
		return couldNotCheck(err)
	}
	if o.output == outputJSON {
		err = printJSON(c.OutOrStdout(), report)
	} else {
		err = report.WriteText(c.OutOrStdout())
	}
	if err != nil {
		return couldNotCheck(err)
	}
	if len(report.Findings) > 0 {
		return trace.Errorf("%s: %d findings", report.File, len(report.Findings))
	}
	return nil
}

// couldNotCheck gives an error the exit code for a check that could not be made.
func couldNotCheck(err error) error {
	return exitcode.UsageError(fmt.Errorf("could not check: %s", trace.UserMessage(err)))
}

// parseURL returns the address in a URL of the form http://IP:PORT; isURL is false for the name of a file.
func parseURL(text string) (address string, isURL bool, err error) {
	if !strings.Contains(text, "://") {
		return "", false, nil
	}
	address = strings.TrimSuffix(strings.TrimPrefix(text, urlPrefix), "/")
	if _, err := netip.ParseAddrPort(address); err != nil || !strings.HasPrefix(text, urlPrefix) {
		return "", true, trace.BadParameter("--against %q is neither a file nor of the form http://IP:PORT", text)
	}
	return address, true, nil
}

// activeManifest returns the manifest in a file or of a deployment, and what is known of the deployment.
func activeManifest(ctx context.Context, against string) (*manifestcheck.Active, manifestcheck.Facts, error) {
	address, isURL, err := parseURL(against)
	if err != nil {
		return nil, manifestcheck.Facts{}, err
	}
	if !isURL {
		text, err := readDocument(against)
		missing := "workers, quotas against their capacity, and running work: these are read from a node, --against http://IP:PORT"
		return &manifestcheck.Active{Name: against, Text: text}, manifestcheck.Facts{Missing: missing}, err
	}
	client := &http.Client{Timeout: reportTimeout}
	m, err := operator.NewClient(address, client).Manifest(ctx)
	if err != nil {
		return nil, manifestcheck.Facts{}, err
	}
	deployment, err := operator.Discover(ctx, []string{address}, client)
	if err != nil {
		return nil, manifestcheck.Facts{}, err
	}
	return &manifestcheck.Active{Name: against, Version: int64(m.Version), Text: []byte(m.Document)}, readFacts(ctx, deployment), nil
}

// readFacts asks the nodes of all failure domains for workers and tasks. If the nodes of a domain do not answer, neither is
// known.
func readFacts(ctx context.Context, deployment *operator.Deployment) manifestcheck.Facts {
	workers := operator.QueryNodes(ctx, deployment, func(ctx context.Context, client *operator.Client) ([]operator.Worker, error) {
		return client.Workers(ctx)
	})
	tasks := operator.QueryNodes(ctx, deployment, func(ctx context.Context, client *operator.Client) ([]operator.Task, error) {
		return client.Tasks(ctx)
	})
	silent := append(silentDomains(deployment, workers), silentDomains(deployment, tasks)...)
	if slices.Sort(silent); len(silent) > 0 {
		return manifestcheck.Facts{Missing: "workers and running work: no node answers in failure domain " + strings.Join(slices.Compact(silent), ", ")}
	}
	facts := manifestcheck.Facts{Workers: []manifestcheck.Worker{}, Tasks: []manifestcheck.Task{}}
	for _, w := range mergeWorkers(workers) {
		if w.Leaving {
			continue
		}
		capacity, err := units.ParseResources(w.Capacity)
		facts.Workers = append(facts.Workers, manifestcheck.Worker{FailureDomain: w.FailureDomain, Capacity: capacity, Known: err == nil})
		if err != nil {
			facts.Missing = "sizes and quotas against the capacity of the workers: that of some is not known yet"
		}
	}
	for _, t := range mergeTasks(answered(tasks)) {
		if !task.State(t.State).Final() {
			facts.Tasks = append(facts.Tasks, manifestcheck.Task{ID: t.ID, Team: t.Team, State: t.State})
		}
	}
	return facts
}

// answered returns the results without an error.
func answered[T any](results []operator.NodeResult[T]) []operator.NodeResult[T] {
	return slices.DeleteFunc(slices.Clone(results), func(r operator.NodeResult[T]) bool { return r.Err != nil })
}

// silentDomains returns the failure domains of which no node answered.
func silentDomains[T any](deployment *operator.Deployment, results []operator.NodeResult[T]) []string {
	return slices.DeleteFunc(deployment.Domains(), func(domain string) bool {
		return slices.ContainsFunc(answered(results), func(r operator.NodeResult[T]) bool { return r.FailureDomain == domain })
	})
}
