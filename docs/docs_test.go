package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/docfields"
	"cactuswall.example/cactuswall/internal/exitcode"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/settings"
)

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// firstCells returns the sorted names in backticks that start the table rows of a page.
func firstCells(page string) []string {
	var cells []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(page, -1) {
		cells = append(cells, match[1])
	}
	slices.Sort(cells)
	return cells
}

func fieldPaths(fields []docfields.Field) []string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.Path
	}
	slices.Sort(names)
	return names
}

func TestSettingsPage(t *testing.T) {
	Convey("settings.md lists exactly the existing settings, each with its default", t, func() {
		page := readFile(t, "operators/settings.md")
		fields := docfields.List(settings.Default())
		So(firstCells(page), ShouldResemble, fieldPaths(fields))
		for _, f := range fields {
			_, row, _ := strings.Cut(page, "| `"+f.Path+"` |")
			cells := strings.Split(row, "|")
			want := "`" + strings.Replace(f.Value, "null", "[]", 1) + "`"
			if f.Required && f.Value == `""` {
				want = "required"
			}
			So(f.Path+" "+strings.TrimSpace(cells[1]), ShouldEqual, f.Path+" "+want)
		}
	})
}

func TestManifestPage(t *testing.T) {
	Convey("manifest.md lists exactly the existing fields", t, func() {
		So(firstCells(readFile(t, "operators/manifest.md")), ShouldResemble, fieldPaths(docfields.List(manifest.Manifest{})))
	})
}

// nodeSources returns the source text of the internal packages, without tests, simulated services and the
// capacity measurements.
func nodeSources(t *testing.T) string {
	t.Helper()
	var text strings.Builder
	err := filepath.WalkDir("../internal", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if strings.Contains(path, "internal/fake") || strings.Contains(path, "capacity") {
			return nil
		}
		text.WriteString(readFile(t, path))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// findFirstGroups returns the sorted distinct texts of the first group over all matches of a pattern.
func findFirstGroups(pattern, text string) []string {
	var found []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	slices.Sort(found)
	return slices.Compact(found)
}

func TestCountersPage(t *testing.T) {
	Convey("counters.md lists exactly the metrics of the program", t, func() {
		text := nodeSources(t)
		names := findFirstGroups("[\"`](cactuswall_[a-z_]+[a-z])[\"`{+]", text)
		for _, name := range findFirstGroups(`counter\("([a-z_]+)"\)`, text) {
			names = append(names, "cactuswall_log_"+name+"_total")
		}
		slices.Sort(names)
		So(firstCells(readFile(t, "operators/counters.md")), ShouldResemble, slices.Compact(names))
	})
}

func TestLogPage(t *testing.T) {
	Convey("LOGS.md lists exactly the log messages of the packages cell and cellnode", t, func() {
		var text strings.Builder
		for _, pattern := range []string{"../internal/cell/*.go", "../internal/cellnode/*.go"} {
			files, err := filepath.Glob(pattern)
			So(err, ShouldBeNil)
			for _, file := range files {
				if !strings.HasSuffix(file, "_test.go") {
					text.WriteString(readFile(t, file))
				}
			}
		}
		messages := findFirstGroups(`log\.(?:Info|Warn|Error)\("([^"]+)"`, text.String())
		page := readFile(t, "LOGS.md")
		_, table, _ := strings.Cut(page, "| --- | --- | --- |")
		var named []string
		for _, row := range regexp.MustCompile(`(?m)^\| ([^|]+) \|`).FindAllStringSubmatch(table, -1) {
			named = append(named, findFirstGroups("`([^`]+)`", row[1])...)
		}
		slices.Sort(named)
		So(slices.Compact(named), ShouldResemble, messages)
	})
}

func TestRefusalsPage(t *testing.T) {
	Convey("refusals.md lists exactly the reasons for refusals, retries and rejections", t, func() {
		text := nodeSources(t)
		reasons := findFirstGroups(`verdict\.Reason\("([a-z_]+)"\)`, text)
		reasons = append(reasons, findFirstGroups(`(?m)^\s+[A-Z]\w+\s+Rejection = "([a-z_]+)"`, text)...)
		reasons = append(reasons, findFirstGroups(`(?m)^\s+Reason\w+\s+= "([a-z_]+)"`, text)...)
		reasons = append(reasons, findFirstGroups(`return "([a-z_]+)"\n`, readFile(t, "../internal/verdict/verdict.go"))...)
		slices.Sort(reasons)
		reasons = slices.DeleteFunc(slices.Compact(reasons), func(r string) bool {
			return slices.Contains([]string{"not_run", "ran", "may_have_run"}, r)
		})
		So(firstCells(readFile(t, "operators/refusals.md")), ShouldResemble, reasons)
	})
}

func TestExitCodes(t *testing.T) {
	Convey("OPERATORS.md lists all exit codes of the help text", t, func() {
		page := readFile(t, "OPERATORS.md")
		for _, code := range findFirstGroups(`(?m)^  (\d) `, exitcode.Help) {
			So(page, ShouldContainSubstring, "\n| "+code+" | ")
		}
	})
}

func TestLinks(t *testing.T) {
	Convey("every relative link of a page points to an existing file", t, func() {
		pages, err := filepath.Glob("*.md")
		So(err, ShouldBeNil)
		more, err := filepath.Glob("operators/*.md")
		So(err, ShouldBeNil)
		for _, page := range append(append(pages, more...), "../README.md") {
			for _, link := range findFirstGroups(`\]\(([^)#:]+)\)`, readFile(t, page)) {
				_, err := os.Stat(filepath.Join(filepath.Dir(page), link))
				So(page+": "+errorText(err), ShouldEqual, page+": ")
			}
		}
	})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
