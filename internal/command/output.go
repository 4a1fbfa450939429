package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// tabPadding is the number of spaces between two columns.
const tabPadding = 2

// print writes value as JSON or, in the table format, header and rows as a table.
func (o *options) print(w io.Writer, value any, header []string, rows [][]string) error {
	if o.output == outputJSON {
		return printJSON(w, value)
	}
	return printTable(w, header, rows)
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}

func printTable(w io.Writer, header []string, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return trace.Wrap(table.Flush())
}

// dashIfEmpty returns text, or "-" if text is empty.
func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
