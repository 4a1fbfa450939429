package command

import (
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/operator"
)

// evacuateAttempts is how often evacuate publishes if other publications become active meanwhile.
const evacuateAttempts = 4

func newEvacuateCommand(o *options) *cobra.Command {
	var undo bool
	var timeout time.Duration
	command := &cobra.Command{
		Use:   "evacuate DOMAIN",
		Short: "Start no more tasks in a failure domain, or with --undo start tasks there again",
		Long: `Start no more tasks in a failure domain, or with --undo start tasks there again. What runs there goes on.

The request is part of the manifest: the command publishes the active manifest with the field "evacuated" of the
failure domain changed, and waits until it is active on the nodes. cactuswall status shows the request.`,
		Args: exitcode.UsageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if timeout <= 0 {
				return exitcode.UsageError(fmt.Errorf("--timeout must be greater than 0, is %s", timeout))
			}
			return evacuate(c, o, args[0], !undo, timeout)
		},
	}
	command.Flags().BoolVar(&undo, "undo", false, "withdraw the request")
	command.Flags().DurationVar(&timeout, "timeout", defaultPublishTimeout, "how long to wait until the request is active on all nodes")
	return command
}

// evacuate publishes the active manifest with the request for a failure domain, and waits until it is active.
func evacuate(c *cobra.Command, o *options, domain string, evacuated bool, timeout time.Duration) error {
	client, _, err := o.firstReachable(c.Context())
	if err != nil {
		return err
	}
	result := publishResult{InactiveNodes: []string{}}
	for attempt := 1; ; attempt++ {
		active, document, err := withEvacuation(c, client, domain, evacuated)
		if err != nil {
			return err
		}
		if document == "" { // a repeated request only waits
			result.Accepted, result.Version = true, active.Version
			break
		}
		decision, err := client.Publish(c.Context(), operator.Publication{Document: document, Replaces: active.Version})
		if err != nil {
			return err
		}
		result.Accepted, result.Version, result.Reason = decision.Accepted, decision.Version, decision.Reason
		overtaken := decision.Known && !decision.Accepted && decision.Version != active.Version
		if overtaken && attempt < evacuateAttempts {
			c.PrintErrf("version %d became active meanwhile, trying again\n", decision.Version)
			continue
		}
		if err := decisionError(decision, active.Version); err != nil {
			return reportResult(c, o, result, err)
		}
		break
	}
	return reportResult(c, o, result, waitUntilActive(c, o, &result, timeout))
}

// withEvacuation returns the active manifest, and the document in which a failure domain is evacuated or not. The document is empty
// if the active manifest says so already.
func withEvacuation(c *cobra.Command, client *operator.Client, domain string, evacuated bool) (operator.Manifest, string, error) {
	active, err := client.Manifest(c.Context())
	if err != nil {
		return active, "", err
	}
	m, err := manifest.Parse([]byte(active.Document))
	if err != nil {
		return active, "", err
	}
	changed, known := m.SetEvacuated(domain, evacuated)
	if !known {
		return active, "", trace.NotFound("failure domain %q is not declared in the manifest; it declares: %v", domain, m.DomainNames())
	}
	if !changed {
		return active, "", nil
	}
	document, err := m.Encode()
	return active, string(document), trace.Wrap(err)
}

// checkEvacuationsKept returns an error if the publication of a manifest would end an evacuation, which a generated manifest does
// not know of.
func checkEvacuationsKept(m *manifest.Manifest, evacuated []string) error {
	for _, domain := range evacuated {
		if slices.Contains(m.DomainNames(), domain) && !m.Evacuated(domain) {
			return trace.CompareFailed("rejected: failure domain %s is evacuated, and the manifest would end that; "+
				"set \"evacuated\": true there, or publish with --end-evacuations", domain)
		}
	}
	return nil
}
