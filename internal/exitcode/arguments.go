package exitcode

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// Arguments marks the errors of check as faults of the command line.
func Arguments(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return Usage(err)
		}
		return nil
	}
}

// Group makes a command that only has subcommands: called without one, or with an unknown one, it fails.
func Group(c *cobra.Command) *cobra.Command {
	c.Args = Arguments(cobra.NoArgs)
	c.RunE = func(c *cobra.Command, _ []string) error {
		return Usage(missingSubcommand(c))
	}
	return c
}

func missingSubcommand(c *cobra.Command) error {
	names := make([]string, 0, len(c.Commands()))
	for _, sub := range c.Commands() {
		names = append(names, sub.Name())
	}
	return fmt.Errorf("%q needs one of the subcommands %s", c.CommandPath(), strings.Join(names, ", "))
}
