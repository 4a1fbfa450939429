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
	// defaultPublishTimeout bounds the wait until all nodes report a manifest in force.
	defaultPublishTimeout = 30 * time.Second
	// progressPeriod is the time between two looks at the nodes.
	progressPeriod = 200 * time.Millisecond
)

// publishFlags are the flags of manifest publish.
type publishFlags struct {
	replaces uint64
	timeout  time.Duration
}

// publishResult is what publish reports once it knows the decision.
type publishResult struct {
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version"`
	Because  string `json:"because,omitempty"`
	// InForce counts the nodes that report the version in force, Waiting names the others.
	InForce int      `json:"in_force"`
	Waiting []string `json:"waiting"`
}

func newManifestPublishCommand(o *options) *cobra.Command {
	var flags publishFlags
	command := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a manifest and wait until the nodes report it in force",
		Long: `Publish a manifest and wait until the nodes report it in force. FILE may be "-" for the standard input.

A publication names the version that it replaces. When another publication has replaced that version first,
this one is not accepted and nothing changes. Without --replaces the version is the one in force when the
command starts.`,
		Args: exitcode.Arguments(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if flags.timeout <= 0 {
				return exitcode.Usage(fmt.Errorf("--timeout must be greater than 0, is %s", flags.timeout))
			}
			return publish(c, o, args[0], flags)
		},
	}
	command.Flags().Uint64Var(&flags.replaces, "replaces", 0, "version that the manifest was generated against (default: the one in force)")
	command.Flags().DurationVar(&flags.timeout, "timeout", defaultPublishTimeout, "how long to wait until all nodes report it in force")
	return command
}

func publish(c *cobra.Command, o *options, file string, flags publishFlags) error {
	m, data, err := readManifest(file)
	if err != nil {
		return reportProblems(c, o, err)
	}
	client, status, err := o.first(c.Context())
	if err != nil {
		return err
	}
	replaces := status.ManifestVersion
	if c.Flags().Changed("replaces") {
		replaces = flags.replaces
	}
	c.PrintErrf("publishing release %s in place of version %d through node %s\n", m.Release, replaces, status.Node)
	decision, err := client.Publish(c.Context(), operator.Publication{Document: string(data), Replaces: replaces})
	if err != nil {
		return err
	}
	result := publishResult{Accepted: decision.Accepted, Version: decision.Version, Because: decision.Because, Waiting: []string{}}
	if err := checkDecision(decision, replaces); err != nil {
		return reportResult(c, o, result, err)
	}
	c.PrintErrf("accepted as version %d\n", decision.Version)
	err = awaitInForce(c, o, &result, flags.timeout)
	return reportResult(c, o, result, err)
}

// checkDecision returns what an operator has to know about a publication that was not accepted.
func checkDecision(d operator.Decision, replaces uint64) error {
	switch {
	case !d.Known:
		return trace.ConnectionProblem(nil, "the decision is not known: %s; run the same command again with --replaces %d: "+
			"at most one of the two publications is accepted", d.Because, replaces)
	case d.Accepted:
		return nil
	case d.Version != replaces:
		return trace.CompareFailed("not accepted, because version %d is in force and the publication replaces version %d; "+
			"look at it with: cactuswall manifest show; then publish with --replaces %d", d.Version, replaces, d.Version)
	default:
		return trace.CompareFailed("not accepted, because: %s; version %d stays in force", d.Because, d.Version)
	}
}

// reportResult prints the result as JSON, or in a line when there is no error.
func reportResult(c *cobra.Command, o *options, result publishResult, err error) error {
	if o.output == outputJSON {
		if printErr := printJSON(c.OutOrStdout(), result); printErr != nil {
			return printErr
		}
		return err
	}
	if err == nil {
		c.Printf("version %d is in force on all %d nodes\n", result.Version, result.InForce)
	}
	return err
}

// awaitInForce waits until every node that is not taken for dead reports the version in force.
func awaitInForce(c *cobra.Command, o *options, result *publishResult, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(c.Context(), timeout)
	defer cancel()
	last := -1
	for {
		if deployment, err := o.discover(ctx); err == nil {
			result.look(ctx, deployment)
			if result.InForce != last {
				c.PrintErrf("in force on %d of %d nodes\n", result.InForce, result.InForce+len(result.Waiting))
				last = result.InForce
			}
			if result.InForce > 0 && len(result.Waiting) == 0 {
				return nil
			}
		}
		select {
		case <-time.After(progressPeriod):
		case <-ctx.Done():
			return exitcode.NotHealthy("version %d is accepted but not yet reported in force by: %s; it comes in force there "+
				"once they reach the log or a peer; look again with: cactuswall nodes", result.Version, strings.Join(result.Waiting, ", "))
		}
	}
}

// look asks all nodes for the version in force.
func (r *publishResult) look(ctx context.Context, deployment *operator.Deployment) {
	question := func(ctx context.Context, client *operator.Client) (operator.Status, error) { return client.Status(ctx) }
	r.InForce = 0
	r.Waiting = []string{}
	for _, a := range operator.AskNodes(ctx, deployment, question) {
		switch {
		case a.Err == nil && a.Value.ManifestVersion >= r.Version:
			r.InForce++
		case a.Err == nil || !a.Leaving:
			r.Waiting = append(r.Waiting, a.Node)
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
