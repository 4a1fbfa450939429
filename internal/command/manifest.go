package command

import (
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/strictjson"
	"cactuswall.example/cactuswall/platform"
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
	var against string
	command := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a manifest, or the platform's configuration, and report all problems",
		Long:  checkHelp,
		Args:  exitcode.UsageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if against != "" {
				return checkAgainst(c, o, args[0], against)
			}
			text, err := readDocument(args[0])
			if err != nil {
				return err
			}
			if platform.IsConfig(text) {
				return checkConfig(c, o, args[0], text, "")
			}
			m, err := manifest.Parse(text)
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
	command.Flags().StringVar(&against, "against", "", "what the document is to replace: a file, or http://IP:PORT of a node (of the platform: of the store)")
	return command
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

// readDocument reads the file at path, or standard input if path is "-". It reads at most one byte more than the maximum
// size of a manifest, which is enough for the parser to reject a larger document.
func readDocument(path string) ([]byte, error) {
	file := os.Stdin
	if path != "-" {
		var err error
		if file, err = os.Open(path); err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		defer func() { _ = file.Close() }()
	}
	data, err := io.ReadAll(io.LimitReader(file, manifest.MaxDocumentBytes+1))
	return data, trace.ConvertSystemError(err)
}

// readManifest reads and parses a manifest; see readDocument.
func readManifest(path string) (*manifest.Manifest, []byte, error) {
	data, err := readDocument(path)
	if err != nil {
		return nil, nil, err
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
