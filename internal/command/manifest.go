package command

import (
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/strictjson"
)

func newManifestCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "manifest", Short: "Check, publish or show the manifest"}
	command.AddCommand(newManifestCheckCommand(o), newManifestPublishCommand(o), newManifestShowCommand(o))
	return exitcode.Group(command)
}

// manifestSummary is the output of the check command for a valid manifest.
type manifestSummary struct {
	Release  string `json:"release"`
	Services int    `json:"services"`
	Jobs     int    `json:"jobs"`
	Teams    int    `json:"teams"`
	// Tasks is the number of service instances and batch tasks.
	Tasks int `json:"tasks"`
}

func newManifestCheckCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a manifest and report all problems",
		Args:  exitcode.UsageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			m, _, err := readManifest(args[0])
			if err != nil {
				return reportProblems(c, o, err)
			}
			if o.output == outputJSON {
				return printJSON(c.OutOrStdout(), summarize(m))
			}
			c.Printf("%s: valid manifest for release %s: %d services, %d jobs, %d teams, %d tasks\n",
				args[0], m.Release, len(m.Services), len(m.Jobs), len(m.Teams), summarize(m).Tasks)
			return nil
		},
	}
}

// reportProblems prints the problems of a document if the output format is JSON. It returns err, or the
// error of printing.
func reportProblems(c *cobra.Command, o *options, err error) error {
	if problems, ok := err.(strictjson.Problems); ok && o.output == outputJSON {
		if printErr := printJSON(c.OutOrStdout(), problems); printErr != nil {
			return printErr
		}
	}
	return err
}

func summarize(m *manifest.Manifest) manifestSummary {
	s := manifestSummary{Release: m.Release, Services: len(m.Services), Jobs: len(m.Jobs), Teams: len(m.Teams)}
	for i := range m.Services {
		s.Tasks += m.Services[i].Instances
	}
	for i := range m.Jobs {
		s.Tasks += m.Jobs[i].Tasks
	}
	return s
}

// readManifest reads and parses the manifest in the file at path, or on standard input if path is "-". It
// reads at most one byte more than the maximum size, which is enough for the parser to reject a larger
// document.
func readManifest(path string) (*manifest.Manifest, []byte, error) {
	file := os.Stdin
	if path != "-" {
		var err error
		if file, err = os.Open(path); err != nil {
			return nil, nil, trace.ConvertSystemError(err)
		}
		defer func() { _ = file.Close() }()
	}
	data, err := io.ReadAll(io.LimitReader(file, manifest.MaxDocumentBytes+1))
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	m, err := manifest.Parse(data)
	return m, data, err
}

func newManifestShowCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Show the active manifest, as JSON that can be published again",
		Args:  exitcode.UsageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			client, _, err := o.firstReachable(c.Context())
			if err != nil {
				return err
			}
			m, err := client.Manifest(c.Context())
			if err != nil {
				return err
			}
			if o.output == outputJSON {
				return printJSON(c.OutOrStdout(), m)
			}
			text, err := indentDocument(m.Document)
			if err != nil {
				return err
			}
			c.Printf("// version %d, release %s\n%s\n", m.Version, m.Release, text)
			return nil
		},
	}
}
