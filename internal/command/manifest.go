package command

import (
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/operator"
)

func newManifestCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "manifest", Short: "Check, publish or show the manifest"}
	command.AddCommand(newManifestCheckCommand(), newManifestPublishCommand(o), newManifestShowCommand(o))
	return command
}

func newManifestCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a manifest and report every problem",
		Args:  exitcode.Arguments(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			m, _, err := readManifest(args[0])
			if err != nil {
				return err
			}
			c.Printf("%s: valid manifest for release %s: %d services, %d jobs, %d teams\n",
				args[0], m.Release, len(m.Services), len(m.Jobs), len(m.Teams))
			return nil
		},
	}
}

func readManifest(path string) (*manifest.Manifest, []byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	m, err := manifest.Parse(data)
	return m, data, err
}

func newManifestPublishCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a manifest in place of the one in force",
		Args:  exitcode.Arguments(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			_, data, err := readManifest(args[0])
			if err != nil {
				return err
			}
			status, err := o.client().Status(c.Context())
			if err != nil {
				return err
			}
			decision, err := o.client().Publish(c.Context(), operator.Publication{Document: string(data), Replaces: status.ManifestVersion})
			if err != nil {
				return err
			}
			if !decision.Known {
				return trace.ConnectionProblem(nil, "the decision is not known: %s", decision.Because)
			}
			if !decision.Accepted {
				return trace.CompareFailed("not accepted, because: %s; version %d is in force", decision.Because, decision.Version)
			}
			c.Printf("accepted as version %d\n", decision.Version)
			return nil
		},
	}
}

func newManifestShowCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Show the manifest in force",
		Args:  exitcode.Arguments(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			m, err := o.client().Manifest(c.Context())
			if err != nil {
				return err
			}
			c.Println(m.Document)
			return nil
		},
	}
}
