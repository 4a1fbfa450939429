package configcheck

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Codes of findings.
const (
	// Invalid means that the document, or a field, cannot be used.
	Invalid = "invalid"
	// NeverMatches means that an entry has no effect, because nothing can match it.
	NeverMatches = "never_matches"
	// Contradiction means that limits contradict each other.
	Contradiction = "contradiction"
	// NotNewer means that the document does not replace the active one, since its version is not higher.
	NotNewer = "not_newer"
)

// Finding is something in a document that is wrong.
type Finding struct {
	Code string `json:"code"`
	// Path is the path of the field, for instance "services[2].slots", or empty for the whole document.
	Path string `json:"path"`
	// Line is the line of the field, or 0 if it is unknown.
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// Report is the result of a check.
type Report struct {
	File string `json:"file"`
	// Document is the kind of the document.
	Document string `json:"document"`
	// Against is what the document was compared with, and ActiveVersion the version of the document there, if it has one.
	Against       string    `json:"against,omitempty"`
	ActiveVersion int64     `json:"active_version,omitempty"`
	Findings      []Finding `json:"findings"`
	Changes       []Change  `json:"changes"`
	// Unchecked lists what could not be checked, and why.
	Unchecked []string `json:"unchecked"`
}

// Add adds a finding about the field at a path.
func (r *Report) Add(d *Document, code, path, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{Code: code, Path: path, Line: d.Line(path), Message: fmt.Sprintf(format, args...)})
}

// Finish sorts the findings by line and path, and gives empty lists a value.
func (r *Report) Finish() {
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message))
	})
	if r.Findings == nil {
		r.Findings = []Finding{}
	}
	if r.Changes == nil {
		r.Changes = []Change{}
	}
	if r.Unchecked == nil {
		r.Unchecked = []string{}
	}
}

// maxShownValue is the length to which values are shortened in the text of a report.
const maxShownValue = 120

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, f := range r.Findings {
		path := f.Path
		if path != "" {
			path += ": "
		}
		fmt.Fprintf(&b, "%s:%d: %s%s (%s)\n", r.File, f.Line, path, f.Message, f.Code)
	}
	if r.Against != "" {
		fmt.Fprintf(&b, "%d changes from %s", len(r.Changes), r.Against)
		if r.ActiveVersion > 0 {
			fmt.Fprintf(&b, ", version %d", r.ActiveVersion)
		}
		b.WriteString("\n")
	}
	for _, c := range r.Changes {
		switch c.Kind {
		case Added:
			fmt.Fprintf(&b, "  + %s: %s", c.Path, shorten(c.New))
		case Removed:
			fmt.Fprintf(&b, "  - %s: %s", c.Path, shorten(c.Old))
		default:
			fmt.Fprintf(&b, "  ~ %s: %s -> %s", c.Path, shorten(c.Old), shorten(c.New))
		}
		if c.Affects != "" {
			fmt.Fprintf(&b, "  [affects %s]", c.Affects)
		}
		b.WriteString("\n")
	}
	for _, text := range r.Unchecked {
		fmt.Fprintf(&b, "not checked: %s\n", text)
	}
	fmt.Fprintf(&b, "%s: %s with %d findings\n", r.File, r.Document, len(r.Findings))
	_, err := io.WriteString(w, b.String())
	return trace.Wrap(err)
}

// shorten shortens a value to maxShownValue runes.
func shorten(text string) string {
	if runes := []rune(text); len(runes) > maxShownValue {
		return string(runes[:maxShownValue]) + "..."
	}
	return text
}
