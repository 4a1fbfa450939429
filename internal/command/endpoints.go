package command

import (
	"context"

	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/operator"
)

func newEndpointsCommand(o *options) *cobra.Command {
	var service, domain string
	command := &cobra.Command{
		Use:   "endpoints",
		Short: "List the endpoints as reported by the nodes of their own failure domain",
		Args:  exitcode.UsageArgs(cobra.NoArgs),
		RunE:  func(c *cobra.Command, _ []string) error { return listEndpoints(c, o, service, domain) },
	}
	command.Flags().StringVar(&service, "service", "", "only this service")
	command.Flags().StringVar(&domain, "domain", "", "only this failure domain")
	return command
}

func listEndpoints(c *cobra.Command, o *options, service, domain string) error {
	query := func(ctx context.Context, client *operator.Client) ([]endpoint.Info, error) {
		return client.Endpoints(ctx)
	}
	answers, err := queryDomains(c.Context(), o, domain, c.ErrOrStderr(), query)
	if err != nil {
		return err
	}
	endpoints := []endpoint.Info{}
	index := make(map[string]int)
	for _, a := range answers {
		for _, e := range a.Value {
			if e.FailureDomain != a.FailureDomain || (service != "" && e.Service != service) {
				continue
			}
			if i, known := index[e.ID]; known {
				endpoints[i].Leaving = endpoints[i].Leaving || e.Leaving
				continue
			}
			index[e.ID] = len(endpoints)
			endpoints = append(endpoints, e)
		}
	}
	rows := make([][]string, len(endpoints))
	for i, e := range endpoints {
		state := "live"
		if e.Leaving {
			state = "leaving"
		}
		rows[i] = []string{e.FailureDomain, e.Service, e.ID, e.Address, state}
	}
	return o.print(c.OutOrStdout(), endpoints, []string{"DOMAIN", "SERVICE", "ENDPOINT", "ADDRESS", "STATE"}, rows)
}
