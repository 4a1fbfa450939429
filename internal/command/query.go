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

// queryDomains queries the nodes of a failure domain, or of all domains if domain is "", and returns the
// successful answers. It writes a line to warnings for each domain in which no node answers, and returns an
// error if there is no answer at all.
func queryDomains[T any](ctx context.Context, o *options, domain string, warnings io.Writer, query func(context.Context, *operator.Client) (T, error)) ([]operator.NodeResult[T], error) {
	deployment, err := o.discover(ctx)
	if err != nil {
		return nil, err
	}
	if domain != "" {
		if deployment, err = filterDomain(deployment, domain); err != nil {
			return nil, err
		}
	}
	var answers []operator.NodeResult[T]
	answered := make(map[string]bool)
	for _, a := range operator.QueryNodes(ctx, deployment, query) {
		if a.Err == nil {
			answers = append(answers, a)
			answered[a.FailureDomain] = true
		}
	}
	silent := slices.DeleteFunc(deployment.Domains(), func(name string) bool { return answered[name] })
	if len(answers) == 0 {
		return nil, trace.ConnectionProblem(nil, "no node answers in these failure domains: %s; list the nodes with: cactuswall nodes", strings.Join(silent, ", "))
	}
	for _, name := range silent {
		_, _ = fmt.Fprintf(warnings, "failure domain %s is omitted: none of its nodes answered\n", name)
	}
	return answers, nil
}

// filterDomain returns a copy of the deployment with only the nodes of one failure domain.
func filterDomain(d *operator.Deployment, domain string) (*operator.Deployment, error) {
	filtered := *d
	filtered.Nodes = nil
	for _, n := range d.Nodes {
		if n.FailureDomain == domain {
			filtered.Nodes = append(filtered.Nodes, n)
		}
	}
	if len(filtered.Nodes) == 0 {
		return nil, trace.NotFound("there are no nodes in failure domain %q; the known failure domains are %s", domain, strings.Join(d.Domains(), ", "))
	}
	return &filtered, nil
}
