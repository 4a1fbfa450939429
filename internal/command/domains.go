package command

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/operator"
)

// collect asks the nodes of a failure domain, or of all for "", and returns the answers. Domains of which
// no node answers are named on warnings; when there is no answer at all it fails.
func collect[T any](ctx context.Context, o *options, domain string, warnings io.Writer, question func(context.Context, *operator.Client) (T, error)) ([]operator.Answer[T], error) {
	deployment, err := o.discover(ctx)
	if err != nil {
		return nil, err
	}
	if domain != "" {
		if deployment, err = only(deployment, domain); err != nil {
			return nil, err
		}
	}
	var answers []operator.Answer[T]
	answered := make(map[string]bool)
	for _, a := range operator.AskNodes(ctx, deployment, question) {
		if a.Err == nil {
			answers = append(answers, a)
			answered[a.FailureDomain] = true
		}
	}
	silent := slices.DeleteFunc(deployment.Domains(), func(name string) bool { return answered[name] })
	if len(answers) == 0 {
		return nil, trace.ConnectionProblem(nil, "no node answers in %s; look at them with: cactuswall nodes", strings.Join(silent, ", "))
	}
	for _, name := range silent {
		_, _ = fmt.Fprintf(warnings, "failure domain %s is left out: none of its nodes answers\n", name)
	}
	return answers, nil
}

// only returns the deployment with the nodes of one failure domain.
func only(d *operator.Deployment, domain string) (*operator.Deployment, error) {
	part := *d
	part.Nodes = nil
	for _, n := range d.Nodes {
		if n.FailureDomain == domain {
			part.Nodes = append(part.Nodes, n)
		}
	}
	if len(part.Nodes) == 0 {
		return nil, trace.NotFound("no node stands in failure domain %q; known are %s", domain, strings.Join(d.Domains(), ", "))
	}
	return &part, nil
}
