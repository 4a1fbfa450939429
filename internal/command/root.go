// Package command holds the commands of the operators' client, one file a command.
//
// No command places work: operators publish a manifest and read reports.
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
	// nodesVariable is the environment variable that holds operator addresses, separated by commas.
	nodesVariable = "CACTUSWALL_NODES"
	// reportTimeout bounds one report of a node.
	reportTimeout = 5 * time.Second
	// decisionTimeout bounds the decision on a publication. It exceeds the node's own wait.
	decisionTimeout = 15 * time.Second
)

// options are the flags that every command shares.
type options struct {
	nodes  []string
	output string
}

// check refuses flags that no command can work with, before anything is asked of a node.
func (o *options) check(*cobra.Command, []string) error {
	if o.output != outputTable && o.output != outputJSON {
		return exitcode.Usage(fmt.Errorf("--output is %q, want table or json", o.output))
	}
	if len(o.nodes) == 0 {
		return exitcode.Usage(fmt.Errorf("--node names no address; give one or more as IP:PORT"))
	}
	for _, address := range o.nodes {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return exitcode.Usage(fmt.Errorf("--node %q is not an IP number with a port, such as %s", address, defaultNode))
		}
	}
	return nil
}

// discover finds the nodes of the deployment.
func (o *options) discover(ctx context.Context) (*operator.Deployment, error) {
	return operator.Discover(ctx, o.nodes, &http.Client{Timeout: reportTimeout})
}

// first returns a client for the first of the addresses that answers, with its status.
func (o *options) first(ctx context.Context) (*operator.Client, operator.Status, error) {
	var failures []string
	for _, address := range o.nodes {
		client := operator.NewClient(address, &http.Client{Timeout: decisionTimeout})
		status, err := client.Status(ctx)
		if err == nil {
			return client, status, nil
		}
		failures = append(failures, trace.UserMessage(err))
	}
	return nil, operator.Status{}, trace.ConnectionProblem(nil, "%s; name nodes that are up with --node IP:PORT", strings.Join(failures, "; "))
}

// Execute runs the command line until ctx ends and returns the exit code of the process.
func Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, exitcode.Message("cactuswall", err))
	}
	return exitcode.Of(err)
}

func newRoot() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:               "cactuswall",
		Short:             "Publish manifests to the cactuswall scheduler and read its reports",
		Long:              "Publish manifests to the cactuswall scheduler and read its reports.\n\n" + exitcode.Help,
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: o.check,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitcode.Usage(err) })
	root.PersistentFlags().StringSliceVar(&o.nodes, "node", defaultNodes(),
		"operator addresses of nodes, IP:port, tried in order; the others are found through them ($"+nodesVariable+")")
	root.PersistentFlags().StringVar(&o.output, "output", outputTable, "table or json")
	root.AddCommand(
		newManifestCommand(o), newStatusCommand(o), newTasksCommand(o), newWorkersCommand(o),
		newEndpointsCommand(o), newNodesCommand(o), newExplainCommand(o), newTraceCommand(o), newVersionCommand(),
	)
	return root
}

// defaultNodes returns the addresses from the environment, or that of the development deployment.
func defaultNodes() []string {
	if value := os.Getenv(nodesVariable); value != "" {
		return strings.Split(value, ",")
	}
	return []string{defaultNode}
}
