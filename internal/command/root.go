// Package command holds the commands of the operators' client, one file a command.
//
// No command places work: operators publish a manifest and read reports.
package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/operator"
)

// defaultNode is the operator address of the first node of the development deployment.
const defaultNode = "127.0.0.1:7402"

// requestTimeout bounds one request to a node.
const requestTimeout = 30 * time.Second

// options are the flags that every command shares.
type options struct {
	node   string
	output string
}

func (o *options) client() *operator.Client {
	return operator.NewClient(o.node, &http.Client{Timeout: requestTimeout})
}

// Execute runs the command line and returns the exit code of the process.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(context.Background())
	if err != nil {
		_, _ = fmt.Fprintln(stderr, exitcode.Message("cactuswall", err))
	}
	return exitcode.Of(err)
}

func newRoot() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:           "cactuswall",
		Short:         "Publish manifests to the cactuswall scheduler and read its reports",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitcode.Usage(err) })
	root.PersistentFlags().StringVar(&o.node, "node", defaultNode, "operator address of a node, IP:port")
	root.PersistentFlags().StringVar(&o.output, "output", outputTable, "table or json")
	root.AddCommand(newManifestCommand(o), newStatusCommand(o), newTasksCommand(o), newVersionCommand())
	return root
}
