package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/joblog"
)

func newTraceCommand(o *options) *cobra.Command {
	var files []string
	command := &cobra.Command{
		Use:   "trace ID",
		Short: "Show the history of a job from the logs of the nodes",
		Long:  "Show the history of the job with this ID from the logs of the nodes. The logs are read from files or from standard input.",
		Args:  exitcode.UsageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			logs, closeAll, err := openLogs(files, c.InOrStdin())
			if err != nil {
				return err
			}
			defer closeAll()
			timeline, err := joblog.Read(args[0], logs...)
			if err != nil {
				return trace.Wrap(err)
			}
			if len(timeline.Events) == 0 {
				return trace.NotFound("no log line mentions job %s", args[0])
			}
			return o.printTimeline(c.OutOrStdout(), timeline)
		},
	}
	command.Flags().StringSliceVar(&files, "log", nil, "log files to read (default: standard input)")
	return command
}

func openLogs(files []string, stdin io.Reader) (logs []io.Reader, closeAll func(), err error) {
	if len(files) == 0 {
		return []io.Reader{stdin}, func() {}, nil
	}
	var opened []*os.File
	closeAll = func() {
		for _, f := range opened {
			_ = f.Close() // read only
		}
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, trace.ConvertSystemError(err)
		}
		opened = append(opened, f)
		logs = append(logs, f)
	}
	return logs, closeAll, nil
}

func (o *options) printTimeline(w io.Writer, t *joblog.Timeline) error {
	var rows [][]string
	for _, e := range t.Events {
		fields, err := json.Marshal(e.Fields)
		if err != nil {
			return trace.Wrap(err)
		}
		rows = append(rows, []string{e.At.UTC().Format("15:04:05.000"), e.Node, e.Message, string(fields)})
	}
	if err := o.print(w, t, []string{"TIME", "NODE", "EVENT", "FIELDS"}, rows); err != nil || o.output == outputJSON {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%s\nUnrecognized lines: %d. Lines of the job omitted because of the limit on kept lines: %d.\n", t.Summary, t.UnparsedLines, t.OmittedLines)
	return trace.Wrap(err)
}
