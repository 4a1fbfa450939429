package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/operator"
)

const (
	// defaultPublishTimeout is the maximum time to wait until all nodes report that a manifest is active.
	defaultPublishTimeout = 30 * time.Second
	// pollInterval is the time between two polls of the nodes.
	pollInterval = 200 * time.Millisecond
)

// publishFlags holds the flags of the manifest publish command.
type publishFlags struct {
	replaces       uint64
	timeout        time.Duration
	endEvacuations bool
}

// publishResult is the output of the manifest publish command.
type publishResult struct {
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version"`
	Reason   string `json:"because,omitempty"`
	// ActiveNodes is the number of nodes on which the version is active, InactiveNodes the names of the nodes on
	// which it is not active or that did not answer.
	ActiveNodes   int      `json:"in_force"`
	InactiveNodes []string `json:"waiting"`
}

func newManifestPublishCommand(o *options) *cobra.Command {
	var flags publishFlags
	command := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a manifest and wait until it is active on the nodes",
		Long: `Publish a manifest and wait until it is active on the nodes. FILE may be "-" for standard input.

A publication names the version that it replaces. If another publication has already replaced that version,
this one is rejected and nothing changes. Without --replaces, the version to replace is the one that is active
when the command starts.`,
		Args: exitcode.UsageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if flags.timeout <= 0 {
				return exitcode.UsageError(fmt.Errorf("--timeout must be greater than 0, is %s", flags.timeout))
			}
			return publish(c, o, args[0], flags)
		},
	}
	command.Flags().Uint64Var(&flags.replaces, "replaces", 0, "version that the manifest was generated against (default: the active version)")
	command.Flags().BoolVar(&flags.endEvacuations, "end-evacuations", false, "publish even if that ends the evacuation of a failure domain")
	command.Flags().DurationVar(&flags.timeout, "timeout", defaultPublishTimeout, "how long to wait until the manifest is active on all nodes")
	return command
}

func publish(c *cobra.Command, o *options, file string, flags publishFlags) error {
	m, data, err := readManifest(file)
	if err != nil {
		return reportProblems(c, o, err)
	}
	client, status, err := o.firstReachable(c.Context())
	if err != nil {
		return err
	}
	if !flags.endEvacuations {
		if err := checkEvacuationsKept(m, status.Evacuated); err != nil {
			return err
		}
	}
	replaces := status.ManifestVersion
	if c.Flags().Changed("replaces") {
		replaces = flags.replaces
	}
	c.PrintErrf("publishing release %s to replace version %d through node %s\n", m.Release, replaces, status.Node)
	decision, err := client.Publish(c.Context(), operator.Publication{Document: string(data), Replaces: replaces})
	if err != nil {
		return err
	}
	result := publishResult{Accepted: decision.Accepted, Version: decision.Version, Reason: decision.Reason, InactiveNodes: []string{}}
	if err := decisionError(decision, replaces); err != nil {
		return reportResult(c, o, result, err)
	}
	c.PrintErrf("accepted as version %d\n", decision.Version)
	err = waitUntilActive(c, o, &result, flags.timeout)
	return reportResult(c, o, result, err)
}

// decisionError returns an error that explains to the operator why a publication was rejected or its outcome
// is unknown, or nil if it was accepted.
func decisionError(d operator.Decision, replaces uint64) error {
	switch {
	case !d.Known:
		return trace.ConnectionProblem(nil, "the outcome of the publication is unknown: %s; run the same command again with --replaces %d: "+
			"at most one of the two publications is accepted", d.Reason, replaces)
	case d.Accepted:
		return nil
	case d.Version != replaces:
		return trace.CompareFailed("rejected: version %d is active, but the publication replaces version %d; "+
			"review the active version with: cactuswall manifest show; then publish with --replaces %d", d.Version, replaces, d.Version)
	default:
		return trace.CompareFailed("rejected: %s; version %d stays active", d.Reason, d.Version)
	}
}

// reportResult prints the result as JSON, or as one line if err is nil. It returns err, or the error of
// printing.
func reportResult(c *cobra.Command, o *options, result publishResult, err error) error {
	if o.output == outputJSON {
		if printErr := printJSON(c.OutOrStdout(), result); printErr != nil {
			return printErr
		}
		return err
	}
	if err == nil {
		c.Printf("version %d is active on all %d nodes\n", result.Version, result.ActiveNodes)
	}
	return err
}

// waitUntilActive polls the nodes until the version is active on every node, apart from nodes considered dead,
// nodes without an operator address and leaving nodes that do not answer.
func waitUntilActive(c *cobra.Command, o *options, result *publishResult, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(c.Context(), timeout)
	defer cancel()
	lastActive := -1
	for {
		if deployment, err := o.discover(ctx); err == nil {
			result.pollNodes(ctx, deployment)
			if result.ActiveNodes != lastActive {
				c.PrintErrf("active on %d of %d nodes\n", result.ActiveNodes, result.ActiveNodes+len(result.InactiveNodes))
				lastActive = result.ActiveNodes
			}
			if result.ActiveNodes > 0 && len(result.InactiveNodes) == 0 {
				return nil
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return exitcode.Unhealthyf("version %d is accepted but not yet active on: %s; it becomes active there "+
				"once they reach the log or a peer; check again with: cactuswall nodes", result.Version, strings.Join(result.InactiveNodes, ", "))
		}
	}
}

// pollNodes queries the active version of the nodes and updates ActiveNodes, the number of nodes on which the
// version is active, and InactiveNodes, the names of the others. It leaves out nodes considered dead, nodes
// without an operator address and leaving nodes that do not answer.
func (r *publishResult) pollNodes(ctx context.Context, deployment *operator.Deployment) {
	query := func(ctx context.Context, client *operator.Client) (operator.Status, error) { return client.Status(ctx) }
	r.ActiveNodes = 0
	r.InactiveNodes = []string{}
	for _, a := range operator.QueryNodes(ctx, deployment, query) {
		switch {
		case a.Err == nil && a.Value.ManifestVersion >= r.Version:
			r.ActiveNodes++
		case a.Err == nil || !a.Leaving:
			r.InactiveNodes = append(r.InactiveNodes, a.Node)
		}
	}
}

func indentDocument(document string) (string, error) {
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(document), "", "  "); err != nil {
		return "", trace.Wrap(err)
	}
	return indented.String(), nil
}
