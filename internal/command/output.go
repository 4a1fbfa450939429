package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/exitcode"
)

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// tabPadding is the number of spaces between two columns.
const tabPadding = 2

// print writes value as JSON, or as a table of header and rows.
func (o *options) print(w io.Writer, value any, header []string, rows [][]string) error {
	switch o.output {
	case outputJSON:
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(value))
	case outputTable:
		return printTable(w, header, rows)
	default:
		return exitcode.Usage(fmt.Errorf("--output is %q, want table or json", o.output))
	}
}

func printTable(w io.Writer, header []string, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return trace.Wrap(table.Flush())
}
