// Package command implements cactuswall, the command-line client for operators.
//
// It publishes manifests to the nodes and prints their reports as tables or JSON. No command places tasks
// directly.
package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/operator"
)

const (
	// defaultNode is the operator address of the first node of the development deployment.
	defaultNode = "127.0.0.1:7402"
	// nodesEnvVar is the environment variable with the default operator addresses, separated by commas.
	nodesEnvVar = "CACTUSWALL_NODES"
	// reportTimeout is the timeout of a request for a report.
	reportTimeout = 5 * time.Second
	// decisionTimeout is the timeout of each request of the client that firstReachable returns, including a
	// publication. It exceeds the time for which the node waits for the decision.
	decisionTimeout = 15 * time.Second
)

// options holds the flags that are common to all commands.
type options struct {
	nodes  []string
	output string
}

// validate checks the common flags before any request is sent to a node.
func (o *options) validate(*cobra.Command, []string) error {
	if o.output != outputTable && o.output != outputJSON {
		return exitcode.UsageError(fmt.Errorf("--output must be table or json, is %q", o.output))
	}
	if len(o.nodes) == 0 {
		return exitcode.UsageError(fmt.Errorf("--node is empty; specify one or more addresses as IP:PORT"))
	}
	for _, address := range o.nodes {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return exitcode.UsageError(fmt.Errorf("--node %q is not an IP address with a port, such as %s", address, defaultNode))
		}
	}
	return nil
}

// discover finds the nodes of the deployment.
func (o *options) discover(ctx context.Context) (*operator.Deployment, error) {
	return operator.Discover(ctx, o.nodes, &http.Client{Timeout: reportTimeout})
}

// firstReachable returns a client for the first of the configured nodes that answers, and the status of that
// node.
func (o *options) firstReachable(ctx context.Context) (*operator.Client, operator.Status, error) {
	var failures []string
	for _, address := range o.nodes {
		client := operator.NewClient(address, &http.Client{Timeout: decisionTimeout})
		status, err := client.Status(ctx)
		if err == nil {
			return client, status, nil
		}
		failures = append(failures, trace.UserMessage(err))
	}
	return nil, operator.Status{}, trace.ConnectionProblem(nil, "%s; specify reachable nodes with --node IP:PORT", strings.Join(failures, "; "))
}

// Execute runs the command line args and returns the exit code of the process. It stops when ctx ends.
func Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, exitcode.Message("cactuswall", err))
	}
	return exitcode.Of(err)
}

func newRootCommand() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:               "cactuswall",
		Short:             "Publish manifests to the cactuswall scheduler and read its reports",
		Long:              "Publish manifests to the cactuswall scheduler and read its reports.\n\n" + exitcode.Help,
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: o.validate,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitcode.UsageError(err) })
	root.PersistentFlags().StringSliceVar(&o.nodes, "node", defaultNodes(),
		"operator addresses of nodes as IP:PORT, tried in order; the other nodes are discovered through them ($"+nodesEnvVar+")")
	root.PersistentFlags().StringVar(&o.output, "output", outputTable, "output format: table or json")
	root.AddCommand(
		newManifestCommand(o), newEvacuateCommand(o), newStatusCommand(o), newTasksCommand(o), newWorkersCommand(o),
		newEndpointsCommand(o), newNodesCommand(o), newExplainCommand(o), newTraceCommand(o), newVersionCommand(),
	)
	return root
}

// defaultNodes returns the addresses from the environment variable nodesEnvVar, or defaultNode if it is not
// set.
func defaultNodes() []string {
	if value := os.Getenv(nodesEnvVar); value != "" {
		return strings.Split(value, ",")
	}
	return []string{defaultNode}
}
