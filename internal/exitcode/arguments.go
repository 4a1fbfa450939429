package exitcode

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// UsageArgs returns a check of positional arguments that marks the errors of check as usage errors.
func UsageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return UsageError(err)
		}
		return nil
	}
}

// Group turns c into a command that only groups subcommands: without a subcommand, or with an unknown one,
// it fails with a usage error.
func Group(c *cobra.Command) *cobra.Command {
	c.Args = UsageArgs(cobra.NoArgs)
	c.RunE = func(c *cobra.Command, _ []string) error {
		return UsageError(missingSubcommand(c))
	}
	return c
}

func missingSubcommand(c *cobra.Command) error {
	names := make([]string, 0, len(c.Commands()))
	for _, sub := range c.Commands() {
		names = append(names, sub.Name())
	}
	return fmt.Errorf("%q requires one of the subcommands %s", c.CommandPath(), strings.Join(names, ", "))
}
